//! Claims on keys that callers choose, grouped into buckets.
//!
//! One object holds one bucket, so one conditional write carries all changes
//! that wait for it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use span_types::WorkspaceName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Buckets over which keys are spread.
pub const CLAIM_BUCKETS: u64 = 256;
/// Claims in one bucket. At about 130 bytes each they stay under half of the
/// 1 MB that a value may have.
pub const MAX_CLAIMS_PER_BUCKET: usize = 4_000;
/// Time for which a claim is kept, in milliseconds.
const CLAIM_LIFETIME_MS: u64 = 6 * 60 * 60 * 1_000;

/// Hash of a workspace and a key that one of its callers chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Hashes a key; equal keys of different workspaces differ.
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        let workspace = workspace.as_str();
        let text = format!("{}:{workspace}:{key}", workspace.len());
        Self(format!("{:032x}", xxh3_128(text.as_bytes())))
    }

    /// Bucket of the key, below [`CLAIM_BUCKETS`].
    pub fn bucket(&self) -> u64 {
        xxh3_64(self.0.as_bytes()) % CLAIM_BUCKETS
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What the store says of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It was started, or was about to be.
    Claimed,
    /// It ran to its end.
    Completed,
}

/// The right of one request to run under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request that holds the claim.
    pub owner: String,
    /// How far it came.
    pub state: ClaimState,
    /// Time of the last change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A change to a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// Claim the key for `owner`.
    Acquire {
        /// Key to claim.
        key: ClaimKey,
        /// Id of the request that wants to run.
        owner: String,
        /// Owner of an earlier claim that certainly did not run.
        replaces: Option<String>,
    },
    /// The request ran to its end.
    Complete {
        /// Claimed key.
        key: ClaimKey,
        /// Owner of the claim.
        owner: String,
    },
    /// The request certainly did not run.
    Release {
        /// Claimed key.
        key: ClaimKey,
        /// Owner of the claim.
        owner: String,
    },
}

/// Result of a change, valid once the bucket is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The change is in the bucket.
    Applied,
    /// Another request holds the claim.
    HeldByOther(Claim),
    /// The bucket has no room.
    BucketFull,
}

/// Claims of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimBucket {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl ClaimBucket {
    /// The claim on a key.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Applies a change. Repeating one has no further effect, so a write whose
    /// answer was lost is resolved by reading the bucket and applying again.
    pub fn apply(&mut self, now_ms: u64, change: &ClaimChange) -> ClaimResult {
        match change {
            ClaimChange::Acquire { key, owner, replaces } => {
                self.take(now_ms, key, owner, replaces)
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

    /// Removes claims that are older than the lifetime.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims.retain(|_, claim| claim.at_ms.saturating_add(CLAIM_LIFETIME_MS) > now_ms);
    }

    fn take(
        &mut self,
        now_ms: u64,
        key: &ClaimKey,
        owner: &str,
        replaces: &Option<String>,
    ) -> ClaimResult {
        match self.claims.get(key) {
            Some(held) if held.owner == owner => return ClaimResult::Applied,
            Some(held) if replaces.as_ref() != Some(&held.owner) => {
                return ClaimResult::HeldByOther(held.clone());
            }
            None if self.claims.len() >= MAX_CLAIMS_PER_BUCKET => return ClaimResult::BucketFull,
            _ => {}
        }
        let claim = Claim { owner: owner.to_owned(), state: ClaimState::Claimed, at_ms: now_ms };
        self.claims.insert(key.clone(), claim);
        ClaimResult::Applied
    }
}
