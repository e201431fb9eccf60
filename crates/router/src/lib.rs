//! The router: takes requests from callers, admits them fairly and passes them
//! to upstreams.

pub mod args;
pub mod control;
mod front;
mod minted;
mod run;
pub mod settings;
pub mod trace;

pub use front::InFlightRequest;
pub use minted::MintedIds;
pub use run::{Router, SpawnError, spawn};
