//! Wall clock, comparable between the processes of an experiment because they
//! run on one machine.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the microseconds since the Unix epoch; 0 if the clock is before it.
pub fn unix_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
