//! Limit on the fraction of requests that are retries.

/// Retries that a hundred requests add to the budget.
const RETRIES_PER_HUNDRED_REQUESTS: u64 = 10;
/// Largest balance, in retries. It allows a router with little traffic to
/// retry, and bounds the burst of retries when an upstream fails under load.
const MAX_BALANCE_RETRIES: u64 = 20;
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Number of retries that may still be made. Each request adds a fraction of
/// one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_hundredths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_hundredths: MAX_BALANCE_RETRIES * HUNDREDTHS_PER_RETRY }
    }
}

impl RetryBudget {
    /// Adds a fraction of a retry to the budget. Call it for each first attempt.
    pub fn deposit(&mut self) {
        self.balance_hundredths = (self.balance_hundredths + RETRIES_PER_HUNDRED_REQUESTS)
            .min(MAX_BALANCE_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Takes one retry from the balance. Returns false if there is less than
    /// one.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(remaining) = self.balance_hundredths.checked_sub(HUNDREDTHS_PER_RETRY) else {
            return false;
        };
        self.balance_hundredths = remaining;
        true
    }
}
