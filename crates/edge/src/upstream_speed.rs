//! How fast the upstreams of a service work, from what they state and what attempts show.
//!
//! The speed of one upstream is its slowness: how long work takes there compared to a
//! typical upstream of its service. What a unit of work takes at a typical one is estimated
//! for the whole service. The design is described in `docs/design/upstream-speed.md`.

/// Weight of the newest observation in the mean of a series that has many, and of the newest
/// stated work time: several of those come each second, and what slows a machine down for
/// half a second must not move the mean much.
const NEWEST_OBSERVED_WEIGHT: f64 = 0.1;
const NEWEST_STATED_WEIGHT: f64 = 0.03;
/// Largest factor between an observation and the mean that counts in full. A single odd
/// observation thus moves the mean by a tenth of it at most.
const MAX_OBSERVED_FACTOR: f64 = 2.5;
/// Observations that the typical upstream of the service counts for. An upstream that has
/// just started is taken for a typical one.
const PRIOR_OBSERVATIONS: f64 = 8.0;
/// Observations that a stated work time counts for: it does not depend on the request.
const STATED_OBSERVATIONS: f64 = 3.0;
/// Most observations that a series counts for.
const MAX_OBSERVATIONS: u32 = 40;
/// Lasting slowness from which an upstream counts as slow, and up to which a slow one counts
/// as usual again. In between it stays what it is, so that what depends on it does not flap.
const SLOW_FROM: f64 = 1.6;
const USUAL_UP_TO: f64 = 1.2;
/// Time after which observations count for a third, in milliseconds.
const OBSERVATION_LIFETIME_MS: f64 = 20_000.0;
/// Smallest factor between an upstream and a typical one that matters. Differences below are
/// mostly due to what requests happened to ask for.
const MIN_FACTOR: f64 = 1.1;
/// Bounds of the slowness, as a factor in both directions.
const MAX_SLOWNESS: f64 = 4.0;
/// Weight of the last stated work time against what lasts, and the time after which it counts
/// for a third, in milliseconds. Other work on the machine comes and goes many times a second.
const PASSING_WEIGHT: f64 = 0.7;
const STATED_LIFETIME_MS: f64 = 400.0;
/// Shortest time between two stated work times that count, in milliseconds. Routers tell each
/// other of the same statement with ages that differ by the time on the way.
const MIN_STATED_INTERVAL_MS: u64 = 50;

/// Prompt tokens that an engine is taken to process per millisecond before prompts have
/// shown it.
const UNKNOWN_PREFILL_TOKENS_PER_MS: f64 = 125.0;
/// Bounds of the measured time per prompt token, as a factor of the unknown one in both
/// directions.
const MAX_PREFILL_FACTOR: f64 = 4.0;
/// Time that a plain request is taken to take before any has ended, in milliseconds.
const UNKNOWN_ANSWER_MS: f64 = 15.0;
/// Size up to which a prompt shows what any prompt takes, and from which it shows what
/// each token takes, in tokens.
const MAX_SMALL_PROMPT_TOKENS: u64 = 500;
const MIN_LARGE_PROMPT_TOKENS: u64 = 2_000;
/// Quantile of the observed times that shows the time without a wait for other prompts.
const UNDISTURBED_QUANTILE: f64 = 0.1;
/// Step of the quantile with each observation, as a natural logarithm.
const QUANTILE_STEP: f64 = 0.05;

/// Mean of the logarithms of a series of positive numbers, robust against single ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LogMean {
    mean: f64,
    /// Mean absolute deviation.
    spread: f64,
    count: u32,
    updated_ms: u64,
}

