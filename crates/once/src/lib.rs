//! At-most-once execution of requests: minted request ids, claims on
//! idempotency keys that callers choose, retry decisions and the limits on
//! retries.
//!
//! Nothing in this crate does I/O. The time `now_ms` and the random number
//! generator are arguments.

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
pub use decision::{Delivery, FailedAttempt, MAX_UNANSWERED_ATTEMPTS, RetryDecision, decide_retry};
pub use registry::{BeginResult, MintError, RegistryLimits, RequestIdRegistry, RunState};
