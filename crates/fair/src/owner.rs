//! The router that administers the slots of one shard.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use span_types::{Member, ShardId, UpstreamName, WorkspaceName};

use crate::{
    Allocation, LoadReport, ShardCostRow, ShardReport, ShardUpstream,
    bucket::TokenBucket,
    division::{Claim, Division, divide},
    holdings::Holdings,
    ledger::Ledger,
    limit::LearnedLimit,
};

/// Shortest report period, in milliseconds.
const MIN_PERIOD_MS: u64 = 250;
/// Report period per reporting router, in milliseconds.
const PERIOD_PER_ROUTER_MS: u64 = 50;
/// Shortest validity of an allocation, in milliseconds.
const MIN_VALID_MS: u64 = 5_000;
/// Validity of an allocation in report periods.
const VALID_PERIODS: u64 = 3;
/// Time that a router's expired slots are still kept for it, for reports that
/// are on their way, in milliseconds.
const SILENCE_MARGIN_MS: u64 = 500;
/// Report periods over which a difference in virtual time is made up. Over a
/// single period every slot would go to whichever workspace is behind, and be
/// idle while it changes hands.
const CORRECTION_PERIODS: u64 = 4;
/// A lack of up to one part in this many of a router's slots moves no slots.
const STEADY_PART: u32 = 8;
/// Pushes to one router that may follow each other at once.
const PUSH_BURST: u32 = 4;
/// Pushes to one router per report period over a longer time.
const PUSHES_PER_PERIOD: u64 = 4;
/// One part in this many of the spare slots stays with the owner.
const SPARE_POOL_PART: u32 = 4;
/// Time after which another router is first to get the odd slots of a
/// workspace, in milliseconds.
const TURN_MS: u64 = 1_000;
/// Round trip assumed in the information age, in milliseconds.
const ROUND_TRIP_MS: u64 = 10;
/// Time over which the mean serving rate of a slot is taken, in milliseconds.
const RATE_WINDOW_MS: f64 = 10_000.0;

/// Report period for a number of reporting routers, in milliseconds. It keeps
/// the control traffic of an owner independent of their number.
pub fn report_period_ms(routers: usize) -> u64 {
    MIN_PERIOD_MS.max(PERIOD_PER_ROUTER_MS * routers as u64)
}

/// The bound H on the lead of one backlogged workspace over another, in cost
/// units per share; see `docs/fairness.md`.
///
/// `rate` is the largest serving rate of a slot in cost units per second,
/// `age_ms` the information age and `share` the smaller of the two shares.
pub fn fairness_gap_bound(slots: u32, max_cost: u64, rate: u64, age_ms: u64, share: u32) -> f64 {
    let slots_f = f64::from(slots.max(1));
    let periods = 1.0 + CORRECTION_PERIODS as f64 + slots_f.log2().ceil();
    let stale = rate as f64 * age_ms as f64 / 1_000.0 * periods;
    slots_f * (2.0 * max_cost as f64 + stale) / f64::from(share.max(1))
}

/// Whether a router that lacks slots gets them from others. A slot is idle
/// while it moves, and the lack of a few slots changes sign with each report; a
/// lasting lack grows with the difference in virtual time until it is worth a
/// move.
fn is_worth_moving(lack: u32, granted: u32) -> bool {
    lack > 0 && (granted == 0 || lack > 1 + granted / STEADY_PART)
}

#[derive(Debug)]
struct RouterState {
    heard_ms: u64,
    bucket: TokenBucket,
    wants_push: bool,
}

#[derive(Debug)]
struct Takeover {
    until_ms: u64,
    unheard: BTreeSet<Member>,
}

/// Serving rate of a slot, from what was served while slots were busy.
#[derive(Debug, Default)]
struct SlotRate {
    cost: f64,
    busy_ms: f64,
    updated_ms: Option<u64>,
}

impl SlotRate {
    fn add(&mut self, now_ms: u64, served: u64, in_flight: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms.unwrap_or(now_ms)) as f64;
        self.updated_ms = Some(now_ms);
        let keep = (1.0 - elapsed_ms / RATE_WINDOW_MS).max(0.0);
        self.cost = self.cost * keep + served as f64;
        self.busy_ms = self.busy_ms * keep + in_flight as f64 * elapsed_ms;
    }

    fn cost_per_ms(&self) -> f64 {
        if self.busy_ms > 0.0 { self.cost / self.busy_ms } else { 0.0 }
    }
}

