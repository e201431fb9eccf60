//! Keeps the control traffic of a router within its budget.

/// Longest period that pacing extends a report period to, in milliseconds. An
/// allocation is valid for 5 s, so two reports in a row have to get lost before
/// a router may not dispatch.
const MAX_PERIOD_MS: u64 = 2_000;
/// Largest factor by which report periods are extended; the shortest is 250 ms.
const MAX_FACTOR: f64 = 8.0;
/// Weight of the newest sample in the mean rate, by whether it is above the
/// mean. When load sets in, traffic exceeds the budget until the periods have
/// followed; a drop may be an accident of a second.
const RISING_WEIGHT: f64 = 0.8;
const FALLING_WEIGHT: f64 = 0.5;
/// Limits of one step of the factor.
const MIN_STEP: f64 = 0.9;
const MAX_STEP: f64 = 2.5;
/// Part of the budget above which allocations are not pushed. Pushes spread
/// what the owner knows already; the rest is left to reports, which tell it
/// more.
const PUSH_PART: f64 = 1.5;
/// Rate, as a part of the budget, below which periods are shortened again.
const RELAXED: f64 = 0.85;

/// Extends the report periods that a shard owner asks for while its traffic
/// exceeds the budget.
#[derive(Clone, Debug)]
pub struct Pacer {
    budget_bytes_per_s: f64,
    factor: f64,
    rate_bytes_per_s: f64,
    last: Option<(u64, u64)>,
}

impl Pacer {
    /// Makes a pacer for a budget in bytes per second.
    pub fn new(budget_bytes_per_s: u64) -> Self {
        Self {
            budget_bytes_per_s: budget_bytes_per_s as f64,
            factor: 1.0,
            rate_bytes_per_s: 0.0,
            last: None,
        }
    }

    /// Replaces the budget, in bytes per second.
    pub fn set_budget(&mut self, budget_bytes_per_s: u64) {
        self.budget_bytes_per_s = budget_bytes_per_s as f64;
    }

    /// Takes the total of bytes so far. Call about once per second.
    pub fn sample(&mut self, now_ms: u64, total_bytes: u64) {
        let Some((last_ms, last_bytes)) = self.last.replace((now_ms, total_bytes)) else {
            return;
        };
        let elapsed_s = now_ms.saturating_sub(last_ms).max(1) as f64 / 1_000.0;
        let rate = total_bytes.saturating_sub(last_bytes) as f64 / elapsed_s;
        let rising = rate > self.rate_bytes_per_s;
        let weight = if rising { RISING_WEIGHT } else { FALLING_WEIGHT };
        self.rate_bytes_per_s += (rate - self.rate_bytes_per_s) * weight;
        let load = self.rate_bytes_per_s / self.budget_bytes_per_s;
        if !(RELAXED..=1.0).contains(&load) {
            self.factor = (self.factor * load.clamp(MIN_STEP, MAX_STEP)).clamp(1.0, MAX_FACTOR);
        }
    }

    /// The report period to ask for instead of `period_ms`.
    pub fn period_ms(&self, period_ms: u64) -> u64 {
        let extended = (period_ms as f64 * self.factor) as u64;
        extended.min(MAX_PERIOD_MS.max(period_ms))
    }

    /// Whether messages that only save waiting within a period may be sent.
    pub fn may_push(&self) -> bool {
        self.rate_bytes_per_s <= self.budget_bytes_per_s * PUSH_PART
    }

    /// Mean traffic, in bytes per second.
    pub fn rate_bytes_per_s(&self) -> u64 {
        self.rate_bytes_per_s as u64
    }
}
