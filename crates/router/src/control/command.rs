//! Messages from the traffic threads to the control thread.

use std::{net::SocketAddr, sync::Arc};

use span_config::Document;
use span_fair::Ticket;
use span_types::{
    FailureDomain, InstanceName, RequestId, ServiceName, UpstreamName, WorkspaceName,
};
use tokio::sync::oneshot;

use super::{Permit, Status};

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Workspace whose share is charged.
    pub workspace: WorkspaceName,
    /// Service that the request calls.
    pub service: ServiceName,
    /// Estimated cost of the prompt, in cost units.
    pub prompt_cost: u64,
    /// Cost that the caller expects, in cost units. Callers may state any
    /// value, so it only serves as a hint.
    pub cost_hint: Option<u64>,
    /// Hash of the prompt prefix, if the caller sent one.
    pub prefix: Option<u64>,
    /// Upstreams at which earlier attempts of the same request failed.
    pub avoid: Vec<UpstreamName>,
}

/// A request was rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No upstream is configured for the service.
    #[error("the service has no upstream")]
    NoUpstream,
    /// Too many requests of the workspace are waiting.
    #[error("the queue of the workspace is full")]
    QueueFull {
        /// Estimated time until the queue accepts a request, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request reached its deadline while it waited for a slot.
    #[error("the request waited too long")]
    DeadlinePassed {
        /// Estimated time until requests wait less, in milliseconds.
        retry_after_ms: u64,
    },
    /// The router is shutting down.
    #[error("the router is shutting down")]
    ShuttingDown,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered, if only with an error.
    Answered,
    /// The upstream answered 503 and asked for no requests for this time.
    Paused {
        /// The time, in milliseconds.
        pause_ms: u64,
    },
    /// The upstream could not be reached, or its answer was interrupted.
    Failed,
    /// The upstream sent nothing within the silence limit.
    Silent,
    /// The caller left before the answer was complete, or before it received the
    /// permit.
    #[default]
    Abandoned,
}

/// Address of a router that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct RouterAddress {
    /// Instance that the router runs on.
    pub instance: InstanceName,
    /// Address on which the router accepts callers.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
}

/// Routers that a caller may use until the answer expires.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct RouterAddresses {
    /// Addresses, the preferred one first.
    pub addresses: Vec<RouterAddress>,
    /// Time for which the caller may cache the answer, in milliseconds.
    pub lifetime_ms: u64,
}

/// State of a request id at the router that minted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum MintedState {
    /// Minted and not used yet; only the minting router accepts it.
    Unused = 0,
    /// Waiting or running at the minting router.
    Active = 1,
    /// The request has completed.
    Completed = 2,
    /// The request ended before it ran.
    NotRun = 3,
    /// The state cannot be determined; the request may have run.
    Unknown = 4,
}

/// A message to the control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// Queues a request for a slot.
    Admit {
        /// Request to queue.
        request: AdmitRequest,
        /// Receives the permit or the rejection.
        reply: oneshot::Sender<Result<Permit, Rejection>>,
    },
    /// Frees the slot of a dropped permit.
    Finish {
        /// Service of the permit.
        service: ServiceName,
        /// Identifies the request in the service's queue.
        ticket: Ticket,
        /// Cost that the upstream produced, in cost units.
        cost: u64,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// Replaces a configuration that has no revision.
    Configure(Arc<Document>),
    /// Selects router addresses for a caller.
    Addresses {
        /// Workspace of the caller.
        workspace: WorkspaceName,
        /// Receives the addresses.
        reply: oneshot::Sender<RouterAddresses>,
    },
    /// Asks the minting router about a request id.
    QueryMintedState {
        /// Id to look up.
        id: RequestId,
        /// Receives the state.
        reply: oneshot::Sender<MintedState>,
    },
    /// Starts leaving; see [`super::Handle::start_leaving`].
    StartLeaving,
    /// Takes a snapshot of the control state.
    Status(oneshot::Sender<Status>),
    /// Formats the counters as text.
    Metrics(oneshot::Sender<String>),
    /// Ends the control thread.
    Stop,
}
