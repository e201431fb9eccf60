//! Messages between the routers and the owner of a shard.

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, Member, ShardId, UpstreamName, WorkspaceName};

/// A router's usage of one shard, and its waiting requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardReport {
    /// Shard that the report is about.
    pub shard: ShardId,
    /// Router that sends the report.
    pub router: Member,
    /// Sequence number per router and shard. It starts at 1 and increases.
    pub seq: u64,
    /// Largest cost of a request that the router has finished, in cost units.
    pub max_cost: u64,
    /// Highest mean service rate of a finished request, in cost units per
    /// second.
    pub max_rate: u64,
    /// Owner whose allocation the router applied last; `None` if it applied
    /// none.
    pub applied_owner: Option<Member>,
    /// Sequence number of that allocation; 0 if the router applied none.
    pub applied_seq: u64,
    /// One row for each workspace with requests, or with served cost that the
    /// owner has not acknowledged.
    pub workspaces: Vec<WorkspaceRow>,
    /// One row for each upstream with slots that the router may use or still
    /// uses.
    pub slots: Vec<SlotRow>,
    /// Latest virtual times that the router received, from which a new owner
    /// starts. Empty if the report goes to the owner whose allocation was
    /// applied last.
    pub standings: Vec<VirtualTimeRow>,
}

/// One workspace's usage of a shard through one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRow {
    /// Workspace that the row is about.
    pub workspace: WorkspaceName,
    /// Cost served since the router started, in cost units. It never decreases.
    pub served_cost: u64,
    /// Estimated remaining cost of the requests in flight, in cost units.
    pub reserved_cost: u64,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of waiting requests at the router, divided by the number of
    /// shards of the service and rounded up.
    pub waiting: u32,
}

/// Slots of one upstream at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRow {
    /// Upstream that the row is about.
    pub upstream: UpstreamName,
    /// Number of slots that the router may use.
    pub held: u32,
    /// Number of slots in use. It may exceed `held` after a revocation.
    pub in_flight: u32,
}

/// Virtual time of one workspace, as computed by a shard's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VirtualTimeRow {
    /// Workspace that the row is about.
    pub workspace: WorkspaceName,
    /// Cost served and reserved in the fleet, divided by the share.
    pub virtual_time: f64,
    /// Cost at the receiving router that `virtual_time` includes, in cost
    /// units.
    pub included_cost: u64,
}

/// Slots of one shard that its owner allows a router to use until the next
/// allocation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// Shard whose slots are allocated.
    pub shard: ShardId,
    /// Router process that owns the shard.
    pub owner: Member,
    /// Sequence number per owner, shard and receiving router. It increases.
    pub seq: u64,
    /// Sequence number of the latest report of the router that the owner has
    /// merged.
    pub answers: u64,
    /// Virtual time of the shard: the lowest of a backlogged workspace, or the
    /// highest of a workspace with requests if none is backlogged. One owner
    /// never lowers it. An idle workspace that gets a request is raised to it.
    pub virtual_time: f64,
    /// Time after which the slots expire unless another allocation extends
    /// them, in milliseconds. It starts when the answered report was sent.
    pub valid_for_ms: u64,
    /// Time until the next periodic report is due, in milliseconds.
    pub next_report_ms: u64,
    /// All slots of the shard are assigned, and some demand is unmet. Demand
    /// includes the expected growth of queues.
    pub saturated: bool,
    /// The owner has revoked slots that it believes to be idle. It can grant
    /// them to other routers once this router reports this allocation as
    /// applied.
    pub confirm: bool,
    /// Slots per upstream. An upstream without a row has none.
    pub slots: Vec<SlotRow>,
    /// Virtual times of the workspaces in the answered report. Empty in an
    /// allocation that answers no report.
    pub standings: Vec<VirtualTimeRow>,
}

/// An upstream of a shard, with its configured limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Failure domain that the upstream belongs to.
    pub failure_domain: FailureDomain,
    /// Configured maximum of concurrent requests.
    pub max_concurrency: u32,
    /// The upstream finishes its work and takes no new work.
    pub leaving: bool,
}

/// Load of an upstream, as it reported it. The report arrives with a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the upstream executes.
    pub running: u32,
    /// Number of requests in the upstream's queue.
    pub waiting: u32,
    /// Number of requests that the upstream can execute at the same time, by
    /// its own account.
    pub slots: u32,
    /// Age of the reported state, in milliseconds.
    pub age_ms: u64,
}

/// Cost that one shard of a service has served to a workspace. The shard's
/// owner sends it to the owners of the service's other shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCostRow {
    /// Shard that served the cost.
    pub shard: ShardId,
    /// Owner that counted the cost.
    pub owner: Member,
    /// Workspace that the row is about.
    pub workspace: WorkspaceName,
    /// Cost served since the owner took over the shard, in cost units.
    pub cost: u64,
}
