//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// Faults in force; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with status 503.
    pub down: bool,
    /// Calls get no answer at all.
    pub silent: bool,
    /// Time added to each call, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect, then the connection is answered with status 503.
    pub lose_write_answers: bool,
    /// Watches do not notice changes.
    pub stale_watches: bool,
    /// Time by which the instance list lags, in milliseconds.
    pub list_lag_ms: u64,
}
