//! Requests of one service at one router.

use std::collections::{BTreeSet, HashMap};

use span_types::{Member, ServiceName, ShardId, UpstreamName};

use crate::{
    Allocation, CostEstimates, Dispatch, ExpiredRequest, Rejection, Request, ShardReport, SlotRow,
    Ticket, VirtualTimeRow, WorkspaceLimits, WorkspaceRow,
    policy::DispatchPolicy,
    slots::{ShardSlots, SlotPreference},
    workspace::{QueuePosition, ShardUsage, WaitingRequest, Workspace, retry_after_ms},
};

#[derive(Debug)]
struct InFlightRequest {
    workspace: usize,
    shard: usize,
    upstream: UpstreamName,
    estimated_cost: u64,
    produced_cost: u64,
    started_ms: u64,
}

impl InFlightRequest {
    fn reserved_cost(&self) -> u64 {
        self.estimated_cost.saturating_sub(self.produced_cost)
    }
}

/// The requests of one service at one router: the waiting ones in fair order,
/// and those in flight.
///
/// Each operation on a request takes at most logarithmic time in the number of
/// workspaces and waiting requests.
#[derive(Debug)]
pub struct RouterQueue {
    policy: DispatchPolicy,
    service: ServiceName,
    router: Member,
    cost_estimates: CostEstimates,
    workspaces: Vec<Workspace>,
    workspace_indices: HashMap<span_types::WorkspaceName, usize>,
    shards: Vec<ShardSlots>,
    shard_indices: HashMap<ShardId, usize>,
    /// Workspaces whose first request may be dispatched, lowest key first.
    ready: BTreeSet<(u64, usize)>,
    /// Workspaces whose first request avoids the upstreams of all free slots.
    blocked: Vec<usize>,
    /// Workspaces that need a row in the next reports.
    reportable: BTreeSet<usize>,
    waiting_positions: HashMap<Ticket, (usize, QueuePosition)>,
    deadlines: BTreeSet<(u64, Ticket)>,
    in_flight_requests: HashMap<Ticket, InFlightRequest>,
    submission_count: u64,
    virtual_time: f64,
    max_cost: u64,
    max_rate: u64,
    ordered_operations: u64,
}

impl RouterQueue {
    /// Creates an empty queue.
    pub fn new(policy: DispatchPolicy, service: ServiceName, router: Member) -> Self {
        Self {
            policy,
            service,
            router,
            cost_estimates: CostEstimates::default(),
            workspaces: Vec::new(),
            workspace_indices: HashMap::new(),
            shards: Vec::new(),
            shard_indices: HashMap::new(),
            ready: BTreeSet::new(),
            blocked: Vec::new(),
            reportable: BTreeSet::new(),
            waiting_positions: HashMap::new(),
            deadlines: BTreeSet::new(),
            in_flight_requests: HashMap::new(),
            submission_count: 0,
            virtual_time: 0.0,
            max_cost: 0,
            max_rate: 0,
            ordered_operations: 0,
        }
    }

    /// Replaces the configuration of the workspaces. Waiting requests of a
    /// workspace that is no longer configured are removed and returned as
    /// expired.
    pub fn set_workspaces(&mut self, limits: &[WorkspaceLimits]) -> Vec<ExpiredRequest> {
        for workspace in &mut self.workspaces {
            workspace.is_configured = false;
        }
        for limits in limits {
            match self.workspace_indices.get(&limits.workspace) {
                Some(&index) => self.reconfigure(index, limits),
                None => {
                    self.workspace_indices.insert(limits.workspace.clone(), self.workspaces.len());
                    self.workspaces.push(Workspace::new(limits.clone()));
                }
            }
        }
        let (workspaces, workspace_indices) = (&self.workspaces, &self.workspace_indices);
        self.cost_estimates.retain_workspaces(|name| {
            workspace_indices.get(name).is_some_and(|i| workspaces[*i].is_configured)
        });
        let removed = self
            .waiting_positions
            .iter()
            .filter(|(_, (index, _))| !workspaces[*index].is_configured);
        let removed: Vec<Ticket> = removed.map(|(ticket, _)| *ticket).collect();
        self.expire_tickets(&removed)
    }

