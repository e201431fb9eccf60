//! The requests of one service at one router.

use std::collections::{BTreeSet, HashMap};

use span_types::{Member, ServiceName, ShardId, UpstreamName};

use crate::{
    Allocation, Dispatch, EstimateTable, ExpiredRequest, Rejection, Request, ShardReport, SlotRow,
    Ticket, VirtualTimeRow, WorkspaceLimits, WorkspaceRow,
    policy::DispatchPolicy,
    slots::{Choice, ShardSlots},
    workspace::{Position, ShardUse, Waiting, Workspace, retry_after_ms},
};

#[derive(Debug)]
struct Running {
    workspace: usize,
    shard: usize,
    upstream: UpstreamName,
    estimate: u64,
    progress: u64,
    started_ms: u64,
}

impl Running {
    fn reserved(&self) -> u64 {
        self.estimate.saturating_sub(self.progress)
    }
}

/// The requests of one service at one router: those that wait, in fair order,
/// and those in flight.
///
/// Every operation on a request costs at most the logarithm of the number of
/// workspaces and waiting requests.
#[derive(Debug)]
pub struct RouterQueue {
    policy: DispatchPolicy,
    service: ServiceName,
    router: Member,
    estimates: EstimateTable,
    workspaces: Vec<Workspace>,
    by_name: HashMap<span_types::WorkspaceName, usize>,
    shards: Vec<ShardSlots>,
    by_shard: HashMap<ShardId, usize>,
    /// Workspaces whose first request may be dispatched, lowest key first.
    ready: BTreeSet<(u64, usize)>,
    /// Workspaces whose first request avoids every free slot.
    parked: Vec<usize>,
    /// Workspaces that a report has to mention.
    touched: BTreeSet<usize>,
    places: HashMap<Ticket, (usize, Position)>,
    deadlines: BTreeSet<(u64, Ticket)>,
    running: HashMap<Ticket, Running>,
    submissions: u64,
    virtual_time: f64,
    max_cost: u64,
    max_rate: u64,
    ordered_operations: u64,
}

impl RouterQueue {
    /// Makes an empty queue.
    pub fn new(policy: DispatchPolicy, service: ServiceName, router: Member) -> Self {
        Self {
            policy,
            service,
            router,
            estimates: EstimateTable::default(),
            workspaces: Vec::new(),
            by_name: HashMap::new(),
            shards: Vec::new(),
            by_shard: HashMap::new(),
            ready: BTreeSet::new(),
            parked: Vec::new(),
            touched: BTreeSet::new(),
            places: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            submissions: 0,
            virtual_time: 0.0,
            max_cost: 0,
            max_rate: 0,
            ordered_operations: 0,
        }
    }

    /// Replaces the configuration of the workspaces. Requests that wait for a
    /// workspace without configuration are given up on and returned.
    pub fn set_workspaces(&mut self, limits: &[WorkspaceLimits]) -> Vec<ExpiredRequest> {
        for workspace in &mut self.workspaces {
            workspace.configured = false;
        }
        for limits in limits {
            match self.by_name.get(&limits.workspace) {
                Some(&index) => self.reconfigure(index, limits),
                None => {
                    self.by_name.insert(limits.workspace.clone(), self.workspaces.len());
                    self.workspaces.push(Workspace::new(limits.clone()));
                }
            }
        }
        let (workspaces, by_name) = (&self.workspaces, &self.by_name);
        self.estimates.retain(|name| by_name.get(name).is_some_and(|i| workspaces[*i].configured));
        let removed = self.places.iter().filter(|(_, (index, _))| !workspaces[*index].configured);
        let removed: Vec<Ticket> = removed.map(|(ticket, _)| *ticket).collect();
        self.give_up(&removed)
    }

    fn reconfigure(&mut self, index: usize, limits: &WorkspaceLimits) {
        let workspace = &mut self.workspaces[index];
        // Past service keeps the share under which it was received.
        let virtual_time = workspace.virtual_time();
        let reshared = workspace.limits.share != limits.share;
        workspace.configured = true;
        workspace.limits = limits.clone();
        if reshared {
            workspace.lift(virtual_time);
        }
        self.rekey(index);
    }

    /// Names the shards of the service. Shards no longer named lose their slots
    /// once their requests have ended.
    pub fn set_shards(&mut self, shards: &[ShardId]) {
        for id in shards {
            self.shard_index(id);
        }
        let gone = self.shards.iter_mut().filter(|shard| !shards.contains(&shard.id));
        gone.for_each(|shard| shard.fix(&[]));
    }

    /// Gives the queue slots that no owner administers; for [`DispatchPolicy::Local`]
    /// and [`DispatchPolicy::Fcfs`].
    pub fn set_fixed_slots(&mut self, shard: &ShardId, slots: &[SlotRow]) {
        let index = self.shard_index(shard);
        self.shards[index].fix(slots);
        self.unpark();
    }

