//! Slot allocation for one shard, run by the router that owns the shard.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use span_types::{Member, ShardId, UpstreamName, WorkspaceName};

use crate::{
    Allocation, LoadReport, ShardCostRow, ShardReport, ShardUpstream,
    accounts::CostAccounts,
    adaptive_limit::AdaptiveLimit,
    division::{SlotDivision, WorkspaceDemand, divide_slots},
    slot_grants::SlotGrants,
    token_bucket::TokenBucket,
};

/// Shortest report period.
const MIN_REPORT_PERIOD_MS: u64 = 250;
/// Report period for each router that reports.
const REPORT_PERIOD_PER_ROUTER_MS: u64 = 50;
/// Shortest validity of an allocation.
const MIN_ALLOCATION_VALIDITY_MS: u64 = 5_000;
/// Validity of an allocation, in report periods.
const ALLOCATION_VALIDITY_PERIODS: u64 = 3;
/// Time between the expiry of a silent router's slots and their return to the
/// free slots. A report sent before the expiry may still be in transit.
const SILENT_ROUTER_MARGIN_MS: u64 = 500;
/// Report periods over which a difference in virtual time is corrected. A
/// correction within one period would give every slot to the workspace that is
/// behind, and the slots would be idle while they are transferred.
const VIRTUAL_TIME_CORRECTION_PERIODS: u64 = 4;
/// A router with slots gets slots of other routers only if its deficit exceeds
/// 1 plus its granted slots divided by this number; see [`justifies_transfer`].
const TRANSFER_THRESHOLD_DIVISOR: u32 = 8;
/// Pushes to one router that may follow each other immediately.
const MAX_PUSH_BURST: u32 = 4;
/// Sustained rate of pushes to one router, per report period.
const PUSHES_PER_REPORT_PERIOD: u64 = 4;
/// The owner keeps the number of spare slots divided by this number and grants
/// the others.
const SPARE_RESERVE_DIVISOR: u32 = 4;
/// Interval after which another router is first to get the slots that remain
/// when the slots of a workspace are split in proportion.
const REMAINDER_ROTATION_MS: u64 = 1_000;
/// Round-trip time between a router and the owner, assumed for the information
/// age.
const ASSUMED_ROUND_TRIP_MS: u64 = 10;
/// Window of the moving average of a slot's service rate.
const SLOT_RATE_WINDOW_MS: f64 = 10_000.0;

/// Report period for a number of reporting routers, in milliseconds. It grows
/// with their number, so that the control traffic of an owner does not.
pub fn report_period_ms(routers: usize) -> u64 {
    MIN_REPORT_PERIOD_MS.max(REPORT_PERIOD_PER_ROUTER_MS * routers as u64)
}

/// The bound H on the lead of one backlogged workspace over another, in cost
/// units per share; see `docs/fairness.md`.
///
/// `rate` is the highest service rate of a slot in cost units per second,
/// `age_ms` is the information age, the largest age of the reports that the
/// owner uses, and `share` is the smaller of the two shares.
pub fn fairness_gap_bound(slots: u32, max_cost: u64, rate: u64, age_ms: u64, share: u32) -> f64 {
    let slot_count = f64::from(slots.max(1));
    let periods = 1.0 + VIRTUAL_TIME_CORRECTION_PERIODS as f64 + slot_count.log2().ceil();
    let stale_cost = rate as f64 * age_ms as f64 / 1_000.0 * periods;
    slot_count * (2.0 * max_cost as f64 + stale_cost) / f64::from(share.max(1))
}

/// Whether slots of other routers are revoked for a router with a deficit. A
/// slot is idle during a transfer, and a deficit of a few slots changes its
/// sign with each report. A lasting deficit grows with the difference in
/// virtual time until it passes the threshold.
fn justifies_transfer(deficit: u32, granted: u32) -> bool {
    deficit > 0 && (granted == 0 || deficit > 1 + granted / TRANSFER_THRESHOLD_DIVISOR)
}

#[derive(Debug)]
struct RouterState {
    last_report_ms: u64,
    push_limiter: TokenBucket,
    needs_push: bool,
}

