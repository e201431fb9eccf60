//! Command-line arguments.

use std::{ffi::OsString, path::PathBuf};

/// The arguments cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is wrong.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// There are arguments that the program does not know.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<OsString>),
}

/// Text for `--help`.
pub const HELP: &str = "\
Runs one router.

Usage: rosemaryspan-router --settings FILE [--check]

Options:
  --settings FILE  settings, YAML; docs/OPERATIONS.md lists them
  --check          check the settings and exit
  -h, --help       print this help
";

/// Parsed command-line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Path of the settings file, in YAML.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
}

impl Args {
    /// Parses the arguments.
    ///
    /// # Errors
    ///
    /// Fails if `--settings` is missing or further arguments are given.
    pub fn parse(mut raw: pico_args::Arguments) -> Result<Self, ArgsError> {
        let check = raw.contains("--check");
        let settings = raw.value_from_str("--settings")?;
        let remaining = raw.finish();
        if remaining.is_empty() {
            Ok(Self { settings, check })
        } else {
            Err(ArgsError::Unknown(remaining))
        }
    }
}
