//! Command-line arguments of the stand-ins.

use std::{net::SocketAddr, str::FromStr};

/// The arguments cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is wrong.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// Arguments that the program does not know.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<std::ffi::OsString>),
}

/// Options read one after another.
#[derive(Debug)]
pub struct Args(pico_args::Arguments);

impl Args {
    /// The arguments of this process.
    pub fn from_env() -> Self {
        Self(pico_args::Arguments::from_env())
    }

    /// The address to listen on, `--listen`.
    ///
    /// # Errors
    ///
    /// Fails if it is missing or no IP address with port.
    pub fn listen(&mut self) -> Result<SocketAddr, ArgsError> {
        Ok(self.0.value_from_str("--listen")?)
    }

    /// An option with a default.
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

    /// Ends reading.
    ///
    /// # Errors
    ///
    /// Fails if arguments are left.
    pub fn finish(self) -> Result<(), ArgsError> {
        let left = self.0.finish();
        if left.is_empty() { Ok(()) } else { Err(ArgsError::Unknown(left)) }
    }
}
