//! Small stand-ins for the systems around the routers: model engine, plain
//! service, object API with instance list.
//!
//! They keep a ledger of what they executed, so that experiments can check the
//! routers' answers against it.

pub mod args;
mod clock;
pub mod engine;
mod ledger;
pub mod objects;
pub mod relay;
pub mod service;
pub mod sign;

pub use clock::unix_us;
pub use ledger::{Execution, Ledger};
