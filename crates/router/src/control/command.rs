//! Messages from the traffic threads to the control thread.

use std::{net::SocketAddr, sync::Arc};

use span_config::Document;
use span_fair::Ticket;
use span_types::{
    FailureDomain, InstanceName, RequestId, ServiceName, UpstreamName, WorkspaceName,
};
use tokio::sync::oneshot;

use super::{Permit, Status};

/// A request that wants a slot.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Workspace that pays for it.
    pub workspace: WorkspaceName,
    /// Service that is to run it.
    pub service: ServiceName,
    /// Cost of the prompt, in cost units.
    pub prompt_cost: u64,
    /// Cost that the caller expects, in cost units. Not to be trusted.
    pub cost_hint: Option<u64>,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Upstreams that an earlier attempt of the same request failed on.
    pub avoid: Vec<UpstreamName>,
}

/// A request was given up on before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No upstream is configured for the service.
    #[error("the service has no upstream")]
    NoUpstream,
    /// Too many requests of the workspace wait.
    #[error("the queue of the workspace is full")]
    QueueFull {
        /// When a place is likely to be free, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request waited for its whole time limit.
    #[error("the request waited too long")]
    DeadlinePassed {
        /// When waiting is likely to be shorter, in milliseconds.
        retry_after_ms: u64,
    },
    /// The router is shutting down.
    #[error("the router is shutting down")]
    ShuttingDown,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered.
    #[default]
    Answered,
    /// The upstream could not be reached, or its answer broke off.
    Failed,
    /// The upstream went silent.
    Silent,
    /// The caller left before the end.
    Abandoned,
}

/// An address that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct RouterAddress {
    /// Instance behind the address.
    pub instance: InstanceName,
    /// Where its router listens for callers.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
}

/// Addresses that a caller may use for some time.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct RouterAddresses {
    /// Addresses, the preferred one first.
    pub addresses: Vec<RouterAddress>,
    /// Time for which the answer may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// What the minting router knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum MintedState {
    /// Minted and not used; the caller is to use the minting router.
    Unused = 0,
    /// Running or waiting there.
    Active = 1,
    /// Ran to its end there.
    Completed = 2,
    /// Given up on before it ran.
    NotRun = 3,
    /// It cannot be known.
    Unknown = 4,
}

/// A message to the control thread.
#[derive(Debug)]
pub(super) enum Command {
    /// A request wants a slot.
    Admit {
        /// The request.
        request: AdmitRequest,
        /// Where the permit goes.
        reply: oneshot::Sender<Result<Permit, Rejection>>,
    },
    /// A permit was dropped.
    Finish {
        /// Service of the permit.
        service: ServiceName,
        /// The request in the service's queue.
        ticket: Ticket,
        /// Cost that the upstream produced, in cost units.
        cost: u64,
        /// How the attempt ended.
        result: AttemptResult,
    },
    /// A new configuration is in force.
    Configure(Arc<Document>),
    /// A caller asks which addresses to use.
    Addresses {
        /// Workspace of the caller.
        workspace: WorkspaceName,
        /// Where the answer goes.
        reply: oneshot::Sender<RouterAddresses>,
    },
    /// Another router is to be asked about a request id that it minted.
    QueryMintedState {
        /// The id.
        id: RequestId,
        /// Where the answer goes.
        reply: oneshot::Sender<MintedState>,
    },
    /// The router is leaving; see [`super::Handle::start_leaving`].
    StartLeaving,
    /// Somebody asks for the control state.
    Status(oneshot::Sender<Status>),
    /// Somebody asks for the counters as text.
    Metrics(oneshot::Sender<String>),
    /// The control thread is to end.
    Stop,
}
