//! Load tool: generates a workload from a seed, runs it against a fleet, and checks
//! that every answer is complete and belongs to its request.

mod address_cache;
mod attempt;
mod call;
pub mod check;
mod fleet;
pub mod latency;
mod minted_key;
mod record;
pub mod request_generator;
mod run;
pub mod workload;

pub use call::{CallError, CallResult, ChatTarget, send_chat};
pub use fleet::{Fleet, RouterEndpoint};
pub use record::{AnswerKind, AttemptRecord};
pub use run::run_workload;
