//! Queue and running requests of one service at this router.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use span_config::Document;
use span_fair::{
    Allocation, Dispatch, DispatchPolicy, Request, RouterQueue, ShardReport, SlotRow, Ticket,
    WorkspaceLimits,
};
use span_types::{Member, ServiceName, ShardId, UpstreamName};
use tokio::sync::{mpsc, oneshot};

use super::{
    AdmitRequest, AttemptResult, Availability, Health, Permit, Rejection, command::Command,
};

/// Receives the permit of a request, or the reason why it was rejected.
pub(super) type Reply = oneshot::Sender<Result<Permit, Rejection>>;

struct WaitingRequest {
    request: Request,
    reply: Reply,
}

struct RunningRequest {
    upstream: UpstreamName,
    /// Cost produced so far, in cost units; the permit adds to it.
    cost: Arc<AtomicU64>,
}

/// State outside the service that a dispatch reads and updates.
pub(super) struct DispatchContext<'a> {
    pub now_ms: u64,
    pub document: &'a Document,
    pub health: &'a mut Health,
    pub commands: &'a mpsc::UnboundedSender<Command>,
}

impl DispatchContext<'_> {
    /// Blocked for upstreams that are unknown or leaving.
    fn availability(&self, upstream: &UpstreamName) -> Availability {
        match self.document.upstreams.get(upstream) {
            Some(row) if !row.leaving => self.health.availability(self.now_ms, upstream),
            _ => Availability::Blocked,
        }
    }
}

/// Numbers of requests that one dispatch admitted and rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DispatchCounts {
    pub admitted: u64,
    pub rejected: u64,
}

/// An attempt whose slot has been freed.
pub(super) struct FinishedAttempt {
    pub upstream: UpstreamName,
    pub result: AttemptResult,
}

/// What this router keeps for one service.
pub(super) struct ServiceState {
    name: ServiceName,
    queue: RouterQueue,
    waiting: HashMap<Ticket, WaitingRequest>,
    running: HashMap<Ticket, RunningRequest>,
    /// Tickets without a request that occupy the slots of blocked upstreams.
    /// They are released by the next allocation, which omits these slots.
    placeholders: Vec<(Ticket, UpstreamName)>,
    last_ticket: u64,
    /// Slots of the last allocation, by shard.
    allocated: HashMap<ShardId, Vec<SlotRow>>,
}

impl ServiceState {
    pub fn new(policy: DispatchPolicy, name: ServiceName, router: Member) -> Self {
        Self {
            queue: RouterQueue::new(policy, name.clone(), router),
            name,
            waiting: HashMap::new(),
            running: HashMap::new(),
            placeholders: Vec::new(),
            last_ticket: 0,
            allocated: HashMap::new(),
        }
    }

    /// Replaces workspaces and shards. Returns the number of requests rejected
    /// because their workspace was removed.
    pub fn configure(&mut self, limits: &[WorkspaceLimits], shards: &[ShardId]) -> u64 {
        self.queue.set_shards(shards);
        let removed = self.queue.set_workspaces(limits);
        // The workspace may no longer use any upstream of the service.
        self.reject_all(removed, |_| Rejection::NoUpstream)
    }

    fn reject_all(
        &mut self,
        requests: Vec<span_fair::ExpiredRequest>,
        rejection: impl Fn(&span_fair::ExpiredRequest) -> Rejection,
    ) -> u64 {
        for row in &requests {
            if let Some(waiting) = self.waiting.remove(&row.ticket) {
                let _ = waiting.reply.send(Err(rejection(row)));
            }
        }
        requests.len() as u64
    }

    /// Adds a request to the queue, or replies with the rejection. Returns
    /// whether the request was queued.
    pub fn admit(&mut self, now_ms: u64, request: AdmitRequest, reply: Reply) -> bool {
        let request = Request {
            ticket: self.next_ticket(),
            workspace: request.workspace,
            arrived_ms: now_ms,
            prompt_cost: request.prompt_cost,
            cost_hint: request.cost_hint,
            prefix_hash: request.prefix,
            avoided_upstreams: request.avoid,
        };
        self.submit(now_ms, request, reply)
    }

