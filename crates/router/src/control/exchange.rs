//! Exchanges with shard owners: reports to them, allocations from them, and
//! merges of served costs between owners.

use std::collections::{BTreeMap, BTreeSet};

use span_fair::{Allocation, DispatchPolicy, ShardReport, report_period_ms};
use span_types::{InstanceName, Member, ServiceName, ShardId};
use span_wire::{
    group_by_shard_and_owner, read_allocation_replies, read_cost_tables, write_allocations,
    write_cost_tables, write_reports,
};

use super::{
    Counter, heartbeat, peers,
    state::{ControlState, SharedState},
};

/// Number of other shard owners that costs are merged with per round. There is
/// one round per second.
const OWNERS_MERGED_PER_ROUND: usize = 4;

/// Limits how often reports are sent to one shard owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportPacing {
    last_report_ms: u64,
    /// Report period that the owner requested.
    period_ms: u64,
}

impl ReportPacing {
    /// Whether a report may be sent. An owner that requests a longer period
    /// than the default for the fleet's size is over its traffic budget. The
    /// more it extends the period, the longer urgent reports wait, up to the
    /// full period.
    fn allows(&self, now_ms: u64, default_period_ms: u64) -> bool {
        let added_ms = self.period_ms.saturating_sub(default_period_ms);
        let wait_ms =
            self.period_ms * (2 * added_ms).min(default_period_ms) / default_period_ms.max(1);
        now_ms >= self.last_report_ms + wait_ms
    }
}

impl ControlState {
    fn may_report(&self, now_ms: u64, owner: &Member) -> bool {
        let default_period_ms = report_period_ms(self.view.live_routers().len());
        let pacing = self.report_pacing.get(&owner.instance).copied().unwrap_or_default();
        !self.exchanges_in_progress.contains(&owner.instance)
            && pacing.allows(now_ms, default_period_ms)
    }

    fn record_requested_period(&mut self, owner: &Member, allocations: &[Allocation]) {
        let period_ms = allocations.iter().map(|row| row.next_report_ms).max();
        if let Some(period_ms) = period_ms {
            self.report_pacing.entry(owner.instance.clone()).or_default().period_ms = period_ms;
        }
    }

    /// All shards, by owner.
    fn shards_by_owner(&self) -> BTreeMap<Member, Vec<ShardId>> {
        let mut owners: BTreeMap<Member, Vec<ShardId>> = BTreeMap::new();
        for shard in self.shards.keys() {
            if let Some(owner) = self.owner_of(shard) {
                owners.entry(owner).or_default().push(shard.clone());
            }
        }
        owners
    }

    fn due_shards(&self, now_ms: u64) -> BTreeSet<ShardId> {
        self.services.values().flat_map(|state| state.due_shards(now_ms)).collect()
    }

    /// Due reports, by owner. As soon as one shard of an owner is due, all its
    /// shards go into one message, since each message has a fixed cost.
    pub fn due_reports(&mut self) -> Vec<(Member, Vec<ShardReport>)> {
        let now_ms = self.now_ms();
        let due = self.due_shards(now_ms);
        if due.is_empty() {
            return Vec::new();
        }
        let mut reports = Vec::new();
        for (owner, shards) in self.shards_by_owner() {
            let is_due = shards.iter().any(|shard| due.contains(shard));
            if is_due && self.may_report(now_ms, &owner) {
                let shard_reports =
                    shards.iter().filter_map(|shard| self.report(now_ms, shard, &owner));
                reports.push((owner.clone(), shard_reports.collect()));
            }
        }
        reports
    }

    fn report(&mut self, now_ms: u64, shard: &ShardId, owner: &Member) -> Option<ShardReport> {
        let state = self.services.get_mut(&shard.service)?;
        Some(state.make_report(now_ms, shard, owner))
    }

    /// Costs served by the owned shards of these services.
    pub fn owned_shard_costs(
        &self,
        services: &BTreeSet<&ServiceName>,
    ) -> Vec<span_fair::ShardCostRow> {
        let owners =
            self.owned_shards.iter().filter(|(shard, _)| services.contains(&shard.service));
        owners.flat_map(|(_, owner)| owner.shard_costs()).collect()
    }

    /// Merges the costs served by other shards into the owned shards of the same
    /// service.
    pub fn merge_costs_of_other_shards(&mut self, rows: &[span_fair::ShardCostRow]) {
        for (shard, owner) in &mut self.owned_shards {
            let others: Vec<_> = rows
                .iter()
                .filter(|row| row.shard.service == shard.service && row.shard != *shard)
                .cloned()
                .collect();
            if !others.is_empty() {
                owner.merge_shard_costs(&others);
            }
        }
    }
}

/// Sends due reports to shard owners and due allocations to routers.
pub(super) fn send_due(shared: &SharedState) {
    if shared.borrow().settings.policy != DispatchPolicy::Fleet {
        return;
    }
    let reports = shared.borrow_mut().due_reports();
    for (owner, reports) in reports {
        if owner == *shared.borrow().member() {
            report_to_self(shared, &reports);
        } else {
            let mut control = shared.borrow_mut();
            let now_ms = control.now_ms();
            control.exchanges_in_progress.insert(owner.instance.clone());
            control.report_pacing.entry(owner.instance.clone()).or_default().last_report_ms =
                now_ms;
            drop(control);
            tokio::task::spawn_local(exchange(shared.clone(), owner, reports));
        }
    }
    push_allocations(shared);
}

