//! Sizes of the deployments of section 1.1 of the design.

use span_load::workload::WorkloadSpec;

use crate::args::{Args, Experiment};

/// A deployment: what runs where, and how far apart.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Failure domains; processes are spread over them in turn.
    pub domains: &'static [&'static str],
    /// Name of the model service.
    pub model_service: &'static str,
    /// Replicas of the model service.
    pub model_replicas: usize,
    /// Name of the plain service.
    pub plain_service: &'static str,
    /// Replicas of the plain service.
    pub plain_replicas: usize,
    /// One-way delay between failure domains, in microseconds.
    pub domain_delay_us: u64,
    /// One-way delay to clients, in microseconds.
    pub client_delay_us: u64,
}

const MAGNOLIA: Topology = Topology {
    domains: &["hall-atl", "hall-bhm", "hall-jxn"],
    model_service: "stitch-assist",
    model_replicas: 18,
    plain_service: "booking-desk",
    plain_replicas: 3,
    domain_delay_us: 1_000,
    client_delay_us: 3_000,
};

const CORDILLERA: Topology = Topology {
    domains: &["quito-a", "quito-b", "cumbaya", "ibarra"],
    model_service: "rosemary-pool",
    model_replicas: 9,
    plain_service: "portal-app",
    plain_replicas: 4,
    domain_delay_us: 1_500,
    client_delay_us: 3_000,
};

// Sizes of the stand-ins. A slot generates 200 tokens/s, so that the largest
// request (464 cost units) takes 2 s and a run of 20 s holds thousands of
// requests; more tokens per second would measure this machine's processors.
/// Slots of each engine.
pub const ENGINE_SLOTS: u32 = 4;
/// Time per token of an engine, in microseconds.
pub const TOKEN_US: u64 = 5_000;
/// Slots of each plain service.
pub const SERVICE_SLOTS: u32 = 4;
/// Time of one plain call, in milliseconds.
pub const CALL_MS: u64 = 50;

const WORKSPACES: usize = 16;
const LARGE_WORKSPACES: usize = 3;
const LARGE_CALLERS_PER_REPLICA: f64 = 2.5;
/// A small workspace has about four times the callers that its share of the
/// slots serves, so that it stays backlogged; with 0.4 its backlog broke off
/// so often that first come, first served showed next to no gap.
const SMALL_CALLERS_PER_REPLICA: f64 = 0.7;
const OPEN_PER_SECOND: f64 = 1.0;
const PLAIN_FRACTION: f64 = 0.3;
const MAX_OUTPUT_TOKENS: u64 = 400;
const MS_PER_S: u64 = 1000;
const FLOOD_FACTOR: f64 = 50.0;

impl Topology {
    /// The deployment of an experiment.
    pub fn of(experiment: Experiment) -> Self {
        match experiment {
            Experiment::Cordillera => CORDILLERA,
            _ => MAGNOLIA,
        }
    }

    /// Slots of the model service.
    pub fn model_slots(&self) -> u32 {
        self.model_replicas as u32 * ENGINE_SLOTS
    }

    /// Slots of the plain service.
    pub fn plain_slots(&self) -> u32 {
        self.plain_replicas as u32 * SERVICE_SLOTS
    }

    /// The workload: callers are in proportion to the replicas, so that the
    /// model service is backlogged at both sizes.
    pub fn spec(&self, args: &Args) -> WorkloadSpec {
        let replicas = self.model_replicas as f64;
        WorkloadSpec {
            seed: args.seed,
            workspace_count: WORKSPACES,
            large_workspace_count: LARGE_WORKSPACES,
            large_callers: (replicas * LARGE_CALLERS_PER_REPLICA) as u32,
            small_callers: (replicas * SMALL_CALLERS_PER_REPLICA) as u32,
            open_per_second: OPEN_PER_SECOND,
            plain_fraction: PLAIN_FRACTION,
            router_count: args.routers,
            duration_ms: args.seconds * MS_PER_S,
            max_output_tokens: MAX_OUTPUT_TOKENS,
        }
    }

    /// Callers of a workspace that offers 50 times its share of the slots.
    pub fn flood_callers(&self, share: u32, total_share: u32) -> u32 {
        let fraction = f64::from(share) / f64::from(total_share);
        (FLOOD_FACTOR * fraction * f64::from(self.model_slots())).ceil() as u32
    }
}
