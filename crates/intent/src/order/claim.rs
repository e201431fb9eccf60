//! Claims on orders for engines that ignore fencing numbers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Orders remembered per upstream.
const REMEMBERED: usize = 64;

/// What became of a claimed order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its claimant may be about to send it.
    Open,
    /// The engine carried it out.
    Done,
    /// It was certainly not sent or was refused.
    NotRun,
    /// It may have been carried out or may still be. It is not sent again.
    Unknown,
}

/// One claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the order.
    pub order: String,
    /// Fencing number of the claimant's lease.
    pub fencing: u64,
    /// What became of it.
    pub state: ClaimState,
}

/// Claims of one upstream, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The claims.
    pub claims: VecDeque<Claim>,
}

/// Whether an order can be claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Write this; the order may then be sent.
    Claim(Claims),
    /// The order was carried out.
    Done {
        /// Fencing number it carried.
        fencing: u64,
    },
    /// Another claimant may have sent it. Write this, so that a claimant that
    /// has not sent it yet finds out, and do not send it.
    Unresolved(Claims),
}

impl Claims {
    /// Key of the claims of an upstream in the object API.
    pub fn key(upstream: &str) -> String {
        format!("orders/claims/{upstream}")
    }

    /// Decides about a claim on `order` under a lease with number `fencing`.
    /// Open claims with lower numbers are withdrawn.
    pub fn claim(&self, order: &str, fencing: u64) -> Decision {
        let mut next = self.clone();
        let open = |claim: &&mut Claim| claim.state == ClaimState::Open;
        for claim in next.claims.iter_mut().filter(open) {
            claim.state = ClaimState::Unknown;
        }
        let earlier = self.claims.iter().rev().find(|claim| claim.order == order);
        match earlier.map(|claim| (claim.state, claim.fencing)) {
            Some((ClaimState::Done, fencing)) => return Decision::Done { fencing },
            Some((ClaimState::Open | ClaimState::Unknown, _)) => {
                return Decision::Unresolved(next);
            }
            Some((ClaimState::NotRun, _)) | None => {}
        }
        next.claims.push_back(Claim { order: order.to_owned(), fencing, state: ClaimState::Open });
        while next.claims.len() > REMEMBERED {
            next.claims.pop_front();
        }
        Decision::Claim(next)
    }

    /// The claim made under `fencing` is still open.
    pub fn holds(&self, order: &str, fencing: u64) -> bool {
        let mut claims = self.claims.iter();
        let mine = claims.find(|claim| claim.order == order && claim.fencing == fencing);
        mine.is_some_and(|claim| claim.state == ClaimState::Open)
    }

    /// Records what became of the order claimed under `fencing`; `None` if the
    /// claim is not remembered.
    pub fn close(&self, order: &str, fencing: u64, state: ClaimState) -> Option<Self> {
        let mut next = self.clone();
        let mut claims = next.claims.iter_mut();
        claims.find(|claim| claim.order == order && claim.fencing == fencing)?.state = state;
        Some(next)
    }
}
