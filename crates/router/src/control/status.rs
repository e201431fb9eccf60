//! Snapshot of the control state, for operators and tests.

use std::collections::BTreeMap;

use serde::Serialize;
use span_types::{
    Incarnation, InstanceName, MemberState, Revision, ServiceName, ShardId, UpstreamName,
};

/// The control state of one router, as `/status` shows it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Revision of the configuration in force at this router.
    pub revision: Revision,
    /// All known members, this router included.
    pub members: Vec<MemberStatus>,
    /// Shards that this router owns.
    pub owned: Vec<ShardId>,
    /// State of each service.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
    /// Upstreams whose slots may not all be used, with their availability.
    pub impaired: BTreeMap<UpstreamName, String>,
    /// Bytes sent on peer connections since the start.
    pub control_bytes_sent: u64,
    /// Bytes received on peer connections since the start.
    pub control_bytes_received: u64,
    /// Moving average of the traffic on peer connections.
    pub control_bytes_per_s: u64,
    /// Counters since the start, by metric name.
    pub counters: BTreeMap<&'static str, u64>,
}

/// One member of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Instance that the member runs on.
    pub instance: InstanceName,
    /// Incarnation last seen of the instance.
    pub incarnation: Incarnation,
    /// State in the local membership view.
    pub state: MemberState,
    /// Revision in force there, from its last heartbeat; `None` for a dead member
    /// and for one that this router has received no heartbeat from.
    pub revision: Option<Revision>,
}

/// One service, as seen by this router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceStatus {
    /// Requests waiting at this router.
    pub waiting: usize,
    /// Requests in flight from this router.
    pub in_flight: usize,
    /// Allocated slots that are free.
    pub free_slots: u32,
    /// Owner of each shard in the local membership view, by shard index.
    pub owners: BTreeMap<u32, InstanceName>,
    /// Slots allocated to this router, by upstream.
    pub allocated: BTreeMap<UpstreamName, u32>,
}
