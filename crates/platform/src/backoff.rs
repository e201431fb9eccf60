//! Exponential backoff with full jitter.

/// Growing delays between attempts.
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

    /// The next delay, in milliseconds. `unit` is a random number in `0..1`;
    /// half of the delay is jitter, so that clients do not return in step.
    pub fn next_delay_ms(&mut self, unit: f64) -> u64 {
        let ceiling_ms = self.next_ms;
        self.next_ms = ceiling_ms.saturating_mul(2).min(self.max_ms);
        let half_ms = ceiling_ms / 2;
        half_ms + ((ceiling_ms - half_ms) as f64 * unit.clamp(0.0, 1.0)) as u64
    }

    /// Starts again at the shortest delay.
    pub fn reset(&mut self) {
        self.next_ms = self.base_ms;
    }
}
