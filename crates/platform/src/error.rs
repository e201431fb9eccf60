//! Why a call failed.

use http::StatusCode;

/// A call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The condition of a write does not hold; nothing was written.
    #[error("{key} was changed by someone else")]
    Conflict {
        /// Key of the object.
        key: String,
    },
    /// The platform does not accept the call; repeating it does not help and
    /// nothing was written.
    #[error("the platform refused the call with status {status}: {message}")]
    Rejected {
        /// Status of the answer.
        status: u16,
        /// What the platform says about it.
        message: String,
    },
    /// The platform cannot be reached or does not work; nothing was written.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// A write was sent and no answer tells whether it took effect.
    #[error("the effect of the write is not known: {reason}")]
    EffectUnknown {
        /// What was seen.
        reason: String,
    },
}

impl Error {
    /// A later attempt can succeed without any change to the call.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unavailable { .. } | Self::EffectUnknown { .. })
    }

    pub(crate) fn of_status(status: StatusCode, message: String, write: bool) -> Self {
        let reason = || format!("status {}: {message}", status.as_u16());
        match status {
            // Rate limits are checked before a call is executed.
            StatusCode::TOO_MANY_REQUESTS => Self::Unavailable { reason: reason() },
            // An error of the server does not tell how far the write came.
            status if status.is_server_error() && write => Self::EffectUnknown { reason: reason() },
            status if status.is_server_error() => Self::Unavailable { reason: reason() },
            status => Self::Rejected { status: status.as_u16(), message },
        }
    }
}
