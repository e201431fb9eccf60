//! Which request goes next, and which is refused.

use std::collections::{BTreeMap, VecDeque};

use span_types::WorkspaceName;

use crate::shares::Rate;

/// Requests of one workspace that may wait at this router.
const QUEUE_LIMIT: usize = 64;
/// Window over which starts are counted, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;
/// Unused allowance that a workspace may save up, in milliseconds of its
/// limit: bursts shorter than that are served whole.
const SAVED_MS: f64 = 1_500.0;
/// Part of the upstreams' slots up to which workspaces may use more than their
/// share. Capacity must not idle, but fuller batches make all streams slower,
/// and what is started cannot be taken back when others ask.
const SPARE_PART: f64 = 0.5;
/// Limit of a workspace while slots are spare, as a multiple of its share. With
/// twice, no workspace gets more than double of what another one that is held
/// to its share gets.
const SPARE_FACTOR: f64 = 2.0;
/// Part of the upstreams' slots up to which there are no limits at all.
const IDLE_PART: f64 = 0.25;
/// Time for which requests have waited without a gap after which the service is
/// overloaded and not only met by a burst, in milliseconds. Shorter waits then
/// serve as many requests, and in time.
const STANDING_MS: u64 = 500;
/// Workspace of requests that carry no key.
pub const ANONYMOUS: &str = "-";

/// Identifies a waiting request within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// Cost that is expected, in cost units.
    pub cost: u64,
    /// Longest wait after which an answer is still worth having, in
    /// milliseconds.
    pub patience_ms: u64,
    /// Longest wait after which the answer comes in time, in milliseconds.
    pub in_time_ms: u64,
}

/// SlotCounts for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// Free for this router's requests now.
    pub free: u32,
    /// Slots of the upstreams that the whole fleet uses now.
    pub in_use: u32,
    /// Slots of the upstreams.
    pub total: u32,
}

impl SlotCounts {
    fn use_of(&self) -> Use {
        let (in_use, total) = (f64::from(self.in_use), f64::from(self.total));
        if in_use < IDLE_PART * total {
            Use::Idle
        } else if in_use < SPARE_PART * total {
            Use::Spare
        } else {
            Use::Busy
        }
    }
}

/// How much of the upstreams' slots is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// Limits would only leave capacity idle.
    Idle,
    /// Workspaces may use more than their share.
    Spare,
    /// Workspaces are held to their share.
    Busy,
}

/// Why a request is refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The wait would be longer than the request's patience.
    Busy,
    /// The workspace has used its share and others need the rest.
    OverShare,
}

/// A request was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// When a place is likely to be free, in milliseconds.
    pub retry_after_ms: u64,
    /// SlotCounts at that moment.
    pub slots: SlotCounts,
    /// Expected wait, in milliseconds.
    pub wait_ms: u64,
    /// Limit of the workspace at this router, in cost units per second.
    pub limit_per_s: Option<u64>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    cost: u64,
}

#[derive(Debug, Default)]
struct Workspace {
    waiting: VecDeque<Waiting>,
    /// Cost started lately.
    usage: Rate,
    /// Limit in cost units per second, and the allowance that is left.
    limit_per_s: Option<f64>,
    allowance: f64,
    /// The same for what may be used while slots are spare.
    spare_allowance: f64,
    refilled_ms: u64,
}

impl Workspace {
    fn set_limit(&mut self, now_ms: u64, limit_per_s: Option<f64>) {
        self.refill(now_ms);
        if self.limit_per_s.is_none() {
            self.allowance = limit_per_s.map_or(0.0, |limit| limit * SAVED_MS / 2_000.0);
            self.spare_allowance = self.allowance * SPARE_FACTOR;
        }
        self.limit_per_s = limit_per_s;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = now_ms;
        if let Some(limit) = self.limit_per_s {
            let most = limit * SAVED_MS / 1_000.0;
            let more = limit * elapsed_ms / 1_000.0;
            self.allowance = (self.allowance + more).min(most);
            self.spare_allowance =
                (self.spare_allowance + more * SPARE_FACTOR).min(most * SPARE_FACTOR);
        }
    }

    fn over_share(&self) -> bool {
        self.limit_per_s.is_some() && self.allowance <= 0.0
    }

    /// Whether the workspace may start a request.
    fn may_start(&self, current: Use) -> bool {
        match current {
            Use::Idle => true,
            Use::Spare => self.limit_per_s.is_none() || self.spare_allowance > 0.0,
            Use::Busy => !self.over_share(),
        }
    }

    fn charge(&mut self, cost: u64) {
        if self.limit_per_s.is_some() {
            self.spare_allowance -= cost as f64;
            // What was used while slots were spare is no debt afterwards.
            self.allowance = (self.allowance - cost as f64).max(-(cost as f64));
        }
    }

    /// Time until the workspace is within its share again, in milliseconds.
    fn recovers_ms(&self) -> u64 {
        let limit = self.limit_per_s.unwrap_or(f64::INFINITY).max(1.0);
        (-self.allowance / limit * 1_000.0).max(0.0) as u64
    }
}

/// The requests of one lane of a service at this router, in fair order over
/// the workspaces.
///
/// A place is the right to have one request at some upstream. Where it goes is
/// decided when it starts. Workspaces within their share go first, and among
/// them the one that started least lately.
#[derive(Debug, Default)]
pub struct Admission {
    workspaces: BTreeMap<WorkspaceName, Workspace>,
    workspace_by_ticket: BTreeMap<Ticket, WorkspaceName>,
    next: u64,
    /// Since when requests have waited without a gap.
    waiting_since_ms: Option<u64>,
    window_ms: u64,
    starts: u32,
    last_starts: u32,
}

