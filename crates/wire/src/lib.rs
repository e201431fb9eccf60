//! Messages between routers: capnp schema, conversions and peer streams.
//!
//! The generated code is committed, see `schema/README.md`.

mod convert;
mod message;
mod rpc;
mod stream;

#[allow(missing_docs, clippy::all, clippy::unwrap_used, unused_qualifications)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;

pub use convert::{
    ConvertError, group_by_shard_and_owner, read_allocation, read_allocation_replies,
    read_allocations, read_config, read_cost_tables, read_heartbeat, read_report, read_reports,
    write_allocation, write_allocation_replies, write_allocations, write_config, write_cost_tables,
    write_heartbeat, write_report, write_reports,
};
pub use message::{ConfigBody, ConfigReply, Heartbeat};
pub use rpc::{RpcConnection, start_rpc};
pub use stream::{ByteCounts, CountingStream, compress_halves};
