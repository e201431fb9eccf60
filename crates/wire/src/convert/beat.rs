//! Heartbeats.

use span_member::{MemberUpdate, Router};
use span_types::{MemberState, Revision};

use super::{
    ConvertError,
    shared::{read_address, read_member, write_member},
};
use crate::{
    Heartbeat,
    peer_capnp::{heartbeat, update},
};

/// Writes a heartbeat.
pub fn write_heartbeat(mut to: heartbeat::Builder<'_>, from: &Heartbeat) {
    write_update(to.reborrow().init_sender(), &from.sender);
    to.set_revision(from.revision.0);
    to.set_view_hash(from.view_hash);
    to.set_wants_all(from.wants_all_updates);
    let mut updates = to.init_updates(from.updates.len() as u32);
    for (index, row) in (0..).zip(&from.updates) {
        write_update(updates.reborrow().get(index), row);
    }
}

/// Reads a heartbeat.
///
/// # Errors
///
/// [`ConvertError`] if the message is damaged or inconsistent.
pub fn read_heartbeat(from: heartbeat::Reader<'_>) -> Result<Heartbeat, ConvertError> {
    Ok(Heartbeat {
        sender: read_update(from.get_sender()?)?,
        revision: Revision(from.get_revision()),
        view_hash: from.get_view_hash(),
        updates: from.get_updates()?.iter().map(read_update).collect::<Result<_, _>>()?,
        wants_all_updates: from.get_wants_all(),
    })
}

fn write_update(mut to: update::Builder<'_>, from: &MemberUpdate) {
    write_member(to.reborrow().init_member(), &from.router.member);
    to.set_http_address(from.router.http_address.to_string());
    to.set_peer_address(from.router.peer_address.to_string());
    to.set_failure_domain(from.router.failure_domain.as_str());
    to.set_epoch(from.epoch);
    to.set_state(from.state as u8);
}

fn read_update(from: update::Reader<'_>) -> Result<MemberUpdate, ConvertError> {
    let state = from.get_state();
    let router = Router {
        member: read_member(from.get_member()?)?,
        http_address: read_address(from.get_http_address()?)?,
        peer_address: read_address(from.get_peer_address()?)?,
        failure_domain: from.get_failure_domain()?.to_str()?.into(),
        processor_millicores: 0,
    };
    Ok(MemberUpdate {
        router,
        epoch: from.get_epoch(),
        state: MemberState::from_repr(state).ok_or(ConvertError::State(state))?,
    })
}