impl LogMean {
    fn add(&mut self, now_ms: u64, value: f64, newest_weight: f64) {
        let newest = value.max(f64::MIN_POSITIVE).ln();
        if self.count == 0 {
            self.mean = newest;
        }
        let limit = MAX_OBSERVED_FACTOR.ln();
        let deviation = (newest - self.mean).clamp(-limit, limit);
        let weight = (1.0 / f64::from(self.count + 1)).max(newest_weight);
        self.mean += deviation * weight;
        self.spread += (deviation.abs() - self.spread) * weight;
        self.count = self.count.saturating_add(1);
        self.updated_ms = now_ms;
    }

    /// Number of observations, fewer as they age.
    fn weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let count = f64::from(self.count.min(MAX_OBSERVATIONS));
        count * (-age_ms / OBSERVATION_LIFETIME_MS).exp()
    }
}

/// What is known of the speed of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSpeed {
    /// Work times that the upstream stated, as a fraction of the usual one.
    stated: LogMean,
    /// Logarithm of the last one, and when it was stated.
    last_stated: Option<(f64, u64)>,
    /// Gaps between events, or times of plain answers, without the effect of load, in
    /// milliseconds.
    observed: LogMean,
}

impl UpstreamSpeed {
    /// Records how long the upstream stated at `at_ms` that work takes, as a percentage of
    /// the usual time.
    pub fn record_stated(&mut self, at_ms: u64, work_time_percent: u16) {
        let is_new =
            self.last_stated.is_none_or(|(_, last_ms)| at_ms >= last_ms + MIN_STATED_INTERVAL_MS);
        if work_time_percent == 0 || !is_new {
            return;
        }
        let fraction = f64::from(work_time_percent) / 100.0;
        self.stated.add(at_ms, fraction, NEWEST_STATED_WEIGHT);
        self.last_stated = Some((fraction.ln(), at_ms));
    }

    /// Records a gap between two events, or the time of a plain answer. `in_use` is the
    /// load of the upstream as a fraction of its slots.
    pub fn record_observed(&mut self, now_ms: u64, took_ms: u64, in_use: f64) {
        // Beyond the slots, requests wait for each other: a full upstream is not slow.
        let took_ms = took_ms.max(1) as f64 / in_use.max(1.0);
        self.observed.add(now_ms, took_ms, NEWEST_OBSERVED_WEIGHT);
    }
}

/// How fast an upstream is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// How long work takes now, compared to a typical upstream of the service: 2 for twice
    /// as long.
    pub slowness: f64,
    /// The same over several seconds, without what passes.
    pub lasting: f64,
    /// Mean relative deviation of the observations from each other.
    pub spread: f64,
    /// Age of the newest observation, in milliseconds; none without one.
    pub age_ms: Option<u64>,
}

impl SpeedEstimate {
    /// An upstream of which nothing is known.
    pub const UNKNOWN: Self = Self { slowness: 1.0, lasting: 1.0, spread: 0.0, age_ms: None };

    /// Whether an upstream counts as slow, if it did or did not before.
    pub fn is_slow(&self, was_slow: bool) -> bool {
        self.lasting > if was_slow { USUAL_UP_TO } else { SLOW_FROM }
    }
}

/// The typical upstream of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalSpeed {
    stated: Option<f64>,
    observed: Option<f64>,
}

