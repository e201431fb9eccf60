//! Where streams began: the service and software version at which alone each can go on.
//!
//! A caller whose stream breaks may take it up at any router, also after the one that
//! it used has died. So routers tell a few others of each stream that they begin, which
//! those of the fleet that take it up ask. While all upstreams have had one software
//! version for as long as streams last, every stream began at that one, and nothing
//! needs to be told.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use span_types::{InstanceName, ServiceName, SoftwareVersion};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    recent_values::RecentValues,
    stream_records::{HistoryRecord, RouteId},
};

/// Routers that are told of a stream. With three, streams of a router that dies together
/// with others are mostly still known.
pub const TOLD_ROUTERS: usize = 3;
/// Routers that are asked for a stream: those that were told, although some may have
/// joined or left since, and in a small fleet also the one that began it.
pub const ASKED_ROUTERS: usize = 8;
/// Streams that are remembered at most, to bound the memory.
const MAX_KNOWN_STREAMS: usize = 65_536;
/// Interval between two removals of streams that are over, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Hash of the id of the request that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Hashes the id of a request.
    pub fn new(id: &[u8]) -> Self {
        Self(xxh3_64(id))
    }

    /// The hash, for storage.
    pub fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }

    /// The reverse of [`RequestKey::to_bytes`].
    pub fn from_bytes(bytes: [u8; 8]) -> Self {
        Self(u64::from_le_bytes(bytes))
    }
}

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of its software.
    pub software_version: SoftwareVersion,
}

/// Stands for the software version of streams of which nobody knows at which one they began; no
/// upstream can have it.
const UNDETERMINED_VERSION: &str = "\0";

impl StreamOrigin {
    /// The origin of a stream of which nobody knows at which version of `service` it began.
    pub fn undetermined(service: &ServiceName) -> Self {
        let software_version = UNDETERMINED_VERSION.into();
        Self { service: service.clone(), software_version }
    }

    /// The version, if it is known.
    pub fn known_version(&self) -> Option<&SoftwareVersion> {
        Some(&self.software_version).filter(|version| version.as_str() != UNDETERMINED_VERSION)
    }
}

/// Where an attempt at a request was sent. The request may have been sent to several upstreams
/// before one sent the first event; the stream began at the last of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptOrigin {
    /// Where the stream begins if this attempt brings the first event.
    pub origin: StreamOrigin,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
}

/// An attempt at a request for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAttempt {
    /// The request.
    pub request: RequestKey,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
}

/// What a router tells others of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The request that began the stream.
    pub request: RequestKey,
    /// Where it began, or begins unless another attempt follows.
    pub start: AttemptOrigin,
    /// Time within which it may be taken up, in milliseconds.
    pub lifetime_ms: u64,
}

/// Where a stream may have begun, as the router knows that asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteScope {
    /// The route of the request that takes the stream up.
    pub route: RouteId,
    /// Services to which the route leads.
    pub services: BTreeSet<ServiceName>,
}

/// Answer of a router that was asked for a stream, about one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Where the stream began, if the router knows it.
    pub start: Option<AttemptOrigin>,
    /// Where streams of the route in question may have begun.
    pub candidates: BTreeSet<StreamOrigin>,
    /// Where streams of the route may have begun of which no other router was told.
    pub untold: BTreeSet<StreamOrigin>,
    /// Whether the router knows where they may have begun before it started.
    pub knows_history: bool,
    /// Whether the router would know the stream if it had been told of it: it has run for as
    /// long as streams last, or nobody was told of any before it started.
    pub is_witness: bool,
    /// Whether the router has searched the records of the store for the stream.
    pub has_searched: bool,
}

#[derive(Clone, Debug)]
struct KnownStream {
    start: AttemptOrigin,
    expires_ms: u64,
    /// Whether this router began the stream and has told nobody.
    is_untold: bool,
    /// Whether a further attempt may have been sent elsewhere: this router was told when the
    /// request was sent.
    may_have_moved: bool,
}

impl OriginNotice {
    /// The attempt that this tells of.
    pub fn stream_attempt(&self) -> StreamAttempt {
        StreamAttempt { request: self.request, attempt: self.start.attempt }
    }
}

impl KnownStream {
    fn new(now_ms: u64, start: &AttemptOrigin, lifetime_ms: u64, is_untold: bool) -> Self {
        let (start, expires_ms) = (start.clone(), now_ms.saturating_add(lifetime_ms));
        Self { start, expires_ms, is_untold, may_have_moved: false }
    }

