//! Identifiers of configurations, router incarnations, shards and requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{InstanceName, ServiceName};

/// Version of the accepted configuration. Increases with each accepted change.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Start time of a router process, in microseconds since the Unix epoch.
/// Increases with each restart on the same instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A group of a service's upstreams whose slots one router allocates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Service that the upstreams belong to.
    pub service: ServiceName,
    /// Index of the shard within the service, from 0.
    pub index: u32,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// A request id minted by one router incarnation.
///
/// Only the incarnation named in the id may run the request, so that a router
/// can tell without the object API whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Instance that minted the id.
    pub instance: InstanceName,
    /// Incarnation of the router on that instance.
    pub incarnation: Incarnation,
    /// Sequence number, unique within the incarnation.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{:x}", self.instance, self.incarnation.0, self.seq)
    }
}

/// The parsed text is not a request id minted by a router.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a request id of the form instance.incarnation.sequence")]
pub struct ParseRequestIdError(String);

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_request_id(text).ok_or_else(|| ParseRequestIdError(text.to_owned()))
    }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    let (rest, seq) = text.rsplit_once('.')?;
    let (instance, incarnation) = rest.rsplit_once('.')?;
    if instance.is_empty() {
        return None;
    }
    Some(RequestId {
        instance: instance.into(),
        incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
        seq: u64::from_str_radix(seq, 16).ok()?,
    })
}
