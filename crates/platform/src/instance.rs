//! Rows of the instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, InstanceName};

/// One instance and the router that runs on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name of the instance.
    pub name: InstanceName,
    /// Address on which the router serves callers.
    pub http_address: SocketAddr,
    /// Address on which the router serves other routers.
    pub peer_address: SocketAddr,
    /// Failure domain that the instance is in.
    pub failure_domain: FailureDomain,
    /// Whether the instance is finishing its work and takes no new work.
    pub leaving: bool,
}
