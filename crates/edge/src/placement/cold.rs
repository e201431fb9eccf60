//! Cold upstreams of a service: what this router knows of them, and how they are chosen.

use span_types::{SoftwareVersion, UpstreamName};

use super::Placement;
use crate::{
    cold::{ColdChange, ColdStatement, ColdTerms},
    lane::Lane,
    upstream_load::{self, UpstreamState},
};

impl Placement {
    /// Sets what cold upstreams tolerate; none if there is no such limit.
    pub fn set_cold_terms(&mut self, now_ms: u64, terms: Option<ColdTerms>) {
        self.limits.set_cold_terms(terms);
        self.apply_limits(now_ms);
    }

    /// What cold upstreams tolerate.
    pub fn cold_terms(&self) -> Option<ColdTerms> {
        self.limits.cold_terms()
    }

    /// Sets which part of the fleet's routers, as far as they are known, this router hears,
    /// itself included, 0 to 1.
    pub fn set_reach(&mut self, fraction: f64) {
        self.reach = fraction;
    }

    /// Records whether an upstream is cold.
    pub fn record_cold(&mut self, now_ms: u64, name: &UpstreamName, statement: ColdStatement) {
        let Some(state) = self.upstreams.get(name) else {
            return;
        };
        self.limits.record_cold(now_ms, state.name_hash, statement);
        self.limits.set_claim(now_ms, state.name_hash, self.claim(now_ms, state));
    }

    /// Upstreams that have become cold or warm since this was last asked for.
    pub fn take_cold_changes(&mut self, now_ms: u64) -> Vec<(UpstreamName, ColdChange)> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let Self { upstreams, limits, .. } = self;
        let changes = upstreams.iter().filter_map(|(name, state)| {
            Some((name.clone(), limits.take_cold_change(now_ms, state.name_hash)?))
        });
        changes.collect()
    }

    /// Whether the upstream takes requests of this service.
    pub fn contains(&self, name: &UpstreamName) -> bool {
        self.upstreams.contains_key(name)
    }

    /// Time for which an upstream is still cold, in milliseconds; 0 if it is warm.
    pub fn cold_remaining_ms(&self, now_ms: u64, name: &UpstreamName) -> u64 {
        self.limits.cold_remaining_ms(now_ms, upstream_load::name_hash(name))
    }

    /// Number of cold upstreams.
    pub fn cold_count(&self, now_ms: u64) -> usize {
        self.limits.cold_count(now_ms)
    }

    /// Whether a cold upstream of this router would take a further request if it had a send
    /// slot.
    pub fn is_held_back(&self, now_ms: u64) -> bool {
        let mut used = self.upstreams.values().filter(|state| state.is_usable(now_ms));
        !self.limits.is_empty()
            && used.any(|state| {
                let slots = self.send_slots(state).filter(|_| self.is_cold(now_ms, state));
                slots.is_some_and(|slots| slots.available(now_ms) == 0)
            })
    }

    pub(super) fn is_cold(&self, now_ms: u64, state: &UpstreamState) -> bool {
        !self.limits.is_empty() && self.limits.is_cold(now_ms, state.name_hash)
    }

    /// Upstreams that can be the home of a prompt prefix: the warm ones, or all of them if
    /// none is warm. A cold one is too slow for the requests that share a prefix. With `version`,
    /// only those that have it.
    pub(super) fn home_candidates(
        &self,
        now_ms: u64,
        version: Option<&SoftwareVersion>,
    ) -> impl Iterator<Item = &UpstreamState> {
        let short = move || {
            self.upstreams.values().filter(move |state| {
                let has_version = version.is_none_or(|version| state.software_version == *version);
                state.lane == Lane::Short && has_version
            })
        };
        let has_warm = short().any(|state| !self.is_cold(now_ms, state));
        short().filter(move |state| !has_warm || !self.is_cold(now_ms, state))
    }
}
