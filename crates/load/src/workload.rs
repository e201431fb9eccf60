//! Workloads derived from a seed: which workspaces call which service, when, and
//! at which cost.

use std::sync::Arc;

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Parameters of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadSpec {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of workspaces.
    pub workspace_count: usize,
    /// Number of large workspaces, included in `workspace_count`.
    pub large_workspace_count: usize,
    /// Number of closed-loop callers of each large workspace.
    pub large_callers: u32,
    /// Number of closed-loop callers of each small workspace.
    pub small_callers: u32,
    /// Open-loop requests of each small workspace, per second.
    pub open_per_second: f64,
    /// Fraction of calls that go to the plain service.
    pub plain_fraction: f64,
    /// Number of routers that callers send requests to.
    pub router_count: usize,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// Largest number of output tokens of a model call.
    pub max_output_tokens: u64,
}

/// Share of a large workspace. Small workspaces have share 1.
pub const LARGE_SHARE: u32 = 4;

/// Load of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Share of the workspace.
    pub share: u32,
    /// API key that its callers send.
    pub key: String,
    /// Number of closed-loop callers. Each sends its next request after the answer to
    /// the previous one.
    pub callers: u32,
    /// Open-loop requests per second, sent independently of answers.
    pub open_per_second: f64,
    /// Phases in which the workspace sends requests.
    pub phases: Vec<Phase>,
    /// Weight of each router, by index, in the random choice of the router for a request.
    /// The weights are skewed.
    pub entry_weights: Vec<f64>,
}

/// A period in which a workspace sends requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Phase {
    /// Start, in milliseconds since the start of the load.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the load.
    pub to_ms: u64,
}

/// A workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Parameters that it was generated from.
    pub spec: WorkloadSpec,
    /// Load of each workspace.
    pub workspaces: Vec<WorkspaceLoad>,
}

/// Probability that a small workspace pauses in the middle of the run, so that
/// workloads include idle workspaces that become active again.
const PAUSING_FRACTION: f64 = 0.25;
// Weights of the routers for one workspace; which router is first is random.
const FIRST_ROUTER_WEIGHT: f64 = 6.0;
const SECOND_ROUTER_WEIGHT: f64 = 3.0;
const OTHER_ROUTER_WEIGHT: f64 = 0.25;

/// Generates a workload from its parameters.
pub fn generate(spec: &WorkloadSpec) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
    let workspaces =
        (0..spec.workspace_count).map(|index| workspace_load(spec, index, &mut rng)).collect();
    Workload { spec: spec.clone(), workspaces }
}

fn workspace_load(spec: &WorkloadSpec, index: usize, rng: &mut ChaCha8Rng) -> WorkspaceLoad {
    let is_large = index < spec.large_workspace_count;
    let name: Arc<str> = format!("ws-{index:02}").into();
    WorkspaceLoad {
        key: format!("key-{name}-{:08x}", rng.random::<u32>()),
        share: if is_large { LARGE_SHARE } else { 1 },
        callers: if is_large { spec.large_callers } else { spec.small_callers },
        open_per_second: if is_large { 0.0 } else { spec.open_per_second },
        phases: activity_phases(spec, is_large, rng),
        entry_weights: entry_weights(spec.router_count, rng),
        name,
    }
}

fn activity_phases(spec: &WorkloadSpec, is_large: bool, rng: &mut ChaCha8Rng) -> Vec<Phase> {
    let full_run = Phase { from_ms: 0, to_ms: spec.duration_ms };
    if is_large || !rng.random_bool(PAUSING_FRACTION) {
        return vec![full_run];
    }
    let pause_from = rng.random_range(spec.duration_ms / 5..=spec.duration_ms / 2);
    let pause_to = pause_from + spec.duration_ms / 5;
    vec![Phase { to_ms: pause_from, ..full_run }, Phase { from_ms: pause_to, ..full_run }]
}

fn entry_weights(router_count: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut weights = vec![OTHER_ROUTER_WEIGHT; router_count];
    let mut order: Vec<usize> = (0..router_count).collect();
    order.shuffle(rng);
    for (router, weight) in order.iter().zip([FIRST_ROUTER_WEIGHT, SECOND_ROUTER_WEIGHT]) {
        weights[*router] = weight;
    }
    weights
}
