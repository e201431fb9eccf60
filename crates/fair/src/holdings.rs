//! Which router may use how many slots of which upstream.

use std::collections::{BTreeMap, HashMap};

use span_types::{Member, UpstreamName};

use crate::{ShardReport, SlotRow};

/// The slots of one upstream at one router.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    /// Slots in the latest allocation.
    granted: u32,
    /// Upper bound on what the router may use; at least `granted`.
    held: u32,
    in_flight: u32,
    /// First allocation since which `granted` has not fallen.
    shrink_seq: u64,
}

impl Cell {
    fn idle(&self) -> u32 {
        self.granted.saturating_sub(self.in_flight)
    }

    fn returning_idle(&self) -> u32 {
        self.held.saturating_sub(self.granted.max(self.in_flight))
    }
}

#[derive(Debug, Default)]
struct Row {
    cells: BTreeMap<UpstreamName, Cell>,
    granted: u32,
    seq: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Column {
    limit: u32,
    held: u32,
    granted: u32,
}

/// The `held` bookkeeping of one shard.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    rows: BTreeMap<Member, Row>,
    columns: BTreeMap<UpstreamName, Column>,
}

impl Holdings {
    /// Sets the limit of an upstream and takes slots beyond it back.
    pub(crate) fn set_limit(&mut self, upstream: &UpstreamName, limit: u32) {
        let column = self.columns.entry(upstream.clone()).or_default();
        column.limit = limit;
        self.enforce(upstream);
    }

    pub(crate) fn set_upstreams(&mut self, limits: &[(UpstreamName, u32)]) {
        let gone = self.columns.keys().filter(|name| !limits.iter().any(|(up, _)| up == *name));
        let gone: Vec<UpstreamName> = gone.cloned().collect();
        for name in gone {
            self.set_limit(&name, 0);
        }
        for (name, limit) in limits {
            self.set_limit(name, *limit);
        }
        self.columns.retain(|_, column| column.limit > 0 || column.held > 0);
    }

    fn enforce(&mut self, upstream: &UpstreamName) {
        let column = self.columns.get_mut(upstream).expect("the column exists");
        while column.granted > column.limit {
            let cells = self.rows.values_mut().filter_map(|row| {
                let cell = row.cells.get_mut(upstream)?;
                Some((row.seq, &mut row.granted, cell))
            });
            let largest = cells.max_by_key(|(_, _, cell)| cell.granted);
            let (seq, granted, cell) = largest.expect("a granted slot has a router");
            cell.granted -= 1;
            cell.shrink_seq = seq + 1;
            *granted -= 1;
            column.granted -= 1;
        }
    }

    pub(crate) fn capacity(&self) -> u32 {
        self.columns.values().map(|column| column.limit).sum()
    }

    pub(crate) fn routers(&self) -> impl Iterator<Item = &Member> {
        self.rows.keys()
    }

    pub(crate) fn contains(&self, router: &Member) -> bool {
        self.rows.contains_key(router)
    }

    pub(crate) fn granted(&self, router: &Member) -> u32 {
        self.rows.get(router).map_or(0, |row| row.granted)
    }

    /// Slots taken from a router that it has not confirmed: those idle, which
    /// return with its next report, and all.
    pub(crate) fn returning(&self) -> (u32, u32) {
        let cells = self.rows.values().flat_map(|row| row.cells.values());
        cells.fold((0, 0), |(idle, all), cell| {
            (idle + cell.returning_idle(), all + cell.held - cell.granted)
        })
    }

    /// Whether slots that a router does not use wait for its confirmation.
    pub(crate) fn unconfirmed(&self, router: &Member) -> bool {
        let row = self.rows.get(router);
        row.is_some_and(|row| row.cells.values().any(|cell| cell.returning_idle() > 0))
    }

    /// Slots that no router may use.
    pub(crate) fn free(&self) -> u32 {
        self.columns.values().map(|column| column.limit.saturating_sub(column.held)).sum()
    }

    /// Largest excess of `held` over the limit of any upstream.
    pub(crate) fn overcommitted(&self) -> u32 {
        let excess = self.columns.values().map(|column| column.held.saturating_sub(column.limit));
        excess.max().unwrap_or(0)
    }

    /// Takes over a router with the slots that it says it holds.
    pub(crate) fn adopt(&mut self, report: &ShardReport, seq: u64) {
        self.remove(&report.router);
        let mut row = Row { seq, ..Row::default() };
        for slots in &report.slots {
            let Some(column) = self.columns.get_mut(&slots.upstream) else {
                continue;
            };
            let held = slots.held.max(slots.in_flight);
            let granted = slots.held.min(column.limit.saturating_sub(column.granted));
            column.held += held;
            column.granted += granted;
            row.granted += granted;
            let shrink_seq = if granted < slots.held { seq + 1 } else { 0 };
            let cell = Cell { granted, held, in_flight: slots.in_flight, shrink_seq };
            row.cells.insert(slots.upstream.clone(), cell);
        }
        self.rows.insert(report.router.clone(), row);
    }

