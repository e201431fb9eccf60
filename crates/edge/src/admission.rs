//! Admission control of one lane of a service: which waiting request is
//! dispatched next, and which requests are rejected.

use std::collections::{BTreeMap, VecDeque};

use span_types::WorkspaceName;

use crate::shares::DecayingRate;

/// Requests of one workspace that may wait at this router for one lane of a
/// service.
const MAX_QUEUED_PER_WORKSPACE: usize = 64;
/// Window over which dispatches are counted, in milliseconds.
const DISPATCH_WINDOW_MS: u64 = 1_000;
/// Rate of dispatches from which their mean cost says something, in requests per second.
const MIN_DISPATCHES_PER_S: f64 = 0.1;
/// Unused budget that a workspace may accumulate, in milliseconds of its limit.
/// Shorter bursts are not throttled.
const MAX_BURST_MS: f64 = 1_500.0;
/// Debt that a workspace may have for streams that its callers take up, in milliseconds of
/// its limit. After a restart of all routers its open streams, of some seconds of its share,
/// all come back at once; its new requests wait until the debt is repaid.
pub const MAX_TAKE_UP_DEBT_MS: f64 = 1_500.0;
/// Fraction of the slots in use below which workspaces may exceed their share.
/// Capacity should not stay idle, but fuller batches slow down every stream, and
/// a dispatched request cannot be recalled when other workspaces need the slot.
const SPARE_SLOTS_IN_USE_FRACTION: f64 = 0.6;
/// Limit of a workspace while slots are spare, as a multiple of its share. With
/// a factor of 2, no workspace gets more than twice as much as one that is held
/// to its share.
const SPARE_LIMIT_FACTOR: f64 = 2.0;
/// Fraction of the slots in use below which no limits apply.
const UNLIMITED_SLOTS_IN_USE_FRACTION: f64 = 0.4;
/// Both fractions while upstreams name limits on requests per second. Routers then differ
/// in what they know of the slots in use, and a workspace that floods all of them would
/// find some at which it may exceed its share.
const LIMITED_SLOTS_IN_USE_FRACTIONS: (f64, f64) = (0.0, 0.4);
/// Time without an empty queue after which the service counts as overloaded, in
/// milliseconds; until then it may be a burst. In an overload, short waits serve
/// as many requests as long ones, and serve them in time.
const OVERLOAD_AFTER_MS: u64 = 500;
/// Workspace of requests that carry no key.
pub const ANONYMOUS_WORKSPACE: &str = "-";

/// Identifies a waiting request within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// Expected cost, in cost units.
    pub cost: u64,
    /// Longest wait after which the caller still has a use for the answer, in
    /// milliseconds.
    pub max_wait_ms: u64,
    /// Longest wait with which the latency target can be met, in milliseconds.
    /// In an overload, it applies if it is shorter than `max_wait_ms`.
    pub target_wait_ms: u64,
    /// Whether the latency target passed before the request arrived, as the caller was
    /// rejected earlier. While room is short, requests that can meet theirs go first.
    pub is_late: bool,
}

/// Slots of the upstreams of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// Slots that this router may use now.
    pub free: u32,
    /// Slots that the whole fleet uses now.
    pub in_use: u32,
    /// All slots, free or in use.
    pub total: u32,
    /// Least time until one of these slots can be free, in milliseconds, as far as the
    /// limits on requests per second of the upstreams tell.
    pub free_in_ms: u64,
    /// Whether upstreams with a good part of the service's slots name limits on requests
    /// per second.
    pub is_limited: bool,
}

impl SlotCounts {
    fn utilization(&self) -> Utilization {
        let (in_use, total) = (f64::from(self.in_use), f64::from(self.total));
        let (unlimited_fraction, spare_fraction) = if self.is_limited {
            LIMITED_SLOTS_IN_USE_FRACTIONS
        } else {
            (UNLIMITED_SLOTS_IN_USE_FRACTION, SPARE_SLOTS_IN_USE_FRACTION)
        };
        if in_use < unlimited_fraction * total {
            Utilization::Low
        } else if in_use < spare_fraction * total {
            Utilization::Medium
        } else {
            Utilization::High
        }
    }
}

