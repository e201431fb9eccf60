//! Settings of one router.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, InstanceName};

/// The settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// File that was to be read.
        path: String,
        /// Why it could not be read.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error("{path}: {message}")]
    Invalid {
        /// File that was read.
        path: String,
        /// What is wrong, with line and column.
        message: String,
    },
}

/// Settings of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain the instance stands in.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API and instance list.
    pub platform_address: SocketAddr,
}

/// Reads settings from a YAML file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: name.clone(), source })?;
    serde_saphyr::from_str(&text)
        .map_err(|error| SettingsError::Invalid { path: name, message: error.to_string() })
}
