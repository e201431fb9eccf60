//! The slots of the upstreams: how many are in use, and how many requests this router may
//! send now.

use span_types::SoftwareVersion;

use super::Placement;
use crate::{admission::SlotCounts, lane::Lane, upstream_load::UpstreamState};

/// Work on prompts that all routers together may have pending at an engine, unless a single
/// prompt is larger, in milliseconds.
const MAX_PENDING_PREFILL_MS: f64 = 288.0;
/// Prompt tokens that may be pending at a typical engine whatever its prefill rate. With less,
/// one or two prompts would make a slow engine count as full.
const MIN_PENDING_PREFILL_TOKENS: f64 = 36_000.0;
/// Requests that a router may have at an engine, as a multiple of its callers'
/// fraction of the slots.
const ENGINE_OWN_REQUESTS_FACTOR: f64 = 1.6;
/// Requests that a router may have at an upstream, however small its fraction of
/// the slots is.
const MIN_OWN_REQUESTS: u32 = 2;
/// Requests beyond its slots that an engine may get, as a fraction of the slots.
/// They cover the time from the end of a request to the arrival of the next one.
const ENGINE_QUEUE_FRACTION: f64 = 0.04;
/// Requests that all routers together may send to an upstream that is no engine,
/// as a multiple of its slots. Its requests end within milliseconds, before a
/// load report has reached any router, and it queues a few.
const NON_ENGINE_REQUESTS_FACTOR: f64 = 2.0;

impl Placement {
    /// Slots of the usable upstreams of a lane.
    pub fn slot_counts(&self, now_ms: u64, lane: Lane) -> SlotCounts {
        let usable = self.upstreams.values();
        let skips_unrecorded = self.skips_unrecorded(now_ms);
        let usable = usable.filter(|state| {
            state.lane == lane
                && state.is_usable(now_ms)
                && !(skips_unrecorded && state.is_unrecorded)
        });
        let is_limited = self.is_limited();
        let mut counts = SlotCounts { free: 0, in_use: 0, total: 0, free_in_ms: 0, is_limited };
        let mut free_in_ms = None;
        for state in usable {
            let wait_ms = self.send_slots(state).map_or(0, |slots| slots.wait_ms(now_ms));
            free_in_ms = Some(free_in_ms.map_or(wait_ms, |least: u64| least.min(wait_ms)));
            counts.free += self.free_slots(now_ms, state);
            counts.in_use += self.occupied_slots(now_ms, state) as u32;
            counts.total += state.slots;
        }
        counts.free_in_ms = free_in_ms.unwrap_or(0);
        counts
    }

    /// Slots of all usable upstreams, free or in use: of those that can continue a
    /// stream of `continued_version`, if that is given.
    pub fn usable_slots(&self, now_ms: u64, continued_version: Option<&SoftwareVersion>) -> u32 {
        let skips_unrecorded = self.skips_unrecorded(now_ms);
        let usable = self.upstreams.values().filter(|state| match continued_version {
            Some(version) => self.can_continue(now_ms, state, version),
            None => state.is_usable(now_ms) && !(skips_unrecorded && state.is_unrecorded),
        });
        usable.map(|state| state.slots).sum()
    }

    /// Slots of an upstream that count as in use: those of its requests, or more if its
    /// streams are slow. An engine with many slots is slow long before they are in use.
    /// Of an upstream with a limit on requests per second, as large a part as of the limit.
    fn occupied_slots(&self, now_ms: u64, state: &UpstreamState) -> f64 {
        let requests = state.total_requests(now_ms, self.routers_per_upstream);
        let slowness = if self.is_prefill_behind(now_ms, state) {
            1.0
        } else {
            (state.mean_gap_ms(now_ms) / self.max_mean_gap_ms()).min(1.0)
        };
        let used_limit = self.send_slots(state).map_or(0.0, |slots| slots.used_fraction(now_ms));
        requests.max(f64::from(state.slots) * slowness.max(used_limit))
    }

    /// Whether an upstream has so many prompt tokens to process that it takes no
    /// further prompts of this router.
    fn is_prefill_behind(&self, now_ms: u64, state: &UpstreamState) -> bool {
        let has_long_gaps =
            state.lane == Lane::Short && state.mean_gap_ms(now_ms) > self.max_mean_gap_ms();
        let fraction = self.capacity_fraction / self.upstreams_fraction;
        let pending_ms = self.prefill_ms(now_ms, state, state.pending_prefill_tokens);
        let min_ms = MIN_PENDING_PREFILL_TOKENS / self.speed.prefill.tokens_per_ms();
        pending_ms > MAX_PENDING_PREFILL_MS.max(min_ms) * fraction || has_long_gaps
    }

    /// Requests that this router may send to an upstream now.
    pub(super) fn free_slots(&self, now_ms: u64, state: &UpstreamState) -> u32 {
        if self.is_prefill_behind(now_ms, state) {
            return 0;
        }
        let sendable = self.send_slots(state).map_or(u32::MAX, |slots| slots.available(now_ms));
        let own_free =
            self.own_limit(now_ms, state).saturating_sub(state.own_requests).min(sendable);
        if !self.is_engine() {
            return own_free;
        }
        let limit = f64::from(state.slots) * (1.0 + ENGINE_QUEUE_FRACTION);
        let free =
            (limit - state.total_requests(now_ms, self.routers_per_upstream)).max(0.0) as u32;
        free.min(own_free)
    }

    /// Requests that this router may have at an upstream. The requests of other
    /// routers are known only from reports that are out of date, so each router
    /// keeps to somewhat more than its callers' fraction of the slots.
    fn own_limit(&self, now_ms: u64, state: &UpstreamState) -> u32 {
        let factor =
            if self.is_engine() { ENGINE_OWN_REQUESTS_FACTOR } else { NON_ENGINE_REQUESTS_FACTOR };
        // The capacity that the callers are entitled to is spread over the
        // upstreams that this router uses.
        let fraction = (self.capacity_fraction / self.upstreams_fraction * factor).min(1.0);
        // The requests of a slow upstream that is no engine keep their slots for longer.
        let slowness = if self.is_engine() { 1.0 } else { self.slowness(now_ms, state).max(1.0) };
        let limit = (f64::from(state.slots) * fraction / slowness).ceil() as u32;
        let min_requests = (f64::from(MIN_OWN_REQUESTS) / slowness).round().max(1.0) as u32;
        limit.max(min_requests).min(self.max_own_requests)
    }

    /// Estimated fraction of all slots that the whole fleet uses, 0 to 1.
    pub(super) fn in_use_fraction(&self, now_ms: u64) -> f64 {
        let states = self.upstreams.values();
        let in_use: f64 = states.map(|state| self.occupied_slots(now_ms, state)).sum();
        let slots: u32 = self.upstreams.values().map(|state| state.slots).sum();
        (in_use / f64::from(slots.max(1))).min(1.0)
    }
}
