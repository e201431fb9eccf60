//! The command line for operators: plan a change, confirm it, and see which revision is
//! in force.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | the command line, a file or the key is not valid |
//! | 2 | the document has problems |
//! | 3 | rejected: stale, unknown or not permitted; nothing has changed |
//! | 4 | not accepted now: no instance or object API, or a limit; retry later |
//! | 5 | it is not known whether it took effect; a retry is safe |
//! | 6 | `status`: the revision is not in force at every router |

mod args;
mod client;
mod exit_code;
mod files;
mod render;
mod run;

pub use args::{Args, ArgsError, Command, OutputFormat};
pub use exit_code::ExitCode;
pub use run::{CommandOutput, Environment, run};
