//! Why an intent was not carried out.

use http::StatusCode;
use span_config::{Problem, StoredConfigError};

use crate::message::HistoryEntry;

/// An intent was not carried out, or it is not known whether it was.
#[derive(Debug, thiserror::Error)]
pub enum IntentError {
    /// No key, or one that belongs to no operator.
    #[error("the operator key is missing or not known")]
    Unauthenticated,
    /// There is no such path.
    #[error("no such path")]
    NoSuchPath,
    /// There is no such plan.
    #[error("there is no plan {0}")]
    NoSuchPlan(String),
    /// The request cannot be read.
    #[error("the request is not valid: {0}")]
    BadRequest(String),
    /// The body is larger than allowed.
    #[error("the request is too large: {0}")]
    TooLarge(String),
    /// The document has faults.
    #[error("the document is not valid")]
    Invalid(Vec<Problem>),
    /// The configuration has changed since the plan was made.
    #[error("the plan starts from revision {base}, and revision {current} is in force")]
    Stale {
        /// Revision the plan starts from.
        base: u64,
        /// Revision in force.
        current: u64,
        /// What was confirmed since, as far as it is remembered.
        since: Vec<HistoryEntry>,
    },
    /// The accepted document is not usable or would not fit.
    #[error(transparent)]
    StoredConfig(#[from] StoredConfigError),
    /// An object does not hold what it should.
    #[error("a stored object is not valid: {0}")]
    Corrupt(String),
    /// Another order is being carried out.
    #[error("the order lease is held by {holder}")]
    LeaseHeld {
        /// Its holder.
        holder: String,
        /// When it ends at the latest, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The weight store's rate is used up.
    #[error("the weight store's rate is used up")]
    RateLimited {
        /// When the next load is allowed, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The order was not sent or was refused.
    #[error("the order was not carried out: {0}")]
    OrderNotRun(String),
    /// The order may have been carried out.
    #[error("it is not known whether the order was carried out: {0}")]
    OrderUnknown(String),
    /// The object API failed.
    #[error(transparent)]
    Platform(#[from] span_platform::Error),
}

impl IntentError {
    /// Name of the error for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::NoSuchPath | Self::NoSuchPlan(_) => "not_found",
            Self::BadRequest(_) => "bad_request",
            Self::TooLarge(_) | Self::StoredConfig(StoredConfigError::TooLarge { .. }) => {
                "too_large"
            }
            Self::Invalid(_) => "invalid",
            Self::Stale { .. } => "stale",
            Self::StoredConfig(StoredConfigError::Invalid(_) | StoredConfigError::Packed(_))
            | Self::Corrupt(_) => "corrupt",
            Self::LeaseHeld { .. } => "lease_held",
            Self::RateLimited { .. } => "rate_limited",
            Self::OrderNotRun(_) => "not_run",
            Self::OrderUnknown(_) => "unknown",
            Self::Platform(span_platform::Error::EffectUnknown { .. }) => "unknown",
            Self::Platform(_) => "unavailable",
        }
    }

    /// Status of the answer.
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

    /// False if the intent certainly had no effect; none if that is not known.
    pub fn accepted(&self) -> Option<bool> {
        if self.kind() == "unknown" { None } else { Some(false) }
    }

    /// When to come back, in milliseconds, if that can help.
    pub fn retry_after_ms(&self) -> Option<u64> {
        const OUTAGE_RETRY_MS: u64 = 5_000;
        match self {
            Self::LeaseHeld { retry_after_ms, .. } | Self::RateLimited { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            Self::Platform(error) if error.is_transient() => Some(OUTAGE_RETRY_MS),
            _ => None,
        }
    }
}
