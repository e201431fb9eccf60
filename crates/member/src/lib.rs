//! Membership of the fleet: which routers are live, which exchange heartbeats,
//! which router owns a shard or a bucket, and which routers a caller may use.
//!
//! Nothing in this crate does I/O, and the time `now_ms` is an argument.

mod hash;
mod ownership;
mod ring;
mod steering;
mod update;
mod view;

pub use ownership::{assign_owners, home_router, preferred_owner, task_rank};
pub use ring::{MAX_FULL_MESH_PEERS, RING_PEERS, heartbeat_peers, heartbeat_targets};
pub use steering::{ADDRESS_LIFETIME_MS, MAX_ADDRESSES, select_routers};
pub use update::{MemberUpdate, Router};
pub use view::{
    HeartbeatPlan, ListedInstance, MemberChange, MemberStatus, MembershipTiming, MembershipView,
};
