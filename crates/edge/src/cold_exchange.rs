//! What the process learns of cold upstreams, and what it logs of them.

use span_types::UpstreamName;
use tracing::info;

use crate::{
    cold::{ColdSource, ColdStatement, ColdTerms},
    config::Service,
    node::Node,
    registry::SharedEntry,
    settings::Settings,
    state::State,
};

/// Least bound on the requests of a second: with a lower one, no request could be sent.
const MIN_IN_SECOND: f64 = 1.0;

/// What cold upstreams of a service tolerate; none if the service states nothing.
fn cold_terms(service: &Service, settings: &Settings) -> Option<ColdTerms> {
    let limits = settings.fleet_limits;
    let per_s = service.cold_per_s;
    let max_in_second = (per_s * limits.cold_overshoot + limits.cold_slack).max(MIN_IN_SECOND);
    (per_s > 0.0).then_some(ColdTerms { start_ms: service.cold_start_ms, per_s, max_in_second })
}

impl State {
    /// Brings what cold upstreams tolerate in line with the configuration and the settings.
    pub(crate) fn sync_cold_terms(&mut self, now_ms: u64, settings: &Settings) {
        let Some(config) = &self.config else {
            return;
        };
        for (name, service) in &mut self.services {
            let terms = config.services.get(name).and_then(|service| cold_terms(service, settings));
            service.placement.set_cold_terms(now_ms, terms);
        }
    }

    /// Records what the entry of an upstream that the store has just sent says of its
    /// coldness.
    pub(crate) fn record_entry_cold(&mut self, now_ms: u64, name: &UpstreamName) {
        let Some(entry) = self.registry.get(name) else {
            return;
        };
        let statement = ColdStatement::new(now_ms, entry.cold_remaining_ms, ColdSource::Entry);
        if let Some(service) = self.services.get_mut(&entry.service) {
            service.placement.record_cold(now_ms, name, statement);
        }
    }

    /// Records what the entries of a list from `source` that has just arrived say. Another
    /// router may not know yet that an upstream is cold, so only the store's list shows that
    /// one is warm.
    pub(crate) fn record_listed_cold(&mut self, now_ms: u64, source: ColdSource) {
        for (service_name, service) in &mut self.services {
            for (name, entry) in self.registry.ready(service_name) {
                let remaining_ms = entry.cold_remaining_ms;
                if remaining_ms > 0 || source == ColdSource::Entry {
                    let statement = ColdStatement::new(now_ms, remaining_ms, source);
                    service.placement.record_cold(now_ms, name, statement);
                }
            }
        }
    }

    /// All entries for another router, each with the time for which the upstream is still
    /// cold.
    pub(crate) fn shared_entries(&self, now_ms: u64) -> Vec<SharedEntry> {
        let mut shared = self.registry.shared_entries(now_ms);
        for SharedEntry { name, entry, .. } in &mut shared {
            if let Some(service) = self.services.get(&entry.service) {
                entry.cold_remaining_ms = service.placement.cold_remaining_ms(now_ms, name);
            }
        }
        shared
    }

    /// Number of cold upstreams.
    pub(crate) fn cold_upstream_count(&self, now_ms: u64) -> usize {
        self.services.values().map(|service| service.placement.cold_count(now_ms)).sum()
    }
}

impl Node {
    /// Records that an upstream refused a connection: its process has ended, and one that
    /// comes back under its name has just started.
    pub(crate) fn upstream_refused(&self, upstream: &UpstreamName) {
        self.record_cold(upstream, ColdSource::Refused, |terms| terms.start_ms);
    }

    /// Records that an upstream stated in an answer for how long it is still cold.
    pub(crate) fn upstream_states_cold(&self, upstream: &UpstreamName, remaining_ms: u64) {
        self.record_cold(upstream, ColdSource::Answer, |_| remaining_ms);
    }

    fn record_cold(
        &self,
        upstream: &UpstreamName,
        source: ColdSource,
        remaining_ms: impl Fn(&ColdTerms) -> u64,
    ) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let service = state.registry.get(upstream).map(|entry| entry.service.clone());
        let Some(service) = service.and_then(|service| state.services.get_mut(&service)) else {
            return;
        };
        if let Some(terms) = service.placement.cold_terms() {
            let statement = ColdStatement::new(now_ms, remaining_ms(&terms), source);
            service.placement.record_cold(now_ms, upstream, statement);
        }
    }

    /// Follows upstreams that have become cold or warm.
    pub(crate) fn tick_cold_upstreams(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let mut changes = Vec::new();
        for service in state.services.values_mut() {
            let changed = service.placement.take_cold_changes(now_ms);
            if !changed.is_empty() {
                service.placement.apply_limits(now_ms);
            }
            changes.extend(changed);
        }
        drop(state);
        for (upstream, change) in changes {
            let ColdStatement { until_ms, stated_ms, source } = change.statement;
            info!(
                upstream = upstream.as_str(),
                source = %source,
                age_ms = now_ms.saturating_sub(stated_ms),
                remaining_ms = until_ms.saturating_sub(now_ms),
                "upstream is {}",
                if change.is_cold { "cold" } else { "warm" }
            );
        }
    }
}