    /// Lowers `held` to what a report confirms.
    pub(crate) fn confirm(&mut self, report: &ShardReport, applied_seq: u64) {
        let Some(row) = self.rows.get_mut(&report.router) else {
            return;
        };
        let reported: HashMap<_, _> =
            report.slots.iter().map(|slots| (&slots.upstream, slots)).collect();
        let latest = applied_seq == row.seq;
        for (upstream, cell) in &mut row.cells {
            let slots = reported.get(upstream);
            cell.in_flight = slots.map_or(0, |slots| slots.in_flight);
            let returned = cell.granted.saturating_sub(slots.map_or(0, |slots| slots.held));
            // A router that applied the latest allocation and claims less than
            // it gave slots back. No allocation on its way can restore them.
            if latest && returned > 0 {
                cell.granted -= returned;
                row.granted -= returned;
                let column = self.columns.get_mut(upstream).expect("a slot has an upstream");
                column.granted -= returned;
            }
            if applied_seq < cell.shrink_seq {
                continue;
            }
            let held = cell.granted.max(cell.in_flight).min(cell.held);
            let column = self.columns.get_mut(upstream).expect("a held slot has an upstream");
            column.held -= cell.held - held;
            cell.held = held;
        }
        row.cells.retain(|_, cell| cell.held > 0);
    }

    /// Drops a router with all it holds.
    pub(crate) fn remove(&mut self, router: &Member) {
        let Some(row) = self.rows.remove(router) else {
            return;
        };
        for (upstream, cell) in row.cells {
            let column = self.columns.get_mut(&upstream).expect("a held slot has an upstream");
            column.held -= cell.held;
            column.granted -= cell.granted;
        }
    }

    /// Grants up to `count` more slots; returns how many.
    pub(crate) fn grow(&mut self, router: &Member, count: u32) -> u32 {
        (0..count).take_while(|_| self.grow_one(router)).count() as u32
    }

    fn grow_one(&mut self, router: &Member) -> bool {
        let Some(row) = self.rows.get_mut(router) else {
            return false;
        };
        // A slot that the router has not returned yet needs no free slot.
        let kept = row.cells.iter().find(|(upstream, cell)| {
            let column = &self.columns[*upstream];
            cell.held > cell.granted && column.granted < column.limit
        });
        let kept = kept.map(|(upstream, _)| upstream.clone());
        let regrant = kept.is_some();
        let free = self.columns.iter().filter(|(_, column)| column.held < column.limit);
        let emptiest = free.max_by_key(|(_, column)| column.limit - column.held);
        let Some(upstream) = kept.or(emptiest.map(|(upstream, _)| upstream.clone())) else {
            return false;
        };
        let column = self.columns.get_mut(&upstream).expect("the upstream was found");
        let cell = row.cells.entry(upstream).or_default();
        cell.granted += 1;
        row.granted += 1;
        column.granted += 1;
        if !regrant {
            cell.held += 1;
            column.held += 1;
        }
        true
    }

    /// Takes up to `count` slots from a router, idle ones first; returns how
    /// many. `idle_only` leaves those in use.
    pub(crate) fn shrink(&mut self, router: &Member, count: u32, idle_only: bool) -> u32 {
        (0..count).take_while(|_| self.shrink_one(router, idle_only)).count() as u32
    }

    fn shrink_one(&mut self, router: &Member, idle_only: bool) -> bool {
        let Some(row) = self.rows.get_mut(router) else {
            return false;
        };
        let cells = row.cells.iter_mut().filter(|(_, cell)| cell.granted > 0);
        let Some((upstream, cell)) = cells.max_by_key(|(_, cell)| (cell.idle(), cell.granted))
        else {
            return false;
        };
        if idle_only && cell.idle() == 0 {
            return false;
        }
        cell.granted -= 1;
        cell.shrink_seq = row.seq + 1;
        row.granted -= 1;
        self.columns.get_mut(upstream).expect("the upstream exists").granted -= 1;
        true
    }

    /// The next allocation of a router: its sequence number and slots.
    pub(crate) fn issue(&mut self, router: &Member) -> (u64, Vec<SlotRow>) {
        let Some(row) = self.rows.get_mut(router) else {
            return (0, Vec::new());
        };
        row.seq += 1;
        let granted = row.cells.iter().filter(|(_, cell)| cell.granted > 0);
        let slots = granted.map(|(upstream, cell)| SlotRow {
            upstream: upstream.clone(),
            held: cell.granted,
            in_flight: cell.in_flight,
        });
        (row.seq, slots.collect())
    }
}
