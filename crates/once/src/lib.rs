//! Decisions that keep a request from running twice: minted ids, claims on
//! keys that callers choose, what to do after a failed attempt, and the bounds
//! on retries.
//!
//! Nothing here does I/O; `now_ms` and the random generator are arguments.

mod backoff;
mod budget;
mod claims;
mod decision;
mod registry;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use claims::{
    CLAIM_BUCKETS, Claim, ClaimBucket, ClaimChange, ClaimKey, ClaimResult, ClaimState,
    MAX_CLAIMS_PER_BUCKET,
};
pub use decision::{Delivery, FailedAttempt, RetryDecision, decide_retry};
pub use registry::{BeginResult, MintError, RegistryLimits, RequestIdRegistry, RunState};
