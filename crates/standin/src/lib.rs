//! Stand-ins for the systems around the routers: model engine, plain service,
//! and platform (object API and instance list). Also a TCP relay that injects
//! network delay and faults.
//!
//! The engine and the service keep a ledger of what they executed. Experiments
//! check the answers that callers received against it.

pub mod args;
mod clock;
pub mod engine;
mod ledger;
pub mod objects;
pub mod relay;
pub mod service;
pub mod signature;

pub use clock::unix_us;
pub use ledger::{Execution, Ledger};
