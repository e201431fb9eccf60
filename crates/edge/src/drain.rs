//! Until when a process that was told to stop takes connections, starts requests and waits for
//! answers.
//!
//! A request is started only if its answer is due before the process ends. Streams are started for
//! a while longer: their time limits are many times the time that they usually take.

/// Longest time for which connections are accepted, in milliseconds. Callers use an answer of the
/// directory for up to three of its lifetimes.
const MAX_ACCEPT_MS: u64 = 6_000;
/// The same as a fraction of the grace period.
const MAX_ACCEPT_FRACTION: f64 = 0.75;
/// Longest time for which streams are started whatever their time limit, in milliseconds.
const MAX_START_STREAMS_MS: u64 = 2_500;
/// The same as a fraction of the grace period.
const MAX_START_STREAMS_FRACTION: f64 = 0.3125;
/// Time before the end of the grace period at which the process ends, in milliseconds.
const END_MARGIN_MS: u64 = 150;
/// Time before that at which open requests are answered with an error, in milliseconds. A process
/// with a part of a core needs some of it to write the answers.
const ANSWER_MARGIN_MS: u64 = 250;

/// The steps of a planned stop, in milliseconds of the process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainPlan {
    /// When the process was told to stop.
    pub begin_ms: u64,
    /// When the last connections are accepted.
    pub accept_until_ms: u64,
    /// Until when streams are started whatever their time limit.
    pub start_streams_until_ms: u64,
    /// When requests that are still open are answered with an error.
    pub answer_by_ms: u64,
    /// When the process ends, whatever is open.
    pub end_ms: u64,
}

impl DrainPlan {
    /// The steps of a stop of which the process was told at `begin_ms`, with `grace_ms` from then
    /// until it is killed.
    pub fn new(begin_ms: u64, grace_ms: u64) -> Self {
        let fraction_ms = |fraction: f64| (grace_ms as f64 * fraction) as u64;
        let end_ms = begin_ms + grace_ms.saturating_sub(END_MARGIN_MS);
        let answer_by_ms = end_ms.saturating_sub(ANSWER_MARGIN_MS).max(begin_ms);
        let accept_ms = fraction_ms(MAX_ACCEPT_FRACTION).min(MAX_ACCEPT_MS);
        let start_streams_ms = fraction_ms(MAX_START_STREAMS_FRACTION).min(MAX_START_STREAMS_MS);
        Self {
            begin_ms,
            accept_until_ms: (begin_ms + accept_ms).min(answer_by_ms),
            start_streams_until_ms: begin_ms + start_streams_ms,
            answer_by_ms,
            end_ms,
        }
    }

    /// Whether a request may start whose time limit ends at `deadline_ms`.
    pub fn may_start(&self, now_ms: u64, deadline_ms: u64, is_stream: bool) -> bool {
        deadline_ms <= self.answer_by_ms || (is_stream && now_ms <= self.start_streams_until_ms)
    }
}