#[derive(Debug)]
struct Takeover {
    deadline_ms: u64,
    unreported_routers: BTreeSet<Member>,
}

/// Service rate of a slot: the cost served divided by the time in use.
#[derive(Debug, Default)]
struct SlotServiceRate {
    served_cost: f64,
    busy_slot_ms: f64,
    updated_ms: Option<u64>,
}

impl SlotServiceRate {
    fn add(&mut self, now_ms: u64, served: u64, in_flight: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms.unwrap_or(now_ms)) as f64;
        self.updated_ms = Some(now_ms);
        let retained_fraction = (1.0 - elapsed_ms / SLOT_RATE_WINDOW_MS).max(0.0);
        self.served_cost = self.served_cost * retained_fraction + served as f64;
        self.busy_slot_ms = self.busy_slot_ms * retained_fraction + in_flight as f64 * elapsed_ms;
    }

    fn cost_per_ms(&self) -> f64 {
        if self.busy_slot_ms > 0.0 { self.served_cost / self.busy_slot_ms } else { 0.0 }
    }
}

/// Divides the slots of one shard among the routers.
///
/// It starts without state and adopts the state that the routers report.
#[derive(Debug)]
pub struct ShardOwner {
    shard: ShardId,
    owner: Member,
    limits: BTreeMap<UpstreamName, AdaptiveLimit>,
    accounts: CostAccounts,
    grants: SlotGrants,
    routers: BTreeMap<Member, RouterState>,
    takeover: Option<Takeover>,
    slot_rate: SlotServiceRate,
    max_cost: u64,
    max_rate: u64,
    saturated: bool,
    /// Requested report period, in milliseconds. It has an effect only while it
    /// is longer than the minimum.
    requested_period_ms: u64,
}

impl ShardOwner {
    /// Creates an owner. Routers keep their slots and get no more of them until
    /// every router of `live` has reported or a report period has passed.
    pub fn new(now_ms: u64, shard: ShardId, owner: Member, live: &[Member]) -> Self {
        let deadline_ms = now_ms + report_period_ms(live.len());
        Self {
            shard,
            owner,
            limits: BTreeMap::new(),
            accounts: CostAccounts::default(),
            grants: SlotGrants::default(),
            routers: BTreeMap::new(),
            takeover: Some(Takeover {
                deadline_ms,
                unreported_routers: live.iter().cloned().collect(),
            }),
            slot_rate: SlotServiceRate::default(),
            max_cost: 0,
            max_rate: 0,
            saturated: false,
            requested_period_ms: 0,
        }
    }

    /// Replaces the upstreams of the shard and their limits.
    pub fn set_upstreams(&mut self, now_ms: u64, upstreams: &[ShardUpstream]) {
        self.limits.retain(|name, _| upstreams.iter().any(|up| up.upstream == *name));
        for upstream in upstreams {
            let limit = self.limits.entry(upstream.upstream.clone());
            limit
                .and_modify(|limit| limit.configure(upstream))
                .or_insert_with(|| AdaptiveLimit::new(upstream));
        }
        let limits =
            self.limits.iter().map(|(name, limit)| (name.clone(), limit.effective_limit()));
        self.grants.set_upstreams(&limits.collect::<Vec<_>>());
        self.request_push_to_all();
        self.rebalance(now_ms);
    }

    /// Replaces the shares of the workspaces. Cost charged before the change
    /// stays divided by the old share.
    pub fn set_workspaces(&mut self, shares: &[(WorkspaceName, u32)]) {
        self.accounts.set_shares(shares);
        self.update_catch_up_limit();
    }

    /// Updates the learned limit of an upstream from its load report.
    pub fn apply_load_report(&mut self, now_ms: u64, upstream: &UpstreamName, report: &LoadReport) {
        let Some(limit) = self.limits.get_mut(upstream) else {
            return;
        };
        let before = limit.effective_limit();
        limit.apply_load_report(now_ms, report);
        let after = limit.effective_limit();
        if after != before {
            self.grants.set_limit(upstream, after);
            self.rebalance(now_ms);
        }
    }

