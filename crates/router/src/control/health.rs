//! Health of upstreams as this router sees it.

use std::collections::HashMap;

use span_types::UpstreamName;

/// Failures in a row after which an upstream gets no ordinary work.
const FAILURES: u32 = 2;
/// Time until the first probe, in milliseconds.
const PROBE_BASE_MS: u64 = 500;
/// Longest time between probes, in milliseconds.
const PROBE_MAX_MS: u64 = 10_000;

/// How much work an upstream may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Availability {
    /// All its slots may be used.
    Usable,
    /// One request may try it.
    Probing,
    /// No request may be sent.
    Blocked,
}

#[derive(Debug, Default)]
struct Row {
    failures: u32,
    probes: u32,
    next_probe_ms: u64,
    probe_running: bool,
}

impl Row {
    fn is_blocked(&self) -> bool {
        self.failures >= FAILURES
    }
}

/// Tracks failures and decides when a failed upstream is tried again: one
/// request at a time, at growing distances, until one is answered.
#[derive(Debug, Default)]
pub struct Health {
    rows: HashMap<UpstreamName, Row>,
}

impl Health {
    /// An attempt was answered. Returns whether the upstream just recovered.
    pub fn record_answer(&mut self, upstream: &UpstreamName) -> bool {
        self.rows.remove(upstream).is_some_and(|row| row.is_blocked())
    }

    /// An attempt failed. A silent one counts fully, since it cost its caller
    /// the whole silence limit. Returns whether the upstream is now blocked
    /// and was not before.
    pub fn record_failure(&mut self, now_ms: u64, upstream: &UpstreamName, silent: bool) -> bool {
        let row = self.rows.entry(upstream.clone()).or_default();
        let before = row.is_blocked();
        row.failures = if silent { FAILURES } else { row.failures.saturating_add(1) };
        if row.is_blocked() {
            let delay_ms = PROBE_BASE_MS << row.probes.min(5);
            row.next_probe_ms = now_ms + delay_ms.min(PROBE_MAX_MS);
            row.probes = row.probes.saturating_add(1);
            row.probe_running = false;
        }
        row.is_blocked() && !before
    }

    /// The caller left before the upstream answered or failed.
    pub fn record_abandoned(&mut self, upstream: &UpstreamName) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.probe_running = false;
        }
    }

    /// How much work the upstream may get now.
    pub fn availability(&self, now_ms: u64, upstream: &UpstreamName) -> Availability {
        match self.rows.get(upstream).filter(|row| row.is_blocked()) {
            None => Availability::Usable,
            Some(row) if now_ms >= row.next_probe_ms && !row.probe_running => Availability::Probing,
            Some(_) => Availability::Blocked,
        }
    }

    /// Notes that a probe starts.
    pub fn start_probe(&mut self, upstream: &UpstreamName) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.probe_running = true;
        }
    }

    /// Upstreams that get less than their slots.
    pub fn impaired(&self, now_ms: u64) -> Vec<(UpstreamName, Availability)> {
        let blocked = self.rows.iter().filter(|(_, row)| row.is_blocked());
        blocked.map(|(name, _)| (name.clone(), self.availability(now_ms, name))).collect()
    }
}
