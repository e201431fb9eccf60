//! Checks of a simulated fleet after each step, against bounds that are
//! computed from the scenario.

use span_fair::{DispatchPolicy, fairness_gap_bound, report_period_ms};

use super::{COST_MERGE_INTERVAL_MS, Fault, Fleet, MAX_MESSAGE_DELAY_MS, QueueModel, Scenario};

/// Largest age of the information that an owner uses, computed from the
/// scenario.
pub fn age_ms(scenario: &Scenario) -> u64 {
    let period_ms = report_period_ms(scenario.routers);
    let lost_report_ms = if scenario.fault == Fault::LostReports { period_ms } else { 0 };
    let merge_ms = if scenario.shards > 1 { COST_MERGE_INTERVAL_MS } else { 0 };
    period_ms + lost_report_ms + merge_ms + 2 * MAX_MESSAGE_DELAY_MS
}

/// Range of the difference between two virtual times while both workspaces are
/// backlogged.
#[derive(Clone, Copy, Debug)]
struct DifferenceRange {
    lowest: f64,
    highest: f64,
}

/// Largest values that the checks have found.
#[derive(Debug)]
pub struct Checks {
    difference_ranges: Vec<Option<DifferenceRange>>,
    idle_since_ms: Vec<u64>,
    /// Served cost of each workspace, and the time of its latest change or at
    /// which the workspace last had no waiting request.
    last_service: Vec<(f64, u64)>,
    pub max_gap: f64,
    pub max_gap_fraction_of_bound: f64,
    /// Longest time for which an upstream had a free slot while requests waited.
    pub max_idle_ms: u64,
    pub idle_slot_ms: u64,
    /// Longest time for which a workspace with waiting requests was not served.
    pub max_unserved_ms: u64,
    /// Time at which slots were first in use or held beyond a limit.
    pub first_overcommitted_ms: Option<u64>,
}

impl Checks {
    fn new(scenario: &Scenario) -> Self {
        let count = scenario.loads.len();
        Self {
            difference_ranges: vec![None; count * count],
            idle_since_ms: vec![0; scenario.upstreams],
            last_service: vec![(0.0, 0); count],
            max_gap: 0.0,
            max_gap_fraction_of_bound: 0.0,
            max_idle_ms: 0,
            idle_slot_ms: 0,
            max_unserved_ms: 0,
            first_overcommitted_ms: None,
        }
    }

    fn record_step(&mut self, fleet: &Fleet) {
        if fleet.is_disturbed() {
            *self = Self {
                max_gap: self.max_gap,
                max_gap_fraction_of_bound: self.max_gap_fraction_of_bound,
                max_idle_ms: self.max_idle_ms,
                idle_slot_ms: self.idle_slot_ms,
                max_unserved_ms: self.max_unserved_ms,
                first_overcommitted_ms: self.first_overcommitted_ms,
                idle_since_ms: vec![fleet.now_ms; fleet.scenario.upstreams],
                last_service: vec![(0.0, fleet.now_ms); fleet.served.len()],
                ..Self::new(&fleet.scenario)
            };
            return;
        }
        self.check_work_conservation(fleet);
        self.check_starvation(fleet);
        if fleet.now_ms.is_multiple_of(5) {
            self.check_gaps(fleet);
        }
    }

    fn check_gaps(&mut self, fleet: &Fleet) {
        let loads = &fleet.scenario.loads;
        let virtual_time =
            |workspace: usize| fleet.served[workspace] / f64::from(loads[workspace].share);
        for a in 0..loads.len() {
            for b in 0..a {
                let range = &mut self.difference_ranges[a * loads.len() + b];
                if fleet.waiting[a] == 0 || fleet.waiting[b] == 0 {
                    *range = None;
                    continue;
                }
                let difference = virtual_time(a) - virtual_time(b);
                let range = range
                    .get_or_insert(DifferenceRange { lowest: difference, highest: difference });
                range.lowest = range.lowest.min(difference);
                range.highest = range.highest.max(difference);
                let gap = range.highest - range.lowest;
                let share = loads[a].share.min(loads[b].share);
                self.max_gap = self.max_gap.max(gap);
                self.max_gap_fraction_of_bound =
                    self.max_gap_fraction_of_bound.max(gap / gap_bound(&fleet.scenario, share));
            }
        }
    }

