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
    /// Line in the file, from 1; 0 if the YAML parser does not report it.
    pub line: usize,
    /// Path of the field, for example `timeouts.silence_ms`.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

/// The settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the settings file.
        path: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error("{}", DiagnosticList { path, diagnostics })]
    Invalid {
        /// Path of the settings file.
        path: String,
        /// All errors in the file, ordered by line.
        diagnostics: Vec<Diagnostic>,
    },
}

struct DiagnosticList<'a> {
    path: &'a str,
    diagnostics: &'a [Diagnostic],
}

impl fmt::Display for DiagnosticList<'_> {
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
    /// Name of the instance that the router runs on, unique in the fleet.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Advertised address for callers.
    pub http_address: SocketAddr,
    /// Address to listen on for callers, if it differs from `http_address`.
    #[serde(default)]
    pub http_listen_address: Option<SocketAddr>,
    /// Advertised address for peers.
    pub peer_address: SocketAddr,
    /// Address to listen on for peers, if it differs from `peer_address`.
    #[serde(default)]
    pub peer_listen_address: Option<SocketAddr>,
    /// Address of the platform's object API and instance list.
    pub platform_address: SocketAddr,
    /// Order in which waiting requests are dispatched.
    #[serde(default)]
    pub policy: DispatchPolicy,
    /// Address that counters are sent to by StatsD over UDP; `None` sends none.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Target for this router's traffic with peers, sent and received. The
    /// default is 12,000 bytes per second in fleets of up to 8 routers and 2,500
    /// in larger ones.
    #[serde(default)]
    pub control_budget_bytes_per_s: Option<u64>,
    /// Hash of a key that gives access to `/status` and `/metrics` of this
    /// router, in addition to the operators' keys.
    #[serde(default)]
    pub admin_key_sha256: Option<KeyHash>,
    /// Limits on resources that callers use.
    #[serde(default)]
    pub limits: Limits,
    /// Time limits.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Export of traces.
    #[serde(default)]
    pub trace: Trace,
}

/// Limits on resources that callers use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Memory for answers of engines that are read completely before they are passed on, all
    /// together, in bytes. While it is used up, such requests fail.
    pub buffered_answer_bytes: usize,
    /// Maximum of concurrent connections.
    pub connections: usize,
    /// Maximum of request ids whose outcome is kept.
    pub remembered_ids: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 8 * 1024 * 1024,
            // Four of the largest answers.
            buffered_answer_bytes: 256 * 1024 * 1024,
            connections: 4_096,
            remembered_ids: 65_536,
        }
    }
}

/// Time limits, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Time to read a request head.
    pub header_ms: u64,
    /// Time between two chunks of a request body.
    pub body_ms: u64,
    /// Time for which a caller may read nothing of an answer.
    pub write_ms: u64,
    /// Time to connect to an upstream.
    pub connect_ms: u64,
    /// Time without a byte of a model's stream until it is resumed.
    pub silence_ms: u64,
    /// Time without a byte of any other answer until the attempt fails.
    pub answer_ms: u64,
    /// Time for one call of the object API.
    pub platform_ms: u64,
    /// Time for which callers cache an address; a leaving router accepts
    /// connections for at least this time.
    pub address_lifetime_ms: u64,
    /// Time after which a leaving router interrupts the remaining requests.
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
    /// URL that spans are exported to by OTLP over HTTP, for example
    /// `http://10.0.0.9:4318/v1/traces`; `None` exports none.
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
/// All errors in the text, ordered by line.
pub fn parse(text: &str) -> Result<Settings, Vec<Diagnostic>> {
    check::parse_settings(text)
}
