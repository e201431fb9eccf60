//! Counters of calls, which count towards the platform's rates.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Calls made since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Reads, watches among them.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches; each counts as one read however long it waits.
    pub watches: u64,
    /// Calls that ended in an error other than a conflict.
    pub failures: u64,
    /// Calls without an answer in time.
    pub timeouts: u64,
    /// Conditional writes that lost.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) watches: AtomicU64,
    pub(crate) failures: AtomicU64,
    pub(crate) timeouts: AtomicU64,
    pub(crate) conflicts: AtomicU64,
}

pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl Counters {
    pub(crate) fn read(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Relaxed),
            writes: self.writes.load(Relaxed),
            watches: self.watches.load(Relaxed),
            failures: self.failures.load(Relaxed),
            timeouts: self.timeouts.load(Relaxed),
            conflicts: self.conflicts.load(Relaxed),
        }
    }
}
