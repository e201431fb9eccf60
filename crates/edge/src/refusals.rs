//! What was refused for lack of room, for metrics and one log line a second.

use std::fmt::Write;

use strum::{EnumCount, IntoEnumIterator};

/// Shortest time between two log lines, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Why a client was refused or its connection closed. The names in snake case are those of the
/// metrics.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// Too many connections of a listener were open, so a new one was closed.
    RefusedConnections,
    /// There was no memory for a new connection.
    RefusedConnectionMemory,
    /// There was no memory for a head, or for what was read ahead; the connection was closed.
    RefusedHeadMemory,
    /// There was no memory for a body; the request did not run.
    RefusedBodyMemory,
    /// There was no memory for an answer at the moment, so it was read later.
    DelayedAnswers,
    /// There was no memory or descriptor for a connection to an upstream.
    RefusedUpstreamConnections,
    /// A head was not complete in time; the connection was closed.
    LateHeads,
    /// A connection was closed to make room for others.
    ClosedForRoom,
}

/// Counts of what was refused.
#[derive(Debug, Default)]
pub struct Refusals {
    counts: [u64; Refusal::COUNT],
    reported: [u64; Refusal::COUNT],
    reported_ms: Option<u64>,
}

impl Refusals {
    /// Counts a refusal.
    pub fn count(&mut self, refusal: Refusal) {
        self.counts[refusal as usize] += 1;
    }

    /// All counts since the start.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Refusal::iter().map(|refusal| (refusal.into(), self.counts[refusal as usize]))
    }

    /// What was refused since the last report; none if that was nothing, or if the last report
    /// was less than a second ago.
    pub fn take_report(&mut self, now_ms: u64) -> Option<String> {
        let is_due = self.reported_ms.is_none_or(|at_ms| now_ms >= at_ms + REPORT_INTERVAL_MS);
        if !is_due || self.counts == self.reported {
            return None;
        }
        let mut text = String::new();
        for refusal in Refusal::iter() {
            let new = self.counts[refusal as usize] - self.reported[refusal as usize];
            if new > 0 {
                let separator = if text.is_empty() { "" } else { ", " };
                // Writing to a string does not fail.
                let _ = write!(text, "{separator}{} {new}", <&'static str>::from(refusal));
            }
        }
        self.reported = self.counts;
        self.reported_ms = Some(now_ms);
        Some(text)
    }
}
