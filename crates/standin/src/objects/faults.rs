//! Faults that the platform stand-in injects.

use serde::{Deserialize, Serialize};

/// Active faults; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with status 503 and has no effect.
    pub down: bool,
    /// Calls are never answered.
    pub silent: bool,
    /// Delay added to each call, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect but are answered with status 503.
    pub lose_write_answers: bool,
    /// Watches do not report changes.
    pub stale_watches: bool,
    /// Age of the instance list that is returned, in milliseconds.
    pub list_lag_ms: u64,
}
