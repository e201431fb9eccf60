//! Experiments over separate processes, and the analysis of their results.

pub mod analysis;
pub mod args;
pub mod experiment;
mod fleet;
mod intents;
pub mod plot;
pub mod ports;
mod probe;
mod process;
mod report;
mod rest;
pub mod schedule;
mod snapshot;
mod topology;
mod usage;
