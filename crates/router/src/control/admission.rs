//! Requests of one service at this router: from admission to the permit.

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

use super::{AdmitRequest, AttemptEnd, Health, Permit, Rejection, Verdict, command::Command};

pub(super) type Reply = oneshot::Sender<Result<Permit, Rejection>>;

struct Waiting {
    request: Request,
    reply: Reply,
}

struct Running {
    upstream: UpstreamName,
    cost: Arc<AtomicU64>,
}

/// What a dispatch needs to know besides the queue.
pub(super) struct Context<'a> {
    pub now_ms: u64,
    pub document: &'a Document,
    pub health: &'a mut Health,
    pub commands: &'a mpsc::UnboundedSender<Command>,
}

impl Context<'_> {
    fn verdict(&self, upstream: &UpstreamName) -> Verdict {
        match self.document.upstreams.get(upstream) {
            Some(row) if !row.leaving => self.health.verdict(self.now_ms, upstream),
            _ => Verdict::Blocked,
        }
    }
}

/// Requests admitted and given up on by one call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pumped {
    pub admitted: u64,
    pub rejected: u64,
}

/// How a request left its upstream.
pub(super) struct Finished {
    pub upstream: UpstreamName,
    pub end: AttemptEnd,
}

/// The requests of one service.
pub(super) struct Service {
    name: ServiceName,
    queue: RouterQueue,
    waiting: HashMap<Ticket, Waiting>,
    running: HashMap<Ticket, Running>,
    /// Tickets that occupy slots of blocked upstreams until the next
    /// allocation, which leaves these slots out.
    placeholders: Vec<(Ticket, UpstreamName)>,
    last_ticket: u64,
    allocated: HashMap<ShardId, Vec<SlotRow>>,
}

impl Service {
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

    /// Replaces workspaces and shards. Returns the number of requests that were
    /// given up on.
    pub fn configure(&mut self, limits: &[WorkspaceLimits], shards: &[ShardId]) -> u64 {
        self.queue.set_shards(shards);
        let removed = self.queue.set_workspaces(limits);
        self.reject_expired(removed)
    }

    fn reject_expired(&mut self, expired: Vec<span_fair::ExpiredRequest>) -> u64 {
        let count = expired.len() as u64;
        for row in expired {
            if let Some(waiting) = self.waiting.remove(&row.ticket) {
                let retry_after_ms = row.retry_after_ms;
                let _ = waiting.reply.send(Err(Rejection::DeadlinePassed { retry_after_ms }));
            }
        }
        count
    }

    /// Adds a request to the queue, or answers it with the reason why not.
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
                self.waiting.insert(request.ticket, Waiting { request, reply });
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

    /// Gives up on late requests and starts those that a slot is free for.
    pub fn pump(&mut self, context: &mut Context<'_>) -> Pumped {
        let expired = self.queue.expire(context.now_ms);
        let mut pumped = Pumped { admitted: 0, rejected: self.reject_expired(expired) };
        while let Some(dispatch) = self.queue.dispatch(context.now_ms) {
            match context.verdict(&dispatch.upstream) {
                Verdict::Blocked => self.bounce(context.now_ms, dispatch),
                verdict => {
                    if verdict == Verdict::Probing {
                        context.health.probe(&dispatch.upstream);
                    }
                    pumped.admitted += u64::from(self.start(context, dispatch));
                }
            }
        }
        pumped
    }

    /// Puts a request back whose slot is at a blocked upstream. Its ticket keeps
    /// the slot occupied, so that the queue does not choose it again.
    fn bounce(&mut self, now_ms: u64, dispatch: Dispatch) {
        let upstream = dispatch.upstream;
        self.placeholders.push((dispatch.ticket, upstream));
        let Some(Waiting { mut request, reply }) = self.waiting.remove(&dispatch.ticket) else {
            return;
        };
        request.ticket = self.next_ticket();
        self.submit(now_ms, request, reply);
    }

    fn start(&mut self, context: &Context<'_>, dispatch: Dispatch) -> bool {
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
            end: AttemptEnd::default(),
            commands: context.commands.clone(),
        };
        self.running.insert(ticket, Running { upstream, cost });
        // A caller that is gone drops the permit, which frees the slot.
        match waiting.reply.send(Ok(permit)) {
            Err(Ok(mut permit)) => permit.set_end(AttemptEnd::Abandoned),
            _ => return true,
        }
        false
    }

    /// Frees the slot of a request.
    pub fn finish(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        cost: u64,
        end: AttemptEnd,
    ) -> Option<Finished> {
        let running = self.running.remove(&ticket)?;
        self.queue.finish(now_ms, ticket, cost);
        // A caller that left before it took the permit states no end.
        let abandoned = end == AttemptEnd::Answered && cost == 0;
        let end = if abandoned { AttemptEnd::Abandoned } else { end };
        Some(Finished { upstream: running.upstream, end })
    }

    /// Removes waiting requests whose callers are gone.
    pub fn sweep(&mut self) {
        let gone = self.waiting.iter().filter(|(_, waiting)| waiting.reply.is_closed());
        for ticket in gone.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            self.queue.cancel(ticket);
            self.waiting.remove(&ticket);
        }
    }

    /// Shards with a report due.
    pub fn due(&self, now_ms: u64) -> Vec<ShardId> {
        self.queue.due_reports(now_ms)
    }

    /// Makes a report, with the cost that requests have produced so far.
    pub fn report(&mut self, now_ms: u64, shard: &ShardId, owner: &Member) -> ShardReport {
        for (ticket, running) in &self.running {
            self.queue.record_progress(*ticket, running.cost.load(Ordering::Relaxed));
        }
        self.queue.create_report(now_ms, shard, owner)
    }

    /// Takes an allocation, less the slots of impaired upstreams.
    pub fn apply(
        &mut self,
        now_ms: u64,
        mut allocation: Allocation,
        usable: impl Fn(&SlotRow) -> u32,
    ) {
        limit_slots(&mut allocation.slots, usable);
        if self.queue.apply_allocation(now_ms, &allocation) {
            self.release_placeholders(now_ms);
            self.allocated.insert(allocation.shard, allocation.slots);
        }
    }

    /// Sets the slots of a policy without shard owners.
    pub fn fix(
        &mut self,
        now_ms: u64,
        shard: &ShardId,
        mut slots: Vec<SlotRow>,
        usable: impl Fn(&SlotRow) -> u32,
    ) {
        limit_slots(&mut slots, usable);
        self.queue.set_fixed_slots(shard, &slots);
        self.release_placeholders(now_ms);
        self.allocated.insert(shard.clone(), slots);
    }

    fn release_placeholders(&mut self, now_ms: u64) {
        for (ticket, _) in std::mem::take(&mut self.placeholders) {
            self.queue.finish(now_ms, ticket, 0);
        }
    }

    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    pub fn free_slots(&self, now_ms: u64) -> u32 {
        self.queue.free_slots(now_ms)
    }

    /// Slots of the last allocation of each shard.
    pub fn allocated(&self) -> impl Iterator<Item = &SlotRow> {
        self.allocated.values().flatten()
    }
}

fn limit_slots(slots: &mut Vec<SlotRow>, usable: impl Fn(&SlotRow) -> u32) {
    for row in slots.iter_mut() {
        row.held = usable(row);
    }
    slots.retain(|row| row.held > 0);
}

impl From<span_fair::Rejection> for Rejection {
    fn from(rejection: span_fair::Rejection) -> Self {
        match rejection {
            // The workspace lost the service after the caller was checked.
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
