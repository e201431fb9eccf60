//! Requests, dispatches and rejections of a
//! [`RouterQueue`](crate::RouterQueue).

use span_types::{UpstreamName, WorkspaceName};

/// Identifier of a request within one queue. The caller chooses it, and it must
/// be unique in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier of the request in this queue.
    pub ticket: Ticket,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceName,
    /// Arrival time of the first attempt, in milliseconds. A retry keeps it,
    /// and so keeps its position in the queue and its deadline.
    pub arrived_ms: u64,
    /// Cost of the prompt, in cost units.
    pub prompt_cost: u64,
    /// Cost that the caller expects, in cost units. It is not trusted.
    pub cost_hint: Option<u64>,
    /// Hash of the prompt prefix. It affects which free slot is used.
    pub prefix_hash: Option<u64>,
    /// Upstreams on which an earlier attempt failed. They are used only if the
    /// router has no slots on other upstreams.
    pub avoided_upstreams: Vec<UpstreamName>,
}

/// A request that may start now, and its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Identifier of the request in its queue.
    pub ticket: Ticket,
    /// Upstream whose slot the request occupies.
    pub upstream: UpstreamName,
    /// Cost reserved until the request finishes, in cost units.
    pub estimated_cost: u64,
}

/// A waiting request that was removed because its deadline passed, its
/// workspace is no longer configured or the router shuts down. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// Identifier of the request in its queue.
    pub ticket: Ticket,
    /// Time after which the wait is likely to be shorter, in milliseconds.
    pub retry_after_ms: u64,
}

/// Why a request was rejected instead of queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The workspace is not configured for the service.
    #[error("the workspace is not configured for the service")]
    UnknownWorkspace,
    /// The workspace has as many waiting requests as its queue limit allows.
    #[error("the queue of the workspace is full; retry after {retry_after_ms} ms")]
    QueueFull {
        /// Time after which the queue is likely to accept a request, in
        /// milliseconds.
        retry_after_ms: u64,
    },
    /// The deadline, counted from the first attempt, has passed.
    #[error("the deadline of the request has passed; retry after {retry_after_ms} ms")]
    DeadlinePassed {
        /// Time after which the wait is likely to be shorter, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Configuration of a workspace at one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceLimits {
    /// Name of the workspace.
    pub workspace: WorkspaceName,
    /// Weight of the workspace; at least 1.
    pub share: u32,
    /// Largest number of requests that may wait at one router.
    pub queue_limit: u32,
    /// Longest time that a request may wait, in milliseconds.
    pub deadline_ms: u64,
}
