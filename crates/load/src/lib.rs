//! Load tool: sends requests to routers and checks the answers.

mod call;

pub use call::{CallResult, Target, chat};
