//! Experiments over separate processes, and the analysis of their results.

pub mod analysis;
pub mod args;
pub mod experiment;
mod fleet;
pub mod plot;
mod probe;
mod process;
mod report;
mod rest;
pub mod schedule;
mod snapshot;
mod topology;
mod usage;