    fn check_work_conservation(&mut self, fleet: &Fleet) {
        let waiting: u32 = fleet.waiting.iter().sum();
        let free = fleet.free_slots();
        let idle = free.iter().sum::<u32>().min(waiting);
        self.idle_slot_ms += u64::from(idle);
        for (since_ms, free) in self.idle_since_ms.iter_mut().zip(free) {
            if free == 0 || waiting == 0 {
                *since_ms = fleet.now_ms;
            }
            self.max_idle_ms = self.max_idle_ms.max(fleet.now_ms - *since_ms);
        }
    }

    fn check_starvation(&mut self, fleet: &Fleet) {
        for (workspace, last_served) in self.last_service.iter_mut().enumerate() {
            if fleet.served[workspace] != last_served.0 || fleet.waiting[workspace] == 0 {
                *last_served = (fleet.served[workspace], fleet.now_ms);
            }
            self.max_unserved_ms = self.max_unserved_ms.max(fleet.now_ms - last_served.1);
        }
    }
}

pub fn gap_bound(scenario: &Scenario, share: u32) -> f64 {
    fairness_gap_bound(
        scenario.capacity(),
        scenario.max_cost(),
        scenario.rate,
        age_ms(scenario),
        share,
    )
}

/// Time in which all slots together serve as much cost to the other workspaces
/// as the gap bound allows, and one request ends. A workspace without service
/// for longer is behind the others by more than the bound.
pub fn starvation_limit_ms(scenario: &Scenario) -> u64 {
    let shares: u32 = scenario.loads.iter().map(|load| load.share).sum();
    let per_second = f64::from(scenario.capacity()) * scenario.rate as f64;
    let request_ms = scenario.max_cost() * 1_000 / scenario.rate;
    (gap_bound(scenario, 1) * f64::from(shares) / per_second * 1_000.0) as u64 + request_ms
}

/// Longest time for which a slot may be idle while requests wait. The router
/// with waiting requests, the router that confirms a revocation and the owner's
/// push each wait for a token, which takes a quarter of a period. The router
/// with the free slot learns within a period that others need it. The report of
/// either router can be lost.
pub fn idle_limit_ms(scenario: &Scenario) -> u64 {
    let period_ms = report_period_ms(scenario.routers);
    let lost_report_ms = if scenario.fault == Fault::LostReports { period_ms } else { 0 };
    age_ms(scenario) + 3 * period_ms / 4 + 2 * MAX_MESSAGE_DELAY_MS + lost_report_ms
}

pub fn run(scenario: &Scenario, queue_model: QueueModel) -> (Fleet, Checks) {
    let mut fleet = Fleet::new(scenario.clone(), queue_model);
    let mut checks = Checks::new(scenario);
    while fleet.now_ms < scenario.duration_ms {
        fleet.step();
        checks.record_step(&fleet);
        if fleet.overcommitted > 0 && !fleet.is_disturbed() {
            checks.first_overcommitted_ms.get_or_insert(fleet.now_ms);
        }
    }
    (fleet, checks)
}

/// Runs the scenario and returns the first violation of a bound.
pub fn check(scenario: &Scenario) -> Result<(), String> {
    let (fleet, checks) = run(scenario, QueueModel::Routers(DispatchPolicy::Fleet));
    let (allowed_idle_ms, allowed_unserved_ms) =
        (idle_limit_ms(scenario), starvation_limit_ms(scenario));
    let fraction = if scenario.fault == Fault::None {
        fraction_of_central_queue(scenario, &fleet)
    } else {
        1.0
    };
    let conditions = [
        (
            checks.first_overcommitted_ms.is_some(),
            format!("slots in use or held beyond a limit: {checks:?}"),
        ),
        (
            checks.max_gap_fraction_of_bound > 1.0,
            format!("gap is {} of the bound", checks.max_gap_fraction_of_bound),
        ),
        (
            checks.max_idle_ms > allowed_idle_ms,
            format!("a slot idle {} ms > {allowed_idle_ms} ms", checks.max_idle_ms),
        ),
        (
            checks.max_unserved_ms > allowed_unserved_ms,
            format!("starved {} ms > {allowed_unserved_ms} ms", checks.max_unserved_ms),
        ),
        (fraction < 0.9, format!("served {fraction} of the central queue")),
    ];
    conditions
        .into_iter()
        .find(|(violated, _)| *violated)
        .map_or(Ok(()), |(_, message)| Err(message))
}

fn fraction_of_central_queue(scenario: &Scenario, fleet: &Fleet) -> f64 {
    let (central, _) = run(scenario, QueueModel::CentralQueue);
    fleet.served.iter().sum::<f64>() / central.served.iter().sum::<f64>().max(1.0)
}
