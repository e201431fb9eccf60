//! Counters of the service that each workspace received.

use std::collections::{BTreeSet, HashMap};

use span_types::{Member, ShardId, WorkspaceName};

use crate::{ShardCostRow, ShardReport, VirtualTimeRow, WorkspaceRow};

/// Time for which the counters of a departed router are kept, in milliseconds.
/// A router that returns within it from a partition is charged exactly what it
/// served meanwhile.
const DEPARTED_KEPT_MS: u64 = 900_000;

/// What one router said last of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) served: u64,
    pub(crate) reserved: u64,
    pub(crate) in_flight: u32,
    pub(crate) waiting: u32,
    /// It had waiting requests in the report before as well.
    pub(crate) persistent: bool,
}

impl Usage {
    fn cost(&self) -> u64 {
        self.served + self.reserved
    }

    fn is_active(&self) -> bool {
        self.in_flight > 0 || self.waiting > 0
    }
}

#[derive(Debug, Default)]
struct Source {
    seq: u64,
    usage: HashMap<usize, Usage>,
    departed_ms: Option<u64>,
}

#[derive(Debug)]
struct Account {
    name: WorkspaceName,
    share: u32,
    base: f64,
    /// Cost since `base`; falls when an estimate was too high.
    cost: i64,
    /// Cost counted by this owner.
    own_cost: u64,
    in_flight: u64,
    waiting: u64,
    /// Key under which the account is indexed, and in which index.
    indexed: Option<(u64, bool)>,
    /// Routers at which it has work.
    routers: BTreeSet<Member>,
}

impl Account {
    fn virtual_time(&self) -> f64 {
        (self.base + self.cost as f64 / f64::from(self.share.max(1))).max(0.0)
    }

    fn rebase(&mut self, virtual_time: f64) {
        self.base = virtual_time;
        self.cost = 0;
    }
}

/// Virtual times of all workspaces at one shard.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    accounts: Vec<Account>,
    by_name: HashMap<WorkspaceName, usize>,
    sources: HashMap<Member, Source>,
    peers: HashMap<(ShardId, Member, usize), u64>,
    backlogged: BTreeSet<(u64, usize)>,
    active: BTreeSet<(u64, usize)>,
    virtual_time: f64,
    catch_up_limit: f64,
}

impl Ledger {
    pub(crate) fn set_shares(&mut self, shares: &[(WorkspaceName, u32)]) {
        for (name, share) in shares {
            let index = self.account_index(name);
            let account = &mut self.accounts[index];
            let virtual_time = account.virtual_time();
            account.rebase(virtual_time);
            account.share = *share;
        }
    }

    pub(crate) fn smallest_share(&self) -> u32 {
        self.accounts.iter().map(|account| account.share).min().unwrap_or(1).max(1)
    }

    pub(crate) fn set_catch_up_limit(&mut self, limit: f64) {
        self.catch_up_limit = limit;
    }

    pub(crate) fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    fn account_index(&mut self, name: &WorkspaceName) -> usize {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        self.by_name.insert(name.clone(), self.accounts.len());
        self.accounts.push(Account {
            name: name.clone(),
            share: 1,
            base: 0.0,
            cost: 0,
            own_cost: 0,
            in_flight: 0,
            waiting: 0,
            indexed: None,
            routers: BTreeSet::new(),
        });
        self.accounts.len() - 1
    }

    /// Whether a report is newer than all others of its router.
    pub(crate) fn is_new(&self, report: &ShardReport) -> bool {
        self.sources.get(&report.router).is_none_or(|source| source.seq < report.seq)
    }

    pub(crate) fn answered(&self, router: &Member) -> u64 {
        self.sources.get(router).map_or(0, |source| source.seq)
    }

    /// Merges a report and returns the cost served since the router's last one.
    pub(crate) fn merge_report(&mut self, report: &ShardReport) -> u64 {
        let known = self.sources.contains_key(&report.router);
        let mut source = self.sources.remove(&report.router).unwrap_or_default();
        source.seq = report.seq;
        source.departed_ms = None;
        let mut served = 0;
        let mut mentioned = BTreeSet::new();
        for row in &report.workspaces {
            let index = self.account_index(&row.workspace);
            mentioned.insert(index);
            if !known {
                let usage = self.adopt(index, row, &report.standings);
                source.usage.insert(index, usage);
            }
            let before = source.usage.get(&index).copied().unwrap_or_default();
            let after = Usage {
                served: row.served_cost.max(before.served),
                reserved: row.reserved_cost,
                in_flight: row.in_flight,
                waiting: row.waiting,
                persistent: row.waiting > 0 && before.waiting > 0,
            };
            served += after.served - before.served;
            self.replace(&report.router, index, before, after);
            source.usage.insert(index, after);
        }
        self.end_unmentioned(&report.router, &mut source, &mentioned);
        self.sources.insert(report.router.clone(), source);
        self.advance();
        served
    }

    // The first report of a router states what the last owner knew. The
    // workspace continues from there; the router's further cost is added.
    fn adopt(&mut self, index: usize, row: &WorkspaceRow, standings: &[VirtualTimeRow]) -> Usage {
        let standing = standings.iter().find(|standing| standing.workspace == row.workspace);
        let Some(standing) = standing else {
            return Usage::default();
        };
        let account = &mut self.accounts[index];
        let virtual_time = account.virtual_time().max(standing.virtual_time);
        account.rebase(virtual_time);
        Usage { served: standing.included_cost.min(row.served_cost), ..Usage::default() }
    }