    fn submit(&mut self, now_ms: u64, request: Request, reply: Reply) -> bool {
        match self.queue.submit(now_ms, request.clone()) {
            Ok(()) => {
                self.waiting.insert(request.ticket, WaitingRequest { request, reply });
                true
            }
            Err(rejection) => {
                let _ = reply.send(Err(rejection.into()));
                false
            }
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    /// Rejects requests past their deadline and starts waiting requests while
    /// slots are free.
    pub fn dispatch_waiting(&mut self, context: &mut DispatchContext<'_>) -> DispatchCounts {
        let expired = self.queue.expire(context.now_ms);
        let rejected = self.reject_all(expired, |request| Rejection::DeadlinePassed {
            retry_after_ms: request.retry_after_ms,
        });
        let mut counts = DispatchCounts { admitted: 0, rejected };
        while let Some(dispatch) = self.queue.dispatch(context.now_ms) {
            match context.availability(&dispatch.upstream) {
                Availability::Blocked => self.requeue(context.now_ms, dispatch),
                availability => {
                    if availability == Availability::Probing {
                        context.health.start_probe(&dispatch.upstream);
                    }
                    counts.admitted += u64::from(self.start(context, dispatch));
                }
            }
        }
        counts
    }

    /// Queues a request again under a new ticket, because its slot is at a
    /// blocked upstream. The old ticket stays in the slot as a placeholder, so
    /// that the queue does not choose the slot again.
    fn requeue(&mut self, now_ms: u64, dispatch: Dispatch) {
        let upstream = dispatch.upstream;
        self.placeholders.push((dispatch.ticket, upstream));
        let Some(WaitingRequest { mut request, reply }) = self.waiting.remove(&dispatch.ticket)
        else {
            return;
        };
        request.ticket = self.next_ticket();
        self.submit(now_ms, request, reply);
    }

    fn start(&mut self, context: &DispatchContext<'_>, dispatch: Dispatch) -> bool {
        let Dispatch { ticket, upstream, .. } = dispatch;
        let row = context.document.upstreams.get(&upstream);
        let (Some(waiting), Some(row)) = (self.waiting.remove(&ticket), row) else {
            self.queue.finish(context.now_ms, ticket, 0);
            return false;
        };
        let cost = Arc::new(AtomicU64::new(0));
        let permit = Permit {
            upstream: upstream.clone(),
            address: row.address,
            service: self.name.clone(),
            ticket,
            cost: Arc::clone(&cost),
            result: AttemptResult::default(),
            commands: context.commands.clone(),
        };
        self.running.insert(ticket, RunningRequest { upstream, cost });
        // If the caller has left, dropping the permit frees the slot.
        waiting.reply.send(Ok(permit)).is_ok()
    }

    /// Frees the slot of a request; `None` if the ticket is not running.
    pub fn finish(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        cost: u64,
        result: AttemptResult,
    ) -> Option<FinishedAttempt> {
        let running = self.running.remove(&ticket)?;
        self.queue.finish(now_ms, ticket, cost);
        Some(FinishedAttempt { upstream: running.upstream, result })
    }

    /// Removes waiting requests whose callers have left.
    pub fn remove_abandoned(&mut self) {
        let disconnected = self.waiting.iter().filter(|(_, waiting)| waiting.reply.is_closed());
        for ticket in disconnected.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            self.queue.cancel(ticket);
            self.waiting.remove(&ticket);
        }
    }

    /// Shards whose owner is due a report.
    pub fn due_shards(&self, now_ms: u64) -> Vec<ShardId> {
        self.queue.due_reports(now_ms)
    }

    /// Makes the report to a shard's owner. It includes the cost that running
    /// requests have produced so far.
    pub fn make_report(&mut self, now_ms: u64, shard: &ShardId, owner: &Member) -> ShardReport {
        for (ticket, running) in &self.running {
            self.queue.record_progress(*ticket, running.cost.load(Ordering::Relaxed));
        }
        self.queue.create_report(now_ms, shard, owner)
    }

    /// Applies an allocation, with the slots of each upstream reduced to
    /// `usable_slots`.
    pub fn apply_allocation(
        &mut self,
        now_ms: u64,
        mut allocation: Allocation,
        usable_slots: impl Fn(&SlotRow) -> u32,
    ) {
        limit_slots(&mut allocation.slots, usable_slots);
        if self.queue.apply_allocation(now_ms, &allocation) {
            self.release_placeholders(now_ms);
            self.allocated.insert(allocation.shard, allocation.slots);
        }
    }

    /// Sets the slots under a policy without shard owners, reduced to
    /// `usable_slots`.
    pub fn apply_fixed_slots(
        &mut self,
        now_ms: u64,
        shard: &ShardId,
        mut slots: Vec<SlotRow>,
        usable_slots: impl Fn(&SlotRow) -> u32,
    ) {
        limit_slots(&mut slots, usable_slots);
        self.queue.set_fixed_slots(shard, &slots);
        self.release_placeholders(now_ms);
        self.allocated.insert(shard.clone(), slots);
    }

    fn release_placeholders(&mut self, now_ms: u64) {
        for (ticket, _) in std::mem::take(&mut self.placeholders) {
            self.queue.finish(now_ms, ticket, 0);
        }
    }

    pub fn waiting_count(&self) -> usize {
        self.queue.waiting()
    }

    pub fn in_flight_count(&self) -> usize {
        self.running.len()
    }

    pub fn free_slots(&self, now_ms: u64) -> u32 {
        self.queue.free_slots(now_ms)
    }

    /// Slots of the last allocation of each shard.
    pub fn allocated_slots(&self) -> impl Iterator<Item = &SlotRow> {
        self.allocated.values().flatten()
    }
}

fn limit_slots(slots: &mut Vec<SlotRow>, usable_slots: impl Fn(&SlotRow) -> u32) {
    for row in slots.iter_mut() {
        row.held = usable_slots(row);
    }
    slots.retain(|row| row.held > 0);
}

impl From<span_fair::Rejection> for Rejection {
    fn from(rejection: span_fair::Rejection) -> Self {
        match rejection {
            // The configuration removed the service from the workspace after
            // the caller was authorised.
            span_fair::Rejection::UnknownWorkspace => Self::NoUpstream,
            span_fair::Rejection::QueueFull { retry_after_ms } => {
                Self::QueueFull { retry_after_ms }
            }
            span_fair::Rejection::DeadlinePassed { retry_after_ms } => {
                Self::DeadlinePassed { retry_after_ms }
            }
        }
    }
}
