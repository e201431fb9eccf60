//! Settings of one intent process.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use span_config::KeyHash;
use span_types::InstanceName;

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

/// An operator who is accepted while the document declares none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BootstrapOperator {
    /// Name for the history.
    pub name: String,
    /// Hash of the operator's key.
    pub key_sha256: KeyHash,
}

/// Settings of one intent process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address for operators.
    pub intent_address: SocketAddr,
    /// Address of the platform's object API and instance list.
    pub platform_address: SocketAddr,
    /// Accepted while the document declares no operators.
    #[serde(default)]
    pub bootstrap_operator: Option<BootstrapOperator>,
    /// Time for one attempt at a call of the platform, in milliseconds. A read
    /// takes at most two attempts, which bounds how long an intent waits before
    /// it is refused in an outage.
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// Time for a router to tell its status, in milliseconds.
    #[serde(default = "default_status_timeout_ms")]
    pub status_timeout_ms: u64,
    /// Time for an engine to answer an order, in milliseconds.
    #[serde(default = "default_order_timeout_ms")]
    pub order_timeout_ms: u64,
    /// Loads from the weight store that the whole fleet may start in a minute.
    /// Has to be the same at all instances.
    #[serde(default = "default_loads_per_minute")]
    pub weight_loads_per_minute: u64,
}

fn default_platform_timeout_ms() -> u64 {
    1_000
}

fn default_status_timeout_ms() -> u64 {
    1_000
}

fn default_order_timeout_ms() -> u64 {
    5_000
}

fn default_loads_per_minute() -> u64 {
    6
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