    fn shard_index(&mut self, id: &ShardId) -> usize {
        if let Some(&index) = self.by_shard.get(id) {
            return index;
        }
        self.by_shard.insert(id.clone(), self.shards.len());
        self.shards.push(ShardSlots::new(id.clone()));
        self.shards.len() - 1
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// The request did not run and does not wait; see [`Rejection`].
    pub fn submit(&mut self, now_ms: u64, request: Request) -> Result<(), Rejection> {
        let index = self.by_name.get(&request.workspace).copied();
        let index = index.filter(|index| self.workspaces[*index].configured);
        let index = index.ok_or(Rejection::UnknownWorkspace)?;
        let workspace = &mut self.workspaces[index];
        let deadline_ms = request.arrived_ms.saturating_add(workspace.limits.deadline_ms);
        if deadline_ms <= now_ms {
            return Err(Rejection::DeadlinePassed { retry_after_ms: workspace.refuse() });
        }
        if workspace.waiting.len() >= workspace.limits.queue_limit as usize {
            return Err(Rejection::QueueFull { retry_after_ms: workspace.refuse() });
        }
        if workspace.is_idle() {
            let virtual_time = fleet_virtual_time(self.policy, &self.shards, self.virtual_time);
            workspace.lift(virtual_time);
        }
        self.submissions += 1;
        let position = (request.arrived_ms, self.submissions);
        self.places.insert(request.ticket, (index, position));
        self.deadlines.insert((deadline_ms, request.ticket));
        self.workspaces[index].waiting.insert(position, Waiting { request, deadline_ms });
        self.ordered_operations += 2;
        self.touched.insert(index);
        self.rekey(index);
        self.note_waiting(now_ms);
        Ok(())
    }

    // While all slots are wanted, an owner that knows of work here learns nothing
    // from one more request.
    fn note_waiting(&mut self, now_ms: u64) {
        let first = self.places.len() == 1;
        for shard in &mut self.shards {
            if shard.free(now_ms) == 0 && (first || !shard.saturated) {
                shard.news = true;
            }
        }
    }

    /// Removes a waiting request. Returns false if it does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove_waiting(ticket).is_some()
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<usize> {
        let (index, position) = self.places.remove(&ticket)?;
        let waiting = self.workspaces[index].waiting.remove(&position)?;
        self.deadlines.remove(&(waiting.deadline_ms, ticket));
        self.ordered_operations += 2;
        self.rekey(index);
        Some(index)
    }

    /// Gives up on the requests whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ExpiredRequest> {
        let late = self.deadlines.iter().take_while(|(deadline_ms, _)| *deadline_ms <= now_ms);
        let late: Vec<Ticket> = late.map(|(_, ticket)| *ticket).collect();
        self.give_up(&late)
    }

    /// Gives up on every waiting request, for a shutdown.
    pub fn expire_all(&mut self) -> Vec<ExpiredRequest> {
        let all: Vec<Ticket> = self.deadlines.iter().map(|(_, ticket)| *ticket).collect();
        self.give_up(&all)
    }

    fn give_up(&mut self, tickets: &[Ticket]) -> Vec<ExpiredRequest> {
        let mut expired = Vec::with_capacity(tickets.len());
        for &ticket in tickets {
            if let Some(index) = self.remove_waiting(ticket) {
                let workspace = &mut self.workspaces[index];
                let places = workspace.waiting.len() as u64 + 1;
                let retry_after_ms = retry_after_ms(workspace.interval_ms, places);
                expired.push(ExpiredRequest { ticket, retry_after_ms });
            }
        }
        expired
    }

    /// Starts the next request if a slot is free for it. Call until `None`,
    /// after [`RouterQueue::expire`].
    pub fn dispatch(&mut self, now_ms: u64) -> Option<Dispatch> {
        while self.shards.iter().any(|shard| shard.free(now_ms) > 0) {
            let &(_, index) = self.ready.first()?;
            match self.choose(now_ms, index) {
                Some((shard, slot)) => return Some(self.start(now_ms, index, shard, slot)),
                None => self.park(index),
            }
        }
        None
    }

    fn choose(&self, now_ms: u64, index: usize) -> Option<(usize, usize)> {
        let (_, waiting) = self.workspaces[index].waiting.first_key_value()?;
        let avoid = waiting.request.avoided_upstreams.as_slice();
        let alternative = self.shards.iter().any(|shard| shard.has_alternative(now_ms, avoid));
        let avoid = if alternative { avoid } else { &[] };
        let choice = Choice { prefix: waiting.request.prefix_hash, avoid };
        let shards = self.shards.iter().enumerate();
        let slots = shards.filter_map(|(position, shard)| {
            let (score, slot) = shard.choose(now_ms, choice)?;
            Some((score, position, slot))
        });
        slots.max().map(|(_, shard, slot)| (shard, slot))
    }

