//! Command-line arguments of the stand-ins.

use std::{net::SocketAddr, str::FromStr};

/// The command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is invalid.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// Arguments that the program does not accept.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<std::ffi::OsString>),
}

/// Command-line options; each read removes an option from the list.
#[derive(Debug)]
pub struct Args(pico_args::Arguments);

impl Args {
    /// Reads the arguments of this process.
    pub fn from_env() -> Self {
        Self(pico_args::Arguments::from_env())
    }

    /// Returns the value of `--listen`, the address to listen on.
    ///
    /// # Errors
    ///
    /// Fails if the option is missing or not an IP address with a port.
    pub fn listen_address(&mut self) -> Result<SocketAddr, ArgsError> {
        Ok(self.0.value_from_str("--listen")?)
    }

    /// Returns the value of an option, or `default` if the option is absent.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be parsed.
    pub fn option<T>(&mut self, name: &'static str, default: T) -> Result<T, ArgsError>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        Ok(self.0.opt_value_from_str(name)?.unwrap_or(default))
    }

    /// Checks that all arguments were read.
    ///
    /// # Errors
    ///
    /// Fails if unread arguments remain.
    pub fn finish(self) -> Result<(), ArgsError> {
        let unknown = self.0.finish();
        if unknown.is_empty() { Ok(()) } else { Err(ArgsError::Unknown(unknown)) }
    }
}
