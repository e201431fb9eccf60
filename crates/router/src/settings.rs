//! Settings of one router.

mod check;

use std::{fmt, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use span_config::KeyHash;
use span_fair::DispatchPolicy;
use span_types::{FailureDomain, InstanceName};

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line in the file, from 1; 0 if the YAML library does not tell.
    pub line: usize,
    /// Path of the field, as in `timeouts.silence_ms`.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

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
    #[error("{}", Listing { path, diagnostics })]
    Invalid {
        /// File that was read.
        path: String,
        /// Every error in the file, in order of lines.
        diagnostics: Vec<Diagnostic>,
    },
}

struct Listing<'a> {
    path: &'a str,
    diagnostics: &'a [Diagnostic],
}

impl fmt::Display for Listing<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.diagnostics.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(
                f,
                "{separator}{}:{}: {}: {}",
                self.path, diagnostic.line, diagnostic.path, diagnostic.message
            )?;
        }
        Ok(())
    }
}

/// Settings of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain the instance stands in.
    pub failure_domain: FailureDomain,
    /// Address that callers are told.
    pub http_address: SocketAddr,
    /// Where to listen for callers, if that is not `http_address`.
    #[serde(default)]
    pub http_listen_address: Option<SocketAddr>,
    /// Address that other routers are told.
    pub peer_address: SocketAddr,
    /// Where to listen for other routers, if that is not `peer_address`.
    #[serde(default)]
    pub peer_listen_address: Option<SocketAddr>,
    /// Address of the platform's object API and instance list.
    pub platform_address: SocketAddr,
    /// Order in which waiting requests are dispatched.
    #[serde(default)]
    pub policy: DispatchPolicy,
    /// Where counters go by StatsD over UDP; nowhere without it.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Control traffic between routers, sent and received, in bytes per second;
    /// without it 12,000 in fleets of up to 8 routers and 2,500 in larger ones.
    #[serde(default)]
    pub control_budget_bytes_per_s: Option<u64>,
    /// Hash of a key that opens `/status` and `/metrics` of this router, beside
    /// the operators' keys.
    #[serde(default)]
    pub admin_key_sha256: Option<KeyHash>,
    /// Bounds on what callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// Time limits.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Export of traces.
    #[serde(default)]
    pub trace: Trace,
}

/// Bounds on what callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Connections open at the same time.
    pub connections: usize,
    /// Request ids whose outcome is remembered.
    pub remembered_ids: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 8 * 1024 * 1024,
            connections: 4_096,
            remembered_ids: 65_536,
        }
    }
}

/// Time limits, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// To read a request head.
    pub header_ms: u64,
    /// Between two parts of a request body.
    pub body_ms: u64,
    /// For which a caller may take nothing that is written to it.
    pub write_ms: u64,
    /// To connect to an upstream.
    pub connect_ms: u64,
    /// Without a byte of a model's stream until it is resumed.
    pub silence_ms: u64,
    /// Without a byte of any other answer until the upstream is given up on.
    pub answer_ms: u64,
    /// For one call of the object API.
    pub platform_ms: u64,
    /// For which callers keep an address; a leaving router accepts connections
    /// for this long.
    pub address_lifetime_ms: u64,
    /// After which a leaving router ends what still runs.
    pub shutdown_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            header_ms: 10_000,
            body_ms: 10_000,
            write_ms: 10_000,
            connect_ms: 1_000,
            silence_ms: 5_000,
            answer_ms: 120_000,
            platform_ms: 2_000,
            address_lifetime_ms: 10_000,
            shutdown_ms: 300_000,
        }
    }
}

/// Export of traces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trace {
    /// Where spans go by OTLP over HTTP, as in `http://10.0.0.9:4318/v1/traces`;
    /// nothing is exported without it.
    pub otlp_url: Option<String>,
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
    parse(&text).map_err(|diagnostics| SettingsError::Invalid { path: name, diagnostics })
}

/// Reads settings from YAML text.
///
/// # Errors
///
/// Every [`Diagnostic`] in the text, in order of lines.
pub fn parse(text: &str) -> Result<Settings, Vec<Diagnostic>> {
    check::settings(text)
}
