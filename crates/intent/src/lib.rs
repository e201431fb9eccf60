//! Intent API for operators: plan a change, confirm it, and see which revision is in
//! force.
//!
//! The process is stateless: plans and the accepted document are objects of the object
//! API, so that any instance can confirm a plan that another instance made.

mod api;
pub mod args;
mod auth;
mod clock;
mod confirm;
mod error;
pub mod message;
pub mod order;
mod plan;
mod process;
mod response;
pub mod settings;
mod status;
mod store;
mod sweep;

pub use error::IntentError;
pub use process::{Handle, SpawnError, spawn};
pub use settings::{BootstrapOperator, Settings};
pub use sweep::sweep;