/// Fraction of the slots in use, as far as it decides on limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Utilization {
    /// No limits apply; they would only leave capacity idle.
    Low,
    /// Workspaces may exceed their share by [`SPARE_LIMIT_FACTOR`].
    Medium,
    /// Workspaces are held to their share.
    High,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The request would wait too long, or too many requests of its workspace
    /// wait already.
    Busy,
    /// The workspace has used its share and others need the rest.
    OverShare,
}

/// A request was rejected; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request was rejected.
    pub reason: RejectReason,
    /// Time until a retry is likely to be accepted, in milliseconds: until a slot is
    /// free, or until the workspace is within its share again.
    pub retry_after_ms: u64,
    /// Slots at the time of the rejection.
    pub slots: SlotCounts,
    /// Wait that the request would have had, in milliseconds.
    pub expected_wait_ms: u64,
    /// Limit of the workspace at this router, in cost units per second; none
    /// if its demand is within its share.
    pub limit_per_s: Option<u64>,
}

/// A request that was taken from the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchedRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Workspace that was charged.
    pub workspace: WorkspaceName,
    /// Expected cost, in cost units.
    pub cost: u64,
}

#[derive(Debug)]
struct QueuedRequest {
    ticket: Ticket,
    cost: u64,
    is_late: bool,
}

/// The waiting requests of one workspace, and its token buckets.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    requests: VecDeque<QueuedRequest>,
    /// Rate of the cost that was dispatched recently.
    dispatched: DecayingRate,
    /// Limit in cost units per second; none if the demand is within the share.
    limit_per_s: Option<f64>,
    /// Cost units that the workspace may still use.
    budget: f64,
    /// Cost units that the workspace may still use while slots are spare.
    spare_budget: f64,
    refilled_ms: u64,
    /// Rate of the cost of arriving requests that can meet their latency target.
    punctual: DecayingRate,
    /// Cost units that the workspace may still use for late requests: what its punctual
    /// ones leave of its limit.
    late_budget: f64,
    late_refilled_ms: u64,
}

impl WorkspaceQueue {
    fn set_limit(&mut self, now_ms: u64, limit_per_s: Option<f64>) {
        self.refill(now_ms);
        if self.limit_per_s.is_none() {
            // A workspace starts with half of the largest budget.
            self.budget = limit_per_s.map_or(0.0, |limit| limit * MAX_BURST_MS / 2_000.0);
            self.spare_budget = self.budget * SPARE_LIMIT_FACTOR;
            self.late_budget = self.budget;
            self.late_refilled_ms = now_ms;
        }
        if let (Some(old), Some(new)) = (self.limit_per_s, limit_per_s)
            && new < old
            && self.budget < 0.0
        {
            // A debt takes as long to repay as before.
            self.budget *= new / old;
        }
        self.limit_per_s = limit_per_s;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        self.refilled_ms = now_ms;
        if let Some(limit) = self.limit_per_s {
            let max_budget = limit * MAX_BURST_MS / 1_000.0;
            let added = limit * elapsed_ms / 1_000.0;
            self.budget = (self.budget + added).min(max_budget);
            self.spare_budget = (self.spare_budget + added * SPARE_LIMIT_FACTOR).min(max_budget);
        }
    }

    fn is_over_share(&self) -> bool {
        self.limit_per_s.is_some() && self.budget <= 0.0
    }

    /// Adds to the budget for late requests what punctual ones leave of the limit.
    fn refill_late(&mut self, now_ms: u64, utilization: Utilization) {
        let elapsed_ms = now_ms.saturating_sub(self.late_refilled_ms) as f64;
        self.late_refilled_ms = now_ms;
        let Some(limit) = self.limit_per_s else {
            return;
        };
        let allowed = match utilization {
            Utilization::Low => f64::INFINITY,
            Utilization::Medium => limit * SPARE_LIMIT_FACTOR,
            Utilization::High => limit,
        };
        let left = (allowed - self.punctual.per_s(now_ms)).clamp(0.0, limit);
        let max_budget = limit * MAX_BURST_MS / 1_000.0;
        self.late_budget = (self.late_budget + left * elapsed_ms / 1_000.0).min(max_budget);
    }

    /// Whether a limit leaves no room for late requests of the workspace.
    fn rejects_late(&self, utilization: Utilization) -> bool {
        self.limit_per_s.is_some() && utilization != Utilization::Low && self.late_budget <= 0.0
    }

