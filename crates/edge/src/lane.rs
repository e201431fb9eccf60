//! Which requests go to the same upstreams.

/// Prompt tokens that a model engine reads in a millisecond, as the users
/// state it for their engines.
pub(crate) const PROMPT_TOKENS_PER_MS: f64 = 125.0;
/// Tokens for each millisecond of the accepted pause from which a prompt is
/// long: reading it takes a fifth of the pause, and with the attention over
/// what was read before nearly a third.
const LONG_TOKENS_PER_MS: u64 = 25;
/// Time that the attention over earlier tokens adds to reading a long prompt.
const ATTENTION_FACTOR: f64 = 1.4;
/// Part of its time that an engine for long prompts may spend on reading.
const READING_PART: f64 = 0.65;
/// Fewest engines of which some are kept for long prompts.
const MIN_SEPARATED: usize = 4;
/// Time for which fewer engines for long prompts have to suffice before their
/// number falls, in milliseconds.
const SHRINK_AFTER_MS: u64 = 5_000;

/// Requests that go to the same upstreams.
///
/// An engine that reads a long prompt makes every stream beside it pause, so
/// some engines are kept for long prompts, and the streams elsewhere flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumCount, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Lane {
    /// Requests without a prompt, or with one that is read quickly.
    Short,
    /// Requests whose prompt takes long to read.
    Long,
}

/// Division of the engines of a service between long and short prompts.
#[derive(Clone, Copy, Debug)]
pub struct Division {
    /// Prompt tokens from which a prompt is long.
    long_tokens: u64,
    /// Engines kept for long prompts, and since when fewer would suffice.
    long_engines: usize,
    fewer_since_ms: Option<u64>,
}

impl Default for Division {
    fn default() -> Self {
        Self { long_tokens: u64::MAX, long_engines: 0, fewer_since_ms: None }
    }
}

impl Division {
    /// Sets the longest pause between events that callers accept, in
    /// milliseconds; none for a service without streams.
    pub fn set_gap_target(&mut self, gap_ms: Option<u64>) {
        self.long_tokens = gap_ms.map_or(u64::MAX, |gap_ms| gap_ms * LONG_TOKENS_PER_MS);
    }

    /// Whether a prompt is long.
    pub fn is_long(&self, unread_tokens: u64) -> bool {
        unread_tokens >= self.long_tokens
    }

    /// The lane of a request whose upstream has to read `unread_tokens`.
    pub fn lane(&self, unread_tokens: u64) -> Lane {
        let separated = self.long_engines > 0 && self.is_long(unread_tokens);
        if separated { Lane::Long } else { Lane::Short }
    }

    /// Engines kept for long prompts.
    pub fn long_engines(&self) -> usize {
        self.long_engines
    }

    /// Sets how many of `engines` are kept for long prompts, from the tokens
    /// of long prompts that the whole fleet receives per second.
    pub fn set_load(&mut self, now_ms: u64, engines: usize, tokens_per_s: u64) {
        let reading_ms = tokens_per_s as f64 / PROMPT_TOKENS_PER_MS * ATTENTION_FACTOR;
        let wanted = (reading_ms / 1_000.0 / READING_PART).ceil() as usize;
        let wanted = if engines < MIN_SEPARATED { 0 } else { wanted.min(engines / 2) };
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
