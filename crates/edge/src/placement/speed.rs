//! The speed of the upstreams: what it is estimated from, and what the work of a request
//! takes at each of them.

use span_types::UpstreamName;

use super::Placement;
use crate::{
    lane::Lane,
    upstream_load::UpstreamState,
    upstream_speed::{PrefillSpeed, SpeedEstimate, TypicalSpeed},
};

/// Time for which the typical upstream is not computed anew, in milliseconds.
const TYPICAL_LIFETIME_MS: u64 = 200;

/// Speed of the typical upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceSpeed {
    pub(super) prefill: PrefillSpeed,
    /// Typical upstreams for short and for long prompts: the latter have longer gaps.
    short: TypicalSpeed,
    long: TypicalSpeed,
    computed_ms: Option<u64>,
}

impl ServiceSpeed {
    fn typical(&self, lane: Lane) -> &TypicalSpeed {
        match lane {
            Lane::Short => &self.short,
            Lane::Long => &self.long,
        }
    }

    /// Time of a typical plain answer, in milliseconds.
    pub(super) fn answer_ms(&self) -> f64 {
        self.short.answer_ms()
    }
}

impl Placement {
    /// Records the gap between two events of a stream, in milliseconds.
    pub fn record_event_gap(&mut self, now_ms: u64, name: &UpstreamName, gap_ms: u64) {
        let routers = self.routers_per_upstream;
        if let Some(state) = self.upstreams.get_mut(name) {
            state.record_event_gap(now_ms, gap_ms);
            let in_use = state.total_requests(now_ms, routers) / f64::from(state.slots.max(1));
            state.speed.record_observed(now_ms, gap_ms, in_use);
        }
    }

    /// Records the time of a proper answer to a plain request, in milliseconds.
    pub fn record_answer(&mut self, now_ms: u64, name: &UpstreamName, took_ms: u64) {
        if self.is_engine() {
            return;
        }
        let routers = self.routers_per_upstream;
        if let Some(state) = self.upstreams.get_mut(name) {
            let in_use = state.total_requests(now_ms, routers) / f64::from(state.slots.max(1));
            state.speed.record_observed(now_ms, took_ms, in_use);
        }
    }

    /// Records how long an engine took to the first event of a prompt with `tokens` to
    /// process.
    pub fn record_prefill(&mut self, now_ms: u64, name: &UpstreamName, tokens: u64, took_ms: u64) {
        if let Some(state) = self.upstreams.get(name) {
            let slowness = self.slowness(now_ms, state);
            self.speed.prefill.record(tokens, took_ms, slowness);
        }
    }

    /// Computes the typical upstreams anew, if that is due. Returns the upstreams that begin
    /// or cease to count as slow, with their speed.
    pub fn refresh_speeds(&mut self, now_ms: u64) -> Vec<(UpstreamName, SpeedEstimate)> {
        let is_recent = |computed_ms: u64| now_ms.saturating_sub(computed_ms) < TYPICAL_LIFETIME_MS;
        if self.speed.computed_ms.is_some_and(is_recent) {
            return Vec::new();
        }
        let of_lane = |lane| {
            let service = self.upstreams.values();
            let peers = service.clone().filter(|state| state.lane == lane);
            TypicalSpeed::of(service.map(|state| &state.speed), peers.map(|state| &state.speed))
        };
        (self.speed.short, self.speed.long) = (of_lane(Lane::Short), of_lane(Lane::Long));
        self.speed.computed_ms = Some(now_ms);
        let mut changed = Vec::new();
        for (name, state) in &mut self.upstreams {
            let estimate = self.speed.typical(state.lane).estimate(now_ms, &state.speed);
            let is_slow = estimate.is_slow(state.is_slow);
            if is_slow != state.is_slow {
                state.is_slow = is_slow;
                changed.push((name.clone(), estimate));
            }
        }
        changed
    }

    /// Number of upstreams that count as slow.
    pub fn slow_count(&self) -> usize {
        self.upstreams.values().filter(|state| state.is_slow).count()
    }

    /// Prompt tokens that a typical engine processes per millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.speed.prefill.tokens_per_ms()
    }

    /// How fast an upstream is compared to a typical one of its lane.
    fn speed_estimate(&self, now_ms: u64, state: &UpstreamState) -> SpeedEstimate {
        self.speed.typical(state.lane).estimate(now_ms, &state.speed)
    }

    /// How long work takes at an upstream now, compared to a typical one of its lane.
    pub(super) fn slowness(&self, now_ms: u64, state: &UpstreamState) -> f64 {
        self.speed_estimate(now_ms, state).slowness
    }

    /// Time that the prefill of `tokens` takes at an upstream, in milliseconds.
    pub(super) fn prefill_ms(&self, now_ms: u64, state: &UpstreamState, tokens: u64) -> f64 {
        tokens as f64 / self.speed.prefill.tokens_per_ms() * self.slowness(now_ms, state)
    }

    /// Time of a plain answer of an upstream that is not full, in milliseconds.
    pub(super) fn answer_ms(&self, now_ms: u64, state: &UpstreamState) -> f64 {
        self.speed.answer_ms() * self.slowness(now_ms, state)
    }

    /// Estimated speed of each upstream.
    pub fn speed_estimates(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (&UpstreamName, SpeedEstimate)> {
        self.upstreams.iter().map(move |(name, state)| (name, self.speed_estimate(now_ms, state)))
    }
}
