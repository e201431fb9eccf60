//! Experiments with a fleet of separate processes, and the analysis of their
//! results.

pub mod analysis;
pub mod args;
pub mod experiment;
pub mod fleet;
mod inject;
pub mod intents;
pub mod json_client;
pub mod plot;
pub mod ports;
mod probe;
pub mod process;
mod report;
pub mod schedule;
mod snapshot;
pub mod topology;
mod usage;
