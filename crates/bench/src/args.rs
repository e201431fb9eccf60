//! Command-line arguments.

use std::{ffi::OsString, path::PathBuf};

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// The command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is invalid.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// Arguments that the program does not accept.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<OsString>),
}

/// An experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Experiment {
    /// Deployment Magnolia under normal load.
    Magnolia,
    /// Deployment Cordillera under normal load.
    Cordillera,
    /// One workspace offers 50 times its share.
    Flood,
    /// Configuration changes under load.
    Config,
    /// An upstream and a router leave under load.
    Drain,
    /// Faults derived from the seed, under load.
    Faults,
}

/// Policy by which the routers choose the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Fair shares across the fleet.
    Fleet,
    /// Fair shares within each router only.
    Local,
    /// First come, first served.
    Fcfs,
}

/// Arguments of `span-bench`.
#[derive(Clone, Debug, PartialEq)]
pub struct Args {
    /// Experiment to run.
    pub experiment: Experiment,
    /// Seed of the workload and the faults.
    pub seed: u64,
    /// Dispatch policy of the routers; `None` for their default.
    pub policy: Option<Policy>,
    /// Limit of the control traffic of each router, in bytes per second; `None` for the
    /// routers' default.
    pub control_budget_bytes_per_s: Option<u64>,
    /// Number of routers.
    pub router_count: usize,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// SVG file for a plot of the service received.
    pub plot: Option<PathBuf>,
    /// Folder for the settings and logs of the processes, kept after the run; `None` for
    /// a temporary folder.
    pub keep: Option<PathBuf>,
}

const DEFAULT_ROUTER_COUNT: usize = 6;
const DEFAULT_DURATION_S: u64 = 20;

impl Args {
    /// Parses the arguments.
    ///
    /// # Errors
    ///
    /// Fails if the experiment is missing or an option is invalid or unknown.
    pub fn parse(mut arguments: pico_args::Arguments) -> Result<Self, ArgsError> {
        let args = Self {
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
            policy: arguments.opt_value_from_str("--policy")?,
            control_budget_bytes_per_s: arguments.opt_value_from_str("--control-budget")?,
            router_count: arguments
                .opt_value_from_str("--routers")?
                .unwrap_or(DEFAULT_ROUTER_COUNT)
                .max(1),
            seconds: arguments
                .opt_value_from_str("--seconds")?
                .unwrap_or(DEFAULT_DURATION_S)
                .max(1),
            plot: arguments.opt_value_from_str("--plot")?,
            keep: arguments.opt_value_from_str("--keep")?,
            experiment: arguments.free_from_str()?,
        };
        let unknown = arguments.finish();
        if unknown.is_empty() { Ok(args) } else { Err(ArgsError::Unknown(unknown)) }
    }
}
