//! Which request goes next, and which is refused.

use std::collections::HashMap;

use span_fair::{Dispatch, Policy, Request, RouterQueue, SlotRow, Ticket, WorkspaceLimits};
use span_types::{Member, ServiceName, ShardId, UpstreamName, WorkspaceName};

/// Requests of one workspace that may wait at this router.
const QUEUE_LIMIT: u32 = 64;
/// Window over which starts are counted, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;
/// Longest wait that the queue itself allows, in milliseconds; the patience of
/// a request is shorter.
const MAX_WAIT_MS: u64 = 60_000;
/// Workspace of requests that carry no key.
pub const ANONYMOUS: &str = "-";

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// Cost of the prompt, in cost units.
    pub prompt_cost: u64,
    /// Whole cost that the caller expects, in cost units.
    pub cost_hint: Option<u64>,
    /// Longest wait after which the answer would be late, in milliseconds.
    pub patience_ms: u64,
}

/// A request was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When a place is likely to be free, in milliseconds.
    pub retry_after_ms: u64,
}

/// The requests of one service at this router, in fair order over the
/// workspaces.
///
/// A place is the right to have one request at some upstream. Where it goes is
/// decided when it starts.
#[derive(Debug)]
pub struct Admission {
    queue: RouterQueue,
    shard: ShardId,
    places: UpstreamName,
    held: u32,
    next: u64,
    starts: (u64, u32, u32),
    workspaces: HashMap<WorkspaceName, u32>,
}

impl Admission {
    /// An empty queue.
    pub fn new(service: ServiceName, router: Member) -> Self {
        let shard = ShardId { service: service.clone(), index: 0 };
        let mut queue = RouterQueue::new(Policy::Local, service, router);
        queue.set_shards(std::slice::from_ref(&shard));
        Self {
            queue,
            shard,
            places: "places".into(),
            held: 0,
            next: 0,
            starts: (0, 0, 0),
            workspaces: HashMap::new(),
        }
    }

    /// Sets the workspaces. Returns the requests of workspaces that are gone;
    /// they did not run.
    pub fn set_workspaces(&mut self, names: &[WorkspaceName]) -> Vec<Ticket> {
        let limits = |workspace: WorkspaceName| WorkspaceLimits {
            workspace,
            share: 1,
            queue_limit: QUEUE_LIMIT,
            deadline_ms: MAX_WAIT_MS,
        };
        let names = names.iter().cloned().chain([ANONYMOUS.into()]);
        let limits: Vec<WorkspaceLimits> = names.map(limits).collect();
        let removed = self.queue.set_workspaces(&limits);
        removed.into_iter().map(|expired| expired.ticket).collect()
    }

    /// Adds a request, unless its wait is likely to exceed its patience.
    /// `room` is the number of places free now.
    ///
    /// # Errors
    ///
    /// The request is refused and will not run.
    pub fn submit(&mut self, now_ms: u64, room: u32, ask: &Ask) -> Result<Ticket, Refusal> {
        let own = self.workspaces.get(&ask.workspace).copied().unwrap_or(0);
        let wait_ms = self.expected_wait_ms(now_ms, own, room);
        if wait_ms > ask.patience_ms {
            return Err(Refusal { retry_after_ms: wait_ms });
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let request = Request {
            ticket,
            workspace: ask.workspace.clone(),
            arrived_ms: now_ms,
            prompt_cost: ask.prompt_cost,
            cost_hint: ask.cost_hint,
            prefix: None,
            avoid: Vec::new(),
        };
        match self.queue.submit(now_ms, request) {
            Ok(()) => {
                *self.workspaces.entry(ask.workspace.clone()).or_default() += 1;
                Ok(ticket)
            }
            Err(_) => Err(Refusal { retry_after_ms: wait_ms.max(ask.patience_ms) }),
        }
    }

    /// Wait of one more request of a workspace that has `own` waiting: those
    /// ahead of it are its own, and as many of each other waiting workspace.
    fn expected_wait_ms(&self, now_ms: u64, own: u32, room: u32) -> u64 {
        let ahead: u32 = self.workspaces.values().map(|waiting| (*waiting).min(own + 1)).sum();
        let ahead = ahead.saturating_sub(room);
        if ahead == 0 {
            return 0;
        }
        u64::from(ahead) * 1_000 / u64::from(self.starts_per_s(now_ms).max(1))
    }

    fn starts_per_s(&self, now_ms: u64) -> u32 {
        let (since_ms, count, last) = self.starts;
        if now_ms.saturating_sub(since_ms) > 2 * RATE_WINDOW_MS { count } else { last.max(count) }
    }

    /// Starts the next request, if a place is free. `room` counts the places
    /// that are free now.
    pub fn start(&mut self, now_ms: u64, room: u32) -> Option<Dispatch> {
        let held = self.queue.in_flight() as u32 + room;
        if held != self.held {
            self.held = held;
            let row = SlotRow { upstream: self.places.clone(), held, in_flight: 0 };
            self.queue.set_fixed_slots(&self.shard, &[row]);
        }
        let dispatch = self.queue.dispatch(now_ms)?;
        if now_ms.saturating_sub(self.starts.0) >= RATE_WINDOW_MS {
            self.starts = (now_ms, 0, self.starts.1);
        }
        self.starts.1 += 1;
        Some(dispatch)
    }

    /// Removes a waiting request. Returns false if it has started.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }

    /// Notes that a request of the workspace no longer waits.
    pub fn left(&mut self, workspace: &WorkspaceName) {
        if let Some(waiting) = self.workspaces.get_mut(workspace) {
            *waiting = waiting.saturating_sub(1);
            if *waiting == 0 {
                self.workspaces.remove(workspace);
            }
        }
    }

    /// Ends a started request and settles its cost.
    pub fn finish(&mut self, now_ms: u64, ticket: Ticket, cost: u64) {
        self.queue.finish(now_ms, ticket, cost);
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.queue.in_flight()
    }
}