/// Divides the slots of one shard among the routers.
///
/// It starts with empty state and adopts what the routers report.
#[derive(Debug)]
pub struct ShardOwner {
    shard: ShardId,
    owner: Member,
    limits: BTreeMap<UpstreamName, LearnedLimit>,
    ledger: Ledger,
    holdings: Holdings,
    routers: BTreeMap<Member, RouterState>,
    takeover: Option<Takeover>,
    rate: SlotRate,
    max_cost: u64,
    max_rate: u64,
    saturated: bool,
    /// Report period asked for while it is longer than the usual one, in
    /// milliseconds.
    period_ms: u64,
}

impl ShardOwner {
    /// Starts an owner. Until every router of `live` has reported or a report
    /// period has passed, routers keep the slots that they hold and get no more.
    pub fn new(now_ms: u64, shard: ShardId, owner: Member, live: &[Member]) -> Self {
        let until_ms = now_ms + report_period_ms(live.len());
        Self {
            shard,
            owner,
            limits: BTreeMap::new(),
            ledger: Ledger::default(),
            holdings: Holdings::default(),
            routers: BTreeMap::new(),
            takeover: Some(Takeover { until_ms, unheard: live.iter().cloned().collect() }),
            rate: SlotRate::default(),
            max_cost: 0,
            max_rate: 0,
            saturated: false,
            period_ms: 0,
        }
    }

    /// Replaces the upstreams of the shard.
    pub fn set_upstreams(&mut self, now_ms: u64, upstreams: &[ShardUpstream]) {
        self.limits.retain(|name, _| upstreams.iter().any(|up| up.upstream == *name));
        for upstream in upstreams {
            let limit = self.limits.entry(upstream.upstream.clone());
            limit
                .and_modify(|limit| limit.configure(upstream))
                .or_insert_with(|| LearnedLimit::new(upstream));
        }
        let limits = self.limits.iter().map(|(name, limit)| (name.clone(), limit.slots()));
        self.holdings.set_upstreams(&limits.collect::<Vec<_>>());
        self.push_all();
        self.rebalance(now_ms);
    }

    /// Replaces the shares of the workspaces. Past service keeps the share under
    /// which it was received.
    pub fn set_workspaces(&mut self, shares: &[(WorkspaceName, u32)]) {
        self.ledger.set_shares(shares);
        self.update_catch_up_limit();
    }

    /// Takes the load report of an upstream.
    pub fn apply_load_report(&mut self, now_ms: u64, upstream: &UpstreamName, report: &LoadReport) {
        let Some(limit) = self.limits.get_mut(upstream) else {
            return;
        };
        let before = limit.slots();
        limit.load(now_ms, report);
        let after = limit.slots();
        if after != before {
            self.holdings.set_limit(upstream, after);
            self.rebalance(now_ms);
        }
    }

    /// Merges a router's report and answers with its next allocation.
    pub fn apply_report(&mut self, now_ms: u64, report: &ShardReport) -> Allocation {
        self.remove_older(now_ms, &report.router);
        if self.ledger.is_new(report) || !self.holdings.contains(&report.router) {
            self.merge_report(now_ms, report);
        }
        self.rebalance(now_ms);
        let mut allocation = self.issue(&report.router);
        allocation.standings = self.ledger.standings(report);
        allocation
    }

    // A router that restarted holds nothing that its earlier process held.
    fn remove_older(&mut self, now_ms: u64, router: &Member) {
        let older = self.routers.keys().filter(|known| {
            known.instance == router.instance && known.incarnation < router.incarnation
        });
        for member in older.cloned().collect::<Vec<_>>() {
            self.remove_router(now_ms, &member);
        }
    }

    fn merge_report(&mut self, now_ms: u64, report: &ShardReport) {
        let ours = report.applied_owner.as_ref() == Some(&self.owner);
        let applied_seq = if ours { report.applied_seq } else { 0 };
        if self.holdings.contains(&report.router) {
            self.holdings.confirm(report, applied_seq);
        } else {
            self.holdings.adopt(report, applied_seq);
        }
        let state = self.routers.entry(report.router.clone()).or_insert_with(|| RouterState {
            heard_ms: now_ms,
            bucket: TokenBucket::new(PUSH_BURST),
            wants_push: false,
        });
        state.heard_ms = now_ms;
        let served = self.ledger.merge_report(report);
        self.rate.add(now_ms, served, self.ledger.in_flight());
        if report.max_cost > self.max_cost || report.max_rate > self.max_rate {
            self.max_cost = self.max_cost.max(report.max_cost);
            self.max_rate = self.max_rate.max(report.max_rate);
            self.update_catch_up_limit();
        }
        if let Some(takeover) = &mut self.takeover {
            takeover.unheard.remove(&report.router);
        }
    }

