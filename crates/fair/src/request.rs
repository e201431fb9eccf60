//! Requests as the queue sees them.

use span_types::{UpstreamName, WorkspaceName};

/// Identifies a request within one queue; chosen by the caller and unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that wants a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request from here on.
    pub ticket: Ticket,
    /// Workspace that is charged.
    pub workspace: WorkspaceName,
    /// When the first attempt arrived, in milliseconds. A retry keeps it, so it
    /// regains its place and its deadline.
    pub arrived_ms: u64,
    /// Cost of the prompt, in cost units.
    pub prompt_cost: u64,
    /// Cost that the caller expects. Not trusted.
    pub cost_hint: Option<u64>,
    /// Hash of the prompt prefix; chooses among free slots.
    pub prefix_hash: Option<u64>,
    /// Upstreams on which an earlier attempt failed. Used only when the router
    /// holds no slot elsewhere.
    pub avoided_upstreams: Vec<UpstreamName>,
}

/// A request that may start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Upstream whose slot it occupies.
    pub upstream: UpstreamName,
    /// Cost charged in advance, in cost units.
    pub estimated_cost: u64,
}

/// A request whose deadline passed while it waited. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// The request.
    pub ticket: Ticket,
    /// When waiting is likely to be shorter, in milliseconds.
    pub retry_after_ms: u64,
}

/// A request was refused before it waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The workspace is not configured for the service.
    #[error("the workspace is not configured")]
    UnknownWorkspace,
    /// Too many requests of the workspace wait.
    #[error("the queue of the workspace is full")]
    QueueFull {
        /// When a place is likely to be free, in milliseconds.
        retry_after_ms: u64,
    },
    /// The deadline of a retried request has passed.
    #[error("the deadline has passed")]
    DeadlinePassed {
        /// When waiting is likely to be shorter, in milliseconds.
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
    /// Most requests that may wait at one router.
    pub queue_limit: u32,
    /// Longest wait, in milliseconds.
    pub deadline_ms: u64,
}
