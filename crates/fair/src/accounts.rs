//! Costs and virtual times of the workspaces at one shard.

use std::collections::{BTreeSet, HashMap};

use span_types::{Member, ShardId, WorkspaceName};

use crate::{ShardCostRow, ShardReport, VirtualTimeRow, WorkspaceRow};

/// Time for which the costs of a removed router are kept. A router that comes
/// back from a partition within this time is charged exactly what it served
/// meanwhile.
const REMOVED_ROUTER_RETENTION_MS: u64 = 900_000;

/// Usage of one workspace, from the latest report of one router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouterUsage {
    pub(crate) served: u64,
    pub(crate) reserved: u64,
    pub(crate) in_flight: u32,
    pub(crate) waiting: u32,
    /// Requests were waiting in the previous report as well.
    pub(crate) has_persistent_backlog: bool,
}

impl RouterUsage {
    fn cost(&self) -> u64 {
        self.served + self.reserved
    }

    fn is_active(&self) -> bool {
        self.in_flight > 0 || self.waiting > 0
    }
}

#[derive(Debug, Default)]
struct RouterRecord {
    last_report_seq: u64,
    /// Usage by index of the workspace's account.
    usage: HashMap<usize, RouterUsage>,
    removed_ms: Option<u64>,
}

#[derive(Debug)]
struct WorkspaceAccount {
    name: WorkspaceName,
    share: u32,
    base_virtual_time: f64,
    /// Cost charged since `base_virtual_time` was set. It falls when an
    /// estimate was too high.
    cost_since_base: i64,
    /// Cost served since this owner took over, from the routers' reports.
    served_cost: u64,
    in_flight: u64,
    waiting: u64,
    /// Key of the account in its index. The second value is true if that is the
    /// index of backlogged workspaces.
    index_key: Option<(u64, bool)>,
    /// Routers at which the workspace has requests.
    active_routers: BTreeSet<Member>,
}

impl WorkspaceAccount {
    fn virtual_time(&self) -> f64 {
        (self.base_virtual_time + self.cost_since_base as f64 / f64::from(self.share.max(1)))
            .max(0.0)
    }

    fn rebase(&mut self, virtual_time: f64) {
        self.base_virtual_time = virtual_time;
        self.cost_since_base = 0;
    }
}

/// Costs and virtual times of all workspaces at one shard.
#[derive(Debug, Default)]
pub(crate) struct CostAccounts {
    accounts: Vec<WorkspaceAccount>,
    account_indices: HashMap<WorkspaceName, usize>,
    routers: HashMap<Member, RouterRecord>,
    other_shard_costs: HashMap<(ShardId, Member, usize), u64>,
    /// Workspaces with waiting requests, lowest virtual time first.
    with_backlog: BTreeSet<(u64, usize)>,
    /// Workspaces with requests in flight only, lowest virtual time first.
    without_backlog: BTreeSet<(u64, usize)>,
    virtual_time: f64,
    /// Largest lead of a backlogged workspace over `virtual_time`; 0 if there is
    /// no limit.
    catch_up_limit: f64,
}

impl CostAccounts {
    pub(crate) fn set_shares(&mut self, shares: &[(WorkspaceName, u32)]) {
        for (name, share) in shares {
            let index = self.account_index(name);
            let account = &mut self.accounts[index];
            let virtual_time = account.virtual_time();
            account.rebase(virtual_time);
            account.share = *share;
        }
    }

    pub(crate) fn min_share(&self) -> u32 {
        self.accounts.iter().map(|account| account.share).min().unwrap_or(1).max(1)
    }

    pub(crate) fn set_catch_up_limit(&mut self, limit: f64) {
        self.catch_up_limit = limit;
    }

    pub(crate) fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    fn account_index(&mut self, name: &WorkspaceName) -> usize {
        if let Some(&index) = self.account_indices.get(name) {
            return index;
        }
        self.account_indices.insert(name.clone(), self.accounts.len());
        self.accounts.push(WorkspaceAccount {
            name: name.clone(),
            share: 1,
            base_virtual_time: 0.0,
            cost_since_base: 0,
            served_cost: 0,
            in_flight: 0,
            waiting: 0,
            index_key: None,
            active_routers: BTreeSet::new(),
        });
        self.accounts.len() - 1
    }

    /// Whether a report is newer than all others of its router.
    pub(crate) fn is_newer(&self, report: &ShardReport) -> bool {
        self.routers.get(&report.router).is_none_or(|record| record.last_report_seq < report.seq)
    }

