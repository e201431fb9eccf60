//! Load tool: workloads from a seed, run against a fleet, with every answer
//! checked for being whole and the request's own.

mod addresses;
mod attempt;
mod call;
pub mod check;
mod fleet;
pub mod latency;
pub mod plan;
mod record;
mod run;
pub mod workload;

pub use call::{CallError, CallResult, Target, chat};
pub use fleet::{Entry, Fleet};
pub use record::{Answer, Record};
pub use run::run;
