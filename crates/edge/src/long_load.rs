//! How many tokens of long prompts arrive.

/// Time over which arrivals are averaged, in milliseconds; long enough for a
/// few long prompts to arrive at each router.
const WINDOW_MS: f64 = 4_000.0;

/// Exponential mean of the tokens of long prompts that arrive per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongLoad {
    tokens: f64,
    at_ms: u64,
}

impl LongLoad {
    /// Counts a long prompt.
    pub fn add(&mut self, now_ms: u64, tokens: u64) {
        self.tokens = self.decayed(now_ms) + tokens as f64;
        self.at_ms = now_ms;
    }

    /// Tokens per second.
    pub fn tokens_per_s(&self, now_ms: u64) -> u64 {
        (self.decayed(now_ms) * 1_000.0 / WINDOW_MS) as u64
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.tokens * (-age_ms / WINDOW_MS).exp()
    }
}