    /// Adds a request, punctual ones before all late ones.
    fn push(&mut self, request: QueuedRequest) {
        self.requests.insert(self.len_ahead(request.is_late), request);
    }

    /// Number of requests that a further one would wait behind.
    fn len_ahead(&self, is_late: bool) -> usize {
        if is_late {
            return self.requests.len();
        }
        self.requests.partition_point(|queued| !queued.is_late)
    }

    /// Number of requests in the queue that are as late, or as punctual.
    fn len_alike(&self, is_late: bool) -> usize {
        let punctual = self.len_ahead(false);
        if is_late { self.requests.len() - punctual } else { punctual }
    }

    /// Checks that a request of the workspace may be dispatched while `slots` are as they
    /// are, or that its debt is below `max_debt`, in cost units.
    fn check_share(
        &self,
        slots: SlotCounts,
        expected_wait_ms: u64,
        max_debt: f64,
    ) -> Result<(), Rejection> {
        if self.may_dispatch(slots.utilization()) || self.budget > -max_debt {
            return Ok(());
        }
        Err(self.over_share(slots, expected_wait_ms, max_debt))
    }

    fn over_share(&self, slots: SlotCounts, expected_wait_ms: u64, max_debt: f64) -> Rejection {
        Rejection {
            reason: RejectReason::OverShare,
            retry_after_ms: self.recovery_ms(max_debt),
            slots,
            expected_wait_ms,
            limit_per_s: self.limit_per_s.map(|limit| limit as u64),
        }
    }

    /// Whether a request of the workspace may be dispatched.
    fn may_dispatch(&self, utilization: Utilization) -> bool {
        match utilization {
            Utilization::Low => true,
            // What it used while no limits applied must not keep it below its share.
            Utilization::Medium => self.spare_budget > 0.0 || !self.is_over_share(),
            Utilization::High => !self.is_over_share(),
        }
    }

    fn charge(&mut self, cost: u64, max_debt: f64) {
        if self.limit_per_s.is_some() {
            self.spare_budget -= cost as f64;
            // Usage of spare slots leaves at most the debt of one request, but does not
            // forgive a larger one.
            let floor = self.budget.min(-max_debt - cost as f64);
            self.budget = (self.budget - cost as f64).max(floor);
        }
    }

    /// Largest debt for streams that callers take up, in cost units.
    fn max_take_up_debt(&self) -> f64 {
        self.limit_per_s.map_or(0.0, |limit| limit * MAX_TAKE_UP_DEBT_MS / 1_000.0)
    }

    /// Time until the workspace has less than `max_debt`, in milliseconds.
    fn recovery_ms(&self, max_debt: f64) -> u64 {
        let limit = self.limit_per_s.unwrap_or(f64::INFINITY).max(1.0);
        ((-self.budget - max_debt) / limit * 1_000.0).max(0.0) as u64
    }
}

/// The requests of one lane of a service that wait at this router for a slot, in
/// fair order over the workspaces.
///
/// Workspaces within their share go first; among them, requests that can meet their latency
/// target before late ones, and then the workspace with the least recent usage. The upstream
/// is chosen when the request is dispatched.
#[derive(Debug, Default)]
pub struct Admission {
    queues: BTreeMap<WorkspaceName, WorkspaceQueue>,
    workspace_by_ticket: BTreeMap<Ticket, WorkspaceName>,
    last_ticket: u64,
    /// Since when the queue has not been empty.
    backlog_since_ms: Option<u64>,
    /// Rates of the cost and of the number of dispatched requests.
    dispatched_cost: DecayingRate,
    dispatched_count: DecayingRate,
    window_start_ms: u64,
    window_dispatches: u32,
    last_window_dispatches: u32,
}

impl Admission {
    /// Removes the waiting requests of workspaces that are not in `names`, and
    /// returns them; they did not run. Requests without a key stay.
    pub fn retain_workspaces(&mut self, names: &[WorkspaceName]) -> Vec<Ticket> {
        let keep =
            |name: &WorkspaceName| names.contains(name) || name.as_str() == ANONYMOUS_WORKSPACE;
        let removed = self.queues.iter().filter(|(name, _)| !keep(name));
        let removed = removed.flat_map(|(_, queue)| &queue.requests);
        let removed: Vec<Ticket> = removed.map(|request| request.ticket).collect();
        self.queues.retain(|name, _| keep(name));
        for ticket in &removed {
            self.workspace_by_ticket.remove(ticket);
        }
        removed
    }