    /// Whether this is at least as new as `known`. Notices may be late, or sent again.
    fn replaces(&self, known: &Self) -> bool {
        (self.start.attempt, !self.may_have_moved) >= (known.start.attempt, !known.may_have_moved)
    }
}

fn origin(service: &ServiceName, version: &SoftwareVersion) -> StreamOrigin {
    StreamOrigin { service: service.clone(), software_version: version.clone() }
}

/// Services of each route whose streams may be taken up.
type RouteServices = BTreeMap<RouteId, BTreeSet<ServiceName>>;

/// The route among `routes` that takes the paths of `route`, which is none of them.
fn shorter_route<'a>(
    routes: &'a RouteServices,
    route: &RouteId,
) -> Option<(&'a RouteId, &'a BTreeSet<ServiceName>)> {
    let covering = routes.iter().filter(|(known, _)| route.starts_with(known.as_ref()));
    covering.max_by_key(|(known, _)| known.len())
}

/// What a router knows of where streams began.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<RequestKey, KnownStream>,
    /// Versions of each service's upstreams.
    versions: RecentValues<ServiceName, SoftwareVersion>,
    /// Services that each route leads to whose streams may be taken up.
    routes: RecentValues<RouteId, ServiceName>,
    /// Times within which streams may be taken up, in milliseconds.
    lifetimes_ms: RecentValues<(), u64>,
    /// When versions were first recorded.
    versions_since_ms: Option<u64>,
    /// Whether the whole system starts for the first time, as far as the settings tell.
    is_first_start: bool,
    /// Whether the store said where streams may have begun before this process.
    has_record: bool,
    /// Versions that services had before this process, as the first complete record says; none
    /// if this process has read none.
    versions_before_start: Option<BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>>,
    /// The only version of services that had but one before this process, as the collector of a
    /// member of a large fleet has read; none of a service that had several.
    only_versions_before_start: BTreeMap<ServiceName, Option<SoftwareVersion>>,
    /// Whether there was nothing before this process: the whole system started for the first
    /// time, and the store had no record.
    had_nothing_before: bool,
    /// The only version of each service while streams may have begun there of which no other
    /// router was told.
    sole_versions: RecentValues<ServiceName, SoftwareVersion>,
    swept_ms: u64,
}

impl StreamOrigins {
    /// The knowledge of a process that has just started. With `is_first_start`, the whole
    /// system starts for the first time, so that there are no streams from before unless the
    /// store has a record.
    pub fn new(is_first_start: bool) -> Self {
        Self { is_first_start, ..Self::default() }
    }

    /// Records the time within which streams that begin from now on may be taken up.
    pub fn set_lifetime(&mut self, now_ms: u64, lifetime_ms: u64) {
        self.lifetimes_ms.set(now_ms, &(), &BTreeSet::from([lifetime_ms]));
    }

    /// Longest time within which streams may be taken up that began by now, in milliseconds;
    /// 0 if none is known.
    pub fn lifetime_ms(&self, now_ms: u64) -> u64 {
        let lifetimes_ms = self.lifetimes_ms.recent_by(now_ms, &(), |lifetime_ms| *lifetime_ms);
        lifetimes_ms.max().copied().unwrap_or(0)
    }

    /// Records the versions of the upstreams that a service has from now on.
    pub fn set_versions(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        present: &BTreeSet<SoftwareVersion>,
    ) {
        if !present.is_empty() {
            self.versions_since_ms.get_or_insert(now_ms);
        }
        self.note_sole_version(now_ms, service);
        self.versions.set(now_ms, service, present);
    }

    /// Records the services that routes lead to from now on.
    pub fn set_routes(&mut self, now_ms: u64, routes: &RouteServices) {
        let services: Vec<ServiceName> = self.versions.keys().cloned().collect();
        for service in &services {
            self.note_sole_version(now_ms, service);
        }
        let (present, lifetime_ms) = (self.routes.all_present(), self.lifetime_ms(now_ms));
        let known = self.routes.all_recent(now_ms, lifetime_ms);
        // Before the first configuration, only the history says which routes there were.
        let before = if present.is_empty() { known.clone() } else { present };
        self.routes.set_all(now_ms, routes);
        self.note_paths_of_added(now_ms, &known, routes);
        self.note_paths_of_removed(now_ms, &before, routes);
    }

    /// Records that the paths of added routes led to the services of routes with shorter
    /// prefixes until now.
    fn note_paths_of_added(&mut self, now_ms: u64, before: &RouteServices, after: &RouteServices) {
        for route in after.keys().filter(|route| !before.contains_key(*route)) {
            let Some((_, services)) = shorter_route(before, route) else { continue };
            for service in services {
                self.routes.note(now_ms, route, service);
            }
        }
    }

