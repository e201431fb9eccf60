//! Token bucket whose clock is passed in.

/// A bucket that gains one token per `refill_ms` and holds at most `burst`.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    burst: f64,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    pub(crate) fn new(burst: u32) -> Self {
        Self { burst: burst.into(), tokens: burst.into(), updated_ms: 0 }
    }

    fn available(&self, now_ms: u64, refill_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (self.tokens + elapsed_ms / refill_ms.max(1) as f64).min(self.burst)
    }

    /// Whether a token is available.
    pub(crate) fn has_token(&self, now_ms: u64, refill_ms: u64) -> bool {
        self.available(now_ms, refill_ms) >= 1.0
    }

    /// Takes a token; false if none is available.
    pub(crate) fn try_take(&mut self, now_ms: u64, refill_ms: u64) -> bool {
        self.tokens = self.available(now_ms, refill_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