    // A workspace without a row has no work at the router any more.
    fn end_unmentioned(
        &mut self,
        router: &Member,
        source: &mut Source,
        mentioned: &BTreeSet<usize>,
    ) {
        for (&index, usage) in &mut source.usage {
            if !mentioned.contains(&index) && (usage.is_active() || usage.reserved > 0) {
                let before = *usage;
                *usage = Usage { served: before.served, ..Usage::default() };
                self.replace(router, index, before, *usage);
            }
        }
    }

    fn replace(&mut self, router: &Member, index: usize, before: Usage, after: Usage) {
        let account = &mut self.accounts[index];
        account.cost += after.cost() as i64 - before.cost() as i64;
        account.own_cost += after.served - before.served;
        account.in_flight += u64::from(after.in_flight);
        account.in_flight -= u64::from(before.in_flight);
        let was_backlogged = account.waiting > 0;
        account.waiting += u64::from(after.waiting);
        account.waiting -= u64::from(before.waiting);
        if after.is_active() {
            account.routers.insert(router.clone());
        } else {
            account.routers.remove(router);
        }
        if !was_backlogged {
            // Demand that was met gives no credit for later.
            self.lift(index);
        }
        self.reindex(index);
    }

    fn lift(&mut self, index: usize) {
        let account = &mut self.accounts[index];
        if account.virtual_time() < self.virtual_time {
            account.rebase(self.virtual_time);
        }
    }

    fn reindex(&mut self, index: usize) {
        let highest = self.virtual_time + self.catch_up_limit;
        let account = &mut self.accounts[index];
        if let Some((key, backlogged)) = account.indexed.take() {
            let set = if backlogged { &mut self.backlogged } else { &mut self.active };
            set.remove(&(key, index));
        }
        if account.waiting == 0 && account.in_flight == 0 {
            return;
        }
        let backlogged = account.waiting > 0;
        if backlogged && self.catch_up_limit > 0.0 && account.virtual_time() > highest {
            account.rebase(highest);
        }
        // The bits of non-negative numbers order as the numbers do.
        let key = account.virtual_time().to_bits();
        account.indexed = Some((key, backlogged));
        let set = if backlogged { &mut self.backlogged } else { &mut self.active };
        set.insert((key, index));
    }

    fn advance(&mut self) {
        let key = self.backlogged.first().or(self.active.last());
        if let Some((key, _)) = key {
            self.virtual_time = self.virtual_time.max(f64::from_bits(*key));
        }
    }

    /// Ends the work of a router that is gone. What it served stays counted.
    pub(crate) fn remove_router(&mut self, now_ms: u64, router: &Member) {
        let Some(mut source) = self.sources.remove(router) else {
            return;
        };
        self.end_unmentioned(router, &mut source, &BTreeSet::new());
        source.departed_ms = Some(now_ms);
        self.sources.insert(router.clone(), source);
        self.sources.retain(|_, source| {
            source.departed_ms.is_none_or(|departed_ms| now_ms < departed_ms + DEPARTED_KEPT_MS)
        });
        self.advance();
    }

    /// Adds what the other shards of the service served since their last rows.
    pub(crate) fn merge_peers(&mut self, rows: &[ShardCostRow]) {
        for row in rows {
            let index = self.account_index(&row.workspace);
            let key = (row.shard.clone(), row.owner.clone(), index);
            let before = self.peers.insert(key, row.cost).unwrap_or(row.cost);
            let account = &mut self.accounts[index];
            account.cost += row.cost.saturating_sub(before) as i64;
            self.reindex(index);
        }
        self.advance();
    }

    pub(crate) fn peer_rows(&self, shard: &ShardId, owner: &Member) -> Vec<ShardCostRow> {
        let active = self.active.iter().chain(&self.backlogged);
        active
            .map(|(_, index)| ShardCostRow {
                shard: shard.clone(),
                owner: owner.clone(),
                workspace: self.accounts[*index].name.clone(),
                cost: self.accounts[*index].own_cost,
            })
            .collect()
    }

    /// Standings of the workspaces that a router mentioned.
    pub(crate) fn standings(&self, report: &ShardReport) -> Vec<VirtualTimeRow> {
        let source = &self.sources[&report.router];
        let rows = report.workspaces.iter().filter_map(|row| {
            let index = self.by_name.get(&row.workspace)?;
            let usage = source.usage.get(index)?;
            Some(VirtualTimeRow {
                workspace: row.workspace.clone(),
                virtual_time: self.effective(&self.accounts[*index]),
                included_cost: usage.cost(),
            })
        });
        rows.collect()
    }

    fn effective(&self, account: &Account) -> f64 {
        let virtual_time = account.virtual_time();
        if account.waiting > 0 { virtual_time } else { virtual_time.max(self.virtual_time) }
    }

    /// Virtual time of a workspace; `None` if it was never seen.
    pub(crate) fn workspace_virtual_time(&self, name: &WorkspaceName) -> Option<f64> {
        self.by_name.get(name).map(|index| self.effective(&self.accounts[*index]))
    }

    /// Calls `visit` for each workspace with work: its virtual time, its share
    /// and its usage per router.
    pub(crate) fn for_each_active<'a>(
        &'a self,
        mut visit: impl FnMut(f64, u32, &mut dyn Iterator<Item = (&'a Member, Usage)>),
    ) {
        for (_, index) in self.backlogged.iter().chain(&self.active) {
            let account = &self.accounts[*index];
            let mut usage = account.routers.iter().filter_map(|router| {
                let usage = self.sources.get(router)?.usage.get(index)?;
                Some((router, *usage))
            });
            visit(self.effective(account), account.share, &mut usage);
        }
    }

    pub(crate) fn in_flight(&self) -> u64 {
        let indexed = self.active.iter().chain(&self.backlogged);
        indexed.map(|(_, index)| self.accounts[*index].in_flight).sum()
    }
}