    /// Sets the limits of workspaces whose demand exceeds their share, in cost
    /// units per second. Other workspaces have no limit.
    pub fn set_limits(&mut self, now_ms: u64, limits: &BTreeMap<WorkspaceName, f64>) {
        for (name, queue) in &mut self.queues {
            queue.set_limit(now_ms, limits.get(name).copied());
        }
    }

    /// Adds a request to the queue, unless it cannot be dispatched in time.
    ///
    /// # Errors
    ///
    /// The request is rejected and will not run.
    pub fn enqueue(
        &mut self,
        now_ms: u64,
        slots: SlotCounts,
        request: &AdmissionRequest,
    ) -> Result<Ticket, Rejection> {
        if self.workspace_by_ticket.is_empty() {
            self.backlog_since_ms = None;
        }
        let is_overload = |since_ms| now_ms.saturating_sub(since_ms) >= OVERLOAD_AFTER_MS;
        let is_overloaded = self.backlog_since_ms.is_some_and(is_overload);
        let punctual_wait = || {
            let mut queues = self.queues.values();
            queues.any(|queue| queue.len_ahead(false) > 0 && !queue.is_over_share())
        };
        let wait_limit_ms = if !is_overloaded {
            request.max_wait_ms
        } else if request.is_late && punctual_wait() {
            0
        } else {
            request.target_wait_ms.min(request.max_wait_ms)
        };
        let own = self.queues.get(&request.workspace);
        let own_ahead = own.map_or(0, |own| own.len_ahead(request.is_late));
        let own_queued = own.map_or(0, |own| own.len_alike(request.is_late));
        let expected_wait_ms = self.expected_wait_ms(now_ms, own_ahead, request.is_late, slots);
        let queue = self.queues.entry(request.workspace.clone()).or_default();
        queue.refill(now_ms);
        queue.refill_late(now_ms, slots.utilization());
        if !request.is_late {
            queue.punctual.add(now_ms, request.cost);
        } else if queue.rejects_late(slots.utilization()) {
            return Err(queue.over_share(slots, expected_wait_ms, 0.0));
        }
        queue.check_share(slots, expected_wait_ms, 0.0)?;
        if expected_wait_ms > wait_limit_ms || own_queued >= MAX_QUEUED_PER_WORKSPACE {
            return Err(Rejection {
                reason: RejectReason::Busy,
                retry_after_ms: expected_wait_ms,
                slots,
                expected_wait_ms,
                limit_per_s: queue.limit_per_s.map(|limit| limit as u64),
            });
        }
        self.backlog_since_ms.get_or_insert(now_ms);
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let AdmissionRequest { cost, is_late, .. } = *request;
        queue.push(QueuedRequest { ticket, cost, is_late });
        self.workspace_by_ticket.insert(ticket, request.workspace.clone());
        Ok(ticket)
    }

    /// Admits a request that takes up a stream. It does not wait: the returned ticket counts
    /// as dispatched. Its workspace is charged as for any other request, and may be in
    /// debt for it: what the callers already have of the stream would be in vain otherwise.
    ///
    /// # Errors
    ///
    /// The request is rejected and will not run.
    pub fn admit_now(
        &mut self,
        now_ms: u64,
        slots: SlotCounts,
        request: &AdmissionRequest,
    ) -> Result<Ticket, Rejection> {
        let queue = self.queues.entry(request.workspace.clone()).or_default();
        queue.refill(now_ms);
        let max_debt = queue.max_take_up_debt();
        queue.check_share(slots, 0, max_debt)?;
        queue.dispatched.add(now_ms, request.cost);
        // Slots that others do not need are used without debt.
        let needs_debt = !queue.may_dispatch(slots.utilization());
        queue.charge(request.cost, if needs_debt { max_debt } else { 0.0 });
        self.last_ticket += 1;
        self.count_dispatch(now_ms, request.cost);
        Ok(Ticket(self.last_ticket))
    }

