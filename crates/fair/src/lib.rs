//! Fair admission: who runs next, and on which upstream.
//!
//! A [`RouterQueue`] holds the requests of one service at one router and
//! dispatches them within the slots that the owners of the service's shards
//! allocate. A [`ShardOwner`] divides the slots of one shard among the routers
//! so that every backlogged workspace receives its share across the fleet.
//! Neither performs I/O nor reads a clock.

mod bucket;
mod division;
mod estimate;
mod holdings;
mod ledger;
mod limit;
mod message;
mod owner;
mod policy;
mod queue;
mod request;
mod shard;
mod slots;
mod workspace;

pub use estimate::EstimateTable;
pub use message::{
    Allocation, LoadReport, ShardCostRow, ShardReport, ShardUpstream, SlotRow, VirtualTimeRow,
    WorkspaceRow,
};
pub use owner::{ShardOwner, fairness_gap_bound, report_period_ms};
pub use policy::DispatchPolicy;
pub use queue::RouterQueue;
pub use request::{Dispatch, ExpiredRequest, Rejection, Request, Ticket, WorkspaceLimits};
pub use shard::{MAX_UPSTREAMS_PER_SHARD, assign_shards};
