//! Messages from the traffic threads to the control thread.

use std::sync::Arc;

use span_config::Document;
use span_types::{ServiceName, UpstreamName, WorkspaceName};
use tokio::sync::oneshot;

use super::Permit;

/// A request that wants a slot.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Workspace that pays for it.
    pub workspace: WorkspaceName,
    /// Service that is to run it.
    pub service: ServiceName,
}

/// A request was given up on before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No upstream is configured for the service.
    #[error("the service has no upstream")]
    NoUpstream,
    /// The router is shutting down.
    #[error("the router is shutting down")]
    ShuttingDown,
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
        /// Workspace of the permit.
        workspace: WorkspaceName,
        /// Upstream of the permit.
        upstream: UpstreamName,
        /// Cost that the upstream produced, in cost units.
        cost: u64,
    },
    /// A new configuration is in force.
    Configure(Arc<Document>),
}