impl Admission {
    /// Gives up on the requests of workspaces that are not named and returns
    /// them; they did not run.
    pub fn retain(&mut self, names: &[WorkspaceName]) -> Vec<Ticket> {
        let keep = |name: &WorkspaceName| names.contains(name) || name.as_str() == ANONYMOUS;
        let removed = self.workspaces.iter().filter(|(name, _)| !keep(name));
        let removed = removed.flat_map(|(_, workspace)| &workspace.waiting);
        let removed: Vec<Ticket> = removed.map(|waiting| waiting.ticket).collect();
        self.workspaces.retain(|name, _| keep(name));
        for ticket in &removed {
            self.workspace_by_ticket.remove(ticket);
        }
        removed
    }

    /// Sets the limits of workspaces whose demand exceeds their share, in cost
    /// units per second; the others have none.
    pub fn set_limits(&mut self, now_ms: u64, limits: &BTreeMap<WorkspaceName, f64>) {
        for (name, workspace) in &mut self.workspaces {
            workspace.set_limit(now_ms, limits.get(name).copied());
        }
    }

    /// Adds a request, unless it cannot start in time.
    ///
    /// # Errors
    ///
    /// The request is refused and will not run.
    pub fn submit(
        &mut self,
        now_ms: u64,
        slots: SlotCounts,
        ask: &Ask,
    ) -> Result<Ticket, Rejection> {
        if self.workspace_by_ticket.is_empty() {
            self.waiting_since_ms = None;
        }
        let standing = |since_ms| now_ms.saturating_sub(since_ms) >= STANDING_MS;
        let longest_ms = if self.waiting_since_ms.is_some_and(standing) {
            ask.in_time_ms.min(ask.patience_ms)
        } else {
            ask.patience_ms
        };
        let own = self.workspaces.get(&ask.workspace).map_or(0, |own| own.waiting.len());
        let wait_ms = self.expected_wait_ms(now_ms, own, slots.free);
        let workspace = self.workspaces.entry(ask.workspace.clone()).or_default();
        workspace.refill(now_ms);
        let limit_per_s = workspace.limit_per_s.map(|limit| limit as u64);
        let reject = |reason, retry_after_ms| {
            Err(Rejection { reason, retry_after_ms, slots, wait_ms, limit_per_s })
        };
        if !workspace.may_start(slots.use_of()) {
            return reject(RejectReason::OverShare, workspace.recovers_ms());
        }
        if wait_ms > longest_ms || own >= QUEUE_LIMIT {
            return reject(RejectReason::Busy, wait_ms);
        }
        self.waiting_since_ms.get_or_insert(now_ms);
        self.next += 1;
        let ticket = Ticket(self.next);
        workspace.waiting.push_back(Waiting { ticket, cost: ask.cost });
        self.workspace_by_ticket.insert(ticket, ask.workspace.clone());
        Ok(ticket)
    }

    /// Wait of one more request of a workspace that has `own` waiting: those
    /// ahead of it are its own, and as many of each other waiting workspace.
    fn expected_wait_ms(&self, now_ms: u64, own: usize, free: u32) -> u64 {
        let waiting = self.workspaces.values().map(|workspace| workspace.waiting.len());
        let ahead: usize = waiting.map(|waiting| waiting.min(own + 1)).sum();
        let ahead = (ahead as u64).saturating_sub(u64::from(free));
        ahead * 1_000 / u64::from(self.starts_per_s(now_ms).max(1))
    }

    fn starts_per_s(&self, now_ms: u64) -> u32 {
        let stale = now_ms.saturating_sub(self.window_ms) > 2 * RATE_WINDOW_MS;
        if stale { self.starts } else { self.starts.max(self.last_starts) }
    }

    /// Starts the next request, if a place is free for it.
    pub fn start(&mut self, now_ms: u64, slots: SlotCounts) -> Option<Ticket> {
        if slots.free == 0 {
            return None;
        }
        let current = slots.use_of();
        let waiting = self.workspaces.values_mut().filter(|own| !own.waiting.is_empty());
        let mut best: Option<((bool, f64), &mut Workspace)> = None;
        for workspace in waiting {
            workspace.refill(now_ms);
            let over = workspace.over_share();
            if !workspace.may_start(current) {
                continue;
            }
            let key = (over, workspace.usage.per_s(now_ms));
            if best.as_ref().is_none_or(|(other, _)| key < *other) {
                best = Some((key, workspace));
            }
        }
        let (_, workspace) = best?;
        let Waiting { ticket, cost } = workspace.waiting.pop_front()?;
        workspace.usage.add(now_ms, cost);
        workspace.charge(cost);
        self.workspace_by_ticket.remove(&ticket);
        if now_ms.saturating_sub(self.window_ms) >= RATE_WINDOW_MS {
            self.window_ms = now_ms;
            self.last_starts = std::mem::take(&mut self.starts);
        }
        self.starts += 1;
        Some(ticket)
    }

    /// Removes a waiting request. Returns false if it has started.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(name) = self.workspace_by_ticket.remove(&ticket) else {
            return false;
        };
        if let Some(workspace) = self.workspaces.get_mut(&name) {
            workspace.waiting.retain(|waiting| waiting.ticket != ticket);
        }
        true
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.workspace_by_ticket.len()
    }
}
