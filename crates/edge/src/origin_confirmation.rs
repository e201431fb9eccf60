//! Whether others know where a stream begins, before its caller gets the first event.
//!
//! If the router dies afterwards, the stream may go on only where it began. So a record that
//! names another origin must not outlast the router: the request was sent there first, but the
//! stream began at a later attempt.

use crate::stream_origin::{AttemptOrigin, StreamAttempt};

/// Longest time for which the first event of a stream waits, in milliseconds. Callers give up
/// on a stream that is silent for two seconds or more.
pub const MAX_CONFIRMATION_WAIT_MS: u64 = 1_000;

/// What is known to others of a request for a stream, whose last attempt was sent to an
/// upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginConfirmation {
    start: AttemptOrigin,
    /// Whether an earlier attempt may be recorded at another origin.
    has_outdated_record: bool,
    /// Whether the store has the record of the last attempt.
    is_recorded: bool,
}

impl OriginConfirmation {
    /// A request whose attempt `start` is about to be sent and recorded.
    pub fn new(start: AttemptOrigin) -> Self {
        Self { start, has_outdated_record: false, is_recorded: false }
    }

    /// Records that a further attempt is about to be sent and recorded.
    pub fn start_attempt(&mut self, start: AttemptOrigin) {
        self.has_outdated_record |= start.origin != self.start.origin;
        self.is_recorded = false;
        self.start = start;
    }

    /// Records that the store has the record of an attempt.
    pub fn recorded(&mut self, stream: StreamAttempt) {
        self.is_recorded |= stream.attempt == self.start.attempt;
    }

    /// Whether the caller may get the first event.
    pub fn is_confirmed(&self) -> bool {
        self.is_recorded || !self.has_outdated_record
    }
}