    /// Records that some paths that lead to routes with shorter prefixes from now on led to the
    /// services of removed ones until now.
    fn note_paths_of_removed(
        &mut self,
        now_ms: u64,
        before: &RouteServices,
        after: &RouteServices,
    ) {
        for (removed, services) in before {
            if after.contains_key(removed) {
                continue;
            }
            let Some((covering, _)) = shorter_route(after, removed) else { continue };
            for service in services {
                self.routes.note(now_ms, covering, service);
            }
        }
    }

    /// Records that streams of `service` may have begun at its only version until now, if it
    /// has but one.
    fn note_sole_version(&mut self, now_ms: u64, service: &ServiceName) {
        if let Some(version) = self.sole_version(now_ms, service).cloned() {
            self.sole_versions.note(now_ms, service, &version);
        }
    }

    /// The version at which streams of `service` begin without any router being told; none if
    /// there may be several places.
    fn sole_version(&self, now_ms: u64, service: &ServiceName) -> Option<&SoftwareVersion> {
        let lifetime_ms = self.lifetime_ms(now_ms);
        let may_differ = self.may_differ(now_ms, service, lifetime_ms);
        if lifetime_ms == 0 || may_differ || !self.knows_versions(now_ms, service, lifetime_ms) {
            return None;
        }
        self.versions.recent(now_ms, service, lifetime_ms).next()
    }

    /// Where streams of `service` that last for `lifetime_ms` at most may have begun of which no
    /// other router was told, as far as this router knows.
    pub fn untold(
        &self,
        now_ms: u64,
        service: &ServiceName,
        lifetime_ms: u64,
    ) -> BTreeSet<StreamOrigin> {
        let lately = self.sole_versions.recent(now_ms, service, lifetime_ms);
        let versions = lately.chain(self.sole_version(now_ms, service));
        versions.map(|version| origin(service, version)).collect()
    }

    /// Whether this router, which has run for `now_ms`, would know each stream of `services`
    /// that lasts for `lifetime_ms` at most and of which it was told.
    pub fn is_witness(
        &self,
        now_ms: u64,
        services: &BTreeSet<ServiceName>,
        lifetime_ms: u64,
    ) -> bool {
        let had_one_version = |service: &ServiceName| {
            let before = self.versions_before_start.as_ref();
            let versions = before.and_then(|before| before.get(service));
            self.had_nothing_before
                || versions.is_some_and(|versions| versions.len() == 1)
                || matches!(self.only_versions_before_start.get(service), Some(Some(_)))
        };
        let nobody_was_told = services.len() == 1 && services.iter().all(had_one_version);
        lifetime_ms > 0 && (now_ms >= lifetime_ms || nobody_was_told)
    }

    /// Whether there were no streams before this process.
    pub fn had_nothing_before(&self) -> bool {
        self.had_nothing_before
    }

    /// Takes over where streams may have begun before this process, or at other routers; none
    /// if the store has no record. `is_complete` says whether the record has it all.
    pub fn add_history(&mut self, now_ms: u64, record: Option<&HistoryRecord>, is_complete: bool) {
        let Some(record) = record else {
            if self.is_first_start {
                self.has_record = true;
                self.had_nothing_before |= self.versions_before_start.is_none();
                self.versions_before_start.get_or_insert_default();
            }
            return;
        };
        for service in record.versions.keys() {
            self.note_sole_version(now_ms, service);
        }
        if is_complete && self.versions_before_start.is_none() {
            for (service, versions) in &record.versions {
                if let (Some(version), 1) = (versions.first(), versions.len()) {
                    self.sole_versions.note(now_ms, service, version);
                }
            }
            self.versions_before_start = Some(record.versions.clone());
            let present = self.routes.all_present();
            if !present.is_empty() {
                self.note_paths_of_added(now_ms, &record.routes, &present);
                self.note_paths_of_removed(now_ms, &record.routes, &present);
            }
        }
        self.has_record |= is_complete;
        for lifetime_ms in &record.lifetimes_ms {
            self.lifetimes_ms.note(now_ms, &(), lifetime_ms);
        }
        let lifetime_ms = self.lifetime_ms(now_ms);
        self.versions.add_record(now_ms, &record.versions, is_complete, lifetime_ms);
        self.routes.add_record(now_ms, &record.routes, is_complete, lifetime_ms);
    }

