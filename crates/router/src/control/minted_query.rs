//! Asks the router that minted a request id about its state.

use span_types::RequestId;

use super::{MintedState, peers, state::SharedState};

/// State of `id` at the incarnation that minted it; `Unknown` unless that
/// incarnation answers.
pub(super) async fn query(shared: SharedState, id: RequestId) -> MintedState {
    let address = {
        let control = shared.borrow();
        if id.instance == *control.instance() {
            return (control.settings.minted)(&id);
        }
        let router = control.view.router(&id.instance);
        let minting = router.filter(|router| router.member.incarnation == id.incarnation);
        minting.map(|router| router.peer_address)
    };
    let Some(address) = address else {
        return MintedState::Unknown;
    };
    let key = id.to_string();
    let answer = peers::call(&shared, &id.instance, address, |client| async move {
        let mut request = client.claim_request();
        request.get().set_key(key.as_str());
        Ok(request.send().promise.await?.get()?.get_state())
    });
    let state = answer.await.ok().and_then(MintedState::from_repr);
    state.unwrap_or(MintedState::Unknown)
}
