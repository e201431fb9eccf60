//! This router's part of the limits that upstreams name.

use span_types::{SoftwareVersion, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Placement, subset::MAX_ROUTERS_PER_UPSTREAM};
use crate::{
    lane::Lane,
    upstream_limit::{Claim, LimitStatement, LimitSummary, SendSlots},
    upstream_load::UpstreamState,
};

/// Most that an upstream may contribute to the capacity, as a multiple of an even part.
const MAX_CAPACITY_FACTOR: f64 = 2.0;
/// Fraction of the slots from which limits of their upstreams leave no capacity to spare.
/// Below, the other upstreams can take what workspaces send beyond their share.
const MIN_LIMITED_SLOTS_FRACTION: f64 = 0.25;
/// Time after the start of a router in which it may not know the fleet yet, in
/// milliseconds; covers lost datagrams and a first address that is out of date.
const JOIN_MS: u64 = 5_000;
/// Routers that may start at the same moment, after many were killed, and that do not know
/// each other yet.
const JOINING_ROUTERS: usize = 40;

impl Placement {
    /// Records what an upstream said about its limit on requests per second. Returns
    /// whether that is worth a log line.
    pub fn record_limit(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        statement: LimitStatement,
    ) -> bool {
        let Some(state) = self.upstreams.get(name) else {
            return false;
        };
        let is_notable = self.limits.record(now_ms, state.name_hash, statement);
        self.limits.set_claim(now_ms, state.name_hash, self.claim(now_ms, state));
        is_notable
    }

    /// Takes over what the fleet, this router included, reports about limits. Returns the
    /// upstreams for which that is worth a log line, with their limits.
    pub fn merge_limits(
        &mut self,
        now_ms: u64,
        fleet: &LimitSummary,
    ) -> Vec<(UpstreamName, Option<f64>)> {
        self.limits.expire(now_ms);
        if fleet.is_empty() && self.limits.is_empty() {
            return Vec::new();
        }
        let mut notable = Vec::new();
        for (name, state) in &self.upstreams {
            if self.limits.merge(now_ms, state.name_hash, fleet) {
                notable.push((name.clone(), self.limits.named_per_s(state.name_hash)));
            }
        }
        self.apply_limits(now_ms);
        notable
    }

    /// What this router reports about limits to others.
    pub fn limit_summary(&self, now_ms: u64) -> LimitSummary {
        self.limits.summary(now_ms)
    }

    /// Adjusts this router's send slots after a change of the upstreams or of its claims.
    pub fn apply_limits(&mut self, now_ms: u64) {
        if self.limits.is_empty() {
            return;
        }
        let states = self.upstreams.values();
        let claims = states.map(|state| (state.name_hash, self.claim(now_ms, state)));
        let claims: Vec<(u64, Claim)> = claims.collect();
        for (upstream, claim) in claims {
            self.limits.set_claim(now_ms, upstream, claim);
        }
    }

    pub(super) fn claim(&self, now_ms: u64, state: &UpstreamState) -> Claim {
        let own =
            if state.is_assigned { self.capacity_fraction / self.upstreams_fraction } else { 0.0 };
        // In a small fleet all routers use each upstream, and their claims add up to one.
        let is_small = self.fleet_routers <= MAX_ROUTERS_PER_UPSTREAM;
        let joined_fraction = if now_ms < JOIN_MS {
            (self.fleet_routers as f64 / JOINING_ROUTERS as f64).min(1.0)
        } else {
            1.0
        };
        let hash = xxh3_64_with_seed(&state.name_hash.to_le_bytes(), self.own_hash);
        Claim {
            own,
            min_fleet: if is_small { 1.0 } else { 0.0 },
            reach: self.reach * joined_fraction,
            phase: hash as f64 / u64::MAX as f64,
            sent_per_s: state.sent.per_s(now_ms),
        }
    }

    /// Send slots of this router at an upstream; none if the upstream names no limit and is
    /// not cold.
    pub(super) fn send_slots(&self, state: &UpstreamState) -> Option<&SendSlots> {
        self.limits.slots(state.name_hash)
    }

    /// Whether the upstream can continue a stream that `version` began.
    pub(super) fn can_continue(
        &self,
        now_ms: u64,
        state: &UpstreamState,
        version: &SoftwareVersion,
    ) -> bool {
        let slots = self.send_slots(state);
        state.can_continue(now_ms, version)
            && slots.is_none_or(|slots| slots.wait_to_continue_ms(now_ms) == 0)
    }

    /// Capacity of the upstreams, in cost units per second, if it is `capacity` without
    /// limits. `mean_cost` is the mean cost of the requests of a lane, if that is known.
    pub fn limited_capacity(&self, capacity: u64, mean_cost: impl Fn(Lane) -> Option<f64>) -> u64 {
        if self.limits.is_empty() {
            return capacity;
        }
        let even_part = capacity as f64 / self.upstreams.len().max(1) as f64;
        // Upstreams differ in what they do, and a limit may be far above it.
        let most = even_part * MAX_CAPACITY_FACTOR;
        let parts = self.upstreams.values().map(|state| {
            let per_s = self.limits.per_s(state.name_hash);
            let limited = per_s.and_then(|per_s| Some(per_s * mean_cost(state.lane)?));
            limited.map_or(even_part, |limited| limited.min(most))
        });
        (parts.sum::<f64>() as u64).min(capacity)
    }

    /// Whether upstreams with a good part of the slots name a limit on requests per second.
    pub(super) fn is_limited(&self) -> bool {
        if self.limits.is_empty() {
            return false;
        }
        let slots = self.upstreams.values().map(|state| state.slots).sum::<u32>();
        let limited = self.upstreams.values().filter(|state| self.send_slots(state).is_some());
        let limited_slots = limited.map(|state| state.slots).sum::<u32>();
        limited_slots > 0
            && f64::from(limited_slots) >= f64::from(slots) * MIN_LIMITED_SLOTS_FRACTION
    }

    /// Number of upstreams that are known to name a limit on requests per second.
    pub fn limited_count(&self) -> usize {
        self.limits.count()
    }

    /// Requests per second that this router sends to an upstream.
    pub fn sent_per_s(&self, now_ms: u64, name: &UpstreamName) -> f64 {
        self.upstreams.get(name).map_or(0.0, |state| state.sent.per_s(now_ms))
    }
}
