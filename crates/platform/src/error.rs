//! Errors of calls to the platform.

use http::StatusCode;

/// A call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition of a write does not hold. Nothing was written.
    #[error("{key} was changed by someone else")]
    Conflict {
        /// Key of the object.
        key: String,
    },
    /// The call, or the stored value that it read, is not valid. Nothing was
    /// written, and a retry would fail too.
    #[error("the platform refused the call with status {status}: {message}")]
    Rejected {
        /// HTTP status of the response; 0 if the client itself found the error.
        status: u16,
        /// Error message of the platform or of the client.
        message: String,
    },
    /// The platform cannot be reached or has failed. Nothing was written.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// Cause of the failure.
        reason: String,
    },
    /// A write was sent, but no response tells whether it took effect.
    #[error("the effect of the write is not known: {reason}")]
    EffectUnknown {
        /// Cause of the failure.
        reason: String,
    },
}

impl Error {
    /// Whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unavailable { .. } | Self::EffectUnknown { .. })
    }

    pub(crate) fn from_status(status: StatusCode, message: String, is_write: bool) -> Self {
        let reason = || format!("status {}: {message}", status.as_u16());
        match status {
            // The platform checks rate limits before it executes a call.
            StatusCode::TOO_MANY_REQUESTS => Self::Unavailable { reason: reason() },
            // A server error does not tell whether the write took effect.
            status if status.is_server_error() && is_write => {
                Self::EffectUnknown { reason: reason() }
            }
            status if status.is_server_error() => Self::Unavailable { reason: reason() },
            status => Self::Rejected { status: status.as_u16(), message },
        }
    }
}
