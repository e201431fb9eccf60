//! Detects that the process has more work than its processor time allows.
//!
//! A periodic task that runs late does not tell whether work was queued before it or the process
//! stood still: one with a part of a core gets it in slices. So the process is overloaded only if
//! the queue of its runtime stays long while it runs. The design is in
//! `docs/design/processor-slices.md`.

/// Interval of the periodic task whose delay is measured, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 50;
/// Delay of work from which on the process may be overloaded, in milliseconds. With 60 ms, and
/// the connections of rejected callers kept open, fewer requests were served in time.
const MAX_DELAY_MS: u64 = 30;
/// Rounds of the runtime that a request takes: its connection is accepted, it is read and passed
/// on, its answer is passed back.
const ROUNDS_PER_REQUEST: u64 = 3;
/// Rounds after a late tick in which the process has to catch up: those of what arrived while it
/// stood still, and of what arrived while it did that.
const CATCH_UP_ROUNDS: u32 = 6;
/// Longest time for which no connection is accepted, in milliseconds. A ready
/// router has to accept one within 3 to 4 s.
const MAX_ACCEPT_PAUSE_MS: u64 = 500;

/// Overload of the process, measured by the delay of a periodic task and the length of the
/// runtime's queue after a late run.
///
/// The runtime handles events in the order of arrival. If callers send more than
/// the process can read, each request waits until it is too late, even those that
/// could have been served in time. So an overloaded process accepts no further
/// connections until it has caught up.
#[derive(Clone, Copy, Debug)]
pub struct OverloadDetector {
    /// Longest round of a process that has caught up, in microseconds.
    max_round_us: u64,
    next_tick_ms: Option<u64>,
    tick_delay_ms: u64,
    /// Rounds since a late tick that were too long; none once the process has caught up.
    long_rounds: Option<u32>,
    is_overloaded: bool,
    last_accept_ms: u64,
}

impl OverloadDetector {
    /// A detector for a process with `processor_millicores` thousandths of a core, or 0 if that
    /// is unknown.
    pub fn new(processor_millicores: u32) -> Self {
        // A queue delays work for longer than it takes to run it if the process stands still
        // in between.
        let millicores = match processor_millicores {
            0 => 1_000,
            millicores => u64::from(millicores.min(1_000)),
        };
        Self {
            max_round_us: MAX_DELAY_MS * millicores / ROUNDS_PER_REQUEST,
            next_tick_ms: None,
            tick_delay_ms: 0,
            long_rounds: None,
            is_overloaded: false,
            last_accept_ms: 0,
        }
    }

    /// Records a run of the periodic task, which is due every
    /// [`TICK_INTERVAL_MS`].
    pub fn record_tick(&mut self, now_ms: u64) {
        self.tick_delay_ms = self.next_tick_ms.map_or(0, |due_ms| now_ms.saturating_sub(due_ms));
        self.next_tick_ms = Some(now_ms + TICK_INTERVAL_MS);
        let is_late = self.tick_delay_ms > MAX_DELAY_MS;
        self.long_rounds = is_late.then_some(0);
        self.is_overloaded &= is_late;
    }

    /// Whether a round of the runtime has to be measured: the time until a task that is ready
    /// runs.
    pub fn needs_round(&self) -> bool {
        self.long_rounds.is_some_and(|rounds| rounds < CATCH_UP_ROUNDS)
    }

    /// Records a round that took `round_us` and ended now.
    pub fn record_round(&mut self, now_ms: u64, round_us: u64) {
        self.next_tick_ms = Some(now_ms + TICK_INTERVAL_MS);
        let is_long = round_us > self.max_round_us;
        self.long_rounds = self.long_rounds.filter(|_| is_long).map(|rounds| rounds + 1);
        self.is_overloaded = match self.long_rounds {
            None => false,
            Some(rounds) => self.is_overloaded || rounds >= CATCH_UP_ROUNDS,
        };
    }

    /// Delay of the last run of the periodic task, in milliseconds.
    pub fn tick_delay_ms(&self) -> u64 {
        self.tick_delay_ms
    }

    /// Whether the process is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
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
