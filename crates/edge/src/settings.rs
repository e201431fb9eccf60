//! Settings of the entry process, in the product's words.

use std::net::SocketAddr;

use span_types::{FailureDomain, InstanceName};

/// Where the process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Questions of callers where to connect.
    pub directory: SocketAddr,
    /// Configuration for other routers, over TCP.
    pub peers: SocketAddr,
    /// Heartbeats of other routers, over UDP; the same port on each instance.
    pub heartbeats: SocketAddr,
    /// Metrics as text.
    pub metrics: SocketAddr,
}

/// What the instance offers the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Processor time of the process, in thousandths of a core.
    pub processor_millicores: u32,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Descriptors for sockets and pipes.
    pub max_sockets: usize,
}

/// Limits that the users set on the behaviour of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Repeated sends that the fleet may make per request.
    pub retry_ratio: f64,
    /// Window over which repeated sends are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Repeated sends per window that the fleet may make beyond the ratio.
    pub retry_slack: u64,
    /// Longest lifetime of an answer of the directory, in milliseconds.
    pub directory_lifetime_ms: u64,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain that the instance stands in.
    pub failure_domain: FailureDomain,
    /// Listening addresses.
    pub addresses: ListenAddresses,
    /// Heartbeat addresses of some instances, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Memory and descriptors.
    pub resources: Resources,
    /// Limits set by the users.
    pub fleet_limits: FleetLimits,
    /// Interval at which upstreams renew their entries, in milliseconds.
    pub entry_renewal_interval_ms: u64,
}
