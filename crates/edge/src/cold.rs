//! Cold upstreams: those whose process has just started, or that have become cold again, and
//! that tolerate only so many requests per second until they are warm.

use serde::{Deserialize, Serialize};

/// Longest time for which an upstream can say that it stays cold, in milliseconds. A longer
/// one is taken for a mistake.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// Part of the requests that may reach a cold upstream in any one second at which all routers
/// together aim at most. The rest is for their send slots to meet by chance.
const MAX_RATE_FRACTION: f64 = 0.75;
/// Part of the spare requests of a second that may come from slots used late, and the same
/// for slots used early.
const BURST_FRACTION: f64 = 0.25;
/// Longest time by which a send slot at a cold upstream is used late or early, in
/// milliseconds.
const MAX_BURST_MS: f64 = 250.0;
/// Difference in age up to which either of two statements may be the newer one, in
/// milliseconds. Routers read an entry up to a pause between two watches apart.
const OVERLAP_MS: u64 = 1_000;
/// Difference between the ends of two statements up to which they say the same, in
/// milliseconds; covers the way of a report between two routers.
const SAME_END_MS: u64 = 300;

/// What the upstreams of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// Requests per second that a cold upstream takes from all routers together.
    pub per_s: f64,
    /// Requests that may reach it in any one second.
    pub max_in_second: f64,
}

impl ColdTerms {
    /// Requests per second at which all routers together aim.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.per_s.min(self.max_in_second * MAX_RATE_FRACTION)
    }

    /// Time by which a send slot may be used late or early, in milliseconds.
    pub(crate) fn burst_ms(&self) -> f64 {
        let spare_s = (self.max_in_second / self.rate_per_s() - 1.0).max(0.0);
        (spare_s * BURST_FRACTION * 1_000.0).min(MAX_BURST_MS)
    }
}

/// How it is known whether an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdSource {
    /// From its entry.
    Entry,
    /// From one of its answers.
    Answer,
    /// It refused a connection, so a process that comes back has just started.
    Refused,
    /// From another router.
    Router,
    /// Its failure domain was evacuated until now, and it may have become cold meanwhile.
    TakenBack,
}

/// What is known of how long an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStatement {
    /// When the upstream is warm, in milliseconds; not after `stated_ms` if it is warm
    /// already.
    pub until_ms: u64,
    /// As of when this is known, in milliseconds.
    pub stated_ms: u64,
    /// How it is known.
    pub source: ColdSource,
}

impl ColdStatement {
    /// The statement that an upstream is cold for a further `remaining_ms`, 0 if it is warm.
    pub fn new(stated_ms: u64, remaining_ms: u64, source: ColdSource) -> Self {
        Self { until_ms: stated_ms + remaining_ms.min(MAX_REMAINING_MS), stated_ms, source }
    }

    /// Whether the upstream is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        self.until_ms > now_ms
    }

    /// Whether this statement replaces `known`: the newer one counts, or if that is not
    /// certain, the one by which the upstream is cold for longer.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.stated_ms.abs_diff(known.stated_ms) < OVERLAP_MS {
            self.until_ms > known.until_ms + SAME_END_MS
        } else {
            self.stated_ms > known.stated_ms
        }
    }
}

/// A change of whether an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// What it is based on.
    pub statement: ColdStatement,
    /// Whether the upstream is cold now.
    pub is_cold: bool,
}

/// A [`ColdStatement`] as routers tell it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ColdReport {
    /// Time for which the upstream is still cold, in milliseconds.
    remaining_ms: u32,
    /// Age of the statement, in milliseconds.
    age_ms: u32,
}

impl ColdReport {
    pub(crate) fn new(now_ms: u64, statement: &ColdStatement) -> Self {
        let to_u32 = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        Self {
            remaining_ms: to_u32(statement.until_ms.saturating_sub(now_ms)),
            age_ms: to_u32(now_ms.saturating_sub(statement.stated_ms)),
        }
    }

    pub(crate) fn statement(&self, now_ms: u64) -> ColdStatement {
        let stated_ms = now_ms.saturating_sub(u64::from(self.age_ms));
        let until_ms = match self.remaining_ms {
            0 => stated_ms,
            remaining_ms => now_ms + u64::from(remaining_ms),
        };
        ColdStatement { until_ms, stated_ms, source: ColdSource::Router }
    }

    pub(crate) fn aged(self, age_ms: u32) -> Self {
        Self {
            remaining_ms: self.remaining_ms.saturating_sub(age_ms),
            age_ms: self.age_ms.saturating_add(age_ms),
        }
    }
}
