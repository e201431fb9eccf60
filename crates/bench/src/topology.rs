//! The deployments of section 1.1 of the design.

use span_load::workload::WorkloadSpec;

use crate::args::{Args, Experiment};

/// A deployment: services, upstreams, failure domains and network delays.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Failure domains; processes are assigned to them in rotation.
    pub failure_domains: &'static [&'static str],
    /// Name of the model service.
    pub model_service: &'static str,
    /// Number of upstreams of the model service.
    pub model_upstream_count: usize,
    /// Name of the plain service.
    pub plain_service: &'static str,
    /// Number of upstreams of the plain service.
    pub plain_upstream_count: usize,
    /// One-way delay between failure domains, in microseconds.
    pub inter_domain_delay_us: u64,
    /// One-way delay between clients and routers, in microseconds.
    pub client_delay_us: u64,
}

const MAGNOLIA: Topology = Topology {
    failure_domains: &["hall-atl", "hall-bhm", "hall-jxn"],
    model_service: "stitch-assist",
    model_upstream_count: 18,
    plain_service: "booking-desk",
    plain_upstream_count: 3,
    inter_domain_delay_us: 1_000,
    client_delay_us: 3_000,
};

const CORDILLERA: Topology = Topology {
    failure_domains: &["quito-a", "quito-b", "cumbaya", "ibarra"],
    model_service: "rosemary-pool",
    model_upstream_count: 9,
    plain_service: "portal-app",
    plain_upstream_count: 4,
    inter_domain_delay_us: 1_500,
    client_delay_us: 3_000,
};

// Capacity of the stand-ins. A slot generates 200 tokens/s, so that the largest
// request (464 cost units) takes 2 s and a run of 20 s contains thousands of
// requests. At a higher rate the processors of the machine would be the limit.
/// Number of slots of each engine.
pub const ENGINE_SLOTS: u32 = 4;
/// Time in which an engine generates a token, in microseconds.
pub const ENGINE_TOKEN_US: u64 = 5_000;
/// Number of slots of each plain upstream.
pub const SERVICE_SLOTS: u32 = 4;
/// Duration of a plain call, in milliseconds.
pub const SERVICE_CALL_MS: u64 = 50;

const WORKSPACE_COUNT: usize = 16;
const LARGE_WORKSPACE_COUNT: usize = 3;
const LARGE_CALLERS_PER_UPSTREAM: f64 = 2.5;
/// A small workspace has about four times as many callers as its share of the slots
/// serves, so that it stays backlogged. With 0.4 its backlog was interrupted so often
/// that first come, first served showed almost no gap.
const SMALL_CALLERS_PER_UPSTREAM: f64 = 0.7;
const OPEN_LOOP_REQUESTS_PER_S: f64 = 1.0;
const PLAIN_FRACTION: f64 = 0.3;
const MAX_OUTPUT_TOKENS: u64 = 400;
const MS_PER_S: u64 = 1000;
const FLOOD_DEMAND_FACTOR: f64 = 50.0;

impl Topology {
    /// Returns the deployment of an experiment.
    pub fn for_experiment(experiment: Experiment) -> Self {
        match experiment {
            Experiment::Cordillera => CORDILLERA,
            _ => MAGNOLIA,
        }
    }

    /// Returns the total number of slots of the model service.
    pub fn model_slots(&self) -> u32 {
        self.model_upstream_count as u32 * ENGINE_SLOTS
    }

    /// Returns the total number of slots of the plain service.
    pub fn plain_slots(&self) -> u32 {
        self.plain_upstream_count as u32 * SERVICE_SLOTS
    }

    /// Returns the parameters of the workload. The number of callers is proportional
    /// to that of the upstreams, so that the model service is backlogged in both
    /// deployments.
    pub fn workload_spec(&self, args: &Args) -> WorkloadSpec {
        let upstreams = self.model_upstream_count as f64;
        WorkloadSpec {
            seed: args.seed,
            workspace_count: WORKSPACE_COUNT,
            large_workspace_count: LARGE_WORKSPACE_COUNT,
            large_callers: (upstreams * LARGE_CALLERS_PER_UPSTREAM) as u32,
            small_callers: (upstreams * SMALL_CALLERS_PER_UPSTREAM) as u32,
            open_per_second: OPEN_LOOP_REQUESTS_PER_S,
            plain_fraction: PLAIN_FRACTION,
            router_count: args.router_count,
            duration_ms: args.seconds * MS_PER_S,
            max_output_tokens: MAX_OUTPUT_TOKENS,
        }
    }

    /// Returns the number of callers of a workspace that offers 50 times its share of
    /// the slots.
    pub fn flood_callers(&self, share: u32, total_share: u32) -> u32 {
        let fraction = f64::from(share) / f64::from(total_share);
        (FLOOD_DEMAND_FACTOR * fraction * f64::from(self.model_slots())).ceil() as u32
    }
}
