//! Load summaries of routers, aggregated over failure domains.
//!
//! In a small fleet every router exchanges heartbeats with every other. In a
//! larger one, each router sends its load summary to the collector of its
//! failure domain. Collectors send each other the sums of their domains and
//! return the sum of the fleet to their routers. A collector thus handles the
//! routers of its domain and one sum for each other domain, whatever the size of
//! the fleet.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, InstanceName, ServiceName};

use crate::{
    caller_time::{self, ShortestLimits},
    shares::Demand,
};

/// Age from which a load summary is ignored, in milliseconds; three intervals of a
/// router without callers.
const SUMMARY_LIFETIME_MS: u64 = 2_000;
/// Interval between the load summaries of routers with callers, in milliseconds.
pub const BUSY_INTERVAL_MS: u64 = 200;
/// The same for routers without callers, in intervals of the others.
pub const IDLE_INTERVALS: u64 = 3;
/// Mean age of the requests in flight in the sum of the fleet when a router receives
/// it, in milliseconds: a summary waits for half an interval at each collector.
pub const MEAN_IN_FLIGHT_AGE_MS: u64 = BUSY_INTERVAL_MS;

/// Load that callers put on one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Cost units per second, by workspace.
    pub demand: Demand,
    /// Tokens of long prompts per second.
    pub long_tokens_per_s: u64,
    /// Time limits of callers.
    pub shortest_limits: ShortestLimits,
}

/// What routers report and collectors sum up.
pub trait Summary: Clone {
    /// Adds the summary of other routers, which is `age_ms` old.
    fn add(&mut self, other: &Self, age_ms: u64);

    /// Whether the routers of the summary need no frequent news.
    fn is_idle(&self) -> bool;
}

/// Load by service.
pub type ServiceLoads = BTreeMap<ServiceName, ServiceLoad>;

/// Requests of the whole fleet at an upstream, from its last load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests that the upstream processes or queues.
    pub requests: u32,
    /// Age of the load report, in milliseconds.
    pub age_ms: u32,
    /// How long work took at the upstream, as a percentage of the usual time; none if it
    /// does not state that.
    pub work_time_percent: Option<u16>,
}

/// Load of one or more routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Number of routers that the summary covers.
    pub routers: u32,
    /// Load from the callers of these routers.
    pub loads: ServiceLoads,
    /// Load of upstreams, by the low half of the hash of their name.
    pub upstreams: BTreeMap<u32, ReportedLoad>,
    /// Requests that these routers have at upstreams, by the same key. A load report
    /// comes with the start of a request; without new requests only this tells that
    /// earlier ones have ended.
    pub in_flight: BTreeMap<u32, u32>,
}

impl Summary for LoadSummary {
    /// Adds loads. Of two reports of an upstream, the newer one stays.
    fn add(&mut self, other: &Self, age_ms: u64) {
        self.routers += other.routers;
        for (upstream, requests) in &other.in_flight {
            *self.in_flight.entry(*upstream).or_default() += requests;
        }
        for (service, load) in &other.loads {
            let sum = self.loads.entry(service.clone()).or_default();
            sum.long_tokens_per_s += load.long_tokens_per_s;
            caller_time::merge_limits(&mut sum.shortest_limits, &load.shortest_limits);
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

    fn is_idle(&self) -> bool {
        self.loads.is_empty()
    }
}

/// Summaries that a collector has received, or, in a small fleet, any router.
#[derive(Debug)]
pub struct ReceivedSummaries<S = LoadSummary> {
    /// Time of receipt and summary of each router of the collector's failure domain, or
    /// of each other router of a small fleet.
    routers: BTreeMap<InstanceName, (u64, S)>,
    /// Time of receipt and sum of each other failure domain.
    domains: BTreeMap<FailureDomain, (u64, S)>,
}

impl<S> Default for ReceivedSummaries<S> {
    fn default() -> Self {
        Self { routers: BTreeMap::new(), domains: BTreeMap::new() }
    }
}

impl<S: Summary> ReceivedSummaries<S> {
    /// Stores the summary of a router.
    pub fn set_router(&mut self, now_ms: u64, name: InstanceName, summary: S) {
        self.routers.insert(name, (now_ms, summary));
    }

    /// Stores the sum of another failure domain.
    pub fn set_domain(&mut self, now_ms: u64, domain: FailureDomain, summary: S) {
        self.domains.insert(domain, (now_ms, summary));
    }

    /// Routers of the collector's failure domain that have callers.
    pub fn busy_routers(&self) -> BTreeSet<InstanceName> {
        let busy = self.routers.iter().filter(|(_, (_, summary))| !summary.is_idle());
        busy.map(|(name, _)| name.clone()).collect()
    }

    /// Sum over the collector's failure domain; `own` is the collector's summary.
    pub fn domain_sum(&mut self, now_ms: u64, own: &S) -> S {
        self.routers.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < SUMMARY_LIFETIME_MS);
        let mut sum = own.clone();
        for (at_ms, summary) in self.routers.values() {
            sum.add(summary, now_ms.saturating_sub(*at_ms));
        }
        sum
    }

    /// Sum over the fleet; `own` is the collector's summary.
    pub fn fleet_sum(&mut self, now_ms: u64, own: &S) -> S {
        let mut sum = self.domain_sum(now_ms, own);
        self.domains.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < SUMMARY_LIFETIME_MS);
        for (at_ms, summary) in self.domains.values() {
            sum.add(summary, now_ms.saturating_sub(*at_ms));
        }
        sum
    }
}

/// The last summary of the whole fleet that a router received.
#[derive(Debug)]
pub struct FleetSummary<S = LoadSummary> {
    received: Option<(u64, S)>,
}

impl<S> Default for FleetSummary<S> {
    fn default() -> Self {
        Self { received: None }
    }
}

impl<S: Summary> FleetSummary<S> {
    /// Stores a summary of the fleet.
    pub fn set(&mut self, now_ms: u64, sum: S) {
        self.received = Some((now_ms, sum));
    }

    /// The last summary and the time of its receipt, unless it is too old.
    pub fn get(&self, now_ms: u64) -> Option<(u64, &S)> {
        let fresh = self.received.as_ref();
        let fresh = fresh.filter(|(at_ms, _)| now_ms.saturating_sub(*at_ms) < SUMMARY_LIFETIME_MS);
        fresh.map(|(at_ms, sum)| (*at_ms, sum))
    }
}
