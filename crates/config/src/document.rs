//! The configuration document, after its YAML has been checked.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use span_types::{FailureDomain, ServiceKind, ServiceName, UpstreamName, WorkspaceName};

use crate::Digest;

const ABBREVIATED_KEY_DIGITS: usize = 8;

/// SHA-256 of an API key, as 64 lower-case hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub Arc<str>);

impl KeyHash {
    /// Hashes a key given in clear text.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(text.into())
    }

    /// The first eight digits, which distinguish keys in messages.
    pub fn abbreviated(&self) -> &str {
        self.0.get(..ABBREVIATED_KEY_DIGITS).unwrap_or(&self.0)
    }
}

/// The configuration of the fleet, as operators declare it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Endpoints of the services, by name.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// People and programs that may change the configuration, by name.
    #[serde(default)]
    pub operators: BTreeMap<Arc<str>, Operator>,
}

impl Document {
    /// Computes the digest of all items.
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }
}

/// A tenant of the fleet: a group of callers that have a share of each service
/// they may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Weight relative to the shares of the other workspaces.
    pub share: u32,
    /// Services that the workspace may call.
    pub services: BTreeSet<ServiceName>,
    /// Maximum number of requests that wait at one router for one service.
    pub queue_limit: u32,
    /// Longest time that a request may wait, in milliseconds.
    pub deadline_ms: u64,
    /// Hashes of the callers' API keys.
    pub keys: BTreeSet<KeyHash>,
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Protocol of the upstreams: model engine or plain HTTP.
    pub kind: ServiceKind,
    /// Requests are idempotent unless the caller says otherwise.
    pub idempotent: bool,
    /// Model names that select the service. Empty for a plain service.
    pub models: BTreeSet<Arc<str>>,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Failure domain in which the upstream runs.
    pub failure_domain: FailureDomain,
    /// Maximum number of concurrent requests.
    pub max_concurrency: u32,
    /// The engine rejects an order if it has already executed one with a higher
    /// fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The upstream finishes its work and receives no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A person or program that may plan and confirm changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Hash of the operator's API key.
    pub key: KeyHash,
}
