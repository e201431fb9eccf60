//! What this router knows of one upstream: load, pauses, failures.

use span_types::UpstreamName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{lane::Lane, placement::PromptPrefix};

/// Weight of the newest pause between two events in the mean pause.
const PAUSE_WEIGHT: f64 = 0.2;
/// Age at which the mean pause says nothing any more, in milliseconds.
const PAUSE_LIFETIME_MS: u64 = 600;
/// Age at which a load report says nothing any more, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 3_000;
/// Failures in a row after which an upstream is avoided.
const FAILURES: u32 = 3;
/// Weight of the newest result in the failure rate is one in this many.
const RATE_WEIGHT: f64 = 8.0;
/// Failure rate above which an upstream is avoided.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Time for which an upstream is avoided at first, and at most, in
/// milliseconds.
const AVOID_MS: (u64, u64) = (500, 4_000);
/// Time for which an upstream that refused a request for lack of room is left
/// alone, in milliseconds; a few batch steps.
const FULL_MS: u64 = 50;
/// Most that an upstream without a recent report is taken to be filled by
/// others, as a part of its slots.
const UNKNOWN_PART: f64 = 0.5;

/// Load that an upstream stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it processes.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it processes at once.
    pub slots: u32,
}

/// How an attempt at an upstream ended, for judging the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptResult {
    /// It answered as it should.
    Good,
    /// It did not answer, or not properly.
    Failed,
    /// It had no room.
    Full,
    /// Another process has its address.
    Replaced,
    /// Nothing can be said.
    Unknown,
}

#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// Hash of its name.
    pub(crate) name_hash: u64,
    pub(crate) slots: u32,
    /// Requests of this router at it.
    pub(crate) sent: u32,
    /// Time of the last report, what it said, and the requests of this router
    /// at that time.
    pub(crate) report: Option<(u64, LoadReport, u32)>,
    pub(crate) failures: u32,
    pub(crate) failure_rate: f64,
    pub(crate) avoid_ms: u64,
    pub(crate) avoid_until_ms: u64,
    /// A request tries whether it works again.
    pub(crate) probing: bool,
    pub(crate) full_until_ms: u64,
    /// Another process has its address.
    pub(crate) replaced: bool,
    /// Kept for long prompts.
    pub(crate) lane: Lane,
    /// Whether this router sends requests to it.
    pub(crate) mine: bool,
    /// Prompt tokens that this router sent and that the engine has not
    /// answered yet.
    pub(crate) reading_tokens: u64,
    /// Mean pause between events, and when it was last observed.
    pub(crate) pause: Option<(f64, u64)>,
}

impl UpstreamState {
    pub(crate) fn new(name: &UpstreamName, slots: u32) -> Self {
        Self {
            name_hash: xxh3_64(name.as_str().as_bytes()),
            slots,
            sent: 0,
            report: None,
            failures: 0,
            failure_rate: 0.0,
            avoid_ms: 0,
            avoid_until_ms: 0,
            probing: false,
            full_until_ms: 0,
            replaced: false,
            lane: Lane::Short,
            mine: true,
            reading_tokens: 0,
            pause: None,
        }
    }

    /// Requests at the upstream from the whole fleet.
    pub(crate) fn total(&self, now_ms: u64, routers: usize) -> f64 {
        let own = f64::from(self.sent);
        let fresh =
            self.report.filter(|(at_ms, _, _)| now_ms.saturating_sub(*at_ms) < REPORT_LIFETIME_MS);
        let Some((_, report, sent)) = fresh else {
            // As many from each other router, but a single request of this one
            // says nothing about a large fleet.
            let others = own * (routers - 1) as f64;
            return own + others.min(f64::from(self.slots) * UNKNOWN_PART);
        };
        let reported = f64::from(report.running + report.waiting);
        (reported + own - f64::from(sent)).max(own)
    }

    pub(crate) fn pause_ms(&self, now_ms: u64) -> f64 {
        let recent =
            self.pause.filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < PAUSE_LIFETIME_MS);
        recent.map_or(0.0, |(mean, _)| mean)
    }

    pub(crate) fn hash(&self, prefix: PromptPrefix) -> u64 {
        xxh3_64_with_seed(&prefix.hash.to_le_bytes(), self.name_hash)
    }

    pub(crate) fn may_use(&self, now_ms: u64) -> bool {
        self.mine && self.is_sound(now_ms)
    }

    pub(crate) fn is_sound(&self, now_ms: u64) -> bool {
        !self.replaced
            && now_ms >= self.full_until_ms
            && now_ms >= self.avoid_until_ms
            && !self.probing
    }

    /// Takes the pause between two events of a stream, in milliseconds.
    pub(crate) fn event(&mut self, now_ms: u64, pause_ms: u64) {
        let mean = self.pause.map_or(pause_ms as f64, |(mean, _)| mean);
        self.pause = Some((mean + (pause_ms as f64 - mean) * PAUSE_WEIGHT, now_ms));
    }

    /// Judges the upstream by the end of an attempt. Returns whether it is
    /// avoided from now on.
    pub(crate) fn judge(&mut self, now_ms: u64, result: AttemptResult) -> bool {
        self.probing = false;
        match result {
            AttemptResult::Good => {
                self.failures = 0;
                self.failure_rate -= self.failure_rate / RATE_WEIGHT;
                if self.failure_rate < MAX_FAILURE_RATE / 2.0 {
                    self.avoid_ms = 0;
                }
                false
            }
            AttemptResult::Failed => {
                self.failures += 1;
                self.failure_rate += (1.0 - self.failure_rate) / RATE_WEIGHT;
                let avoid = self.failures >= FAILURES || self.failure_rate > MAX_FAILURE_RATE;
                if avoid {
                    self.avoid_ms = (self.avoid_ms * 2).clamp(AVOID_MS.0, AVOID_MS.1);
                    self.avoid_until_ms = now_ms + self.avoid_ms;
                }
                avoid
            }
            AttemptResult::Full => {
                let report = LoadReport { running: self.slots, waiting: 1, slots: self.slots };
                self.report = Some((now_ms, report, self.sent));
                self.full_until_ms = now_ms + FULL_MS;
                false
            }
            AttemptResult::Replaced => {
                self.replaced = true;
                true
            }
            AttemptResult::Unknown => false,
        }
    }
}
