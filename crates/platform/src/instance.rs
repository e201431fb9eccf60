//! Rows of the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, InstanceName};

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of the router for callers.
    pub http_address: SocketAddr,
    /// Address of the router for other routers.
    pub peer_address: SocketAddr,
    /// Failure domain the instance stands in.
    pub failure_domain: FailureDomain,
    /// The instance is about to go.
    pub leaving: bool,
}