    // CATCH_UP_LIMIT: the bound of the gap for the largest values seen so far.
    fn update_catch_up_limit(&mut self) {
        let share = self.ledger.smallest_share();
        let slots = self.holdings.capacity();
        let limit = fairness_gap_bound(slots, self.max_cost, self.max_rate, self.age_ms(), share);
        self.ledger.set_catch_up_limit(if self.max_cost > 0 { limit } else { 0.0 });
    }

    fn age_ms(&self) -> u64 {
        self.period_ms() + ROUND_TRIP_MS
    }

    fn period_ms(&self) -> u64 {
        self.period_ms.max(self.min_report_period_ms())
    }

    /// Report period that the number of reporting routers demands, in
    /// milliseconds.
    pub fn min_report_period_ms(&self) -> u64 {
        report_period_ms(self.routers.len())
    }

    /// Asks routers for reports each `period_ms`, if that is longer than the
    /// usual period. Validity, bound and catch-up limit follow, since all of
    /// them depend on the age of the information.
    pub fn request_report_period(&mut self, period_ms: u64) {
        if period_ms != self.period_ms {
            self.period_ms = period_ms;
            self.update_catch_up_limit();
        }
    }

    /// Whether any reported request is in flight or waits at an upstream of the
    /// shard.
    pub fn has_requests_in_flight(&self) -> bool {
        self.ledger.in_flight() > 0
    }

    /// Whether the learned limit of an upstream is below its ceiling.
    pub fn is_limit_reduced(&self, upstream: &UpstreamName) -> bool {
        self.limits.get(upstream).is_some_and(LearnedLimit::is_reduced)
    }

    fn valid_for_ms(&self) -> u64 {
        MIN_VALID_MS.max(VALID_PERIODS * self.period_ms())
    }

    /// Drops a router that is gone; its slots can be given to others at once.
    pub fn remove_router(&mut self, now_ms: u64, router: &Member) {
        self.routers.remove(router);
        self.holdings.remove(router);
        self.ledger.remove_router(now_ms, router);
        if let Some(takeover) = &mut self.takeover {
            takeover.unheard.remove(router);
        }
        self.rebalance(now_ms);
    }

    /// Allocations to send without a report. Call after each other method and
    /// at least once per report period.
    pub fn take_pushes(&mut self, now_ms: u64) -> Vec<(Member, Allocation)> {
        self.remove_silent(now_ms);
        if self.takeover.is_some() {
            self.rebalance(now_ms);
        }
        let refill_ms = self.period_ms() / PUSHES_PER_PERIOD;
        let wanting = self.routers.iter_mut().filter(|(_, state)| state.wants_push);
        let allowed = wanting.filter_map(|(router, state)| {
            state.bucket.take(now_ms, refill_ms).then(|| router.clone())
        });
        let routers: Vec<Member> = allowed.collect();
        let pushes = routers.into_iter().map(|router| {
            let allocation = self.issue(&router);
            (router, allocation)
        });
        pushes.collect()
    }

    // The allocation of a silent router has expired on its own clock, which
    // started when it sent its last report.
    fn remove_silent(&mut self, now_ms: u64) {
        let silence_ms = self.valid_for_ms() + SILENCE_MARGIN_MS;
        let silent = self.routers.iter().filter(|(_, state)| now_ms > state.heard_ms + silence_ms);
        for router in silent.map(|(router, _)| router.clone()).collect::<Vec<_>>() {
            self.remove_router(now_ms, &router);
        }
    }

    fn push_all(&mut self) {
        self.routers.values_mut().for_each(|state| state.wants_push = true);
    }

    fn issue(&mut self, router: &Member) -> Allocation {
        if let Some(state) = self.routers.get_mut(router) {
            state.wants_push = false;
        }
        let confirm = self.holdings.unconfirmed(router);
        let (seq, slots) = self.holdings.issue(router);
        Allocation {
            shard: self.shard.clone(),
            owner: self.owner.clone(),
            seq,
            answers: self.ledger.answered(router),
            virtual_time: self.ledger.virtual_time(),
            valid_for_ms: self.valid_for_ms(),
            next_report_ms: self.period_ms(),
            saturated: self.saturated,
            confirm,
            slots,
            standings: Vec::new(),
        }
    }

    fn rebalance(&mut self, now_ms: u64) {
        if let Some(takeover) = &self.takeover {
            if now_ms < takeover.until_ms && !takeover.unheard.is_empty() {
                return;
            }
            self.takeover = None;
        }
        let routers: Vec<Member> = self.holdings.routers().cloned().collect();
        let division = self.divide(now_ms, &routers);
        self.saturated = division.saturated;
        let unmet = self.grow_to_targets(&routers, &division.targets);
        if unmet > 0 {
            self.take_excess(&routers, &division.targets, unmet);
        } else {
            self.spread_spare(&routers, &division);
        }
    }

