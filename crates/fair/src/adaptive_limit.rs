//! Adaptive concurrency limit of an upstream, learned from its delayed load
//! reports.

use crate::{LoadReport, ShardUpstream};

/// Requests that may be queued at an upstream. Without one, the upstream is
/// idle from the end of a request until the next one arrives.
const TARGET_QUEUED_REQUESTS: u32 = 1;
/// Consecutive reports of a longer queue that reduce the limit.
const REPORTS_BEFORE_REDUCTION: u32 = 2;

/// Concurrency limit of one upstream. It stays between 1 and the configured
/// ceiling; the effective limit of an upstream that is leaving is 0.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    ceiling: u32,
    leaving: bool,
    limit: u32,
    long_queue_reports: u32,
    last_change_ms: u64,
}

impl AdaptiveLimit {
    pub(crate) fn new(upstream: &ShardUpstream) -> Self {
        Self {
            ceiling: upstream.max_concurrency,
            leaving: upstream.leaving,
            limit: upstream.max_concurrency,
            long_queue_reports: 0,
            last_change_ms: 0,
        }
    }

    pub(crate) fn configure(&mut self, upstream: &ShardUpstream) {
        if self.limit == self.ceiling {
            self.limit = upstream.max_concurrency;
        }
        self.ceiling = upstream.max_concurrency;
        self.leaving = upstream.leaving;
        self.limit = self.limit.min(self.ceiling);
    }

    pub(crate) fn effective_limit(&self) -> u32 {
        if self.leaving { 0 } else { self.limit }
    }

    /// Whether load reports have reduced the limit below the ceiling.
    pub(crate) fn is_reduced(&self) -> bool {
        self.limit < self.ceiling
    }

    /// Adjusts the limit to a load report. A report of a state before the last
    /// change does not show the effect of the present limit and is ignored.
    pub(crate) fn apply_load_report(&mut self, now_ms: u64, report: &LoadReport) {
        let observed_ms = now_ms.saturating_sub(report.age_ms);
        if self.last_change_ms > 0 && observed_ms <= self.last_change_ms {
            return;
        }
        let before = self.limit;
        if report.waiting > TARGET_QUEUED_REQUESTS {
            self.long_queue_reports += 1;
            if self.long_queue_reports >= REPORTS_BEFORE_REDUCTION {
                let excess = report.waiting - TARGET_QUEUED_REQUESTS;
                self.limit = self.limit.saturating_sub(excess).max(1).min(self.ceiling);
                self.long_queue_reports = 0;
            }
        } else {
            self.long_queue_reports = 0;
            if report.waiting == 0 && report.running >= self.limit {
                self.limit = (self.limit + 1).min(self.ceiling);
            }
        }
        if self.limit != before {
            self.last_change_ms = now_ms;
        }
    }
}
