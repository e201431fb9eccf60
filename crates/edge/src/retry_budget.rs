//! The fleet's limit on retries.

use std::collections::VecDeque;

/// Fraction of the limit that is used. The rest allows for observers whose
/// windows begin at other times.
const USED_LIMIT_FRACTION: f64 = 0.75;
/// Intervals into which the window is divided.
const INTERVALS_PER_WINDOW: u64 = 20;

/// Limit on the retries to one service by the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window beyond the ratio.
    pub slack: u64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Retries to one service that this router may make.
///
/// The limit holds for all routers together. Each router may use what its own
/// requests add, and an equal fraction of the slack. A new process does not know
/// how many retries its predecessor made, so it has no slack for the first
/// window.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    started_ms: u64,
    /// Start of each interval, with its requests and retries.
    intervals: VecDeque<(u64, u64, u64)>,
}

impl RetryBudget {
    /// Creates the empty budget of a process that started at `started_ms`.
    pub fn new(limit: RetryLimit, started_ms: u64) -> Self {
        Self { limit, started_ms, intervals: VecDeque::new() }
    }

    /// Changes the limit. Earlier retries still count.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.interval(now_ms).1 += 1;
    }

    /// Takes one retry from the budget, if the limit allows it. `routers` is the
    /// number of routers that may be sending.
    pub fn try_retry(&mut self, now_ms: u64, routers: usize) -> bool {
        self.interval(now_ms);
        let requests: u64 = self.intervals.iter().map(|(_, requests, _)| requests).sum();
        let retries: u64 = self.intervals.iter().map(|(_, _, retries)| retries).sum();
        let has_slack = now_ms.saturating_sub(self.started_ms) >= self.limit.window_ms;
        let slack = if has_slack { self.limit.slack as f64 / routers.max(1) as f64 } else { 0.0 };
        let allowed = USED_LIMIT_FRACTION * (self.limit.ratio * requests as f64 + slack);
        if (retries + 1) as f64 > allowed {
            return false;
        }
        self.interval(now_ms).2 += 1;
        true
    }

    /// The current interval. Removes those that have left the window.
    fn interval(&mut self, now_ms: u64) -> &mut (u64, u64, u64) {
        let length_ms = (self.limit.window_ms / INTERVALS_PER_WINDOW).max(1);
        let start_ms = now_ms / length_ms * length_ms;
        let oldest_ms = now_ms.saturating_sub(self.limit.window_ms);
        while self.intervals.front().is_some_and(|(start_ms, _, _)| *start_ms < oldest_ms) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|(last_ms, _, _)| *last_ms < start_ms) {
            self.intervals.push_back((start_ms, 0, 0));
        }
        self.intervals.back_mut().expect("an interval was pushed")
    }
}
