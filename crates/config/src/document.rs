//! The checked configuration document.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use span_types::{FailureDomain, ServiceKind, ServiceName, UpstreamName, WorkspaceName};

use crate::Digest;

const ABBREVIATED_DIGITS: usize = 8;

/// SHA-256 of an API key, in lower-case hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub Arc<str>);

impl KeyHash {
    /// Hashes a key as callers send it.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        Self(text.into())
    }

    /// The first digits, enough to tell keys apart in messages.
    pub fn abbreviated(&self) -> &str {
        self.0.get(..ABBREVIATED_DIGITS).unwrap_or(&self.0)
    }
}

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Groups of callers and their shares.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
    /// Services that callers address.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Endpoints that serve the services.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// People and programs that may change the configuration.
    #[serde(default)]
    pub operators: BTreeMap<Arc<str>, Operator>,
}

impl Document {
    /// Digest over the whole content.
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }
}

/// A group of callers with a share of each service it may reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Weight relative to the other workspaces.
    pub share: u32,
    /// Services the workspace may call.
    pub services: BTreeSet<ServiceName>,
    /// Requests that may wait at one router for one service.
    pub queue_limit: u32,
    /// Longest time a request may wait, in milliseconds.
    pub deadline_ms: u64,
    /// Hashed keys of the callers.
    pub keys: BTreeSet<KeyHash>,
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// How its upstreams are called.
    pub kind: ServiceKind,
    /// Calls may be repeated unless the caller says otherwise.
    pub idempotent: bool,
    /// Model names that select the service; empty for plain services.
    pub models: BTreeSet<Arc<str>>,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// Ceiling on concurrent requests.
    pub max_concurrency: u32,
    /// Refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// No new work may go to it.
    #[serde(default)]
    pub leaving: bool,
}

/// Someone who may plan and confirm changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Hash of the operator's key.
    pub key: KeyHash,
}
