//! Detects that the process has more work than its processor time allows.

/// Interval of the periodic task whose delay is measured, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 50;
/// Delay of the periodic task above which the process is overloaded, in
/// milliseconds. With 60 ms, and the connections of rejected callers kept open,
/// fewer requests were served in time.
const MAX_TICK_DELAY_MS: u64 = 30;
/// Longest time for which no connection is accepted, in milliseconds. A ready
/// router has to accept one within 3 to 4 s.
const MAX_ACCEPT_PAUSE_MS: u64 = 500;

/// Overload of the process, measured by the delay of a periodic task.
///
/// The runtime handles events in the order of arrival. If callers send more than
/// the process can read, each request waits until it is too late, even those that
/// could have been served in time. So an overloaded process accepts no further
/// connections until it has caught up.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadDetector {
    next_tick_ms: Option<u64>,
    tick_delay_ms: u64,
    last_accept_ms: u64,
}

impl OverloadDetector {
    /// Records a run of the periodic task, which is due every
    /// [`TICK_INTERVAL_MS`].
    pub fn record_tick(&mut self, now_ms: u64) {
        self.tick_delay_ms = self.next_tick_ms.map_or(0, |due_ms| now_ms.saturating_sub(due_ms));
        self.next_tick_ms = Some(now_ms + TICK_INTERVAL_MS);
    }

    /// Delay of the last run of the periodic task, in milliseconds.
    pub fn tick_delay_ms(&self) -> u64 {
        self.tick_delay_ms
    }

    /// Whether the process is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.tick_delay_ms > MAX_TICK_DELAY_MS
    }

    /// Whether a connection may be accepted now.
    pub fn may_accept(&self, now_ms: u64) -> bool {
        !self.is_overloaded() || now_ms.saturating_sub(self.last_accept_ms) >= MAX_ACCEPT_PAUSE_MS
    }

    /// Records that a connection was accepted.
    pub fn record_accept(&mut self, now_ms: u64) {
        self.last_accept_ms = now_ms;
    }
}
