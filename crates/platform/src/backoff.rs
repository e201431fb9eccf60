//! Exponential backoff with equal jitter.

/// Sequence of growing delays between attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    base_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Delays that start at `base_ms` and double up to `max_ms`.
    pub fn new(base_ms: u64, max_ms: u64) -> Self {
        Self { base_ms, max_ms, next_ms: base_ms }
    }

    /// Returns the next delay, in milliseconds. Up to half of it is jitter, so
    /// that clients do not retry at the same time. `random` is a random number
    /// in `0..1`.
    pub fn next_delay_ms(&mut self, random: f64) -> u64 {
        let longest_ms = self.next_ms;
        self.next_ms = longest_ms.saturating_mul(2).min(self.max_ms);
        let half_ms = longest_ms / 2;
        half_ms + ((longest_ms - half_ms) as f64 * random.clamp(0.0, 1.0)) as u64
    }

    /// Restarts at the shortest delay.
    pub fn reset(&mut self) {
        self.next_ms = self.base_ms;
    }
}
