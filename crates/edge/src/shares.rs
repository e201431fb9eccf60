//! Max-min fair shares: what each workspace may use over the whole fleet while
//! demand exceeds capacity.

use std::collections::BTreeMap;

use span_types::WorkspaceName;

/// Time constant of the mean of demand, in milliseconds. Shorter than the few
/// seconds over which the users judge shares, longer than the time between two
/// large requests of a busy workspace.
const DEMAND_TIME_CONSTANT_MS: f64 = 1_500.0;
/// Smallest fraction of the mean's weights that is taken to have been observed.
/// Bounds the extrapolation just after the start.
const MIN_OBSERVED_FRACTION: f64 = 0.1;
/// Demand below which a workspace is dropped from the meter, in cost units per
/// second.
const MIN_DEMAND_PER_S: f64 = 1.0;
/// Factor by which demand may exceed the capacity before shares are enforced.
/// The cost of a request is an estimate until the request ends.
const ENFORCED_CAPACITY_FACTOR: f64 = 1.1;

/// Exponentially weighted mean of the cost that arrives per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingRate {
    cost: f64,
    updated_ms: u64,
}

impl DecayingRate {
    /// Counts the arrival of `cost` cost units.
    pub fn add(&mut self, now_ms: u64, cost: u64) {
        self.cost = self.decayed(now_ms) + cost as f64;
        self.updated_ms = now_ms;
    }

    /// Cost units per second. `now_ms` counts from the start of the process. It
    /// corrects the mean for the arrivals before the start, which were not
    /// observed.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let observed =
            (1.0 - (-(now_ms as f64) / DEMAND_TIME_CONSTANT_MS).exp()).max(MIN_OBSERVED_FRACTION);
        self.decayed(now_ms) * 1_000.0 / (DEMAND_TIME_CONSTANT_MS * observed)
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.cost * (-age_ms / DEMAND_TIME_CONSTANT_MS).exp()
    }
}

/// Demand of each workspace, in cost units per second.
pub type Demand = BTreeMap<WorkspaceName, u64>;

/// Measures the demand that arrives at this router.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    rates: BTreeMap<WorkspaceName, DecayingRate>,
}

impl DemandMeter {
    /// Counts a request of `cost` cost units.
    pub fn add(&mut self, now_ms: u64, workspace: &WorkspaceName, cost: u64) {
        match self.rates.get_mut(workspace) {
            Some(rate) => rate.add(now_ms, cost),
            None => {
                let mut rate = DecayingRate::default();
                rate.add(now_ms, cost);
                self.rates.insert(workspace.clone(), rate);
            }
        }
    }

    /// Current demand. Workspaces without demand are dropped.
    pub fn demand(&mut self, now_ms: u64) -> Demand {
        self.rates.retain(|_, rate| rate.per_s(now_ms) >= MIN_DEMAND_PER_S);
        self.rates.iter().map(|(name, rate)| (name.clone(), rate.per_s(now_ms) as u64)).collect()
    }
}

/// Max-min fair level: demand up to this level is met, larger demand is limited
/// to it, and the capacity is used up. None if the capacity meets all demand.
pub fn fair_level(demands: &[f64], capacity: f64) -> Option<f64> {
    if demands.iter().sum::<f64>() <= capacity {
        return None;
    }
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (index, demand) in sorted.iter().enumerate() {
        let level = remaining / (sorted.len() - index) as f64;
        if *demand >= level {
            return Some(level);
        }
        remaining -= demand;
    }
    None
}

/// What this router and its workspaces may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Fraction of the fleet's capacity that this router's callers are entitled
    /// to, 0 to 1.
    pub capacity_fraction: f64,
    /// Cost units per second that each workspace may use through this router.
    /// Workspaces whose demand is within the fair level have no entry.
    pub limits: BTreeMap<WorkspaceName, f64>,
}

/// Divides the capacity, in cost units per second, among workspaces and routers.
///
/// `own_demand` is the demand at this router. `fleet_demand` is the sum over the
/// `reporting_routers`, this one included; the rest of `routers` is assumed to
/// have the same demand on average.
pub fn divide_capacity(
    own_demand: &Demand,
    fleet_demand: &Demand,
    reporting_routers: usize,
    routers: usize,
    capacity: Option<u64>,
) -> Shares {
    let scale = routers.max(reporting_routers) as f64 / reporting_routers.max(1) as f64;
    let demands: Vec<f64> = fleet_demand.values().map(|rate| *rate as f64 * scale).collect();
    let level = capacity
        .and_then(|capacity| fair_level(&demands, capacity as f64 * ENFORCED_CAPACITY_FACTOR));
    let entitled = |rate: f64| level.map_or(rate, |level| rate.min(level));
    let fleet_entitled: f64 = demands.iter().map(|rate| entitled(*rate)).sum();
    let mut own_entitled = 0.0;
    let mut limits = BTreeMap::new();
    for (name, rate) in own_demand {
        // The fleet's sum may be older than this router's demand.
        let total = (fleet_demand.get(name).copied().unwrap_or(0) as f64 * scale).max(*rate as f64);
        let own_fraction = *rate as f64 / total.max(1.0);
        own_entitled += entitled(total) * own_fraction;
        if let Some(level) = level.filter(|level| total > *level) {
            limits.insert(name.clone(), level * own_fraction);
        }
    }
    let capacity_fraction = if fleet_entitled > 0.0 {
        (own_entitled / fleet_entitled).min(1.0)
    } else {
        1.0 / routers.max(1) as f64
    };
    Shares { capacity_fraction, limits }
}
