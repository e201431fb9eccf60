//! Settings of the router process, independent of the platform's file format.

use std::net::SocketAddr;

use span_types::{FailureDomain, InstanceName};

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For readiness checks of the platform.
    pub readiness: SocketAddr,
    /// For the directory, which tells callers the routers to use.
    pub directory: SocketAddr,
    /// For fetches by other routers, over TCP.
    pub peers: SocketAddr,
    /// For heartbeats and load summaries, over UDP; the same port on each
    /// instance.
    pub heartbeats: SocketAddr,
    /// For metrics as text.
    pub metrics: SocketAddr,
}

/// Resources that the process may use on its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub processor_millicores: u32,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// File descriptors for sockets and pipes.
    pub max_sockets: usize,
}

/// Limits that the users set on the behaviour of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub shutdown_grace_ms: u64,
    /// Retries that the fleet may make per request.
    pub retry_ratio: f64,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries per window that the fleet may make beyond the ratio.
    pub retry_slack: u64,
    /// Longest lifetime of an answer of the directory, in milliseconds.
    pub directory_lifetime_ms: u64,
    /// Time within which an evacuation of a failure domain has to be in force, in
    /// milliseconds; none for a deployment without evacuations.
    pub evacuation_ms: Option<u64>,
    /// Requests that may reach a cold upstream in any one second, as a multiple of those
    /// that it takes, and so many more.
    pub cold_overshoot: f64,
    /// See `cold_overshoot`.
    pub cold_slack: f64,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Addresses that the process listens on.
    pub addresses: ListenAddresses,
    /// Heartbeat addresses of some other instances, to join the fleet. May be out
    /// of date.
    pub seeds: Vec<SocketAddr>,
    /// Resources that the process may use.
    pub resources: Resources,
    /// Limits that the users set on the behaviour of the fleet.
    pub fleet_limits: FleetLimits,
    /// Whether the whole system starts for the first time, so that nothing was before.
    pub is_first_start: bool,
    /// Interval at which upstreams renew their entries, in milliseconds.
    pub entry_renewal_interval_ms: u64,
}

impl Settings {
    /// Whether `new` takes full effect only after a restart.
    pub fn needs_restart_for(&self, new: &Self) -> bool {
        !self.fields_needing_restart_for(new).is_empty()
    }

    /// Names of the fields whose value in `new` takes effect only after a restart. The
    /// addresses, the instance, its failure domain and its resources are used at the start:
    /// other routers know them from this router's record, and limits are set up from them.
    pub fn fields_needing_restart_for(&self, new: &Self) -> Vec<&'static str> {
        let Self { instance, failure_domain, addresses, resources, .. } = self;
        let fields = [
            ("instance", *instance != new.instance),
            ("failure_domain", *failure_domain != new.failure_domain),
            ("addresses.callers", addresses.callers != new.addresses.callers),
            ("addresses.readiness", addresses.readiness != new.addresses.readiness),
            ("addresses.directory", addresses.directory != new.addresses.directory),
            ("addresses.peers", addresses.peers != new.addresses.peers),
            ("addresses.heartbeats", addresses.heartbeats != new.addresses.heartbeats),
            ("addresses.metrics", addresses.metrics != new.addresses.metrics),
            (
                "resources.processor_millicores",
                resources.processor_millicores != new.resources.processor_millicores,
            ),
            ("resources.memory_bytes", resources.memory_bytes != new.resources.memory_bytes),
            ("resources.max_sockets", resources.max_sockets != new.resources.max_sockets),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}
