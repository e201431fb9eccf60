//! Clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Monotonic clock in milliseconds since the process started, without time in
/// which the instance was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The runtime's instant for `at_ms` on this clock.
    pub fn instant(&self, at_ms: u64) -> Instant {
        self.started + std::time::Duration::from_millis(at_ms)
    }
}

/// Time since boot in milliseconds, including suspension.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Time of day, in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    // Fails only for a clock before 1970.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}
