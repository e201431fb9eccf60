//! Workloads: who calls what, at which cost and when, derived from a seed.

use std::sync::Arc;

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Sizes of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Seed from which everything else follows.
    pub seed: u64,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Number of large workspaces among them.
    pub large: usize,
    /// Callers in a closed loop in each large workspace.
    pub large_callers: u32,
    /// Callers in a closed loop in each small workspace.
    pub small_callers: u32,
    /// Calls in an open loop in each small workspace, per second.
    pub open_per_second: f64,
    /// Fraction of calls that go to the plain service.
    pub plain_fraction: f64,
    /// Number of routers that callers may enter through.
    pub routers: usize,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
    /// Largest output of a model call, in tokens.
    pub max_output_tokens: u64,
}

/// Share of a large workspace; small ones have share 1.
pub const LARGE_SHARE: u32 = 4;

/// One workspace's part of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLoad {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Its share.
    pub share: u32,
    /// Key that its callers send.
    pub key: String,
    /// Callers that send their next request after the answer to the last.
    pub callers: u32,
    /// Requests sent regardless of answers, per second.
    pub open_per_second: f64,
    /// Times of activity since the start of the load, in milliseconds.
    pub phases: Vec<Phase>,
    /// Weight of each router as entry; skewed.
    pub entry_weights: Vec<f64>,
}

/// A time during which a workspace is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Phase {
    /// Start since the start of the load, in milliseconds.
    pub from_ms: u64,
    /// End since the start of the load, in milliseconds.
    pub to_ms: u64,
}

/// A whole workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// What it was made from.
    pub spec: Spec,
    /// Parts by workspace.
    pub workspaces: Vec<WorkspaceLoad>,
}

/// Fraction of small workspaces that pause in the middle of the run, so that
/// idle times and returns are part of every workload.
const PAUSING_FRACTION: f64 = 0.25;
/// Fraction of a workspace's calls that enter through its first router.
const FIRST_ENTRY_WEIGHT: f64 = 6.0;
const SECOND_ENTRY_WEIGHT: f64 = 3.0;
const OTHER_ENTRY_WEIGHT: f64 = 0.25;

/// Derives a workload from its sizes.
pub fn generate(spec: &Spec) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
    let workspaces = (0..spec.workspaces).map(|index| workspace(spec, index, &mut rng)).collect();
    Workload { spec: spec.clone(), workspaces }
}

fn workspace(spec: &Spec, index: usize, rng: &mut ChaCha8Rng) -> WorkspaceLoad {
    let large = index < spec.large;
    let name: Arc<str> = format!("ws-{index:02}").into();
    WorkspaceLoad {
        key: format!("key-{name}-{:08x}", rng.random::<u32>()),
        share: if large { LARGE_SHARE } else { 1 },
        callers: if large { spec.large_callers } else { spec.small_callers },
        open_per_second: if large { 0.0 } else { spec.open_per_second },
        phases: phases(spec, large, rng),
        entry_weights: entry_weights(spec.routers, rng),
        name,
    }
}

fn phases(spec: &Spec, large: bool, rng: &mut ChaCha8Rng) -> Vec<Phase> {
    let whole = Phase { from_ms: 0, to_ms: spec.duration_ms };
    if large || !rng.random_bool(PAUSING_FRACTION) {
        return vec![whole];
    }
    let pause_from = rng.random_range(spec.duration_ms / 5..=spec.duration_ms / 2);
    let pause_to = pause_from + spec.duration_ms / 5;
    vec![Phase { to_ms: pause_from, ..whole }, Phase { from_ms: pause_to, ..whole }]
}

fn entry_weights(routers: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut weights = vec![OTHER_ENTRY_WEIGHT; routers];
    let mut order: Vec<usize> = (0..routers).collect();
    order.shuffle(rng);
    for (router, weight) in order.iter().zip([FIRST_ENTRY_WEIGHT, SECOND_ENTRY_WEIGHT]) {
        weights[*router] = weight;
    }
    weights
}