    /// Merges a router's report and returns the router's next allocation.
    pub fn apply_report(&mut self, now_ms: u64, report: &ShardReport) -> Allocation {
        self.remove_earlier_incarnations(now_ms, &report.router);
        if self.accounts.is_newer(report) || !self.grants.contains(&report.router) {
            self.merge_report(now_ms, report);
        }
        self.rebalance(now_ms);
        let mut allocation = self.next_allocation(&report.router);
        allocation.standings = self.accounts.virtual_time_rows(report);
        allocation
    }

    // A restarted router holds none of the slots of its earlier process.
    fn remove_earlier_incarnations(&mut self, now_ms: u64, router: &Member) {
        let earlier = self.routers.keys().filter(|known| {
            known.instance == router.instance && known.incarnation < router.incarnation
        });
        for member in earlier.cloned().collect::<Vec<_>>() {
            self.remove_router(now_ms, &member);
        }
    }

    fn merge_report(&mut self, now_ms: u64, report: &ShardReport) {
        let from_this_owner = report.applied_owner.as_ref() == Some(&self.owner);
        let applied_seq = if from_this_owner { report.applied_seq } else { 0 };
        if self.grants.contains(&report.router) {
            self.grants.apply_report(report, applied_seq);
        } else {
            self.grants.adopt_router(report, applied_seq);
        }
        let state = self.routers.entry(report.router.clone()).or_insert_with(|| RouterState {
            last_report_ms: now_ms,
            push_limiter: TokenBucket::new(MAX_PUSH_BURST),
            needs_push: false,
        });
        state.last_report_ms = now_ms;
        let served = self.accounts.merge_report(report);
        self.slot_rate.add(now_ms, served, self.accounts.requests_in_flight());
        if report.max_cost > self.max_cost || report.max_rate > self.max_rate {
            self.max_cost = self.max_cost.max(report.max_cost);
            self.max_rate = self.max_rate.max(report.max_rate);
            self.update_catch_up_limit();
        }
        if let Some(takeover) = &mut self.takeover {
            takeover.unreported_routers.remove(&report.router);
        }
    }

    // The catch-up limit is the fairness gap bound for the largest values
    // reported so far.
    fn update_catch_up_limit(&mut self) {
        let share = self.accounts.min_share();
        let slots = self.grants.total_limit();
        let limit = fairness_gap_bound(
            slots,
            self.max_cost,
            self.max_rate,
            self.information_age_ms(),
            share,
        );
        self.accounts.set_catch_up_limit(if self.max_cost > 0 { limit } else { 0.0 });
    }

    fn information_age_ms(&self) -> u64 {
        self.effective_period_ms() + ASSUMED_ROUND_TRIP_MS
    }

    fn effective_period_ms(&self) -> u64 {
        self.requested_period_ms.max(self.min_report_period_ms())
    }

    /// Report period that the number of reporting routers requires, in
    /// milliseconds.
    pub fn min_report_period_ms(&self) -> u64 {
        report_period_ms(self.routers.len())
    }

    /// Requests reports every `period_ms` milliseconds. A period shorter than
    /// [`Self::min_report_period_ms`] has no effect. The validity of
    /// allocations, the fairness gap bound and the catch-up limit depend on the
    /// age of the information, so they change with the period.
    pub fn request_report_period(&mut self, period_ms: u64) {
        if period_ms != self.requested_period_ms {
            self.requested_period_ms = period_ms;
            self.update_catch_up_limit();
        }
    }

    /// Whether a router has reported a request that runs or is queued at an
    /// upstream of the shard.
    pub fn has_requests_in_flight(&self) -> bool {
        self.accounts.requests_in_flight() > 0
    }

    /// Whether load reports have lowered the limit of an upstream below its
    /// configured ceiling.
    pub fn is_limit_reduced(&self, upstream: &UpstreamName) -> bool {
        self.limits.get(upstream).is_some_and(AdaptiveLimit::is_reduced)
    }

    fn validity_ms(&self) -> u64 {
        MIN_ALLOCATION_VALIDITY_MS.max(ALLOCATION_VALIDITY_PERIODS * self.effective_period_ms())
    }