    /// Charges a workspace for a request that was dispatched elsewhere. `takes_up` says
    /// whether it takes up a stream.
    pub fn charge(&mut self, now_ms: u64, workspace: &WorkspaceName, cost: u64, takes_up: bool) {
        if let Some(queue) = self.queues.get_mut(workspace) {
            queue.refill(now_ms);
            let max_debt = if takes_up { queue.max_take_up_debt() } else { 0.0 };
            queue.charge(cost, max_debt);
        }
    }

    fn count_dispatch(&mut self, now_ms: u64, cost: u64) {
        self.dispatched_cost.add(now_ms, cost);
        self.dispatched_count.add(now_ms, 1);
        if now_ms.saturating_sub(self.window_start_ms) >= DISPATCH_WINDOW_MS {
            self.window_start_ms = now_ms;
            self.last_window_dispatches = std::mem::take(&mut self.window_dispatches);
        }
        self.window_dispatches += 1;
    }

    /// Wait of one more request of a workspace that has `own_ahead` requests in its queue
    /// before it. Ahead of it are those, and as many of each other workspace.
    fn expected_wait_ms(
        &self,
        now_ms: u64,
        own_ahead: usize,
        is_late: bool,
        slots: SlotCounts,
    ) -> u64 {
        let queued = self.queues.values().map(|queue| queue.len_ahead(is_late));
        let ahead: usize = queued.map(|queued| queued.min(own_ahead + 1)).sum();
        let ahead = (ahead as u64).saturating_sub(u64::from(slots.free));
        let wait_ms = ahead * 1_000 / u64::from(self.dispatches_per_s(now_ms).max(1));
        wait_ms.max(slots.free_in_ms)
    }

    fn dispatches_per_s(&self, now_ms: u64) -> u32 {
        let stale = now_ms.saturating_sub(self.window_start_ms) > 2 * DISPATCH_WINDOW_MS;
        if stale {
            self.window_dispatches
        } else {
            self.window_dispatches.max(self.last_window_dispatches)
        }
    }

    /// Removes the next request from the queue, if a slot is free for it.
    pub fn dispatch(&mut self, now_ms: u64, slots: SlotCounts) -> Option<DispatchedRequest> {
        if slots.free == 0 {
            return None;
        }
        let utilization = slots.utilization();
        let backlogged = self.queues.iter_mut().filter(|(_, queue)| !queue.requests.is_empty());
        let mut best: Option<((bool, bool, f64), &WorkspaceName, &mut WorkspaceQueue)> = None;
        for (name, queue) in backlogged {
            queue.refill(now_ms);
            let is_over_share = queue.is_over_share();
            if !queue.may_dispatch(utilization) {
                continue;
            }
            let is_late = queue.requests.front().is_some_and(|request| request.is_late);
            let key = (is_over_share, is_late, queue.dispatched.per_s(now_ms));
            if best.as_ref().is_none_or(|(other, ..)| key < *other) {
                best = Some((key, name, queue));
            }
        }
        let (_, name, queue) = best?;
        let workspace = name.clone();
        let QueuedRequest { ticket, cost, is_late } = queue.requests.pop_front()?;
        if is_late && queue.limit_per_s.is_some() {
            queue.late_budget = (queue.late_budget - cost as f64).max(-(cost as f64));
        }
        queue.dispatched.add(now_ms, cost);
        queue.charge(cost, 0.0);
        self.workspace_by_ticket.remove(&ticket);
        self.count_dispatch(now_ms, cost);
        Some(DispatchedRequest { ticket, workspace, cost })
    }

    /// Mean cost of the requests that were dispatched recently, in cost units; none if
    /// there were hardly any.
    pub fn mean_cost(&self, now_ms: u64) -> Option<f64> {
        let count_per_s = self.dispatched_count.per_s(now_ms);
        (count_per_s >= MIN_DISPATCHES_PER_S)
            .then(|| self.dispatched_cost.per_s(now_ms) / count_per_s)
    }

    /// Removes a waiting request. Returns false if it has been dispatched.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(name) = self.workspace_by_ticket.remove(&ticket) else {
            return false;
        };
        if let Some(queue) = self.queues.get_mut(&name) {
            queue.requests.retain(|request| request.ticket != ticket);
        }
        true
    }

    /// Number of waiting requests.
    pub fn queue_len(&self) -> usize {
        self.workspace_by_ticket.len()
    }
}
