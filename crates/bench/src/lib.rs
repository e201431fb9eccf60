//! Experiments over separate processes, and the analysis of their results.

pub mod analysis;