    /// Whether the collector of a member of a large fleet has said which versions `service` had
    /// before this process.
    pub fn knows_versions_before_start(&self, service: &ServiceName) -> bool {
        self.only_versions_before_start.contains_key(service)
    }

    /// Takes over what the collector has read since this process started: all streams of `service`
    /// from before then began at `only_version`, if it names one.
    pub fn set_only_version_before_start(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        only_version: Option<SoftwareVersion>,
    ) {
        if self.knows_versions_before_start(service) {
            return;
        }
        if let Some(version) = &only_version {
            self.sole_versions.note(now_ms, service, version);
        }
        self.only_versions_before_start.insert(service.clone(), only_version);
    }

    /// Forgets what was gone for `lifetime_ms`.
    pub fn expire_history(&mut self, now_ms: u64, lifetime_ms: u64) {
        self.versions.expire(now_ms, lifetime_ms);
        self.routes.expire(now_ms, lifetime_ms);
        self.sole_versions.expire(now_ms, lifetime_ms);
        self.lifetimes_ms.expire(now_ms, lifetime_ms);
    }

    /// Whether all versions and services are known at which streams may have begun that last
    /// for `lifetime_ms` at most: from the store, or because all such streams began while
    /// this process knew the upstreams.
    pub fn knows_history(&self, now_ms: u64, lifetime_ms: u64) -> bool {
        self.has_record || self.knows_since(now_ms, lifetime_ms)
    }

    /// As [`StreamOrigins::knows_history`], for the versions of `service`. A record that names no
    /// version of it may be older than its first upstream: the store may have been away since.
    pub fn knows_versions(&self, now_ms: u64, service: &ServiceName, lifetime_ms: u64) -> bool {
        let before = self.versions_before_start.as_ref();
        let is_recorded = before.is_some_and(|before| before.contains_key(service));
        let knows_without_record = self.knows_since(now_ms, lifetime_ms) || self.had_nothing_before;
        knows_without_record || (self.has_record && is_recorded)
    }

    /// Whether all streams that last for `lifetime_ms` at most began while this process knew the
    /// upstreams.
    fn knows_since(&self, now_ms: u64, lifetime_ms: u64) -> bool {
        let knows_since =
            |since_ms: u64| now_ms.saturating_sub(since_ms) >= lifetime_ms && lifetime_ms > 0;
        self.versions_since_ms.is_some_and(knows_since)
    }

    /// Where streams that last for `lifetime_ms` at most may have begun, as far as this
    /// router knows.
    pub fn history(&self, now_ms: u64, lifetime_ms: u64) -> HistoryRecord {
        HistoryRecord {
            versions: self.versions.all_recent(now_ms, lifetime_ms),
            routes: self.routes.all_recent(now_ms, lifetime_ms),
            lifetimes_ms: self
                .lifetimes_ms
                .recent_by(now_ms, &(), |lifetime_ms| *lifetime_ms)
                .copied()
                .collect(),
            ..HistoryRecord::default()
        }
    }

    /// Where streams of `service` may have begun that last for `lifetime_ms` at most.
    pub fn candidates(
        &self,
        now_ms: u64,
        service: &ServiceName,
        lifetime_ms: u64,
    ) -> BTreeSet<StreamOrigin> {
        let versions = self.versions.recent(now_ms, service, lifetime_ms);
        versions.map(|version| origin(service, version)).collect()
    }

    /// Services at which streams of a route may have begun that last for `lifetime_ms` at
    /// most.
    pub fn route_services(
        &self,
        now_ms: u64,
        route: &RouteId,
        lifetime_ms: u64,
    ) -> impl Iterator<Item = &ServiceName> {
        self.routes.recent(now_ms, route, lifetime_ms)
    }

    /// Whether a stream that may have begun at `service` may have begun at another service or
    /// version as well, as far as its route tells.
    pub fn may_differ(&self, now_ms: u64, service: &ServiceName, lifetime_ms: u64) -> bool {
        self.versions.recent(now_ms, service, lifetime_ms).nth(1).is_some()
            || self.routes.is_ambiguous(now_ms, service, lifetime_ms)
    }

    /// Records a stream that this router began, or goes on with, and of which it has told
    /// nobody.
    pub fn begin(
        &mut self,
        now_ms: u64,
        request: RequestKey,
        start: &AttemptOrigin,
        lifetime_ms: u64,
    ) {
        self.insert(now_ms, request, KnownStream::new(now_ms, start, lifetime_ms, true));
    }

