//! Settings of one intent process.

use std::{net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use span_config::KeyHash;
use span_types::InstanceName;

/// The settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The settings file is not valid.
    #[error("{path}: {message}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// What is wrong, with line and column.
        message: String,
    },
}

/// An operator who is accepted while the document declares no operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BootstrapOperator {
    /// Name to record in the history.
    pub name: String,
    /// Hash of the operator's API key.
    pub key_sha256: KeyHash,
}

/// Settings of one intent process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Address on which the intent API listens.
    pub intent_address: SocketAddr,
    /// Address of the platform's object API and instance list.
    pub platform_address: SocketAddr,
    /// Operator who is accepted while the document declares no operators.
    #[serde(default)]
    pub bootstrap_operator: Option<BootstrapOperator>,
    /// Timeout of one attempt at a call of the platform, in milliseconds. A read makes
    /// at most two attempts, which limits how long an intent waits before it is
    /// rejected in an outage.
    #[serde(default = "default_platform_timeout_ms")]
    pub platform_timeout_ms: u64,
    /// Timeout of a status query to a router, in milliseconds.
    #[serde(default = "default_status_timeout_ms")]
    pub status_timeout_ms: u64,
    /// Timeout of a call to an engine, in milliseconds.
    #[serde(default = "default_order_timeout_ms")]
    pub order_timeout_ms: u64,
    /// Loads from the weight store that the whole fleet may start per minute. The
    /// value has to be the same for all instances.
    #[serde(default = "default_weight_loads_per_minute")]
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

fn default_weight_loads_per_minute() -> u64 {
    6
}

/// Reads the settings from a YAML file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path_text.clone(), source })?;
    serde_saphyr::from_str(&text)
        .map_err(|error| SettingsError::Invalid { path: path_text, message: error.to_string() })
}
