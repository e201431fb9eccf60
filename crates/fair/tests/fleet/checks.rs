//! Checks of a fleet after each step, against bounds computed from the scenario.

use span_fair::{DispatchPolicy, fairness_gap_bound, report_period_ms};

use super::{Arrangement, DELAY_MS, Fault, Fleet, MERGE_MS, Scenario};

/// Longest age of what an owner decides on, from the scenario alone.
pub fn age_ms(scenario: &Scenario) -> u64 {
    let period_ms = report_period_ms(scenario.routers);
    let lost_ms = if scenario.fault == Fault::LostReports { period_ms } else { 0 };
    let merge_ms = if scenario.shards > 1 { MERGE_MS } else { 0 };
    period_ms + lost_ms + merge_ms + 2 * DELAY_MS
}

/// Range of the difference of two virtual times while both are backlogged.
#[derive(Clone, Copy, Debug)]
struct Pair {
    lowest: f64,
    highest: f64,
}

/// Checks after each step; keeps the largest values seen.
#[derive(Debug)]
pub struct Checks {
    pairs: Vec<Option<Pair>>,
    idle_since_ms: Vec<u64>,
    served_ms: Vec<(f64, u64)>,
    pub gap: f64,
    pub gap_of_bound: f64,
    pub idle_ms: u64,
    pub idle_slot_ms: u64,
    pub wait_ms: u64,
    /// When `held` first exceeded a limit.
    pub overcommitted_ms: Option<u64>,
}

impl Checks {
    fn new(scenario: &Scenario) -> Self {
        let count = scenario.loads.len();
        Self {
            pairs: vec![None; count * count],
            idle_since_ms: vec![0; scenario.upstreams],
            served_ms: vec![(0.0, 0); count],
            gap: 0.0,
            gap_of_bound: 0.0,
            idle_ms: 0,
            idle_slot_ms: 0,
            wait_ms: 0,
            overcommitted_ms: None,
        }
    }

    fn step(&mut self, fleet: &Fleet) {
        if fleet.disturbed() {
            *self = Self {
                gap: self.gap,
                gap_of_bound: self.gap_of_bound,
                idle_ms: self.idle_ms,
                idle_slot_ms: self.idle_slot_ms,
                wait_ms: self.wait_ms,
                overcommitted_ms: self.overcommitted_ms,
                idle_since_ms: vec![fleet.now_ms; fleet.scenario.upstreams],
                served_ms: vec![(0.0, fleet.now_ms); fleet.served.len()],
                ..Self::new(&fleet.scenario)
            };
            return;
        }
        self.conservation(fleet);
        self.starvation(fleet);
        if fleet.now_ms.is_multiple_of(5) {
            self.gaps(fleet);
        }
    }

    fn gaps(&mut self, fleet: &Fleet) {
        let loads = &fleet.scenario.loads;
        let time = |ws: usize| fleet.served[ws] / f64::from(loads[ws].share);
        for a in 0..loads.len() {
            for b in 0..a {
                let pair = &mut self.pairs[a * loads.len() + b];
                if fleet.waiting[a] == 0 || fleet.waiting[b] == 0 {
                    *pair = None;
                    continue;
                }
                let difference = time(a) - time(b);
                let pair = pair.get_or_insert(Pair { lowest: difference, highest: difference });
                pair.lowest = pair.lowest.min(difference);
                pair.highest = pair.highest.max(difference);
                let gap = pair.highest - pair.lowest;
                let share = loads[a].share.min(loads[b].share);
                self.gap = self.gap.max(gap);
                self.gap_of_bound = self.gap_of_bound.max(gap / bound(&fleet.scenario, share));
            }
        }
    }

