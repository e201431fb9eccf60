//! Reports to shard owners and pushes from them.

use std::collections::{BTreeMap, BTreeSet};

use span_fair::{Allocation, DispatchPolicy, ShardReport, report_period_ms};
use span_types::{InstanceName, Member, ServiceName, ShardId};
use span_wire::{read_answers, read_rows, tables, write_allocations, write_reports, write_rows};

use super::{
    Counter, beat,
    core::{Core, Shared},
    peers,
};

/// Owners of other shards that are told counters per second.
const MERGES_PER_ROUND: usize = 4;

/// Exchanges with one owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    sent_ms: u64,
    period_ms: u64,
}

impl Pace {
    /// Whether a report may be sent. An owner that asks for a longer period
    /// than its fan-in demands is over its budget; the more it extends the
    /// period, the longer urgent reports wait, up to the whole period.
    fn allows(&self, now_ms: u64, usual_ms: u64) -> bool {
        let added_ms = self.period_ms.saturating_sub(usual_ms);
        let wait_ms = self.period_ms * (2 * added_ms).min(usual_ms) / usual_ms.max(1);
        now_ms >= self.sent_ms + wait_ms
    }
}

impl Core {
    fn may_report(&self, now_ms: u64, owner: &Member) -> bool {
        let usual_ms = report_period_ms(self.view.live_routers().len());
        let pace = self.paces.get(&owner.instance).copied().unwrap_or_default();
        !self.exchanging.contains(&owner.instance) && pace.allows(now_ms, usual_ms)
    }

    fn note_period(&mut self, owner: &Member, allocations: &[Allocation]) {
        let period_ms = allocations.iter().map(|row| row.next_report_ms).max();
        if let Some(period_ms) = period_ms {
            self.paces.entry(owner.instance.clone()).or_default().period_ms = period_ms;
        }
    }

    /// Shards that this router takes slots from, by owner.
    fn shards_by_owner(&self) -> BTreeMap<Member, Vec<ShardId>> {
        let mut owners: BTreeMap<Member, Vec<ShardId>> = BTreeMap::new();
        for shard in self.shards.keys() {
            if let Some(owner) = self.owner_of(shard) {
                owners.entry(owner).or_default().push(shard.clone());
            }
        }
        owners
    }

    fn due(&self, now_ms: u64) -> BTreeSet<ShardId> {
        self.services.values().flat_map(|state| state.due(now_ms)).collect()
    }

    /// Reports that are due, by owner. All shards of an owner travel in one
    /// message as soon as one of them is due, since a message has a fixed cost.
    pub fn due_reports(&mut self) -> Vec<(Member, Vec<ShardReport>)> {
        let now_ms = self.now_ms();
        let due = self.due(now_ms);
        if due.is_empty() {
            return Vec::new();
        }
        let mut reports = Vec::new();
        for (owner, shards) in self.shards_by_owner() {
            let is_due = shards.iter().any(|shard| due.contains(shard));
            if is_due && self.may_report(now_ms, &owner) {
                let rows = shards.iter().filter_map(|shard| self.report(now_ms, shard, &owner));
                reports.push((owner.clone(), rows.collect()));
            }
        }
        reports
    }

    fn report(&mut self, now_ms: u64, shard: &ShardId, owner: &Member) -> Option<ShardReport> {
        let state = self.services.get_mut(&shard.service)?;
        Some(state.report(now_ms, shard, owner))
    }

    /// Counters of the shards owned here.
    pub fn owner_rows(&self, services: &BTreeSet<&ServiceName>) -> Vec<span_fair::ShardCostRow> {
        let owners = self.owners.iter().filter(|(shard, _)| services.contains(&shard.service));
        owners.flat_map(|(_, owner)| owner.shard_costs()).collect()
    }

