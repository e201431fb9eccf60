//! What routers state of their load, summed over failure domains.
//!
//! In a small fleet every router hears every other. In a larger one each
//! router sends its statement to one router of its failure domain, the
//! collector; collectors exchange the sums of their domains and return the sum
//! of the fleet. A collector then handles its domain's routers and one sum for
//! each other domain, whatever the size of the fleet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, InstanceName, ServiceName};

use crate::shares::Demand;

/// Age at which a statement no longer counts, in milliseconds; four periods.
const LIFETIME_MS: u64 = 2_000;

/// What a router's callers ask of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Cost units per second, by workspace.
    pub demand: Demand,
    /// Tokens of long prompts per second.
    pub long_tokens_per_s: u64,
}

/// Load by service.
pub type ServiceLoads = BTreeMap<ServiceName, ServiceLoad>;

/// Requests at an upstream from the whole fleet, as it last stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that it processes or that wait at it.
    pub requests: u32,
    /// Age of the summary, in milliseconds.
    pub age_ms: u32,
}

/// What one or more routers state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Routers that the statement covers.
    pub routers: u32,
    /// What their callers ask for.
    pub loads: ServiceLoads,
    /// Upstreams by the hash of their name.
    pub upstreams: BTreeMap<u32, ReportedLoad>,
}

impl LoadSummary {
    /// Adds another statement that is `age_ms` old.
    pub fn add(&mut self, other: &LoadSummary, age_ms: u64) {
        self.routers += other.routers;
        for (service, load) in &other.loads {
            let sum = self.loads.entry(service.clone()).or_default();
            sum.long_tokens_per_s += load.long_tokens_per_s;
            for (workspace, rate) in &load.demand {
                *sum.demand.entry(workspace.clone()).or_default() += rate;
            }
        }
        for (upstream, reported) in &other.upstreams {
            let age_ms = reported.age_ms.saturating_add(age_ms as u32);
            let newer = self.upstreams.get(upstream).is_none_or(|known| age_ms < known.age_ms);
            if newer {
                self.upstreams.insert(*upstream, ReportedLoad { age_ms, ..*reported });
            }
        }
    }
}

/// Statements that a collector has received.
#[derive(Debug, Default)]
pub struct Collected {
    routers: BTreeMap<InstanceName, (u64, LoadSummary)>,
    domains: BTreeMap<FailureDomain, (u64, LoadSummary)>,
}

impl Collected {
    /// Takes the statement of a router of the own failure domain.
    pub fn router(&mut self, now_ms: u64, name: InstanceName, summary: LoadSummary) {
        self.routers.insert(name, (now_ms, summary));
    }

    /// Takes the sum of another failure domain.
    pub fn domain(&mut self, now_ms: u64, domain: FailureDomain, summary: LoadSummary) {
        self.domains.insert(domain, (now_ms, summary));
    }

    /// Sum of the own failure domain.
    pub fn domain_sum(&mut self, now_ms: u64, own: &LoadSummary) -> LoadSummary {
        self.routers.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < LIFETIME_MS);
        let mut sum = own.clone();
        for (at_ms, summary) in self.routers.values() {
            sum.add(summary, now_ms.saturating_sub(*at_ms));
        }
        sum
    }

    /// Sum of the fleet.
    pub fn fleet_sum(&mut self, now_ms: u64, own: &LoadSummary) -> LoadSummary {
        let mut sum = self.domain_sum(now_ms, own);
        self.domains.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < LIFETIME_MS);
        for (at_ms, summary) in self.domains.values() {
            sum.add(summary, now_ms.saturating_sub(*at_ms));
        }
        sum
    }
}

/// The sum of the fleet as a router last got it.
#[derive(Debug, Default)]
pub struct FleetSum {
    received: Option<(u64, LoadSummary)>,
}

impl FleetSum {
    /// Takes a sum.
    pub fn set(&mut self, now_ms: u64, sum: LoadSummary) {
        self.received = Some((now_ms, sum));
    }

    /// The sum, unless it is too old to count.
    pub fn get(&self, now_ms: u64) -> Option<&LoadSummary> {
        let fresh = self.received.as_ref();
        let fresh = fresh.filter(|(at_ms, _)| now_ms.saturating_sub(*at_ms) < LIFETIME_MS);
        fresh.map(|(_, sum)| sum)
    }
}
