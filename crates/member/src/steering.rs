//! Selection of the routers whose addresses a caller gets.

use std::collections::BTreeSet;

use span_types::WorkspaceName;

use crate::{
    Router,
    hash::{HashPurpose, hash, hash_pair},
};

/// Largest number of routers in an answer.
pub const MAX_ADDRESSES: usize = 3;
/// Time for which a caller may use an answer, in milliseconds.
pub const ADDRESS_LIFETIME_MS: u64 = 10_000;

/// Routers for a workspace: at most [`MAX_ADDRESSES`], of distinct failure
/// domains first. Weighted rendezvous hashing selects them, so that a change of
/// the fleet moves few workspaces.
///
/// `candidates` are the routers to select from. `capacity` is a router's weight:
/// the capacity of the upstreams that it reaches. A router with capacity 0 is
/// the last choice within its failure domain.
pub fn select_routers<'a>(
    workspace: &WorkspaceName,
    candidates: &[&'a Router],
    capacity: impl Fn(&Router) -> u64,
) -> Vec<&'a Router> {
    let seed = hash(HashPurpose::Steering, workspace.as_str().as_bytes());
    let mut scored: Vec<_> = candidates
        .iter()
        .map(|router| (weighted_score(seed, router, capacity(router)), *router))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.member.cmp(&b.1.member)));
    let mut domains = BTreeSet::new();
    let (one_per_domain, others): (Vec<_>, Vec<_>) =
        scored.into_iter().partition(|(_, router)| domains.insert(&router.failure_domain));
    let chosen = one_per_domain.into_iter().chain(others).map(|(_, router)| router);
    chosen.take(MAX_ADDRESSES).collect()
}

/// Score for weighted rendezvous hashing. The probability of the highest score
/// is proportional to the weight.
fn weighted_score(seed: u64, router: &Router, weight: u64) -> f64 {
    let hash = hash_pair(HashPurpose::Steering, seed, router.member.instance.as_str());
    // 53 bits fit the mantissa. Adding 0.5 keeps the logarithm finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight as f64 / -uniform.ln()
}
