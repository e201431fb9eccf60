//! Exponential backoff with full jitter.

use rand::{Rng, RngExt};

/// Bounds of the delays between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay, in milliseconds.
    pub base_ms: u64,
    /// Upper bound of all delays, in milliseconds.
    pub max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base_ms: 20, max_ms: 1_000 }
    }
}

impl Backoff {
    /// Delay before a retry, in milliseconds. `attempt` is 0 for the first
    /// retry.
    ///
    /// The delay is drawn from the whole range (full jitter), so that requests
    /// that failed at the same time are not retried at the same time.
    pub fn delay_ms(&self, attempt: u32, rng: &mut impl Rng) -> u64 {
        let factor = 1_u64.checked_shl(attempt).unwrap_or(u64::MAX);
        let bound_ms = self.base_ms.saturating_mul(factor).min(self.max_ms);
        rng.random_range(0..=bound_ms)
    }
}