    fn divide(&self, now_ms: u64, routers: &[Member]) -> Division {
        let mut claims = Vec::new();
        self.ledger.for_each_active(|virtual_time, share, usage| {
            let usage = usage.filter_map(|(router, usage)| {
                let position = routers.binary_search(router).ok()?;
                Some((position, usage))
            });
            claims.push(Claim { virtual_time, share, usage: usage.collect() });
        });
        let horizon_ms = (CORRECTION_PERIODS * self.period_ms()) as f64;
        let slot_cost = (self.rate.cost_per_ms() * horizon_ms).max(1.0);
        let turn = (now_ms / TURN_MS) as usize;
        divide(&claims, routers.len(), self.holdings.capacity(), slot_cost, turn)
    }

    /// Grants free slots to routers below their targets, in proportion to what
    /// they lack. Returns how many slots are to be taken from other routers:
    /// those that are still lacking where the lack is worth a move.
    fn grow_to_targets(&mut self, routers: &[Member], targets: &[u32]) -> u32 {
        let lacks: Vec<u32> = routers
            .iter()
            .zip(targets)
            .map(|(router, target)| target.saturating_sub(self.holdings.granted(router)))
            .collect();
        let total: u64 = lacks.iter().map(|lack| u64::from(*lack)).sum();
        let free = u64::from(self.holdings.free());
        let mut unmet = 0;
        for (router, lack) in routers.iter().zip(&lacks).filter(|(_, lack)| **lack > 0) {
            let part = (u64::from(*lack) * free).div_ceil(total).min(u64::from(*lack));
            let grown = self.holdings.grow(router, part as u32);
            self.want_push(router, grown);
            if is_worth_moving(lack - grown, self.holdings.granted(router)) {
                unmet += lack - grown;
            }
        }
        unmet
    }

    fn want_push(&mut self, router: &Member, changed: u32) {
        if changed > 0
            && let Some(state) = self.routers.get_mut(router)
        {
            state.wants_push = true;
        }
    }

    /// Takes slots from routers above their targets. Idle slots are taken even
    /// if enough slots in use are on their way back, because those return only
    /// when their requests end.
    fn take_excess(&mut self, routers: &[Member], targets: &[u32], unmet: u32) {
        for idle_only in [true, false] {
            let (idle, all) = self.holdings.returning();
            let mut needed = unmet.saturating_sub(if idle_only { idle } else { all });
            for (excess, router) in self.excesses(routers, targets) {
                let taken = self.holdings.shrink(router, excess.min(needed), idle_only);
                needed -= taken;
                self.want_push(router, taken);
            }
        }
    }

    /// Routers above their targets, those with the largest excess first.
    fn excesses<'a>(&self, routers: &'a [Member], targets: &[u32]) -> Vec<(u32, &'a Member)> {
        let excess = |(router, target): (&'a Member, &u32)| {
            (self.holdings.granted(router).saturating_sub(*target), router)
        };
        let mut excesses: Vec<_> = routers.iter().zip(targets).map(excess).collect();
        excesses.retain(|(excess, _)| *excess > 0);
        excesses.sort_by_key(|(excess, _)| Reverse(*excess));
        excesses
    }

    /// Grants slots that nobody waits for, so that new work starts without a
    /// round trip. They travel with replies, not with pushes.
    fn spread_spare(&mut self, routers: &[Member], division: &Division) {
        let spread = division.spare - division.spare / SPARE_POOL_PART;
        let part = spread / (routers.len().max(1) as u32);
        for (router, target) in routers.iter().zip(&division.targets) {
            let lack = (target + part).saturating_sub(self.holdings.granted(router));
            self.holdings.grow(router, lack.min(self.holdings.free()));
        }
    }

    /// Counters for the owners of the service's other shards.
    pub fn shard_costs(&self) -> Vec<ShardCostRow> {
        self.ledger.peer_rows(&self.shard, &self.owner)
    }

    /// Merges counters of the owners of the service's other shards.
    pub fn merge_shard_costs(&mut self, rows: &[ShardCostRow]) {
        self.ledger.merge_peers(rows);
    }

    /// Virtual time of a workspace; `None` if it was never seen.
    pub fn virtual_time(&self, workspace: &WorkspaceName) -> Option<f64> {
        self.ledger.workspace_virtual_time(workspace)
    }

    /// Whether the owner still waits for routers' first reports.
    pub fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    /// Slots by which `held` exceeds the limit of any upstream: 0 except after
    /// a limit fell or a router reported slots of an earlier owner.
    pub fn overcommitted_slots(&self) -> u32 {
        self.holdings.overcommitted()
    }
}
