//! Estimates of what a request will cost.

use std::collections::HashMap;

use span_types::WorkspaceName;

/// Largest factor by which a hint changes the learned estimate, either way.
const HINT_FACTOR: u64 = 4;
/// Weight of the newest settled cost in the mean is one in this many.
const MEAN_WEIGHT: f64 = 8.0;
/// Estimate before any request has been settled, in cost units.
const INITIAL_ESTIMATE: f64 = 256.0;

/// Mean cost of a request per workspace, for one service.
#[derive(Clone, Debug, Default)]
pub struct EstimateTable {
    workspaces: HashMap<WorkspaceName, f64>,
    service: Option<f64>,
    largest: u64,
}

impl EstimateTable {
    /// Expected cost of a request: the workspace's mean, else the service's
    /// mean, changed by a hint by a factor of 4 at most. Never below the cost
    /// of the prompt, which is certain, and otherwise never above the largest
    /// settled cost: the bound of the gap relies on estimates that are no
    /// larger than costs can be.
    pub fn estimate(&self, workspace: &WorkspaceName, prompt_cost: u64, hint: Option<u64>) -> u64 {
        let mean = self.workspaces.get(workspace).copied();
        let mean = mean.or(self.service).unwrap_or(INITIAL_ESTIMATE).max(1.0) as u64;
        let low = mean / HINT_FACTOR;
        let largest = self.largest.max(mean);
        let high = mean.saturating_mul(HINT_FACTOR).min(largest);
        hint.map_or(mean, |hint| hint.clamp(low, high)).max(prompt_cost).max(1)
    }

    /// Records the final cost of a request.
    pub fn settle(&mut self, workspace: &WorkspaceName, cost: u64) {
        self.largest = self.largest.max(cost);
        let cost = cost as f64;
        let start = self.service.unwrap_or(cost);
        self.service = Some(start + (cost - start) / MEAN_WEIGHT);
        match self.workspaces.get_mut(workspace) {
            Some(mean) => *mean += (cost - *mean) / MEAN_WEIGHT,
            None => {
                self.workspaces.insert(workspace.clone(), cost);
            }
        }
    }

    /// Forgets workspaces that are no longer configured.
    pub fn retain(&mut self, keep: impl Fn(&WorkspaceName) -> bool) {
        self.workspaces.retain(|name, _| keep(name));
    }
}
