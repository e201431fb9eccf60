//! Intent API for operators: plan a change, confirm it, see what is in force.
//!
//! The process keeps nothing: plans and the accepted document are objects of
//! the object API, so that any instance can confirm what another one planned.

mod answer;
mod api;
pub mod args;
mod auth;
mod clock;
mod confirm;
mod error;
pub mod message;
pub mod order;
mod plan;
mod run;
pub mod settings;
mod status;
mod store;
mod sweep;

pub use error::IntentError;
pub use run::{Handle, SpawnError, spawn};
pub use settings::{BootstrapOperator, Settings};
pub use sweep::sweep;
