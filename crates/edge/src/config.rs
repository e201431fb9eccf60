//! The configuration in force: routes, services and workspaces.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use bytes::Bytes;
use span_types::{ServiceName, WorkspaceName};

use crate::stream_records::RouteId;

/// Whether a route streams and which of its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests must run at most once.
    NonIdempotent,
    /// Event streams of requests that must run at most once.
    Stream,
    /// Event streams that another upstream may continue.
    ResumableStream,
}

impl Route {
    /// Identifies the route whatever its name is.
    pub fn id(&self) -> RouteId {
        format!("{}{}", self.host, self.path_prefix).into()
    }

    /// Services that take requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.targets.iter().filter(|target| target.weight > 0).map(|target| &target.service)
    }
}

impl RouteKind {
    /// Whether a request that may have run may be retried.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One of the services that a route's requests are split between.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Service that takes the requests.
    pub service: ServiceName,
    /// Weight of the service against the other targets of the route.
    pub weight: u32,
}

/// How requests of one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether the route streams and which requests may be retried.
    pub kind: RouteKind,
    /// Time limit for the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time to the answer, or to the first event of a stream, in
    /// milliseconds.
    pub target_latency_ms: u64,
    /// Longest gap between events that callers accept, in milliseconds; 0 without
    /// such a target.
    pub target_gap_ms: u64,
    /// Largest number of upstreams that one request may be sent to, the first
    /// included.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub allow_anonymous: bool,
    /// Services that take the requests. At least one has a weight above 0.
    pub targets: Vec<Target>,
}

/// A service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one upstream accepts from the whole fleet.
    pub max_connections: u32,
    /// Whether the upstreams are model engines.
    pub is_engine: bool,
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// Requests per second that a cold upstream takes from the whole fleet; 0 if it takes
    /// as many as a warm one.
    pub cold_per_s: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which a request head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Idle timeout of callers' connections, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A configuration as the operator wrote it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version, which grows with each change.
    pub version: u64,
    /// Routes by host, longest path prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Workspace that each key belongs to.
    pub keys: HashMap<Arc<str>, WorkspaceName>,
    /// Names of all workspaces; empty if requests need no key.
    pub workspaces: Vec<WorkspaceName>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Cost units that all model engines together can serve per second, if
    /// stated.
    pub capacity_per_s: Option<u64>,
    /// The document as it is in the store, for peers.
    pub document: Bytes,
}

impl Config {
    /// Creates a configuration and indexes its routes and keys.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<(WorkspaceName, Vec<Arc<str>>)>,
        limits: CallerLimits,
        capacity_per_s: Option<u64>,
        document: Bytes,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for (name, workspace_keys) in &workspaces {
            keys.extend(workspace_keys.iter().map(|key| (key.clone(), name.clone())));
        }
        Self {
            version,
            routes: by_host,
            services: services.into_iter().map(|service| (service.name.clone(), service)).collect(),
            keys,
            workspaces: workspaces.into_iter().map(|(name, _)| name).collect(),
            limits,
            capacity_per_s,
            document,
        }
    }

    /// Route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Whether the upstreams of a service are model engines.
    pub fn is_engine(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|service| service.is_engine)
    }

    /// Strictest gap target of the routes that stream from a service, in
    /// milliseconds; none without such a route.
    pub fn gap_target_ms(&self, service: &ServiceName) -> Option<u64> {
        let routes = self.routes.values().flatten();
        let streams = routes.filter(|route| {
            let has_target = route.targets.iter().any(|target| target.service == *service);
            route.kind.is_stream() && has_target && route.target_gap_ms > 0
        });
        streams.map(|route| route.target_gap_ms).min()
    }

    /// Longest time limit of the routes that stream, in milliseconds; 0 without such a
    /// route.
    pub fn longest_stream_ms(&self) -> u64 {
        let streams = self.routes.values().flatten().filter(|route| route.kind.is_stream());
        streams.map(|route| route.timeout_ms).max().unwrap_or(0)
    }

    /// Ids of all routes.
    pub fn route_ids(&self) -> BTreeSet<RouteId> {
        self.routes.values().flatten().map(|route| route.id()).collect()
    }

    /// Services of each route whose streams may be taken up.
    pub fn resumable_routes(&self) -> BTreeMap<RouteId, BTreeSet<ServiceName>> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.kind == RouteKind::ResumableStream);
        resumable.map(|route| (route.id(), route.services().cloned().collect())).collect()
    }

    /// Whether requests must carry the key of a workspace, except on routes that allow
    /// anonymous ones.
    pub fn needs_key(&self) -> bool {
        !self.workspaces.is_empty()
    }
}

/// Chooses a target at random by weight. `draw` is uniform in 0 to 1.
pub fn choose_target(targets: &[Target], draw: f64) -> Option<&ServiceName> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut remaining = (draw * total as f64) as u64;
    let mut weighted = targets.iter().filter(|target| target.weight > 0);
    for target in weighted.clone() {
        let weight = u64::from(target.weight);
        if remaining < weight {
            return Some(&target.service);
        }
        remaining -= weight;
    }
    weighted.next_back().map(|target| &target.service)
}
