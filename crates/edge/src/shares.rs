//! What each workspace may use while demand exceeds capacity, over the whole
//! fleet.

use std::collections::BTreeMap;

use span_types::WorkspaceName;

/// Time over which demand is averaged, in milliseconds. Shorter than the few
/// seconds over which the users judge shares, longer than the pause between
/// two large requests of a busy workspace.
const WINDOW_MS: f64 = 1_500.0;
/// Least part of a window from which a mean is drawn.
const MIN_SEEN: f64 = 0.1;
/// Demand below which a workspace is forgotten, in cost units per second.
const FORGOTTEN_PER_S: f64 = 1.0;
/// Part of the capacity beyond which shares are enforced. The cost of a
/// request is a guess until it ends.
const ENFORCED_PART: f64 = 1.1;

/// Exponential mean of the cost that arrives per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    cost: f64,
    at_ms: u64,
}

impl Rate {
    /// Counts an arrival.
    pub fn add(&mut self, now_ms: u64, cost: u64) {
        self.cost = self.decayed(now_ms) + cost as f64;
        self.at_ms = now_ms;
    }

    /// Cost units per second. `now_ms` counts from the start of the process:
    /// until a window has passed, what came before the start is missing from
    /// the mean.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let seen = (1.0 - (-(now_ms as f64) / WINDOW_MS).exp()).max(MIN_SEEN);
        self.decayed(now_ms) * 1_000.0 / (WINDOW_MS * seen)
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.cost * (-age_ms / WINDOW_MS).exp()
    }
}

/// Demand of each workspace at one router, in cost units per second.
pub type Demand = BTreeMap<WorkspaceName, u64>;

/// Demand as this router sees it arrive.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: BTreeMap<WorkspaceName, Rate>,
}

impl DemandMeter {
    /// Counts a request.
    pub fn add(&mut self, now_ms: u64, workspace: &WorkspaceName, cost: u64) {
        match self.rates.get_mut(workspace) {
            Some(rate) => rate.add(now_ms, cost),
            None => {
                let mut rate = Rate::default();
                rate.add(now_ms, cost);
                self.rates.insert(workspace.clone(), rate);
            }
        }
    }

    /// Demand now; forgets workspaces that ask for nothing.
    pub fn demand(&mut self, now_ms: u64) -> Demand {
        self.rates.retain(|_, rate| rate.per_s(now_ms) >= FORGOTTEN_PER_S);
        self.rates.iter().map(|(name, rate)| (name.clone(), rate.per_s(now_ms) as u64)).collect()
    }
}

/// The fair level: what each workspace that asks for more gets, so that all
/// demand below it is met and the capacity is used up. None if the capacity
/// meets all demand.
pub fn fair_level(demands: &[f64], capacity: f64) -> Option<f64> {
    if demands.iter().sum::<f64>() <= capacity {
        return None;
    }
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *demand >= level {
            return Some(level);
        }
        left -= demand;
    }
    None
}

/// What this router may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Part of the fleet's capacity that this router's callers are entitled
    /// to, 0 to 1.
    pub part: f64,
    /// Cost units per second that each workspace may use through this router.
    /// Workspaces that ask for less than the fair level are not named.
    pub limits: BTreeMap<WorkspaceName, f64>,
}

/// Divides the capacity. `fleet` is the demand at all routers, this one
/// included, of which `heard` of `routers` were heard; the others are taken to
/// be like them.
pub fn divide(
    own: &Demand,
    fleet: &Demand,
    heard: usize,
    routers: usize,
    capacity: Option<u64>,
) -> Shares {
    let scale = routers.max(heard) as f64 / heard.max(1) as f64;
    let demands: Vec<f64> = fleet.values().map(|rate| *rate as f64 * scale).collect();
    let level = capacity.and_then(|capacity| fair_level(&demands, capacity as f64 * ENFORCED_PART));
    let entitled = |rate: f64| level.map_or(rate, |level| rate.min(level));
    let all: f64 = demands.iter().map(|rate| entitled(*rate)).sum();
    let mut mine = 0.0;
    let mut limits = BTreeMap::new();
    for (name, rate) in own {
        // The sum may be older than the own demand.
        let asked = (fleet.get(name).copied().unwrap_or(0) as f64 * scale).max(*rate as f64);
        let here = *rate as f64 / asked.max(1.0);
        mine += entitled(asked) * here;
        if let Some(level) = level.filter(|level| asked > *level) {
            limits.insert(name.clone(), level * here);
        }
    }
    let part = if all > 0.0 { (mine / all).min(1.0) } else { 1.0 / routers.max(1) as f64 };
    Shares { part, limits }
}