    fn reconfigure(&mut self, index: usize, limits: &WorkspaceLimits) {
        let workspace = &mut self.workspaces[index];
        // Cost charged before the change stays divided by the old share.
        let virtual_time = workspace.virtual_time();
        let has_share_changed = workspace.limits.share != limits.share;
        workspace.is_configured = true;
        workspace.limits = limits.clone();
        if has_share_changed {
            workspace.raise_virtual_time(virtual_time);
        }
        self.update_ready_key(index);
    }

    /// Sets the shards of the service. A shard that is no longer listed loses
    /// its free slots at once, and the others when their requests end.
    pub fn set_shards(&mut self, shards: &[ShardId]) {
        for id in shards {
            self.shard_index(id);
        }
        let removed = self.shards.iter_mut().filter(|shard| !shards.contains(&shard.id));
        removed.for_each(|shard| shard.set_fixed_slots(&[]));
    }

    /// Sets slots that no owner allocates, for [`DispatchPolicy::Local`] and
    /// [`DispatchPolicy::Fcfs`].
    pub fn set_fixed_slots(&mut self, shard: &ShardId, slots: &[SlotRow]) {
        let index = self.shard_index(shard);
        self.shards[index].set_fixed_slots(slots);
        self.unblock_all();
    }

    fn shard_index(&mut self, id: &ShardId) -> usize {
        if let Some(&index) = self.shard_indices.get(id) {
            return index;
        }
        self.shard_indices.insert(id.clone(), self.shards.len());
        self.shards.push(ShardSlots::new(id.clone()));
        self.shards.len() - 1
    }

    /// Adds a request to the queue of its workspace.
    ///
    /// # Errors
    ///
    /// The request was rejected and is not in the queue; see [`Rejection`].
    pub fn submit(&mut self, now_ms: u64, request: Request) -> Result<(), Rejection> {
        let index = self.workspace_indices.get(&request.workspace).copied();
        let index = index.filter(|index| self.workspaces[*index].is_configured);
        let index = index.ok_or(Rejection::UnknownWorkspace)?;
        let workspace = &mut self.workspaces[index];
        let deadline_ms = request.arrived_ms.saturating_add(workspace.limits.deadline_ms);
        if deadline_ms <= now_ms {
            return Err(Rejection::DeadlinePassed { retry_after_ms: workspace.reject() });
        }
        if workspace.waiting.len() >= workspace.limits.queue_limit as usize {
            return Err(Rejection::QueueFull { retry_after_ms: workspace.reject() });
        }
        if workspace.is_idle() {
            let virtual_time = fleet_virtual_time(self.policy, &self.shards, self.virtual_time);
            workspace.raise_virtual_time(virtual_time);
        }
        self.submission_count += 1;
        let position = (request.arrived_ms, self.submission_count);
        self.waiting_positions.insert(request.ticket, (index, position));
        self.deadlines.insert((deadline_ms, request.ticket));
        self.workspaces[index].waiting.insert(position, WaitingRequest { request, deadline_ms });
        self.ordered_operations += 2;
        self.reportable.insert(index);
        self.update_ready_key(index);
        self.request_reports_for_waiting(now_ms);
        Ok(())
    }

    // While the shard is saturated and its owner knows of waiting requests
    // here, one more does not change the allocations.
    fn request_reports_for_waiting(&mut self, now_ms: u64) {
        let is_first = self.waiting_positions.len() == 1;
        for shard in &mut self.shards {
            if shard.free_slots(now_ms) == 0 && (is_first || !shard.saturated) {
                shard.needs_report = true;
            }
        }
    }

    /// Removes a waiting request. Returns false if it is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove_waiting(ticket).is_some()
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<usize> {
        let (index, position) = self.waiting_positions.remove(&ticket)?;
        let waiting = self.workspaces[index].waiting.remove(&position)?;
        self.deadlines.remove(&(waiting.deadline_ms, ticket));
        self.ordered_operations += 2;
        self.update_ready_key(index);
        Some(index)
    }

