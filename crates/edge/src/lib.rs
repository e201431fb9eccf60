//! The entry process for small instances without a disk: one thread carries
//! callers' requests, membership and configuration.
//!
//! What must last lies in the platform's store. The modules [`admission`],
//! [`shares`], [`placement`], [`budget`], [`registry`], [`directory`],
//! [`overload`], [`config`]
//! and [`sse`] decide,
//! without I/O and with the present time as an argument; the others feed them.

pub mod admission;
pub mod budget;
pub mod clock;
pub mod config;
pub mod directory;
mod follow;
mod forward;
pub mod http_client;
pub mod lane;
mod listen;
pub mod load_summary;
pub mod log;
pub mod metrics;
pub mod node;
pub mod overload;
pub mod peers;
pub mod placement;
mod pool;
pub mod registry;
pub mod reliance;
mod role;
mod run;
pub mod settings;
pub mod shares;
pub mod socket;
pub mod sse;
mod state;
pub mod store;
pub mod upstream_load;
pub mod wire_format;

pub use run::{ReadSettings, StartError, run};
