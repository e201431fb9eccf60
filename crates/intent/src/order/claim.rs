//! Claims on orders for engines that do not check fencing numbers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Maximum number of claims kept for each upstream; older ones are dropped.
const MAX_CLAIMS_PER_UPSTREAM: usize = 64;

/// State of a claimed order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claimant may be about to send the order.
    Open,
    /// The engine executed the order.
    Done,
    /// The order was not sent, or the engine rejected it.
    NotRun,
    /// The engine may have executed the order or may still do so. The order is not
    /// sent again.
    Unknown,
}

/// One claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the order.
    pub order: String,
    /// Fencing number of the claimant's lease.
    pub fencing: u64,
    /// State of the order.
    pub state: ClaimState,
}

/// Stored claims on the orders for one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The claims, oldest first.
    pub claims: VecDeque<Claim>,
}

/// Result of [`Claims::try_claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The order may be sent after these claims have been written.
    Claim(Claims),
    /// The engine already executed the order.
    Done {
        /// Fencing number under which it was sent.
        fencing: u64,
    },
    /// Another claimant may have sent the order, so it must not be sent again. These
    /// claims have to be written, so that a claimant that has not sent it yet finds
    /// its claim withdrawn.
    Unresolved(Claims),
}

impl Claims {
    /// Key of an upstream's claims in the object API.
    pub fn key(upstream: &str) -> String {
        format!("orders/claims/{upstream}")
    }

    /// Decides whether the holder of a lease with fencing number `fencing` may claim
    /// `order`. The returned claims withdraw all claims that are still open: their state
    /// becomes [`ClaimState::Unknown`].
    pub fn try_claim(&self, order: &str, fencing: u64) -> ClaimDecision {
        let mut next = self.clone();
        let is_open = |claim: &&mut Claim| claim.state == ClaimState::Open;
        for claim in next.claims.iter_mut().filter(is_open) {
            claim.state = ClaimState::Unknown;
        }
        let earlier = self.claims.iter().rev().find(|claim| claim.order == order);
        match earlier.map(|claim| (claim.state, claim.fencing)) {
            Some((ClaimState::Done, fencing)) => return ClaimDecision::Done { fencing },
            Some((ClaimState::Open | ClaimState::Unknown, _)) => {
                return ClaimDecision::Unresolved(next);
            }
            Some((ClaimState::NotRun, _)) | None => {}
        }
        next.claims.push_back(Claim { order: order.to_owned(), fencing, state: ClaimState::Open });
        while next.claims.len() > MAX_CLAIMS_PER_UPSTREAM {
            next.claims.pop_front();
        }
        ClaimDecision::Claim(next)
    }

    /// Returns true if the claim made under `fencing` is still open.
    pub fn is_open(&self, order: &str, fencing: u64) -> bool {
        let mut claims = self.claims.iter();
        let found = claims.find(|claim| claim.order == order && claim.fencing == fencing);
        found.is_some_and(|claim| claim.state == ClaimState::Open)
    }

    /// Sets the state of the order claimed under `fencing`. Returns `None` if the claim
    /// is no longer stored.
    pub fn close(&self, order: &str, fencing: u64, state: ClaimState) -> Option<Self> {
        let mut next = self.clone();
        let mut claims = next.claims.iter_mut();
        claims.find(|claim| claim.order == order && claim.fencing == fencing)?.state = state;
        Some(next)
    }
}
