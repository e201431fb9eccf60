//! Command-line arguments.

use std::{ffi::OsString, path::PathBuf};

/// The arguments cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is wrong.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// There are unknown arguments.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<OsString>),
}

/// Text that `--help` prints.
pub const HELP: &str = "\
Runs one intent process.

Usage: rosemaryspan-intent --settings FILE

Options:
  --settings FILE  settings, YAML; docs/OPERATIONS.md lists them
  -h, --help       print this help
";

/// Arguments of the intent process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// Path of the settings file, which is YAML.
    pub settings: PathBuf,
}

impl Args {
    /// Parses the arguments.
    ///
    /// # Errors
    ///
    /// Fails if `--settings` is missing or further arguments are given.
    pub fn parse(mut raw: pico_args::Arguments) -> Result<Self, ArgsError> {
        let settings = raw.value_from_str("--settings")?;
        let remaining = raw.finish();
        if remaining.is_empty() {
            Ok(Self { settings })
        } else {
            Err(ArgsError::Unknown(remaining))
        }
    }
}
