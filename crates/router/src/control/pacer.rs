//! Limits the control traffic of a router to its budget.

/// Upper bound of an extended report period. An allocation is valid for 5 s, so
/// a router can still dispatch after one lost report and stops only when two
/// consecutive reports are lost.
const MAX_REPORT_PERIOD_MS: u64 = 2_000;
/// Largest factor by which report periods are extended. The shortest period,
/// 250 ms, is thus extended to at most [`MAX_REPORT_PERIOD_MS`].
const MAX_PERIOD_FACTOR: f64 = 8.0;
/// Weight of the newest sample in the moving average when it is above the
/// average. It is high because traffic exceeds the budget until the periods
/// have been extended.
const RISING_RATE_WEIGHT: f64 = 0.8;
/// Weight of the newest sample when it is below the average. It is lower
/// because one quiet second may be an exception.
const FALLING_RATE_WEIGHT: f64 = 0.5;
/// Smallest change of the period factor per sample.
const MIN_FACTOR_STEP: f64 = 0.9;
/// Largest change of the period factor per sample.
const MAX_FACTOR_STEP: f64 = 2.5;
/// Multiple of the budget above which allocations are not pushed. Pushes only
/// distribute what the owner already knows, while reports bring it new
/// information, so reports have priority.
const PUSH_BUDGET_FACTOR: f64 = 1.5;
/// Fraction of the budget below which periods are shortened again.
const RELAX_BUDGET_FRACTION: f64 = 0.85;

/// Extends the report periods that a shard owner requests from routers while
/// its control traffic exceeds the budget.
#[derive(Clone, Debug)]
pub struct Pacer {
    budget_bytes_per_s: f64,
    period_factor: f64,
    rate_bytes_per_s: f64,
    /// Time in milliseconds and total of bytes of the last sample.
    last_sample: Option<(u64, u64)>,
}

impl Pacer {
    /// Creates a pacer without samples; it does not extend periods yet.
    pub fn new(budget_bytes_per_s: u64) -> Self {
        Self {
            budget_bytes_per_s: budget_bytes_per_s as f64,
            period_factor: 1.0,
            rate_bytes_per_s: 0.0,
            last_sample: None,
        }
    }

    /// Replaces the budget; the measured rate and the period factor stay.
    pub fn set_budget(&mut self, budget_bytes_per_s: u64) {
        self.budget_bytes_per_s = budget_bytes_per_s as f64;
    }

    /// Adds a sample of the total of bytes so far. Call about once per second.
    pub fn sample(&mut self, now_ms: u64, total_bytes: u64) {
        let Some((last_ms, last_bytes)) = self.last_sample.replace((now_ms, total_bytes)) else {
            return;
        };
        let elapsed_s = now_ms.saturating_sub(last_ms).max(1) as f64 / 1_000.0;
        let rate = total_bytes.saturating_sub(last_bytes) as f64 / elapsed_s;
        let rising = rate > self.rate_bytes_per_s;
        let weight = if rising { RISING_RATE_WEIGHT } else { FALLING_RATE_WEIGHT };
        self.rate_bytes_per_s += (rate - self.rate_bytes_per_s) * weight;
        let budget_use = self.rate_bytes_per_s / self.budget_bytes_per_s;
        if !(RELAX_BUDGET_FRACTION..=1.0).contains(&budget_use) {
            self.period_factor = (self.period_factor
                * budget_use.clamp(MIN_FACTOR_STEP, MAX_FACTOR_STEP))
            .clamp(1.0, MAX_PERIOD_FACTOR);
        }
    }

    /// The report period to request instead of `period_ms`.
    pub fn period_ms(&self, period_ms: u64) -> u64 {
        let extended = (period_ms as f64 * self.period_factor) as u64;
        extended.min(MAX_REPORT_PERIOD_MS.max(period_ms))
    }

    /// Whether allocations may be pushed before a router's next report.
    pub fn may_push(&self) -> bool {
        self.rate_bytes_per_s <= self.budget_bytes_per_s * PUSH_BUDGET_FACTOR
    }

    /// Moving average of the control traffic.
    pub fn rate_bytes_per_s(&self) -> u64 {
        self.rate_bytes_per_s as u64
    }
}