    pub(crate) fn last_report_seq(&self, router: &Member) -> u64 {
        self.routers.get(router).map_or(0, |record| record.last_report_seq)
    }

    /// Merges a report and returns the cost served since the router's previous
    /// report.
    pub(crate) fn merge_report(&mut self, report: &ShardReport) -> u64 {
        let is_known = self.routers.contains_key(&report.router);
        let mut record = self.routers.remove(&report.router).unwrap_or_default();
        record.last_report_seq = report.seq;
        record.removed_ms = None;
        let mut served = 0;
        let mut listed = BTreeSet::new();
        for row in &report.workspaces {
            let index = self.account_index(&row.workspace);
            listed.insert(index);
            if !is_known {
                let usage = self.adopt_virtual_time(index, row, &report.standings);
                record.usage.insert(index, usage);
            }
            let before = record.usage.get(&index).copied().unwrap_or_default();
            let after = RouterUsage {
                served: row.served_cost.max(before.served),
                reserved: row.reserved_cost,
                in_flight: row.in_flight,
                waiting: row.waiting,
                has_persistent_backlog: row.waiting > 0 && before.waiting > 0,
            };
            served += after.served - before.served;
            self.replace_usage(&report.router, index, before, after);
            record.usage.insert(index, after);
        }
        self.clear_unlisted_usage(&report.router, &mut record, &listed);
        self.routers.insert(report.router.clone(), record);
        self.advance_virtual_time();
        served
    }

    // The first report of a router contains the virtual times that it received
    // from the previous owner. The workspace continues from there, and the
    // router's further cost is added.
    fn adopt_virtual_time(
        &mut self,
        index: usize,
        row: &WorkspaceRow,
        standings: &[VirtualTimeRow],
    ) -> RouterUsage {
        let last_known = standings.iter().find(|standing| standing.workspace == row.workspace);
        let Some(last_known) = last_known else {
            return RouterUsage::default();
        };
        let account = &mut self.accounts[index];
        let virtual_time = account.virtual_time().max(last_known.virtual_time);
        account.rebase(virtual_time);
        RouterUsage {
            served: last_known.included_cost.min(row.served_cost),
            ..RouterUsage::default()
        }
    }

    // A workspace without a row has no more requests at the router.
    fn clear_unlisted_usage(
        &mut self,
        router: &Member,
        record: &mut RouterRecord,
        listed: &BTreeSet<usize>,
    ) {
        for (&index, usage) in &mut record.usage {
            if !listed.contains(&index) && (usage.is_active() || usage.reserved > 0) {
                let before = *usage;
                *usage = RouterUsage { served: before.served, ..RouterUsage::default() };
                self.replace_usage(router, index, before, *usage);
            }
        }
    }

    fn replace_usage(
        &mut self,
        router: &Member,
        index: usize,
        before: RouterUsage,
        after: RouterUsage,
    ) {
        let account = &mut self.accounts[index];
        account.cost_since_base += after.cost() as i64 - before.cost() as i64;
        account.served_cost += after.served - before.served;
        account.in_flight += u64::from(after.in_flight);
        account.in_flight -= u64::from(before.in_flight);
        let was_backlogged = account.waiting > 0;
        account.waiting += u64::from(after.waiting);
        account.waiting -= u64::from(before.waiting);
        if after.is_active() {
            account.active_routers.insert(router.clone());
        } else {
            account.active_routers.remove(router);
        }
        if !was_backlogged {
            // A workspace gets no credit for a time in which all its demand was
            // met.
            self.raise_to_fleet_virtual_time(index);
        }
        self.update_index(index);
    }

    fn raise_to_fleet_virtual_time(&mut self, index: usize) {
        let account = &mut self.accounts[index];
        if account.virtual_time() < self.virtual_time {
            account.rebase(self.virtual_time);
        }
    }

    fn update_index(&mut self, index: usize) {
        let max_virtual_time = self.virtual_time + self.catch_up_limit;
        let account = &mut self.accounts[index];
        if let Some((key, backlogged)) = account.index_key.take() {
            let set = if backlogged { &mut self.with_backlog } else { &mut self.without_backlog };
            set.remove(&(key, index));
        }
        if account.waiting == 0 && account.in_flight == 0 {
            return;
        }
        let backlogged = account.waiting > 0;
        if backlogged && self.catch_up_limit > 0.0 && account.virtual_time() > max_virtual_time {
            account.rebase(max_virtual_time);
        }
        // Non-negative floats have the same order as their bits.
        let key = account.virtual_time().to_bits();
        account.index_key = Some((key, backlogged));
        let set = if backlogged { &mut self.with_backlog } else { &mut self.without_backlog };
        set.insert((key, index));
    }

