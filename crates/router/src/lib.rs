//! The router accepts requests of callers, schedules them fairly across
//! workspaces and proxies them to upstreams.

pub mod args;
pub mod control;
pub mod drain;
mod frontend;
mod minted;
mod run;
pub mod settings;
pub mod trace;

pub use frontend::InFlightRequest;
pub use minted::MintedIds;
pub use run::{Router, SpawnError, spawn};
