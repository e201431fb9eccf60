//! Messages between the routers and the owner of a shard.

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, Member, ShardId, UpstreamName, WorkspaceName};

/// What a router did with its slots of one shard, and what waits there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardReport {
    /// Shard the report is about.
    pub shard: ShardId,
    /// Router that reports.
    pub router: Member,
    /// Sequence number of the report, growing per router and shard, from 1.
    pub seq: u64,
    /// Largest cost of a single request that the router has seen.
    pub max_cost: u64,
    /// Largest cost per second that one slot served at this router.
    pub max_rate: u64,
    /// Owner whose allocation the router applied last.
    pub applied_owner: Option<Member>,
    /// Sequence number of that allocation; 0 if none.
    pub applied_seq: u64,
    /// One row per workspace with work or with service not yet reported.
    pub workspaces: Vec<WorkspaceRow>,
    /// One row per upstream on which the router holds or uses slots.
    pub slots: Vec<SlotRow>,
    /// Last standings known to the router; empty unless the owner changed.
    pub standings: Vec<VirtualTimeRow>,
}

/// The state of one workspace at one router for one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// Workspace of the row.
    pub workspace: WorkspaceName,
    /// Cost served since the router started; never falls.
    pub served_cost: u64,
    /// Estimated cost still to come of the requests in flight.
    pub reserved_cost: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// The slots of one upstream at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// Upstream of the row.
    pub upstream: UpstreamName,
    /// Slots that the router may use.
    pub held: u32,
    /// Slots in use; may pass `held` after the allocation shrank.
    pub in_flight: u32,
}

/// The virtual time of a workspace as the owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VirtualTimeRow {
    /// Workspace of the row.
    pub workspace: WorkspaceName,
    /// Cost served and reserved fleet-wide, divided by the share.
    pub virtual_time: f64,
    /// Cost of the receiving router that `virtual_time` already contains.
    pub included_cost: u64,
}

/// Slots that an owner lets a router use until the next allocation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// Shard whose slots are allocated.
    pub shard: ShardId,
    /// Router process that owns the shard.
    pub owner: Member,
    /// Sequence number, growing per owner, shard and receiving router.
    pub seq: u64,
    /// Sequence number of the router's last report that the owner has merged.
    pub answers: u64,
    /// Lowest virtual time of a backlogged workspace. A workspace without a
    /// standing starts from here.
    pub virtual_time: f64,
    /// Time after which unconfirmed slots may not be used, in milliseconds.
    pub valid_for_ms: u64,
    /// Time until the next periodic report is due, in milliseconds.
    pub next_report_ms: u64,
    /// Every slot of the shard is wanted by waiting work.
    pub saturated: bool,
    /// The owner took back slots that it believes are unused and can grant them
    /// to others once the router reports this allocation as applied.
    pub confirm: bool,
    /// Slots per upstream; an upstream without a row has none.
    pub slots: Vec<SlotRow>,
    /// Virtual times of the active workspaces.
    pub standings: Vec<VirtualTimeRow>,
}

/// An upstream of a shard, with the most slots that it may have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// Configured ceiling on concurrent requests.
    pub max_concurrency: u32,
    /// No new work may go to it.
    pub leaving: bool,
}

/// What an upstream said of its load, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the upstream executes.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
    /// Concurrent requests that the upstream says it can execute.
    pub slots: u32,
    /// Time since the reported state was true, in milliseconds.
    pub age_ms: u64,
}

/// What one shard of a service served to a workspace, as its owner tells the
/// owners of the service's other shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCostRow {
    /// Shard that served the cost.
    pub shard: ShardId,
    /// Owner that counted it.
    pub owner: Member,
    /// Workspace of the row.
    pub workspace: WorkspaceName,
    /// Cost served and reserved since the owner took the shard over.
    pub cost: u64,
}