    /// Removes a router that no longer runs. Its slots become free immediately.
    pub fn remove_router(&mut self, now_ms: u64, router: &Member) {
        self.routers.remove(router);
        self.grants.remove_router(router);
        self.accounts.remove_router(now_ms, router);
        if let Some(takeover) = &mut self.takeover {
            takeover.unreported_routers.remove(router);
        }
        self.rebalance(now_ms);
    }

    /// Changed allocations that are sent without waiting for the routers' next
    /// reports. Call it after each other method and at least once per report
    /// period.
    pub fn take_pushes(&mut self, now_ms: u64) -> Vec<(Member, Allocation)> {
        self.remove_silent_routers(now_ms);
        if self.takeover.is_some() {
            self.rebalance(now_ms);
        }
        let refill_ms = self.effective_period_ms() / PUSHES_PER_REPORT_PERIOD;
        let needing_push = self.routers.iter_mut().filter(|(_, state)| state.needs_push);
        let allowed = needing_push.filter_map(|(router, state)| {
            state.push_limiter.try_take(now_ms, refill_ms).then(|| router.clone())
        });
        let routers: Vec<Member> = allowed.collect();
        let pushes = routers.into_iter().map(|router| {
            let allocation = self.next_allocation(&router);
            (router, allocation)
        });
        pushes.collect()
    }

    // A silent router stops using its allocation without a message: it counts
    // the validity from the time at which it sent its last report.
    fn remove_silent_routers(&mut self, now_ms: u64) {
        let silence_ms = self.validity_ms() + SILENT_ROUTER_MARGIN_MS;
        let silent_routers =
            self.routers.iter().filter(|(_, state)| now_ms > state.last_report_ms + silence_ms);
        for router in silent_routers.map(|(router, _)| router.clone()).collect::<Vec<_>>() {
            self.remove_router(now_ms, &router);
        }
    }

    fn request_push_to_all(&mut self) {
        self.routers.values_mut().for_each(|state| state.needs_push = true);
    }

    fn next_allocation(&mut self, router: &Member) -> Allocation {
        if let Some(state) = self.routers.get_mut(router) {
            state.needs_push = false;
        }
        let confirm = self.grants.has_unconfirmed_idle_slots(router);
        let (seq, slots) = self.grants.next_allocation(router);
        Allocation {
            shard: self.shard.clone(),
            owner: self.owner.clone(),
            seq,
            answers: self.accounts.last_report_seq(router),
            virtual_time: self.accounts.virtual_time(),
            valid_for_ms: self.validity_ms(),
            next_report_ms: self.effective_period_ms(),
            saturated: self.saturated,
            confirm,
            slots,
            standings: Vec::new(),
        }
    }

    fn rebalance(&mut self, now_ms: u64) {
        if let Some(takeover) = &self.takeover {
            if now_ms < takeover.deadline_ms && !takeover.unreported_routers.is_empty() {
                return;
            }
            self.takeover = None;
        }
        let routers: Vec<Member> = self.grants.routers().cloned().collect();
        let division = self.divide_capacity(now_ms, &routers);
        self.saturated = division.saturated;
        let unmet_deficit = self.grant_deficits(&routers, &division.targets);
        if unmet_deficit > 0 {
            self.revoke_excess(&routers, &division.targets, unmet_deficit);
        } else {
            self.grant_spare_slots(&routers, &division);
        }
    }

    fn divide_capacity(&self, now_ms: u64, routers: &[Member]) -> SlotDivision {
        let mut demands = Vec::new();
        self.accounts.for_each_active(|virtual_time, share, usage| {
            let usage = usage.filter_map(|(router, usage)| {
                let position = routers.binary_search(router).ok()?;
                Some((position, usage))
            });
            demands.push(WorkspaceDemand { virtual_time, share, usage: usage.collect() });
        });
        let correction_ms = (VIRTUAL_TIME_CORRECTION_PERIODS * self.effective_period_ms()) as f64;
        let slot_cost = (self.slot_rate.cost_per_ms() * correction_ms).max(1.0);
        let rotation = (now_ms / REMAINDER_ROTATION_MS) as usize;
        divide_slots(&demands, routers.len(), self.grants.total_limit(), slot_cost, rotation)
    }

