//! Whether others know where a stream begins, before its caller gets the first event.
//!
//! A router that knows of several places where streams begin tells some others, the holders of
//! the stream, when it sends the request, and has it recorded in the store. If it dies, the
//! stream may go on only where it began; and one that none of the holders knows began while its
//! router knew of one place only. So the first event waits until all of them know, or the store
//! has the record.
//!
//! Routers that start later learn from the history in the store which versions there were, and
//! take one that it lacks for none at which a stream began. So the version at which a stream begins
//! has to be there too, however long that takes: while the store is away, no stream begins at a
//! version that it has not recorded.
//!
//! They also take a stream without a record for one that began at the version that the
//! [shares](crate::version_shares) give to its id. So a stream at another version has to be
//! recorded, whoever knows it.
//!
//! Nor may a record that names another origin outlast the router: the request may have been sent
//! elsewhere first, and the stream begun at a later attempt.

use std::collections::BTreeSet;

use span_types::InstanceName;

use crate::stream_origin::{AttemptOrigin, StreamAttempt};

/// Longest time for which the first event of a stream waits, in milliseconds. Callers give up
/// on a stream that is silent for two seconds or more.
pub const MAX_CONFIRMATION_WAIT_MS: u64 = 1_600;
/// Time from which one holder is enough, in milliseconds. By then the store has not taken the
/// record for longer than a batch waits, and the other holders may have died unnoticed.
pub const ONE_HOLDER_AFTER_MS: u64 = 400;

/// What is known to others of a request for a stream, whose last attempt was sent to an
/// upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginConfirmation {
    start: AttemptOrigin,
    started_ms: u64,
    /// Holders that have not said that they know the last attempt.
    silent: BTreeSet<InstanceName>,
    /// Number of holders, including those that have died.
    holders: usize,
    /// Whether an earlier attempt may be recorded at another origin.
    has_outdated_record: bool,
    /// Whether the store has the record of the last attempt.
    is_recorded: bool,
}

impl OriginConfirmation {
    /// A request whose attempt `start` is about to be sent, told to `holders` and recorded.
    pub fn new(now_ms: u64, start: AttemptOrigin, holders: BTreeSet<InstanceName>) -> Self {
        Self {
            start,
            started_ms: now_ms,
            holders: holders.len(),
            silent: holders,
            has_outdated_record: false,
            is_recorded: false,
        }
    }

    /// Records that a further attempt is about to be sent, told and recorded.
    pub fn start_attempt(
        &mut self,
        now_ms: u64,
        start: AttemptOrigin,
        holders: BTreeSet<InstanceName>,
    ) {
        let has_outdated_record = self.has_outdated_record || start.origin != self.start.origin;
        *self = Self { has_outdated_record, ..Self::new(now_ms, start, holders) };
    }

    /// The last attempt.
    pub fn start(&self) -> &AttemptOrigin {
        &self.start
    }

    /// Holders that have not said that they know the last attempt.
    pub fn silent(&self) -> &BTreeSet<InstanceName> {
        &self.silent
    }

    /// Records that the store has the record of an attempt.
    pub fn recorded(&mut self, stream: StreamAttempt) {
        self.is_recorded |= stream.attempt == self.start.attempt;
    }

    /// Records that a router knows of an attempt.
    pub fn acknowledged(&mut self, router: &InstanceName, stream: StreamAttempt) {
        if stream.attempt == self.start.attempt {
            self.silent.remove(router);
        }
    }

    /// Whether the caller may get the first event. `is_in_history` says whether the history in
    /// the store has the version at which the stream begins, and `may_be_unrecorded` whether that is
    /// the one which routers assume that have no record of the stream.
    pub fn is_confirmed(&self, now_ms: u64, is_in_history: bool, may_be_unrecorded: bool) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.started_ms);
        let is_late = elapsed_ms >= ONE_HOLDER_AFTER_MS;
        // A router that knows no other one may have been cut off for long.
        let is_kept = if is_late {
            self.holders == 0 || self.silent.len() < self.holders
        } else {
            self.holders > 0 && self.silent.is_empty()
        };
        let may_be_unrecorded = may_be_unrecorded && !self.has_outdated_record;
        let is_known = self.is_recorded || (may_be_unrecorded && is_kept);
        is_known && is_in_history
    }

    /// When [`OriginConfirmation::is_confirmed`] may change by itself, in milliseconds.
    pub fn next_change_ms(&self) -> u64 {
        self.started_ms + ONE_HOLDER_AFTER_MS
    }
}
