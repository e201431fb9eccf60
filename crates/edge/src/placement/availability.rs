//! When upstreams take requests: pauses that they ask for, and what can continue a stream.

use std::collections::BTreeSet;

use span_types::{SoftwareVersion, UpstreamName};

use super::Placement;

/// Longest pause that an upstream can ask for, in milliseconds. A longer one is
/// taken for a mistake.
const MAX_PAUSE_MS: u64 = 3_600_000;
/// Time after a pause over which the first requests of all routers are spread, as a
/// fraction of the pause and the most in milliseconds.
const PAUSE_SPREAD_FRACTION: f64 = 0.1;
const MAX_PAUSE_SPREAD_MS: u64 = 1_000;

impl Placement {
    /// Records that an upstream asked for no requests for `pause_ms`. `draw`, uniform
    /// in 0 to 1, spreads the first requests of all routers after that time.
    pub fn record_pause(&mut self, now_ms: u64, name: &UpstreamName, pause_ms: u64, draw: f64) {
        let spread_ms = (pause_ms as f64 * PAUSE_SPREAD_FRACTION * draw) as u64;
        let until_ms =
            now_ms.saturating_add(pause_ms.min(MAX_PAUSE_MS)) + spread_ms.min(MAX_PAUSE_SPREAD_MS);
        self.pauses_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let pause = self.pauses_until_ms.entry(name.clone()).or_default();
        *pause = until_ms.max(*pause);
        if let Some(state) = self.upstreams.get_mut(name) {
            state.pause_until_ms = state.pause_until_ms.max(until_ms);
        }
    }

    /// Records that an upstream has accepted a request: if it had asked for a pause that
    /// is over, further requests may follow.
    pub fn record_accepted(&mut self, now_ms: u64, name: &UpstreamName) {
        let state = self.upstreams.get_mut(name).filter(|state| state.pause_until_ms > 0);
        if let Some(state) = state.filter(|state| now_ms >= state.pause_until_ms) {
            state.pause_until_ms = 0;
            state.probing = state.avoid_ms > 0;
        }
    }

    /// Sets the software versions that the store has not recorded. While others serve, nothing
    /// new goes to them: their streams could not begin. Returns whether that changes anything.
    pub fn set_unrecorded(&mut self, versions: &BTreeSet<SoftwareVersion>) -> bool {
        let mut has_changed = false;
        for state in self.upstreams.values_mut() {
            let is_unrecorded = versions.contains(&state.software_version);
            has_changed |= state.is_unrecorded != is_unrecorded;
            state.is_unrecorded = is_unrecorded;
        }
        has_changed
    }

    /// Whether nothing new goes to upstreams of versions that are not recorded. Others that are
    /// only full count: to wait for them is better than a stream that cannot begin.
    pub(super) fn skips_unrecorded(&self, now_ms: u64) -> bool {
        let mut upstreams = self.upstreams.values();
        let is_unrecorded = upstreams.clone().any(|state| state.is_unrecorded);
        is_unrecorded
            && upstreams.any(|state| {
                let is_kept = state.is_assigned && !state.is_unrecorded && !state.replaced;
                is_kept && now_ms >= state.avoid_until_ms
            })
    }

    /// Time until one of the upstreams takes requests of this router, in milliseconds;
    /// 0 if one does, none if that is not known.
    pub fn available_in_ms(&self, now_ms: u64) -> Option<u64> {
        let used = self.upstreams.values().filter(|state| state.is_assigned && !state.replaced);
        used.map(|state| state.available_from_ms().saturating_sub(now_ms)).min()
    }

    /// Time until an upstream that is not `excluded` can continue a stream of `version`, in
    /// milliseconds: 0 if one can now, none if there is no such upstream.
    pub fn can_continue_in_ms(
        &self,
        now_ms: u64,
        version: &SoftwareVersion,
        excluded: &[UpstreamName],
    ) -> Option<u64> {
        let able = self.upstreams.iter().filter(|(name, state)| {
            state.software_version == *version && !state.replaced && !excluded.contains(name)
        });
        let waits = able.map(|(_, state)| {
            let is_able_now = self.can_continue(now_ms, state, version);
            let slot_wait_ms =
                self.send_slots(state).map_or(0, |slots| slots.wait_to_continue_ms(now_ms));
            let wait_ms = state.available_from_ms().saturating_sub(now_ms).max(slot_wait_ms);
            if is_able_now { 0 } else { wait_ms.max(1) }
        });
        waits.min()
    }
}
