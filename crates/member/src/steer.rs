//! Which addresses a caller is given.

use std::collections::BTreeSet;

use span_types::WorkspaceName;

use crate::{
    Router,
    hash::{Purpose, hash, pair},
};

/// Addresses in an answer.
pub const MAX_ADDRESSES: usize = 3;
/// Time for which a caller may keep an answer, in milliseconds.
pub const ADDRESS_LIFETIME_MS: u64 = 10_000;

/// Addresses for a workspace: a bounded set, distinct failure domains first,
/// chosen by weighted rendezvous hashing, so that a change of the fleet moves
/// few workspaces. `entries` are the routers that may be handed out;
/// `capacity` weighs them by the capacity that they reach, and a router with
/// capacity 0 comes last.
pub fn select_routers<'a>(
    workspace: &WorkspaceName,
    entries: &[&'a Router],
    capacity: impl Fn(&Router) -> u64,
) -> Vec<&'a Router> {
    let seed = hash(Purpose::Steering, workspace.as_str().as_bytes());
    let mut scored: Vec<_> =
        entries.iter().map(|router| (score(seed, router, capacity(router)), *router)).collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.member.cmp(&b.1.member)));
    let mut domains = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        scored.into_iter().partition(|(_, router)| domains.insert(&router.failure_domain));
    let chosen = first.into_iter().chain(rest).map(|(_, router)| router);
    chosen.take(MAX_ADDRESSES).collect()
}

/// Weighted rendezvous score: the share of the highest scores is proportional
/// to the weight.
fn score(seed: u64, router: &Router, weight: u64) -> f64 {
    let hash = pair(Purpose::Steering, seed, router.member.instance.as_str());
    // 53 bits fill the mantissa; the half keeps the logarithm finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}
