//! The fleet's bound on repeated sends.

use std::collections::VecDeque;

/// Part of the allowance that is used; the rest covers windows that are cut
/// differently by whoever counts.
const USED_PART: f64 = 0.75;
/// Intervals into which the window is divided.
const INTERVALS: u64 = 20;

/// Bound on repeated sends to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeated sends per request.
    pub ratio: f64,
    /// Repeated sends per window beyond the ratio, for the whole fleet.
    pub slack: u64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Repeated sends to one service by this router.
///
/// The bound holds for all routers together. Each router spends from what its
/// own requests earned and from its part of the slack. A process that starts
/// does not know what its predecessor spent, so it has no slack for the first
/// window.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    started_ms: u64,
    /// Start of each interval, with its requests and repeated sends.
    intervals: VecDeque<(u64, u64, u64)>,
}

impl RetryBudget {
    /// An empty budget of a process that started at `started_ms`.
    pub fn new(allowance: Allowance, started_ms: u64) -> Self {
        Self { allowance, started_ms, intervals: VecDeque::new() }
    }

    /// Sets the bound anew; what was spent still counts.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Counts a request that a caller sent.
    pub fn earn(&mut self, now_ms: u64) {
        self.interval(now_ms).1 += 1;
    }

    /// Takes one repeated send, if the bound allows it; `routers` is the
    /// number of routers that may be sending.
    pub fn spend(&mut self, now_ms: u64, routers: usize) -> bool {
        self.interval(now_ms);
        let requests: u64 = self.intervals.iter().map(|(_, requests, _)| requests).sum();
        let spent: u64 = self.intervals.iter().map(|(_, _, spent)| spent).sum();
        let settled = now_ms.saturating_sub(self.started_ms) >= self.allowance.window_ms;
        let slack = if settled { self.allowance.slack as f64 / routers.max(1) as f64 } else { 0.0 };
        let allowed = USED_PART * (self.allowance.ratio * requests as f64 + slack);
        if (spent + 1) as f64 > allowed {
            return false;
        }
        self.interval(now_ms).2 += 1;
        true
    }

    fn interval(&mut self, now_ms: u64) -> &mut (u64, u64, u64) {
        let length_ms = (self.allowance.window_ms / INTERVALS).max(1);
        let start_ms = now_ms / length_ms * length_ms;
        let oldest_ms = now_ms.saturating_sub(self.allowance.window_ms);
        while self.intervals.front().is_some_and(|(start_ms, _, _)| *start_ms < oldest_ms) {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|(last_ms, _, _)| *last_ms < start_ms) {
            self.intervals.push_back((start_ms, 0, 0));
        }
        self.intervals.back_mut().expect("an interval was pushed")
    }
}
