//! Exit codes.

/// How a command ended. The crate documentation has a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Done = 0,
    /// The command line, a file or the key is not valid.
    Usage = 1,
    /// The document has problems.
    Invalid = 2,
    /// The intent API rejected the request; nothing has changed.
    Rejected = 3,
    /// The request was not accepted, and a retry may succeed.
    NotAccepted = 4,
    /// It is not known whether the request took effect.
    EffectUnknown = 5,
    /// At least one router does not have the accepted revision in force.
    NotInForce = 6,
}

impl ExitCode {
    /// Maps [`span_intent::message::ErrorBody::kind`] to an exit code.
    pub(crate) fn of_kind(kind: &str) -> Self {
        match kind {
            "invalid" => Self::Invalid,
            "unknown" => Self::EffectUnknown,
            "unavailable" | "lease_held" | "rate_limited" => Self::NotAccepted,
            _ => Self::Rejected,
        }
    }
}