    fn start(&mut self, now_ms: u64, index: usize, shard: usize, slot: usize) -> Dispatch {
        let workspace = &mut self.workspaces[index];
        self.virtual_time = self.virtual_time.max(workspace.virtual_time());
        let (_, waiting) = workspace.waiting.pop_first().expect("a ready workspace has requests");
        let Request { ticket, workspace: name, prompt_cost, cost_hint, .. } = waiting.request;
        self.places.remove(&ticket);
        self.deadlines.remove(&(waiting.deadline_ms, ticket));
        self.ordered_operations += 2;
        let estimate = self.estimates.estimate(&name, prompt_cost, cost_hint);
        workspace.count_dispatch(now_ms);
        workspace.in_flight += 1;
        let usage = workspace.usage(shard);
        usage.in_flight += 1;
        usage.reserved += estimate;
        let upstream = self.shards[shard].occupy(slot);
        let running = Running {
            workspace: index,
            shard,
            upstream: upstream.clone(),
            estimate,
            progress: 0,
            started_ms: now_ms,
        };
        self.running.insert(ticket, running);
        self.rekey(index);
        Dispatch { ticket, upstream, estimated_cost: estimate }
    }

    fn park(&mut self, index: usize) {
        if let Some(key) = self.workspaces[index].ready_key.take() {
            self.ready.remove(&(key, index));
        }
        self.parked.push(index);
    }

    fn unpark(&mut self) {
        for index in std::mem::take(&mut self.parked) {
            self.rekey(index);
        }
    }

