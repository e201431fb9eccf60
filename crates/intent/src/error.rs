//! Errors of intents.

use http::StatusCode;
use span_config::{Problem, StoredConfigError};

use crate::message::HistoryEntry;

/// An intent had no effect, or its effect is not known.
#[derive(Debug, thiserror::Error)]
pub enum IntentError {
    /// The request has no key, or one that belongs to no operator.
    #[error("the operator key is missing or not known")]
    Unauthenticated,
    /// The API has no such path.
    #[error("no such path")]
    NoSuchPath,
    /// No plan with this id is stored.
    #[error("there is no plan {0}")]
    NoSuchPlan(String),
    /// The request is not valid.
    #[error("the request is not valid: {0}")]
    BadRequest(String),
    /// The request body or the resulting plan is larger than allowed.
    #[error("the request is too large: {0}")]
    TooLarge(String),
    /// The document has problems.
    #[error("the document is not valid")]
    Invalid(Vec<Problem>),
    /// The configuration has changed since the plan was made.
    #[error("the plan starts from revision {base}, and revision {current} is in force")]
    StalePlan {
        /// Revision that the plan is based on.
        base: u64,
        /// Accepted revision.
        current: u64,
        /// Plans confirmed since then, as far as the history reaches.
        since: Vec<HistoryEntry>,
    },
    /// The accepted document cannot be decoded or encoded, or is too large.
    #[error(transparent)]
    StoredConfig(#[from] StoredConfigError),
    /// A stored object cannot be decoded, or a value cannot be encoded.
    #[error("a stored object is not valid: {0}")]
    CorruptObject(String),
    /// Another process holds the order lease.
    #[error("the order lease is held by {holder}")]
    LeaseHeld {
        /// Holder of the lease.
        holder: String,
        /// Time until the lease expires, in milliseconds.
        retry_after_ms: u64,
    },
    /// The rate of loads from the weight store is used up.
    #[error("the weight store's rate is used up")]
    RateLimited {
        /// Time until the next load is allowed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The order was not sent, or the engine rejected it.
    #[error("the order was not carried out: {0}")]
    OrderNotRun(String),
    /// The engine may have executed the order.
    #[error("it is not known whether the order was carried out: {0}")]
    OrderOutcomeUnknown(String),
    /// A call of the object API or the instance list failed.
    #[error(transparent)]
    Platform(#[from] span_platform::Error),
}

impl IntentError {
    /// Machine-readable name of the error.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::NoSuchPath | Self::NoSuchPlan(_) => "not_found",
            Self::BadRequest(_) => "bad_request",
            Self::TooLarge(_) | Self::StoredConfig(StoredConfigError::TooLarge { .. }) => {
                "too_large"
            }
            Self::Invalid(_) => "invalid",
            Self::StalePlan { .. } => "stale",
            Self::StoredConfig(
                StoredConfigError::Invalid(_) | StoredConfigError::Compression(_),
            )
            | Self::CorruptObject(_) => "corrupt",
            Self::LeaseHeld { .. } => "lease_held",
            Self::RateLimited { .. } => "rate_limited",
            Self::OrderNotRun(_) => "not_run",
            Self::OrderOutcomeUnknown(_) => "unknown",
            Self::Platform(span_platform::Error::EffectUnknown { .. }) => "unknown",
            Self::Platform(_) => "unavailable",
        }
    }

    /// HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self.kind() {
            "unauthenticated" => StatusCode::UNAUTHORIZED,
            "not_found" => StatusCode::NOT_FOUND,
            "bad_request" => StatusCode::BAD_REQUEST,
            "too_large" => StatusCode::PAYLOAD_TOO_LARGE,
            "invalid" => StatusCode::UNPROCESSABLE_ENTITY,
            "stale" | "not_run" => StatusCode::CONFLICT,
            "corrupt" => StatusCode::INTERNAL_SERVER_ERROR,
            "rate_limited" => StatusCode::TOO_MANY_REQUESTS,
            "unknown" => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns false if the intent had no effect, and `None` if that is not known.
    pub fn accepted(&self) -> Option<bool> {
        if self.kind() == "unknown" { None } else { Some(false) }
    }

    /// Time to wait before a retry, in milliseconds. `None` if a retry cannot help.
    pub fn retry_after_ms(&self) -> Option<u64> {
        const OUTAGE_RETRY_AFTER_MS: u64 = 5_000;
        match self {
            Self::LeaseHeld { retry_after_ms, .. } | Self::RateLimited { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            Self::Platform(error) if error.is_transient() => Some(OUTAGE_RETRY_AFTER_MS),
            _ => None,
        }
    }
}
