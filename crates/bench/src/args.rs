//! Command-line arguments.

use std::{ffi::OsString, path::PathBuf};

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// The arguments cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is wrong.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// Arguments that the program does not know.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<OsString>),
}

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Experiment {
    /// Deployment Magnolia under its usual load.
    Magnolia,
    /// Deployment Cordillera under its usual load.
    Cordillera,
    /// One workspace offers 50 times its share.
    Flood,
    /// The configuration changes under load.
    Config,
    /// An upstream and a router leave under load.
    Drain,
    /// Faults from the seed under load.
    Faults,
}

/// How the routers choose the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Shares across the whole fleet.
    Fleet,
    /// Shares within each router.
    Local,
    /// First come, first served.
    Fcfs,
}

/// Arguments of `span-bench`.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// What is measured.
    pub experiment: Experiment,
    /// Seed of workload and faults.
    pub seed: u64,
    /// Policy to set; the routers' default without it.
    pub policy: Option<Policy>,
    /// Control traffic that each router is allowed, in bytes per second.
    pub control_budget: Option<u64>,
    /// Number of routers.
    pub routers: usize,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// File for a plot of the service received, SVG.
    pub plot: Option<PathBuf>,
    /// Folder for the processes' settings and logs.
    pub keep: Option<PathBuf>,
}

const DEFAULT_ROUTERS: usize = 6;
const DEFAULT_SECONDS: u64 = 20;

impl Args {
    /// Reads the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the experiment is missing or an option is wrong or unknown.
    pub fn parse(mut raw: pico_args::Arguments) -> Result<Self, ArgsError> {
        let args = Self {
            seed: raw.opt_value_from_str("--seed")?.unwrap_or(1),
            policy: raw.opt_value_from_str("--policy")?,
            control_budget: raw.opt_value_from_str("--control-budget")?,
            routers: raw.opt_value_from_str("--routers")?.unwrap_or(DEFAULT_ROUTERS).max(1),
            seconds: raw.opt_value_from_str("--seconds")?.unwrap_or(DEFAULT_SECONDS).max(1),
            plot: raw.opt_value_from_str("--plot")?,
            keep: raw.opt_value_from_str("--keep")?,
            experiment: raw.free_from_str()?,
        };
        let left = raw.finish();
        if left.is_empty() { Ok(args) } else { Err(ArgsError::Unknown(left)) }
    }
}
