//! Lanes: the groups of requests that go to the same upstreams.

/// Number of tokens from which a prompt is long, per millisecond of the gap between
/// events that callers accept. Its prefill takes a fifth of the gap, and nearly a
/// third with the attention over earlier tokens.
const LONG_PROMPT_TOKENS_PER_GAP_MS: u64 = 25;
/// Factor by which the attention over earlier tokens lengthens the prefill of a
/// long prompt.
const ATTENTION_FACTOR: f64 = 1.4;
/// Fraction of its time that an engine for long prompts may spend on prefill while
/// all slots are in use.
const MAX_PREFILL_TIME_FRACTION: f64 = 0.65;
/// The same while no slot is in use. Prompts then wait less for each other.
const MIN_PREFILL_TIME_FRACTION: f64 = 0.3;
/// Fraction of the slots in use from which [`MAX_PREFILL_TIME_FRACTION`] applies.
const BUSY_IN_USE_FRACTION: f64 = 0.7;
/// Fewest engines of a service with which some are reserved for long prompts.
const MIN_ENGINES_FOR_SPLIT: usize = 4;
/// Time for which fewer engines for long prompts must suffice before their
/// number falls, in milliseconds.
const SHRINK_AFTER_MS: u64 = 5_000;

/// Requests that go to the same upstreams.
///
/// The prefill of a long prompt interrupts all other streams of its engine, so
/// some engines are reserved for long prompts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumCount, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Lane {
    /// Requests without a prompt, or with a short one.
    Short,
    /// Requests with a long prompt.
    Long,
}

/// Split of the engines of a service between long and short prompts.
#[derive(Clone, Copy, Debug)]
pub struct LaneSplit {
    /// Prompt tokens from which a prompt is long.
    long_prompt_tokens: u64,
    /// Engines reserved for long prompts.
    long_engines: usize,
    /// Since when fewer engines for long prompts would suffice.
    fewer_since_ms: Option<u64>,
}

impl Default for LaneSplit {
    fn default() -> Self {
        Self { long_prompt_tokens: u64::MAX, long_engines: 0, fewer_since_ms: None }
    }
}

impl LaneSplit {
    /// Sets the longest gap between events that callers accept, in
    /// milliseconds; none for a service without streams, which has no long
    /// prompts.
    pub fn set_gap_target(&mut self, gap_ms: Option<u64>) {
        self.long_prompt_tokens =
            gap_ms.map_or(u64::MAX, |gap_ms| gap_ms * LONG_PROMPT_TOKENS_PER_GAP_MS);
    }

    /// Whether a prompt with `prefill_tokens` to process is long.
    pub fn is_long(&self, prefill_tokens: u64) -> bool {
        prefill_tokens >= self.long_prompt_tokens
    }

    /// Lane of a request whose upstream has to process `prefill_tokens`.
    pub fn lane(&self, prefill_tokens: u64) -> Lane {
        let is_split = self.long_engines > 0 && self.is_long(prefill_tokens);
        if is_split { Lane::Long } else { Lane::Short }
    }

    /// Number of engines reserved for long prompts.
    pub fn long_engines(&self) -> usize {
        self.long_engines
    }

    /// Sets how many of `engines` are reserved for long prompts, from the tokens
    /// of long prompts that the whole fleet receives per second, those that an engine
    /// processes per millisecond, and the fraction of the engines' slots in use.
    pub fn set_long_prompt_rate(
        &mut self,
        now_ms: u64,
        engines: usize,
        tokens_per_s: u64,
        prefill_tokens_per_ms: f64,
        in_use_fraction: f64,
    ) {
        let prefill_ms = tokens_per_s as f64 / prefill_tokens_per_ms * ATTENTION_FACTOR;
        let busy = (in_use_fraction / BUSY_IN_USE_FRACTION).clamp(0.0, 1.0);
        let prefill_time_fraction = MIN_PREFILL_TIME_FRACTION
            + (MAX_PREFILL_TIME_FRACTION - MIN_PREFILL_TIME_FRACTION) * busy;
        let wanted = (prefill_ms / 1_000.0 / prefill_time_fraction).ceil() as usize;
        let wanted = if engines < MIN_ENGINES_FOR_SPLIT { 0 } else { wanted.min(engines / 2) };
        if wanted < self.long_engines {
            let since_ms = *self.fewer_since_ms.get_or_insert(now_ms);
            if now_ms.saturating_sub(since_ms) < SHRINK_AFTER_MS {
                return;
            }
        }
        self.fewer_since_ms = None;
        self.long_engines = wanted;
    }
}
