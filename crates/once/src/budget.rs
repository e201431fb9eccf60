//! Bound on the share of requests that are retries.

/// Retries earned per hundred requests.
const RETRY_PERCENT: u64 = 10;
/// Retries that can be saved up. It lets a quiet router retry and bounds the
/// burst when an upstream fails under load.
const MAX_SAVED_RETRIES: u64 = 20;
const PERCENT: u64 = 100;

/// Retries that may still be made; requests earn them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_SAVED_RETRIES * PERCENT }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRY_PERCENT).min(MAX_SAVED_RETRIES * PERCENT);
    }

    /// Takes one retry; false if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(rest) = self.balance.checked_sub(PERCENT) else {
            return false;
        };
        self.balance = rest;
        true
    }
}
