//! Claims on idempotency keys that callers choose, grouped into buckets.
//!
//! Each bucket is stored as one object, so one conditional write stores all
//! changes that are pending for it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use span_types::WorkspaceName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of buckets over which keys are distributed.
pub const CLAIM_BUCKETS: u64 = 256;
/// Largest number of claims in one bucket. At about 130 bytes each, they take
/// less than half of the 1 MB that a stored value may have.
pub const MAX_CLAIMS_PER_BUCKET: usize = 4_000;
/// Time after which a claim expires, whatever its state.
const CLAIM_LIFETIME_MS: u64 = 6 * 60 * 60 * 1_000;

/// Hash of a workspace and an idempotency key that one of its callers chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Hashes a key. The same key gives different hashes in different
    /// workspaces.
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        let workspace = workspace.as_str();
        let text = format!("{}:{workspace}:{key}", workspace.len());
        Self(format!("{:032x}", xxh3_128(text.as_bytes())))
    }

    /// Index of the key's bucket, below [`CLAIM_BUCKETS`].
    pub fn bucket(&self) -> u64 {
        xxh3_64(self.0.as_bytes()) % CLAIM_BUCKETS
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// State of a request that has claimed a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have started.
    Claimed,
    /// The request completed.
    Completed,
}

/// The right of one request to run under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request that holds the claim.
    pub owner: String,
    /// State of that request.
    pub state: ClaimState,
    /// Time at which the claim was acquired, in milliseconds since the Unix
    /// epoch.
    pub at_ms: u64,
}

/// A change to a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claims the key for `owner`.
    Acquire {
        /// Key to claim.
        key: ClaimKey,
        /// Id of the request that is to run.
        owner: String,
        /// Owner of an earlier claim, if that request is known not to have run.
        /// Its claim is replaced.
        replaces: Option<String>,
    },
    /// Marks the owner's request as completed.
    Complete {
        /// Claimed key.
        key: ClaimKey,
        /// Id of the request that holds the claim.
        owner: String,
    },
    /// Removes the claim of a request that is known not to have run.
    Release {
        /// Claimed key.
        key: ClaimKey,
        /// Id of the request that holds the claim.
        owner: String,
    },
}

/// Result of a change. It is valid once the bucket is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The bucket reflects the change.
    Applied,
    /// Another request holds the claim.
    HeldByOther(Claim),
    /// The bucket has [`MAX_CLAIMS_PER_BUCKET`] claims.
    BucketFull,
}

/// The claims of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimBucket {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimBucket {
    /// The claim on a key; `None` if the key is not claimed.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Applies a change. Applying it again has no further effect. If the answer
    /// to a write is lost, the caller can therefore read the bucket and apply
    /// the change again.
    pub fn apply(&mut self, now_ms: u64, change: &ClaimChange) -> ClaimResult {
        match change {
            ClaimChange::Acquire { key, owner, replaces } => {
                self.acquire(now_ms, key, owner, replaces)
            }
            ClaimChange::Complete { key, owner } => {
                if let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.owner == *owner)
                {
                    claim.state = ClaimState::Completed;
                }
                ClaimResult::Applied
            }
            ClaimChange::Release { key, owner } => {
                if self.claims.get(key).is_some_and(|claim| claim.owner == *owner) {
                    self.claims.remove(key);
                }
                ClaimResult::Applied
            }
        }
    }

    /// Removes the claims that have expired.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims.retain(|_, claim| claim.at_ms.saturating_add(CLAIM_LIFETIME_MS) > now_ms);
    }

    fn acquire(
        &mut self,
        now_ms: u64,
        key: &ClaimKey,
        owner: &str,
        replaces: &Option<String>,
    ) -> ClaimResult {
        match self.claims.get(key) {
            Some(existing) if existing.owner == owner => return ClaimResult::Applied,
            Some(existing) if replaces.as_ref() != Some(&existing.owner) => {
                return ClaimResult::HeldByOther(existing.clone());
            }
            None if self.claims.len() >= MAX_CLAIMS_PER_BUCKET => return ClaimResult::BucketFull,
            _ => {}
        }
        let claim = Claim { owner: owner.to_owned(), state: ClaimState::Claimed, at_ms: now_ms };
        self.claims.insert(key.clone(), claim);
        ClaimResult::Applied
    }
}