    /// Records the cost that a request in flight has produced so far.
    pub fn record_progress(&mut self, ticket: Ticket, cost: u64) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let added = cost.saturating_sub(running.progress);
        if added == 0 {
            return;
        }
        let reserved = running.reserved();
        running.progress = cost;
        let released = reserved - running.reserved();
        let (index, shard) = (running.workspace, running.shard);
        let usage = self.workspaces[index].usage(shard);
        usage.served += added;
        usage.reserved -= released;
        if added > released {
            self.rekey(index);
        }
    }

    /// Frees the slot of a request and settles its cost. A cost below the
    /// progress is raised to it.
    pub fn finish(&mut self, now_ms: u64, ticket: Ticket, cost: u64) {
        self.record_progress(ticket, cost);
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        let workspace = &mut self.workspaces[running.workspace];
        workspace.in_flight -= 1;
        let usage = workspace.usage(running.shard);
        usage.in_flight -= 1;
        usage.reserved -= running.reserved();
        if running.progress > 0 {
            self.estimates.settle(&workspace.limits.workspace, running.progress);
        }
        let duration_ms = now_ms.saturating_sub(running.started_ms).max(1);
        self.max_cost = self.max_cost.max(running.progress);
        self.max_rate = self.max_rate.max(running.progress.saturating_mul(1_000) / duration_ms);
        let shard = &mut self.shards[running.shard];
        let usable = shard.release(&running.upstream);
        // The owner can give the slot to a router with waiting work.
        shard.returned |= !usable;
        shard.news |= shard.saturated && self.places.is_empty();
        self.rekey(running.workspace);
        self.unpark();
    }

    fn rekey(&mut self, index: usize) {
        let workspace = &mut self.workspaces[index];
        if let Some(key) = workspace.ready_key.take() {
            self.ordered_operations += 1;
            self.ready.remove(&(key, index));
        }
        let Some((position, _)) = workspace.waiting.first_key_value() else {
            return;
        };
        let key = match self.policy {
            // The bits of non-negative numbers order as the numbers do.
            DispatchPolicy::Fleet | DispatchPolicy::Local => workspace.virtual_time().to_bits(),
            DispatchPolicy::Fcfs => position.1,
        };
        workspace.ready_key = Some(key);
        self.ordered_operations += 1;
        self.ready.insert((key, index));
    }

    /// Shards to which a report is due, periodically or urgently.
    pub fn due_reports(&self, now_ms: u64) -> Vec<ShardId> {
        let due = self.shards.iter().filter(|shard| {
            shard.is_due(now_ms)
                || (self.is_urgent(now_ms, shard) && shard.may_report_early(now_ms))
        });
        due.map(|shard| shard.id.clone()).collect()
    }

    /// Whether a report is wanted before the period has passed.
    pub fn has_urgent_report(&self, now_ms: u64) -> bool {
        self.shards.iter().any(|shard| self.is_urgent(now_ms, shard))
    }

    fn is_urgent(&self, now_ms: u64, shard: &ShardSlots) -> bool {
        let starving = !self.places.is_empty() && shard.free(now_ms) == 0;
        shard.returned || (shard.news && (starving || shard.saturated))
    }

    /// When the next periodic report or deadline is due, in milliseconds.
    pub fn next_due_ms(&self) -> Option<u64> {
        let report = self.shards.iter().map(ShardSlots::next_report_ms).min();
        let deadline = self.deadlines.first().map(|(deadline_ms, _)| *deadline_ms);
        report.into_iter().chain(deadline).min()
    }

    /// Makes the report that is due for a shard, addressed to its owner. An owner
    /// other than the last one is told the standings, from which it starts.
    pub fn create_report(&mut self, now_ms: u64, shard: &ShardId, owner: &Member) -> ShardReport {
        let index = self.shard_index(shard);
        let slots = &mut self.shards[index];
        if slots.saturated && self.places.is_empty() {
            slots.return_free();
        }
        let seq = slots.start_report(now_ms);
        let rows: Vec<(WorkspaceRow, Option<VirtualTimeRow>)> =
            self.touched.clone().into_iter().filter_map(|ws| self.row(ws, index, seq)).collect();
        let (workspaces, standings): (Vec<_>, Vec<_>) = rows.into_iter().unzip();
        let slots = &self.shards[index];
        ShardReport {
            shard: slots.id.clone(),
            router: self.router.clone(),
            seq,
            max_cost: self.max_cost,
            max_rate: self.max_rate,
            applied_owner: slots.owner.clone(),
            applied_seq: slots.applied_seq,
            workspaces,
            slots: slots.rows(),
            standings: if slots.owner.as_ref() == Some(owner) {
                Vec::new()
            } else {
                standings.into_iter().flatten().collect()
            },
        }
    }

    fn row(
        &mut self,
        ws: usize,
        shard: usize,
        seq: u64,
    ) -> Option<(WorkspaceRow, Option<VirtualTimeRow>)> {
        let shards = self.shards.len();
        let workspace = &mut self.workspaces[ws];
        // Each shard is told of an equal part, rounded up: an owner that saw no
        // waiting request would take the workspace for one whose demand is met.
        let waiting = workspace.waiting.len().div_ceil(shards) as u32;
        let name = workspace.limits.workspace.clone();
        let usage = workspace.usage(shard);
        if waiting == 0 && usage.is_settled() {
            self.forget(ws);
            return None;
        }
        usage.sent = (seq, usage.served);
        let row = WorkspaceRow {
            workspace: name,
            served_cost: usage.served,
            reserved_cost: usage.reserved,
            in_flight: usage.in_flight,
            waiting,
        };
        Some((row, usage.standing.clone()))
    }

    fn forget(&mut self, ws: usize) {
        let workspace = &self.workspaces[ws];
        if workspace.is_idle() && workspace.uses.iter().all(ShardUse::is_settled) {
            self.touched.remove(&ws);
        }
    }

    /// Takes an allocation. Returns false if it is out of date.
    pub fn apply_allocation(&mut self, now_ms: u64, allocation: &Allocation) -> bool {
        if allocation.shard.service != self.service || self.policy != DispatchPolicy::Fleet {
            return false;
        }
        let index = self.shard_index(&allocation.shard);
        if !self.shards[index].apply(now_ms, allocation) {
            return false;
        }
        self.acknowledge(index, allocation.answers);
        let shard = &mut self.shards[index];
        shard.news |= shard.saturated && self.places.is_empty() && shard.free(now_ms) > 0;
        for standing in &allocation.standings {
            if let Some(&ws) = self.by_name.get(&standing.workspace) {
                self.workspaces[ws].stand(index, standing);
                self.rekey(ws);
            }
        }
        self.unpark();
        true
    }

    fn acknowledge(&mut self, shard: usize, answers: u64) {
        for &ws in &self.touched {
            let usage = self.workspaces[ws].usage(shard);
            if usage.sent.0 <= answers {
                usage.acknowledged = usage.acknowledged.max(usage.sent.1);
            }
        }
    }

    /// Insertions and removals in ordered sets so far. Each costs the logarithm
    /// of the number of workspaces or waiting requests.
    pub fn ordered_operations(&self) -> u64 {
        self.ordered_operations
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Slots that could be filled now.
    pub fn free_slots(&self, now_ms: u64) -> u32 {
        self.shards.iter().map(|shard| shard.free(now_ms)).sum()
    }
}

fn fleet_virtual_time(policy: DispatchPolicy, shards: &[ShardSlots], local: f64) -> f64 {
    let owned = shards.iter().filter(|shard| shard.owner.is_some());
    let fleet = owned.map(|shard| shard.virtual_time).reduce(f64::max);
    if policy == DispatchPolicy::Fleet { fleet.unwrap_or(local) } else { local }
}