    /// Grants free slots to routers below their targets, in proportion to their
    /// deficits. Returns how many slots to revoke from other routers: the
    /// remaining deficits that justify a transfer.
    fn grant_deficits(&mut self, routers: &[Member], targets: &[u32]) -> u32 {
        let deficits: Vec<u32> = routers
            .iter()
            .zip(targets)
            .map(|(router, target)| target.saturating_sub(self.grants.granted(router)))
            .collect();
        let total: u64 = deficits.iter().map(|deficit| u64::from(*deficit)).sum();
        let free = u64::from(self.grants.free_slots());
        let mut unmet_deficit = 0;
        for (router, deficit) in routers.iter().zip(&deficits).filter(|(_, deficit)| **deficit > 0)
        {
            let quota = (u64::from(*deficit) * free).div_ceil(total).min(u64::from(*deficit));
            let added = self.grants.grant(router, quota as u32);
            self.request_push_if_changed(router, added);
            if justifies_transfer(deficit - added, self.grants.granted(router)) {
                unmet_deficit += deficit - added;
            }
        }
        unmet_deficit
    }

    fn request_push_if_changed(&mut self, router: &Member, changed_slots: u32) {
        if changed_slots > 0
            && let Some(state) = self.routers.get_mut(router)
        {
            state.needs_push = true;
        }
    }

    /// Revokes slots of routers above their targets. Idle slots are revoked
    /// even if enough revoked slots in use are still to be returned, because
    /// those return only when their requests end.
    fn revoke_excess(&mut self, routers: &[Member], targets: &[u32], unmet_deficit: u32) {
        for idle_only in [true, false] {
            let (idle, total) = self.grants.unconfirmed_revocations();
            let mut needed = unmet_deficit.saturating_sub(if idle_only { idle } else { total });
            for (excess, router) in self.routers_above_target(routers, targets) {
                let revoked = self.grants.revoke(router, excess.min(needed), idle_only);
                needed -= revoked;
                self.request_push_if_changed(router, revoked);
            }
        }
    }

    /// Routers above their targets with their excess, largest excess first.
    fn routers_above_target<'a>(
        &self,
        routers: &'a [Member],
        targets: &[u32],
    ) -> Vec<(u32, &'a Member)> {
        let excess = |(router, target): (&'a Member, &u32)| {
            (self.grants.granted(router).saturating_sub(*target), router)
        };
        let mut excesses: Vec<_> = routers.iter().zip(targets).map(excess).collect();
        excesses.retain(|(excess, _)| *excess > 0);
        excesses.sort_by_key(|(excess, _)| Reverse(*excess));
        excesses
    }

    /// Grants slots that no waiting request needs, so that new work starts
    /// without a round trip to the owner. These grants are sent with the
    /// replies to reports and cause no pushes.
    fn grant_spare_slots(&mut self, routers: &[Member], division: &SlotDivision) {
        let distributed = division.spare_slots - division.spare_slots / SPARE_RESERVE_DIVISOR;
        let per_router = distributed / (routers.len().max(1) as u32);
        for (router, target) in routers.iter().zip(&division.targets) {
            let deficit = (target + per_router).saturating_sub(self.grants.granted(router));
            self.grants.grant(router, deficit.min(self.grants.free_slots()));
        }
    }

    /// Costs that this owner has counted, for the owners of the service's other
    /// shards.
    pub fn shard_costs(&self) -> Vec<ShardCostRow> {
        self.accounts.shard_costs(&self.shard, &self.owner)
    }

    /// Merges the costs counted by the owners of the service's other shards.
    pub fn merge_shard_costs(&mut self, rows: &[ShardCostRow]) {
        self.accounts.merge_shard_costs(rows);
    }

    /// Virtual time of a workspace; `None` if no report or configuration has
    /// named it.
    pub fn virtual_time(&self, workspace: &WorkspaceName) -> Option<f64> {
        self.accounts.workspace_virtual_time(workspace)
    }

    /// Whether the owner still waits for the first reports of routers.
    pub fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    /// Largest number of slots by which the slots that routers may use exceed
    /// the limit of an upstream. It is 0 except after a limit fell or a router
    /// reported slots of an earlier owner.
    pub fn overcommitted_slots(&self) -> u32 {
        self.grants.max_overcommitted_slots()
    }
}
