//! Counters of calls. The platform limits the rate of calls.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Number of calls since the client was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Reads, including watches.
    pub reads: u64,
    /// Writes, including removals.
    pub writes: u64,
    /// Watches. Each is also counted as one read, however long it waits.
    pub watches: u64,
    /// Calls that got no complete response, including timeouts.
    pub failures: u64,
    /// Calls that ran into the timeout.
    pub timeouts: u64,
    /// Conditional writes whose condition did not hold.
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
    pub(crate) fn snapshot(&self) -> CallCounts {
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
