//! Exit codes.

/// How the command ended; see the table of the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The command line, a file or the key cannot be used.
    Usage = 1,
    /// The document has faults.
    Invalid = 2,
    /// Refused; nothing has changed.
    Refused = 3,
    /// Not accepted now.
    NotAccepted = 4,
    /// It is not known whether it took effect.
    Unknown = 5,
    /// The revision is not in force at every router.
    NotInForce = 6,
}

impl Exit {
    /// Exit code for an error that the intent API names.
    pub(crate) fn of_kind(kind: &str) -> Self {
        match kind {
            "invalid" => Self::Invalid,
            "unknown" => Self::Unknown,
            "unavailable" | "lease_held" | "rate_limited" => Self::NotAccepted,
            _ => Self::Refused,
        }
    }
}
