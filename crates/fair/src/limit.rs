//! Concurrency limit of an upstream, learned from its lagging load reports.

use crate::{LoadReport, ShardUpstream};

/// Requests that may wait at an upstream. One hides the time from the end of a
/// request until the next one arrives, in which the upstream would be idle.
const QUEUE_TARGET: u32 = 1;
/// Consecutive reports with a longer queue that lower the limit.
const QUEUED_REPORTS: u32 = 2;

/// The limit of one upstream. It stays within 1 and the configured ceiling, and
/// is 0 for an upstream that is leaving.
#[derive(Clone, Debug)]
pub(crate) struct LearnedLimit {
    ceiling: u32,
    leaving: bool,
    limit: u32,
    queued_reports: u32,
    changed_ms: u64,
}

impl LearnedLimit {
    pub(crate) fn new(upstream: &ShardUpstream) -> Self {
        Self {
            ceiling: upstream.max_concurrency,
            leaving: upstream.leaving,
            limit: upstream.max_concurrency,
            queued_reports: 0,
            changed_ms: 0,
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

    pub(crate) fn slots(&self) -> u32 {
        if self.leaving { 0 } else { self.limit }
    }

    /// Whether load reports have lowered the limit below the ceiling.
    pub(crate) fn is_reduced(&self) -> bool {
        self.limit < self.ceiling
    }

    /// Takes a load report. A report about a time before the last change says
    /// nothing about the present limit and is ignored.
    pub(crate) fn load(&mut self, now_ms: u64, report: &LoadReport) {
        let observed_ms = now_ms.saturating_sub(report.age_ms);
        if self.changed_ms > 0 && observed_ms <= self.changed_ms {
            return;
        }
        let before = self.limit;
        if report.waiting > QUEUE_TARGET {
            self.queued_reports += 1;
            if self.queued_reports >= QUEUED_REPORTS {
                let excess = report.waiting - QUEUE_TARGET;
                self.limit = self.limit.saturating_sub(excess).max(1).min(self.ceiling);
                self.queued_reports = 0;
            }
        } else {
            self.queued_reports = 0;
            if report.waiting == 0 && report.running >= self.limit {
                self.limit = (self.limit + 1).min(self.ceiling);
            }
        }
        if self.limit != before {
            self.changed_ms = now_ms;
        }
    }
}