    fn conservation(&mut self, fleet: &Fleet) {
        let waiting: u32 = fleet.waiting.iter().sum();
        let free = fleet.free_slots();
        let idle = free.iter().sum::<u32>().min(waiting);
        self.idle_slot_ms += u64::from(idle);
        for (since_ms, free) in self.idle_since_ms.iter_mut().zip(free) {
            if free == 0 || waiting == 0 {
                *since_ms = fleet.now_ms;
            }
            self.idle_ms = self.idle_ms.max(fleet.now_ms - *since_ms);
        }
    }

    fn starvation(&mut self, fleet: &Fleet) {
        for (ws, last) in self.served_ms.iter_mut().enumerate() {
            if fleet.served[ws] != last.0 || fleet.waiting[ws] == 0 {
                *last = (fleet.served[ws], fleet.now_ms);
            }
            self.wait_ms = self.wait_ms.max(fleet.now_ms - last.1);
        }
    }
}

pub fn bound(scenario: &Scenario, share: u32) -> f64 {
    fairness_gap_bound(
        scenario.capacity(),
        scenario.max_cost(),
        scenario.rate,
        age_ms(scenario),
        share,
    )
}

/// Time in which the slots serve the bound to all others: a workspace without
/// service for longer is behind them by more than the bound.
pub fn starvation_ms(scenario: &Scenario) -> u64 {
    let shares: u32 = scenario.loads.iter().map(|load| load.share).sum();
    let per_second = f64::from(scenario.capacity()) * scenario.rate as f64;
    let request_ms = scenario.max_cost() * 1_000 / scenario.rate;
    (bound(scenario, 1) * f64::from(shares) / per_second * 1_000.0) as u64 + request_ms
}

/// The router that waits, the one that confirms a smaller allocation and the
/// owner's push each wait for a token, a quarter of a period. The router with
/// the free slot learns within a period that others want it. Either router's
/// report can be lost.
pub fn idle_allowed_ms(scenario: &Scenario) -> u64 {
    let period_ms = report_period_ms(scenario.routers);
    let lost_ms = if scenario.fault == Fault::LostReports { period_ms } else { 0 };
    age_ms(scenario) + 3 * period_ms / 4 + 2 * DELAY_MS + lost_ms
}

pub fn run(scenario: &Scenario, arrangement: Arrangement) -> (Fleet, Checks) {
    let mut fleet = Fleet::new(scenario.clone(), arrangement);
    let mut checks = Checks::new(scenario);
    while fleet.now_ms < scenario.duration_ms {
        fleet.step();
        checks.step(&fleet);
        if fleet.overcommitted > 0 && !fleet.disturbed() {
            checks.overcommitted_ms.get_or_insert(fleet.now_ms);
        }
    }
    (fleet, checks)
}

/// Runs the fleet and returns the first bound that it broke.
pub fn check(scenario: &Scenario) -> Result<(), String> {
    let (fleet, checks) = run(scenario, Arrangement::Routers(DispatchPolicy::Fleet));
    let (idle_ms, wait_ms) = (idle_allowed_ms(scenario), starvation_ms(scenario));
    let part = if scenario.fault == Fault::None { part_of_naive(scenario, &fleet) } else { 1.0 };
    let broken = [
        (checks.overcommitted_ms.is_some(), format!("held above limit: {checks:?}")),
        (checks.gap_of_bound > 1.0, format!("gap is {} of the bound", checks.gap_of_bound)),
        (checks.idle_ms > idle_ms, format!("a slot idle {} ms > {idle_ms} ms", checks.idle_ms)),
        (checks.wait_ms > wait_ms, format!("starved {} ms > {wait_ms} ms", checks.wait_ms)),
        (part < 0.9, format!("served {part} of the naive queue")),
    ];
    broken.into_iter().find(|(broken, _)| *broken).map_or(Ok(()), |(_, what)| Err(what))
}

fn part_of_naive(scenario: &Scenario, fleet: &Fleet) -> f64 {
    let (naive, _) = run(scenario, Arrangement::Naive);
    fleet.served.iter().sum::<f64>() / naive.served.iter().sum::<f64>().max(1.0)
}