    fn advance_virtual_time(&mut self) {
        let key = self.with_backlog.first().or(self.without_backlog.last());
        if let Some((key, _)) = key {
            self.virtual_time = self.virtual_time.max(f64::from_bits(*key));
        }
    }

    /// Removes the requests of a router that no longer runs. Their cost stays
    /// charged.
    pub(crate) fn remove_router(&mut self, now_ms: u64, router: &Member) {
        let Some(mut record) = self.routers.remove(router) else {
            return;
        };
        self.clear_unlisted_usage(router, &mut record, &BTreeSet::new());
        record.removed_ms = Some(now_ms);
        self.routers.insert(router.clone(), record);
        self.routers.retain(|_, record| {
            record
                .removed_ms
                .is_none_or(|removed_ms| now_ms < removed_ms + REMOVED_ROUTER_RETENTION_MS)
        });
        self.advance_virtual_time();
    }

    /// Adds the cost that the other shards of the service have served since
    /// their previous rows. The first row of an owner about a workspace adds
    /// nothing.
    pub(crate) fn merge_shard_costs(&mut self, rows: &[ShardCostRow]) {
        for row in rows {
            let index = self.account_index(&row.workspace);
            let key = (row.shard.clone(), row.owner.clone(), index);
            let before = self.other_shard_costs.insert(key, row.cost).unwrap_or(row.cost);
            let account = &mut self.accounts[index];
            account.cost_since_base += row.cost.saturating_sub(before) as i64;
            self.update_index(index);
        }
        self.advance_virtual_time();
    }

    pub(crate) fn shard_costs(&self, shard: &ShardId, owner: &Member) -> Vec<ShardCostRow> {
        let accounts = self.without_backlog.iter().chain(&self.with_backlog);
        accounts
            .map(|(_, index)| ShardCostRow {
                shard: shard.clone(),
                owner: owner.clone(),
                workspace: self.accounts[*index].name.clone(),
                cost: self.accounts[*index].served_cost,
            })
            .collect()
    }

    /// Virtual times of the workspaces in a router's report.
    pub(crate) fn virtual_time_rows(&self, report: &ShardReport) -> Vec<VirtualTimeRow> {
        let record = &self.routers[&report.router];
        let rows = report.workspaces.iter().filter_map(|row| {
            let index = self.account_indices.get(&row.workspace)?;
            let usage = record.usage.get(index)?;
            Some(VirtualTimeRow {
                workspace: row.workspace.clone(),
                virtual_time: self.effective_virtual_time(&self.accounts[*index]),
                included_cost: usage.cost(),
            })
        });
        rows.collect()
    }

    fn effective_virtual_time(&self, account: &WorkspaceAccount) -> f64 {
        let virtual_time = account.virtual_time();
        if account.waiting > 0 { virtual_time } else { virtual_time.max(self.virtual_time) }
    }

    /// Virtual time of a workspace; `None` if no report or configuration has
    /// named it.
    pub(crate) fn workspace_virtual_time(&self, name: &WorkspaceName) -> Option<f64> {
        self.account_indices
            .get(name)
            .map(|index| self.effective_virtual_time(&self.accounts[*index]))
    }

    /// Calls `visit` for each workspace with requests, with its virtual time,
    /// its share and its usage per router.
    pub(crate) fn for_each_active<'a>(
        &'a self,
        mut visit: impl FnMut(f64, u32, &mut dyn Iterator<Item = (&'a Member, RouterUsage)>),
    ) {
        for (_, index) in self.with_backlog.iter().chain(&self.without_backlog) {
            let account = &self.accounts[*index];
            let mut usage = account.active_routers.iter().filter_map(|router| {
                let usage = self.routers.get(router)?.usage.get(index)?;
                Some((router, *usage))
            });
            visit(self.effective_virtual_time(account), account.share, &mut usage);
        }
    }

    pub(crate) fn requests_in_flight(&self) -> u64 {
        let accounts = self.without_backlog.iter().chain(&self.with_backlog);
        accounts.map(|(_, index)| self.accounts[*index].in_flight).sum()
    }
}
