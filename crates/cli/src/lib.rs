//! The operators' command line: show what a change does, confirm it, see what
//! is in force.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | the command line, a file or the key cannot be used |
//! | 2 | the document has faults |
//! | 3 | refused: stale, unknown or not permitted; nothing has changed |
//! | 4 | not accepted now: no instance or object API, or a limit; try later |
//! | 5 | it is not known whether it took effect; repeating it is safe |
//! | 6 | `status`: the revision is not in force at every router |

mod args;
mod client;
mod exit;
mod files;
mod render;
mod run;

pub use args::{Args, ArgsError, Command, Output};
pub use exit::Exit;
pub use run::{Environment, Printed, run};
