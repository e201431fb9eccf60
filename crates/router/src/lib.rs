//! The router: takes requests from callers, admits them fairly and passes them
//! to upstreams.

pub mod args;
pub mod control;
mod front;
mod run;
pub mod settings;

pub use run::{Router, SpawnError, spawn};