    /// As [`StreamOrigins::begin`], for a stream of which others were told when its request was
    /// sent, or which was found at others.
    pub fn begin_told(
        &mut self,
        now_ms: u64,
        request: RequestKey,
        start: &AttemptOrigin,
        lifetime_ms: u64,
    ) {
        self.insert(now_ms, request, KnownStream::new(now_ms, start, lifetime_ms, false));
    }

    /// Records what another router tells of a stream. Its version may be one of which this
    /// router knows no upstream yet.
    pub fn learn(&mut self, now_ms: u64, notice: &OriginNotice) {
        let StreamOrigin { service, software_version } = &notice.start.origin;
        if notice.start.origin.known_version().is_some() {
            self.note_sole_version(now_ms, service);
            self.versions.note(now_ms, service, software_version);
        }
        let stream = KnownStream {
            may_have_moved: true,
            ..KnownStream::new(now_ms, &notice.start, notice.lifetime_ms, false)
        };
        self.insert(now_ms, notice.request, stream);
    }

    fn insert(&mut self, now_ms: u64, request: RequestKey, stream: KnownStream) {
        let known = self.streams.get(&request).filter(|known| known.expires_ms > now_ms);
        if known.is_some_and(|known| !stream.replaces(known)) {
            return;
        }
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            self.streams.retain(|_, stream| stream.expires_ms > now_ms);
        }
        if self.streams.len() < MAX_KNOWN_STREAMS {
            self.streams.insert(request, stream);
        }
    }

    /// Forgets a stream whose caller has all of it, unless others were told.
    pub fn end(&mut self, request: RequestKey) {
        if self.streams.get(&request).is_some_and(|stream| stream.is_untold) {
            self.streams.remove(&request);
        }
    }

    /// What others have to be told of a stream that this router began; none if they were
    /// told. It counts as told from now on.
    pub fn tell(&mut self, now_ms: u64, request: RequestKey) -> Option<OriginNotice> {
        let stream = self.streams.get_mut(&request).filter(|stream| stream.is_untold)?;
        notice(now_ms, request, stream)
    }

    /// As [`StreamOrigins::tell`], for all streams of the services that `is_told` names.
    pub fn tell_all(
        &mut self,
        now_ms: u64,
        mut is_told: impl FnMut(&ServiceName) -> bool,
    ) -> Vec<OriginNotice> {
        let streams = self.streams.iter_mut();
        let untold =
            streams.filter(|(_, stream)| stream.is_untold && is_told(&stream.start.origin.service));
        untold.filter_map(|(request, stream)| notice(now_ms, *request, stream)).collect()
    }

    /// All that this router knows of streams of the services that `is_told` names, for
    /// others to know it once this router has left.
    pub fn hand_over(
        &mut self,
        now_ms: u64,
        mut is_told: impl FnMut(&ServiceName) -> bool,
    ) -> Vec<OriginNotice> {
        let streams = self.streams.iter_mut();
        let told = streams.filter(|(_, stream)| is_told(&stream.start.origin.service));
        told.filter_map(|(request, stream)| notice(now_ms, *request, stream)).collect()
    }

    /// Where a stream began; none if this router does not know.
    pub fn get(&self, now_ms: u64, request: RequestKey) -> Option<&AttemptOrigin> {
        let stream = self.streams.get(&request).filter(|stream| stream.expires_ms > now_ms)?;
        Some(&stream.start)
    }

    /// As [`StreamOrigins::get`], unless a further attempt may have been sent elsewhere.
    pub fn get_settled(&self, now_ms: u64, request: RequestKey) -> Option<&AttemptOrigin> {
        let is_settled = !self.streams.get(&request)?.may_have_moved;
        self.get(now_ms, request).filter(|_| is_settled)
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

/// What others are told of a stream, which counts as told from now on; none if it is over.
fn notice(now_ms: u64, request: RequestKey, stream: &mut KnownStream) -> Option<OriginNotice> {
    stream.is_untold = false;
    let lifetime_ms = stream.expires_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)?;
    Some(OriginNotice { request, start: stream.start.clone(), lifetime_ms })
}

/// The first `count` of `routers` in an order that depends on the stream and is the same
/// at all routers.
pub fn routers_for_stream<'a>(
    routers: impl IntoIterator<Item = &'a InstanceName>,
    request: RequestKey,
    count: usize,
) -> Vec<&'a InstanceName> {
    let rank = |name: &InstanceName| xxh3_64_with_seed(name.as_str().as_bytes(), request.0);
    let mut routers: Vec<&InstanceName> = routers.into_iter().collect();
    routers.sort_by_key(|name| rank(name));
    routers.truncate(count);
    routers
}