    /// Merges counters of other shards of the services owned here.
    pub fn merge_rows(&mut self, rows: &[span_fair::ShardCostRow]) {
        for (shard, owner) in &mut self.owners {
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

/// Sends what is due: reports to owners, pushes to routers.
pub(super) fn round(shared: &Shared) {
    if shared.borrow().settings.policy != DispatchPolicy::Fleet {
        return;
    }
    let reports = shared.borrow_mut().due_reports();
    for (owner, reports) in reports {
        if owner == *shared.borrow().member() {
            report_to_self(shared, &reports);
        } else {
            let mut core = shared.borrow_mut();
            let now_ms = core.now_ms();
            core.exchanging.insert(owner.instance.clone());
            core.paces.entry(owner.instance.clone()).or_default().sent_ms = now_ms;
            drop(core);
            tokio::task::spawn_local(exchange(shared.clone(), owner, reports));
        }
    }
    push(shared);
}

fn report_to_self(shared: &Shared, reports: &[ShardReport]) {
    let mut core = shared.borrow_mut();
    for report in reports {
        if let Some(allocation) = core.owner_report(report) {
            core.apply(allocation);
        }
    }
}

async fn exchange(shared: Shared, owner: Member, reports: Vec<ShardReport>) {
    let result = send_reports(&shared, &owner.instance, reports).await;
    shared.borrow_mut().exchanging.remove(&owner.instance);
    match result {
        Ok(allocations) => {
            let mut core = shared.borrow_mut();
            let now_ms = core.now_ms();
            core.view.record_message(now_ms, &owner);
            core.note_period(&owner, &allocations);
            for allocation in allocations {
                core.apply(allocation);
            }
        }
        Err(error) => beat::note_failure(&shared, &owner.instance, &error),
    }
}

async fn send_reports(
    shared: &Shared,
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
        Ok(read_answers(answer.get()?.get_allocations()?, &reports)?)
    })
    .await
}

/// Pushes allocations, at most one message per router. Over the budget they
/// are dropped: the answer to the router's next report, which comes within its
/// period, contains the same slots.
fn push(shared: &Shared) {
    let pushes = shared.borrow_mut().pushes();
    if !shared.borrow().pacer.has_room() {
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

async fn send_push(shared: Shared, router: Member, allocations: Vec<Allocation>) {
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
        beat::note_failure(&shared, &router.instance, &error);
    }
}

/// Tells some owners of other shards of the same services what was served
/// here; `turn` chooses which.
pub(super) fn merge_round(shared: &Shared, turn: usize) {
    let others = {
        let core = shared.borrow();
        let services: BTreeSet<_> = core.owners.keys().map(|shard| &shard.service).collect();
        let shards = core.shards.keys().filter(|shard| services.contains(&shard.service));
        let owners: BTreeSet<_> = shards.filter_map(|shard| core.owner_of(shard)).collect();
        owners.into_iter().filter(|owner| owner != core.member()).collect::<Vec<_>>()
    };
    let start = if others.is_empty() { 0 } else { turn * MERGES_PER_ROUND % others.len() };
    let chosen = others.iter().cycle().skip(start).take(MERGES_PER_ROUND.min(others.len()));
    for owner in chosen {
        tokio::task::spawn_local(merge(shared.clone(), owner.instance.clone()));
    }
}

async fn merge(shared: Shared, owner: InstanceName) {
    let (address, rows) = {
        let core = shared.borrow();
        let services: BTreeSet<_> = core.owners.keys().map(|shard| &shard.service).collect();
        let address = core.view.router(&owner).map(|router| router.peer_address);
        (address, core.owner_rows(&services))
    };
    let Some(address) = address else {
        return;
    };
    let result = peers::call(&shared, &owner, address, |client| async move {
        let mut request = client.merge_request();
        let tables = tables(&rows);
        write_rows(request.get().init_rows(tables.len() as u32), &tables);
        let answer = request.send().promise.await?;
        Ok(read_rows(answer.get()?.get_rows()?)?)
    });
    match result.await {
        Ok(rows) => shared.borrow_mut().merge_rows(&rows),
        Err(error) => beat::note_failure(&shared, &owner, &error),
    }
}
