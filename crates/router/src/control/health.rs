//! Health of upstreams, from the results of this router's attempts.

use std::collections::HashMap;

use span_types::UpstreamName;

/// Consecutive failures after which an upstream gets probes only.
const BLOCK_AFTER_FAILURES: u32 = 2;
/// Delay until the first probe; it doubles with each failed probe.
const MIN_PROBE_DELAY_MS: u64 = 500;
/// Upper bound of the delay between probes.
const MAX_PROBE_DELAY_MS: u64 = 10_000;

/// Longest pause that an upstream can ask for; a longer one is taken for a mistake.
const MAX_PAUSE_MS: u64 = 3_600_000;

/// How much work an upstream may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Availability {
    /// All its slots may be used.
    Usable,
    /// One request may be sent as a probe.
    Probing,
    /// No request may be sent.
    Blocked,
}

#[derive(Debug, Default)]
struct UpstreamHealth {
    consecutive_failures: u32,
    probe_delay_step: u32,
    next_probe_ms: u64,
    /// Until when the upstream asked for no requests.
    pause_until_ms: u64,
    probe_in_flight: bool,
}

impl UpstreamHealth {
    fn is_blocked(&self) -> bool {
        self.consecutive_failures >= BLOCK_AFTER_FAILURES
    }
}

/// Tracks consecutive failures per upstream. A blocked upstream is probed with
/// one request at a time and exponential backoff, until a probe is answered.
#[derive(Debug, Default)]
pub struct Health {
    upstreams: HashMap<UpstreamName, UpstreamHealth>,
}

impl Health {
    /// Records an answered attempt. Returns whether the upstream was blocked
    /// and has recovered. An answer to a request from before a pause does not end it.
    pub fn record_answer(&mut self, now_ms: u64, upstream: &UpstreamName) -> bool {
        if self.upstreams.get(upstream).is_some_and(|row| now_ms < row.pause_until_ms) {
            return false;
        }
        self.upstreams.remove(upstream).is_some_and(|row| row.is_blocked())
    }

    /// Records a failed attempt. A silent one blocks the upstream at once,
    /// since it cost its caller the whole silence limit. Returns whether the
    /// upstream is now blocked and was not before.
    pub fn record_failure(&mut self, now_ms: u64, upstream: &UpstreamName, silent: bool) -> bool {
        let row = self.upstreams.entry(upstream.clone()).or_default();
        let was_blocked = row.is_blocked();
        row.consecutive_failures =
            if silent { BLOCK_AFTER_FAILURES } else { row.consecutive_failures.saturating_add(1) };
        if row.is_blocked() {
            let delay_ms = MIN_PROBE_DELAY_MS << row.probe_delay_step.min(5);
            let probe_ms = now_ms + delay_ms.min(MAX_PROBE_DELAY_MS);
            row.next_probe_ms = probe_ms.max(row.pause_until_ms);
            row.probe_delay_step = row.probe_delay_step.saturating_add(1);
            row.probe_in_flight = false;
        }
        row.is_blocked() && !was_blocked
    }

    /// Records that the upstream asked for no requests for `pause_ms`. The next request
    /// after that is a probe. Returns whether the upstream is now blocked and was not
    /// before.
    pub fn record_pause(&mut self, now_ms: u64, upstream: &UpstreamName, pause_ms: u64) -> bool {
        let row = self.upstreams.entry(upstream.clone()).or_default();
        let was_blocked = row.is_blocked();
        row.consecutive_failures = row.consecutive_failures.max(BLOCK_AFTER_FAILURES);
        row.pause_until_ms = row.pause_until_ms.max(now_ms + pause_ms.min(MAX_PAUSE_MS));
        row.next_probe_ms = row.next_probe_ms.max(row.pause_until_ms);
        row.probe_in_flight = false;
        !was_blocked
    }

    /// Records an attempt whose caller left before the upstream answered or
    /// failed. The next request may then be the probe.
    pub fn record_abandoned(&mut self, upstream: &UpstreamName) {
        if let Some(row) = self.upstreams.get_mut(upstream) {
            row.probe_in_flight = false;
        }
    }

    /// How much work the upstream may get now.
    pub fn availability(&self, now_ms: u64, upstream: &UpstreamName) -> Availability {
        match self.upstreams.get(upstream).filter(|row| row.is_blocked()) {
            None => Availability::Usable,
            Some(row) if now_ms >= row.next_probe_ms && !row.probe_in_flight => {
                Availability::Probing
            }
            Some(_) => Availability::Blocked,
        }
    }

    /// Records that a probe was sent; no other starts until it ends.
    pub fn start_probe(&mut self, upstream: &UpstreamName) {
        if let Some(row) = self.upstreams.get_mut(upstream) {
            row.probe_in_flight = true;
        }
    }

    /// Upstreams whose slots may not all be used.
    pub fn impaired(&self, now_ms: u64) -> Vec<(UpstreamName, Availability)> {
        let blocked = self.upstreams.iter().filter(|(_, row)| row.is_blocked());
        blocked.map(|(name, _)| (name.clone(), self.availability(now_ms, name))).collect()
    }
}
