//! Estimates of the cost of a request.

use std::collections::HashMap;

use span_types::WorkspaceName;

/// Largest factor by which a hint raises or lowers the learned estimate.
const MAX_HINT_FACTOR: u64 = 4;
/// The weight of the latest cost in a moving average is 1 divided by this
/// number.
const MEAN_COST_SMOOTHING_DIVISOR: f64 = 8.0;
/// Estimate before the first request has finished.
const INITIAL_ESTIMATE_COST_UNITS: f64 = 256.0;

/// Moving average of the cost per request, for each workspace of one service.
#[derive(Clone, Debug, Default)]
pub struct CostEstimates {
    workspace_means: HashMap<WorkspaceName, f64>,
    service_mean: Option<f64>,
    max_cost: u64,
}

impl CostEstimates {
    /// Expected cost of a request, in cost units: the mean of the workspace, or
    /// the mean of the service if the workspace has none yet. A hint changes it
    /// by a factor of 4 at most.
    ///
    /// The estimate is never below the cost of the prompt, which is certain.
    /// Otherwise it is never above the largest cost so far, because the
    /// fairness gap bound requires estimates that do not exceed real costs.
    /// Before the first request has finished, it is at most 256.
    pub fn estimate(&self, workspace: &WorkspaceName, prompt_cost: u64, hint: Option<u64>) -> u64 {
        let mean = self.workspace_means.get(workspace).copied();
        let mean =
            mean.or(self.service_mean).unwrap_or(INITIAL_ESTIMATE_COST_UNITS).max(1.0) as u64;
        let min_estimate = mean / MAX_HINT_FACTOR;
        let max_cost = self.max_cost.max(mean);
        let max_estimate = mean.saturating_mul(MAX_HINT_FACTOR).min(max_cost);
        hint.map_or(mean, |hint| hint.clamp(min_estimate, max_estimate)).max(prompt_cost).max(1)
    }

    /// Records the final cost of a request, in cost units.
    pub fn record_cost(&mut self, workspace: &WorkspaceName, cost: u64) {
        self.max_cost = self.max_cost.max(cost);
        let cost = cost as f64;
        let start = self.service_mean.unwrap_or(cost);
        self.service_mean = Some(start + (cost - start) / MEAN_COST_SMOOTHING_DIVISOR);
        match self.workspace_means.get_mut(workspace) {
            Some(mean) => *mean += (cost - *mean) / MEAN_COST_SMOOTHING_DIVISOR,
            None => {
                self.workspace_means.insert(workspace.clone(), cost);
            }
        }
    }

    /// Removes the means of all workspaces for which `keep` returns false.
    pub fn retain_workspaces(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.workspace_means.retain(|name, _| keep(name));
    }
}