fn report_to_self(shared: &SharedState, reports: &[ShardReport]) {
    let mut control = shared.borrow_mut();
    for report in reports {
        if let Some(allocation) = control.handle_report(report) {
            control.apply_allocation(allocation);
        }
    }
}

async fn exchange(shared: SharedState, owner: Member, reports: Vec<ShardReport>) {
    let result = send_reports(&shared, &owner.instance, reports).await;
    shared.borrow_mut().exchanges_in_progress.remove(&owner.instance);
    match result {
        Ok(allocations) => {
            let mut control = shared.borrow_mut();
            let now_ms = control.now_ms();
            control.view.record_message(now_ms, &owner);
            control.record_requested_period(&owner, &allocations);
            for allocation in allocations {
                control.apply_allocation(allocation);
            }
        }
        Err(error) => heartbeat::record_call_failure(&shared, &owner.instance, &error),
    }
}

async fn send_reports(
    shared: &SharedState,
    owner: &InstanceName,
    reports: Vec<ShardReport>,
) -> Result<Vec<Allocation>, peers::PeerError> {
    let address = shared.borrow().view.router(owner).map(|router| router.peer_address);
    let Some(address) = address else {
        return Ok(Vec::new());
    };
    shared.borrow_mut().counters.increment(Counter::Exchanges);
    peers::call(shared, owner, address, |client| async move {
        let mut request = client.exchange_request();
        write_reports(request.get().init_reports(reports.len() as u32), &reports);
        let answer = request.send().promise.await?;
        Ok(read_allocation_replies(answer.get()?.get_allocations()?, &reports)?)
    })
    .await
}

/// Pushes allocations, in at most one message per router. They are dropped
/// while the traffic is too far above the budget (see [`super::Pacer::may_push`]),
/// because the answer to the router's next report contains the same slots, and
/// that report comes within its period.
fn push_allocations(shared: &SharedState) {
    let pushes = shared.borrow_mut().due_pushes();
    if !shared.borrow().pacer.may_push() {
        return;
    }
    let mut by_router: BTreeMap<Member, Vec<Allocation>> = BTreeMap::new();
    for (router, allocation) in pushes {
        by_router.entry(router).or_default().push(allocation);
    }
    for (router, allocations) in by_router {
        tokio::task::spawn_local(send_push(shared.clone(), router, allocations));
    }
}

async fn send_push(shared: SharedState, router: Member, allocations: Vec<Allocation>) {
    let address = shared.borrow().view.router(&router.instance).map(|row| row.peer_address);
    let Some(address) = address else {
        return;
    };
    shared.borrow_mut().counters.increment(Counter::Pushes);
    let result = peers::call(&shared, &router.instance, address, |client| async move {
        let mut request = client.allocate_request();
        write_allocations(request.get().init_allocations(allocations.len() as u32), &allocations);
        request.send().promise.await?;
        Ok(())
    });
    if let Err(error) = result.await {
        heartbeat::record_call_failure(&shared, &router.instance, &error);
    }
}

/// Merges served costs with some owners of other shards of the same services.
/// `round` selects the owners in rotation.
pub(super) fn merge_costs(shared: &SharedState, round: usize) {
    let others = {
        let control = shared.borrow();
        let services: BTreeSet<_> =
            control.owned_shards.keys().map(|shard| &shard.service).collect();
        let shards = control.shards.keys().filter(|shard| services.contains(&shard.service));
        let owners: BTreeSet<_> = shards.filter_map(|shard| control.owner_of(shard)).collect();
        owners.into_iter().filter(|owner| owner != control.member()).collect::<Vec<_>>()
    };
    let start = if others.is_empty() { 0 } else { round * OWNERS_MERGED_PER_ROUND % others.len() };
    let chosen = others.iter().cycle().skip(start).take(OWNERS_MERGED_PER_ROUND.min(others.len()));
    for owner in chosen {
        tokio::task::spawn_local(merge_with(shared.clone(), owner.instance.clone()));
    }
}

async fn merge_with(shared: SharedState, owner: InstanceName) {
    let (address, rows) = {
        let control = shared.borrow();
        let services: BTreeSet<_> =
            control.owned_shards.keys().map(|shard| &shard.service).collect();
        let address = control.view.router(&owner).map(|router| router.peer_address);
        (address, control.owned_shard_costs(&services))
    };
    let Some(address) = address else {
        return;
    };
    let result = peers::call(&shared, &owner, address, |client| async move {
        let mut request = client.merge_request();
        let tables = group_by_shard_and_owner(&rows);
        write_cost_tables(request.get().init_rows(tables.len() as u32), &tables);
        let answer = request.send().promise.await?;
        Ok(read_cost_tables(answer.get()?.get_rows()?)?)
    });
    match result.await {
        Ok(rows) => shared.borrow_mut().merge_costs_of_other_shards(&rows),
        Err(error) => heartbeat::record_call_failure(&shared, &owner, &error),
    }
}
