//! Whether the process has more to do than its processor time allows.

/// Interval of the measurement, in milliseconds.
pub const INTERVAL_MS: u64 = 50;
/// Lateness of a task that is due each interval from which the process is
/// overloaded, in milliseconds. With 60, and refused callers' connections kept,
/// fewer requests were served in time in the one run (docs/results.md).
const LATE_MS: u64 = 30;
/// Longest time for which no connection is accepted, in milliseconds; well
/// within the 3 to 4 s in which a router that is ready has to take one.
const LONGEST_PAUSE_MS: u64 = 500;

/// Lateness of the process with its own work.
///
/// All that waits in a process is served in the order of arrival. If callers
/// send more than it can read, each of them waits until it is too late, also
/// those that could be served. So an overloaded process takes no further
/// connections until it has ended what it began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    due_ms: Option<u64>,
    late_ms: u64,
    accepted_ms: u64,
}

impl Overload {
    /// Notes that the task that is due each interval ran.
    pub fn ran(&mut self, now_ms: u64) {
        self.late_ms = self.due_ms.map_or(0, |due_ms| now_ms.saturating_sub(due_ms));
        self.due_ms = Some(now_ms + INTERVAL_MS);
    }

    /// Whether the process is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.late_ms > LATE_MS
    }

    /// Whether a connection may be accepted now.
    pub fn may_accept(&self, now_ms: u64) -> bool {
        !self.is_overloaded() || now_ms.saturating_sub(self.accepted_ms) >= LONGEST_PAUSE_MS
    }

    /// Notes that a connection was accepted.
    pub fn accepted(&mut self, now_ms: u64) {
        self.accepted_ms = now_ms;
    }
}
