//! Which routers are live, whom they exchange heartbeats with, who owns what,
//! and which addresses callers are given.
//!
//! Everything here is pure: `now_ms` is an argument, and there is no I/O.

mod hash;
mod own;
mod ring;
mod steer;
mod update;
mod view;

pub use own::{assign_owners, home_router, owner, task_rank};
pub use ring::{MAX_FULL_MESH_PEERS, RING_PEERS, heartbeat_peers, heartbeat_targets};
pub use steer::{ADDRESS_LIFETIME_MS, MAX_ADDRESSES, select_routers};
pub use update::{MemberUpdate, Router};
pub use view::{ListedInstance, MemberChange, MemberStatus, MembershipTiming, MembershipView};
