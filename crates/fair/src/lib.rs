//! Fair admission: which request runs next, and on which upstream.
//!
//! A [`RouterQueue`] holds the requests of one service at one router. It
//! dispatches them within the slots that the owners of the service's shards
//! allocate. A [`ShardOwner`] divides the slots of one shard among the routers
//! so that each backlogged workspace receives its share across the fleet.
//! Neither does I/O or reads a clock.

mod accounts;
mod adaptive_limit;
mod cost_estimates;
mod division;
mod message;
mod owner;
mod policy;
mod queue;
mod request;
mod shard;
mod slot_grants;
mod slots;
mod token_bucket;
mod workspace;

pub use cost_estimates::CostEstimates;
pub use message::{
    Allocation, LoadReport, ShardCostRow, ShardReport, ShardUpstream, SlotRow, VirtualTimeRow,
    WorkspaceRow,
};
pub use owner::{ShardOwner, fairness_gap_bound, report_period_ms};
pub use policy::DispatchPolicy;
pub use queue::RouterQueue;
pub use request::{Dispatch, ExpiredRequest, Rejection, Request, Ticket, WorkspaceLimits};
pub use shard::{MAX_UPSTREAMS_PER_SHARD, assign_shards};