    /// Removes the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ExpiredRequest> {
        let overdue = self.deadlines.iter().take_while(|(deadline_ms, _)| *deadline_ms <= now_ms);
        let overdue: Vec<Ticket> = overdue.map(|(_, ticket)| *ticket).collect();
        self.expire_tickets(&overdue)
    }

    /// Removes all waiting requests, for a shutdown.
    pub fn expire_all(&mut self) -> Vec<ExpiredRequest> {
        let all: Vec<Ticket> = self.deadlines.iter().map(|(_, ticket)| *ticket).collect();
        self.expire_tickets(&all)
    }

    fn expire_tickets(&mut self, tickets: &[Ticket]) -> Vec<ExpiredRequest> {
        let mut expired = Vec::with_capacity(tickets.len());
        for &ticket in tickets {
            if let Some(index) = self.remove_waiting(ticket) {
                let workspace = &mut self.workspaces[index];
                let queue_length = workspace.waiting.len() as u64 + 1;
                let retry_after_ms =
                    retry_after_ms(workspace.mean_dispatch_interval_ms, queue_length);
                expired.push(ExpiredRequest { ticket, retry_after_ms });
            }
        }
        expired
    }

    /// Dispatches the next request for which a slot is free. Call it until it
    /// returns `None`, after [`RouterQueue::expire`].
    pub fn dispatch(&mut self, now_ms: u64) -> Option<Dispatch> {
        while self.shards.iter().any(|shard| shard.free_slots(now_ms) > 0) {
            let &(_, index) = self.ready.first()?;
            match self.choose_slot(now_ms, index) {
                Some((shard, slot)) => return Some(self.start_request(now_ms, index, shard, slot)),
                None => self.block(index),
            }
        }
        None
    }

    fn choose_slot(&self, now_ms: u64, index: usize) -> Option<(usize, usize)> {
        let (_, waiting) = self.workspaces[index].waiting.first_key_value()?;
        let avoided_upstreams = waiting.request.avoided_upstreams.as_slice();
        let has_alternative =
            self.shards.iter().any(|shard| shard.has_alternative(now_ms, avoided_upstreams));
        let avoided_upstreams = if has_alternative { avoided_upstreams } else { &[] };
        let preference =
            SlotPreference { prefix_hash: waiting.request.prefix_hash, avoided_upstreams };
        let shards = self.shards.iter().enumerate();
        let slots = shards.filter_map(|(position, shard)| {
            let (score, slot) = shard.best_free_slot(now_ms, preference)?;
            Some((score, position, slot))
        });
        slots.max().map(|(_, shard, slot)| (shard, slot))
    }

    fn start_request(&mut self, now_ms: u64, index: usize, shard: usize, slot: usize) -> Dispatch {
        let workspace = &mut self.workspaces[index];
        self.virtual_time = self.virtual_time.max(workspace.virtual_time());
        let (_, waiting) = workspace.waiting.pop_first().expect("a ready workspace has requests");
        let Request { ticket, workspace: name, prompt_cost, cost_hint, .. } = waiting.request;
        self.waiting_positions.remove(&ticket);
        self.deadlines.remove(&(waiting.deadline_ms, ticket));
        self.ordered_operations += 2;
        let estimated_cost = self.cost_estimates.estimate(&name, prompt_cost, cost_hint);
        workspace.count_dispatch(now_ms);
        workspace.in_flight += 1;
        let usage = workspace.usage(shard);
        usage.in_flight += 1;
        usage.reserved_cost += estimated_cost;
        let upstream = self.shards[shard].occupy(slot);
        let request = InFlightRequest {
            workspace: index,
            shard,
            upstream: upstream.clone(),
            estimated_cost,
            produced_cost: 0,
            started_ms: now_ms,
        };
        self.in_flight_requests.insert(ticket, request);
        self.update_ready_key(index);
        Dispatch { ticket, upstream, estimated_cost }
    }

    fn block(&mut self, index: usize) {
        if let Some(key) = self.workspaces[index].ready_key.take() {
            self.ready.remove(&(key, index));
        }
        self.blocked.push(index);
    }

    fn unblock_all(&mut self) {
        for index in std::mem::take(&mut self.blocked) {
            self.update_ready_key(index);
        }
    }

    /// Records the total cost that a request in flight has produced so far.
    pub fn record_progress(&mut self, ticket: Ticket, cost: u64) {
        let Some(request) = self.in_flight_requests.get_mut(&ticket) else {
            return;
        };
        let added = cost.saturating_sub(request.produced_cost);
        if added == 0 {
            return;
        }
        let reserved = request.reserved_cost();
        request.produced_cost = cost;
        let released = reserved - request.reserved_cost();
        let (index, shard) = (request.workspace, request.shard);
        let usage = self.workspaces[index].usage(shard);
        usage.served_cost += added;
        usage.reserved_cost -= released;
        if added > released {
            self.update_ready_key(index);
        }
    }

    /// Frees the slot of a request and records its final cost. A cost below the
    /// recorded progress is raised to it.
    pub fn finish(&mut self, now_ms: u64, ticket: Ticket, cost: u64) {
        self.record_progress(ticket, cost);
        let Some(request) = self.in_flight_requests.remove(&ticket) else {
            return;
        };
        let workspace = &mut self.workspaces[request.workspace];
        workspace.in_flight -= 1;
        let usage = workspace.usage(request.shard);
        usage.in_flight -= 1;
        usage.reserved_cost -= request.reserved_cost();
        if request.produced_cost > 0 {
            self.cost_estimates.record_cost(&workspace.limits.workspace, request.produced_cost);
        }
        let duration_ms = now_ms.saturating_sub(request.started_ms).max(1);
        self.max_cost = self.max_cost.max(request.produced_cost);
        self.max_rate =
            self.max_rate.max(request.produced_cost.saturating_mul(1_000) / duration_ms);
        let shard = &mut self.shards[request.shard];
        let is_reusable = shard.release(&request.upstream);
        // The slot was revoked while it was in use. The owner can now grant it to
        // a router with waiting requests.
        shard.has_returned_slot |= !is_reusable;
        shard.needs_report |= shard.saturated && self.waiting_positions.is_empty();
        self.update_ready_key(request.workspace);
        self.unblock_all();
    }

    fn update_ready_key(&mut self, index: usize) {
        let workspace = &mut self.workspaces[index];
        if let Some(key) = workspace.ready_key.take() {
            self.ordered_operations += 1;
            self.ready.remove(&(key, index));
        }
        let Some((position, _)) = workspace.waiting.first_key_value() else {
            return;
        };
        let key = match self.policy {
            // Non-negative floats have the same order as their bits.
            DispatchPolicy::Fleet | DispatchPolicy::Local => workspace.virtual_time().to_bits(),
            DispatchPolicy::Fcfs => position.1,
        };
        workspace.ready_key = Some(key);
        self.ordered_operations += 1;
        self.ready.insert((key, index));
    }

    /// Shards to which a periodic or an urgent report is due.
    pub fn due_reports(&self, now_ms: u64) -> Vec<ShardId> {
        let due = self.shards.iter().filter(|shard| {
            shard.is_report_due(now_ms)
                || (self.is_urgent(now_ms, shard) && shard.may_report_early(now_ms))
        });
        due.map(|shard| shard.id.clone()).collect()
    }

    /// Whether a shard needs a report before its period has passed.
    pub fn has_urgent_report(&self, now_ms: u64) -> bool {
        self.shards.iter().any(|shard| self.is_urgent(now_ms, shard))
    }

    fn is_urgent(&self, now_ms: u64, shard: &ShardSlots) -> bool {
        let lacks_slots = !self.waiting_positions.is_empty() && shard.free_slots(now_ms) == 0;
        shard.has_returned_slot || (shard.needs_report && (lacks_slots || shard.saturated))
    }

    /// Time of the next periodic report or request deadline, in milliseconds;
    /// `None` if there are neither shards nor waiting requests.
    pub fn next_due_ms(&self) -> Option<u64> {
        let report = self.shards.iter().map(ShardSlots::next_report_ms).min();
        let deadline = self.deadlines.first().map(|(deadline_ms, _)| *deadline_ms);
        report.into_iter().chain(deadline).min()
    }

    /// Creates the next report for a shard. `owner` is its recipient. If it is
    /// not the owner whose allocation was applied last, the report includes the
    /// known virtual times, from which the new owner starts.
    pub fn create_report(&mut self, now_ms: u64, shard: &ShardId, owner: &Member) -> ShardReport {
        let index = self.shard_index(shard);
        let slots = &mut self.shards[index];
        if slots.saturated && self.waiting_positions.is_empty() {
            slots.return_free_slots();
        }
        let seq = slots.start_report(now_ms);
        let rows: Vec<(WorkspaceRow, Option<VirtualTimeRow>)> = self
            .reportable
            .clone()
            .into_iter()
            .filter_map(|workspace_index| self.workspace_row(workspace_index, index, seq))
            .collect();
        let (workspaces, virtual_times): (Vec<_>, Vec<_>) = rows.into_iter().unzip();
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
            slots: slots.slot_rows(),
            standings: if slots.owner.as_ref() == Some(owner) {
                Vec::new()
            } else {
                virtual_times.into_iter().flatten().collect()
            },
        }
    }

    fn workspace_row(
        &mut self,
        workspace_index: usize,
        shard: usize,
        seq: u64,
    ) -> Option<(WorkspaceRow, Option<VirtualTimeRow>)> {
        let shards = self.shards.len();
        let workspace = &mut self.workspaces[workspace_index];
        // Each shard's report contains an equal fraction, rounded up. With no
        // waiting request in it, the owner would take the workspace's demand as
        // met.
        let waiting = workspace.waiting.len().div_ceil(shards) as u32;
        let name = workspace.limits.workspace.clone();
        let usage = workspace.usage(shard);
        if waiting == 0 && usage.is_settled() {
            self.remove_if_settled(workspace_index);
            return None;
        }
        usage.last_report = (seq, usage.served_cost);
        let row = WorkspaceRow {
            workspace: name,
            served_cost: usage.served_cost,
            reserved_cost: usage.reserved_cost,
            in_flight: usage.in_flight,
            waiting,
        };
        Some((row, usage.owner_virtual_time.clone()))
    }

    fn remove_if_settled(&mut self, workspace_index: usize) {
        let workspace = &self.workspaces[workspace_index];
        if workspace.is_idle() && workspace.shard_usage.iter().all(ShardUsage::is_settled) {
            self.reportable.remove(&workspace_index);
        }
    }

    /// Applies an allocation. Returns false if it is out of date, for another
    /// service, or the policy is not [`DispatchPolicy::Fleet`].
    pub fn apply_allocation(&mut self, now_ms: u64, allocation: &Allocation) -> bool {
        if allocation.shard.service != self.service || self.policy != DispatchPolicy::Fleet {
            return false;
        }
        let index = self.shard_index(&allocation.shard);
        if !self.shards[index].apply_allocation(now_ms, allocation) {
            return false;
        }
        self.record_acknowledged_cost(index, allocation.answers);
        let shard = &mut self.shards[index];
        shard.needs_report |=
            shard.saturated && self.waiting_positions.is_empty() && shard.free_slots(now_ms) > 0;
        for row in &allocation.standings {
            if let Some(&workspace_index) = self.workspace_indices.get(&row.workspace) {
                self.workspaces[workspace_index].apply_virtual_time(index, row);
                self.update_ready_key(workspace_index);
            }
        }
        self.unblock_all();
        true
    }

    fn record_acknowledged_cost(&mut self, shard: usize, answers: u64) {
        for &workspace_index in &self.reportable {
            let usage = self.workspaces[workspace_index].usage(shard);
            if usage.last_report.0 <= answers {
                usage.acknowledged_cost = usage.acknowledged_cost.max(usage.last_report.1);
            }
        }
    }

    /// Number of insertions into ordered sets and removals from them. Each
    /// takes logarithmic time in the number of workspaces or waiting requests.
    pub fn ordered_operations(&self) -> u64 {
        self.ordered_operations
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting_positions.len()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight_requests.len()
    }

    /// Number of slots that can be occupied now.
    pub fn free_slots(&self, now_ms: u64) -> u32 {
        self.shards.iter().map(|shard| shard.free_slots(now_ms)).sum()
    }
}

fn fleet_virtual_time(policy: DispatchPolicy, shards: &[ShardSlots], local: f64) -> f64 {
    let owned = shards.iter().filter(|shard| shard.owner.is_some());
    let fleet = owned.map(|shard| shard.virtual_time).reduce(f64::max);
    if policy == DispatchPolicy::Fleet { fleet.unwrap_or(local) } else { local }
}
