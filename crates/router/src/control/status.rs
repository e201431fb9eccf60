//! Snapshot of the control state, for operators and tests.

use std::collections::BTreeMap;

use serde::Serialize;
use span_types::{
    Incarnation, InstanceName, MemberState, Revision, ServiceName, ShardId, UpstreamName,
};

/// The control state of one router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Configuration in force here.
    pub revision: Revision,
    /// All known members, this router included.
    pub members: Vec<MemberStatus>,
    /// Shards that this router administers.
    pub owned: Vec<ShardId>,
    /// One row per service.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
    /// Upstreams that get less than their slots, and why.
    pub impaired: BTreeMap<UpstreamName, String>,
    /// Bytes sent on peer streams since the start.
    pub control_bytes_sent: u64,
    /// Bytes received on peer streams since the start.
    pub control_bytes_received: u64,
    /// Mean of recent traffic on peer streams, in bytes per second.
    pub control_bytes_per_s: u64,
    /// Counters since the start.
    pub counters: BTreeMap<&'static str, u64>,
}

/// One member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state as seen here.
    pub state: MemberState,
    /// Configuration that it last said to have in force; `None` if it does not
    /// send heartbeats here.
    pub revision: Option<Revision>,
}

/// One service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceStatus {
    /// Requests that wait here.
    pub waiting: usize,
    /// Requests in flight from here.
    pub in_flight: usize,
    /// Slots that could be filled now.
    pub free_slots: u32,
    /// Owner of each shard as seen here.
    pub owners: BTreeMap<u32, InstanceName>,
    /// Slots allocated to this router, by upstream.
    pub allocated: BTreeMap<UpstreamName, u32>,
}