impl TypicalSpeed {
    /// The median of the upstreams of a service, for those of its `peers` that get similar
    /// requests.
    pub fn of<'a>(
        service: impl Iterator<Item = &'a UpstreamSpeed>,
        peers: impl Iterator<Item = &'a UpstreamSpeed>,
    ) -> Self {
        Self {
            stated: median(service.map(|speed| &speed.stated)),
            observed: median(peers.map(|speed| &speed.observed)),
        }
    }

    /// Time of a typical plain answer, in milliseconds.
    pub fn answer_ms(&self) -> f64 {
        self.observed.map_or(UNKNOWN_ANSWER_MS, f64::exp)
    }

    /// How fast an upstream is compared to this one.
    pub fn estimate(&self, now_ms: u64, speed: &UpstreamSpeed) -> SpeedEstimate {
        let mut weights = 0.0;
        let mut sum = 0.0;
        let mut spread = 0.0;
        for (series, typical, unit) in
            [(speed.stated, self.stated, STATED_OBSERVATIONS), (speed.observed, self.observed, 1.0)]
        {
            if let Some(typical) = typical {
                let weight = series.weight(now_ms) * unit;
                weights += weight;
                sum += (series.mean - typical) * weight;
                spread += series.spread * weight;
            }
        }
        if weights <= 0.0 {
            return SpeedEstimate::UNKNOWN;
        }
        let lasting = sum / (weights + PRIOR_OBSERVATIONS);
        let ignored = MIN_FACTOR.ln();
        let lasting = lasting.signum() * (lasting.abs() - ignored).max(0.0);
        let slowness = match (speed.last_stated, self.stated) {
            (Some((stated, at_ms)), Some(typical)) => {
                let age_ms = now_ms.saturating_sub(at_ms) as f64;
                let weight = PASSING_WEIGHT * (-age_ms / STATED_LIFETIME_MS).exp();
                let limit = MAX_OBSERVED_FACTOR.ln();
                let passing = (stated - typical - lasting).clamp(-limit, limit);
                lasting + passing * weight
            }
            _ => lasting,
        };
        let bound = MAX_SLOWNESS.ln();
        let updated_ms = speed.stated.updated_ms.max(speed.observed.updated_ms);
        SpeedEstimate {
            slowness: slowness.clamp(-bound, bound).exp(),
            lasting: lasting.clamp(-bound, bound).exp(),
            spread: (spread / weights).exp() - 1.0,
            age_ms: Some(now_ms.saturating_sub(updated_ms)),
        }
    }
}

/// Median of the means of series with observations.
fn median<'a>(series: impl Iterator<Item = &'a LogMean>) -> Option<f64> {
    let known = series.filter(|series| series.count > 0);
    let mut values: Vec<f64> = known.map(|series| series.mean).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// A low quantile of a series of positive numbers, as a logarithm.
#[derive(Clone, Copy, Debug)]
struct Undisturbed(f64);

impl Undisturbed {
    fn add(&mut self, value: f64) {
        let is_above = value.max(f64::MIN_POSITIVE).ln() > self.0;
        self.0 += QUANTILE_STEP
            * if is_above { UNDISTURBED_QUANTILE } else { UNDISTURBED_QUANTILE - 1.0 };
    }
}

/// How fast a typical engine of a service processes prompts, from the times to the first
/// event.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSpeed {
    /// Time that any prompt takes, in milliseconds.
    fixed_ms: Undisturbed,
    /// Time that each token takes, in milliseconds.
    per_token_ms: Undisturbed,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            fixed_ms: Undisturbed(0.0),
            per_token_ms: Undisturbed(-UNKNOWN_PREFILL_TOKENS_PER_MS.ln()),
        }
    }
}

impl PrefillSpeed {
    /// Records that the first event of a prompt with `tokens` to process took `took_ms` at
    /// an upstream of the given slowness.
    pub fn record(&mut self, tokens: u64, took_ms: u64, slowness: f64) {
        let took_ms = took_ms as f64 / slowness;
        if tokens <= MAX_SMALL_PROMPT_TOKENS {
            self.fixed_ms.add(took_ms);
        } else if tokens >= MIN_LARGE_PROMPT_TOKENS {
            let reading_ms = (took_ms - self.fixed_ms.0.exp()).max(0.0);
            self.per_token_ms.add(reading_ms / tokens as f64);
            let (unknown, bound) = (-UNKNOWN_PREFILL_TOKENS_PER_MS.ln(), MAX_PREFILL_FACTOR.ln());
            self.per_token_ms.0 = self.per_token_ms.0.clamp(unknown - bound, unknown + bound);
        }
    }

    /// Prompt tokens that a typical engine processes per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        (-self.per_token_ms.0).exp()
    }
}
