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

/// Routers that are told of a stream. With three, streams of a router that dies together
/// with others are mostly still known.
pub const TOLD_ROUTERS: usize = 3;
/// Routers that are asked for a stream: those that were told, although some may have
/// joined or left since, and in a small fleet also the one that began it.
pub const ASKED_ROUTERS: usize = 8;
/// Time after which routers that have not answered are asked again, in milliseconds.
/// The first question or its answer may be lost.
pub const ASK_AGAIN_MS: u64 = 100;
/// Longest time for which answers are awaited, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 400;
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
}

/// Service and software version of the upstream that sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of its software.
    pub software_version: SoftwareVersion,
}

/// What a router tells others of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The request that began the stream.
    pub request: RequestKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time within which it may be taken up, in milliseconds.
    pub lifetime_ms: u64,
}

/// Answer of a router that was asked for a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Where the stream began, if the router knows it.
    pub origin: Option<StreamOrigin>,
    /// Where streams of the services in question may have begun.
    pub candidates: BTreeSet<StreamOrigin>,
}

#[derive(Clone, Debug)]
struct KnownStream {
    origin: StreamOrigin,
    expires_ms: u64,
    /// Whether this router began the stream and has told nobody.
    is_untold: bool,
}

/// What a router knows of where streams began.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<RequestKey, KnownStream>,
    /// Versions of each service's upstreams, with the time at which the last one of the
    /// version went; none while there is one.
    versions: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Option<u64>>>,
    swept_ms: u64,
}

impl StreamOrigins {
    /// Records the versions of the upstreams that a service has from now on.
    pub fn set_versions(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        present: &BTreeSet<SoftwareVersion>,
    ) {
        let versions = self.versions.entry(service.clone()).or_default();
        for (version, gone_ms) in versions.iter_mut() {
            if !present.contains(version) {
                gone_ms.get_or_insert(now_ms);
            }
        }
        versions.extend(present.iter().map(|version| (version.clone(), None)));
    }

    /// Where streams of `service` may have begun that last for `lifetime_ms` at most.
    pub fn candidates(
        &self,
        now_ms: u64,
        service: &ServiceName,
        lifetime_ms: u64,
    ) -> BTreeSet<StreamOrigin> {
        let versions = self.versions.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, gone_ms)| {
            gone_ms.is_none_or(|gone_ms| now_ms.saturating_sub(gone_ms) < lifetime_ms)
        });
        recent
            .map(|(version, _)| StreamOrigin {
                service: service.clone(),
                software_version: version.clone(),
            })
            .collect()
    }

    /// Records a stream that this router began, or goes on with.
    pub fn begin(
        &mut self,
        now_ms: u64,
        request: RequestKey,
        origin: &StreamOrigin,
        lifetime_ms: u64,
    ) {
        self.insert(now_ms, request, origin, lifetime_ms, true);
    }

    /// Records what another router tells of a stream. Its version may be one of which this
    /// router knows no upstream yet.
    pub fn learn(&mut self, now_ms: u64, notice: &OriginNotice) {
        let StreamOrigin { service, software_version } = &notice.origin;
        let versions = self.versions.entry(service.clone()).or_default();
        let gone_ms = versions.entry(software_version.clone()).or_insert(Some(now_ms));
        *gone_ms = gone_ms.map(|_| now_ms);
        self.insert(now_ms, notice.request, &notice.origin, notice.lifetime_ms, false);
    }

    fn insert(
        &mut self,
        now_ms: u64,
        request: RequestKey,
        origin: &StreamOrigin,
        lifetime_ms: u64,
        is_untold: bool,
    ) {
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            self.streams.retain(|_, stream| stream.expires_ms > now_ms);
        }
        if self.streams.len() < MAX_KNOWN_STREAMS {
            let (origin, expires_ms) = (origin.clone(), now_ms.saturating_add(lifetime_ms));
            self.streams.insert(request, KnownStream { origin, expires_ms, is_untold });
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
            streams.filter(|(_, stream)| stream.is_untold && is_told(&stream.origin.service));
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
        let told = streams.filter(|(_, stream)| is_told(&stream.origin.service));
        told.filter_map(|(request, stream)| notice(now_ms, *request, stream)).collect()
    }

    /// Where a stream began; none if this router does not know.
    pub fn get(&self, now_ms: u64, request: RequestKey) -> Option<&StreamOrigin> {
        let stream = self.streams.get(&request).filter(|stream| stream.expires_ms > now_ms)?;
        Some(&stream.origin)
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
    Some(OriginNotice { request, origin: stream.origin.clone(), lifetime_ms })
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

/// How a router came to know where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginSource {
    /// It began the stream itself, or was told of it.
    Known,
    /// Another router knew.
    Asked,
    /// There is nowhere else where the stream could have begun.
    OnlyCandidate,
}

/// Whether a stream's origin is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// The stream began there.
    Found(StreamOrigin, OriginSource),
    /// The stream may have begun at several versions, or no other router can be reached.
    Unknown,
}

/// The question to other routers where a stream began, and their answers so far.
#[derive(Debug)]
pub struct OriginInquiry {
    asked_ms: u64,
    /// Number of routers that are asked.
    asked: usize,
    /// Routers that have not answered.
    awaited: BTreeSet<InstanceName>,
    /// Whether a router has answered that knows upstreams of the services.
    is_confirmed: bool,
    found: Option<StreamOrigin>,
    /// Where the stream may have begun, as far as any router knows.
    candidates: BTreeSet<StreamOrigin>,
}

impl OriginInquiry {
    /// Begins an inquiry at `asked` routers. `candidates` are those of this router.
    pub fn new(
        now_ms: u64,
        asked: BTreeSet<InstanceName>,
        candidates: BTreeSet<StreamOrigin>,
    ) -> Self {
        Self {
            asked_ms: now_ms,
            asked: asked.len(),
            awaited: asked,
            is_confirmed: false,
            found: None,
            candidates,
        }
    }

    /// Where the stream may have begun, as far as any router knows.
    pub fn candidates(&self) -> &BTreeSet<StreamOrigin> {
        &self.candidates
    }

    /// Routers that have not answered.
    pub fn awaited(&self) -> &BTreeSet<InstanceName> {
        &self.awaited
    }

    /// Records the answer of a router.
    pub fn record(&mut self, from: &InstanceName, answer: OriginAnswer) {
        self.awaited.remove(from);
        self.found = self.found.take().or(answer.origin);
        self.is_confirmed |= !answer.candidates.is_empty();
        self.candidates.extend(answer.candidates);
    }

    /// Where the stream began; none while answers are awaited that may tell.
    ///
    /// A router that no other one answers may not know of a new version, so its own
    /// knowledge counts only if it is alone in the fleet.
    pub fn verdict(&self, now_ms: u64) -> Option<OriginVerdict> {
        if let Some(origin) = &self.found {
            return Some(OriginVerdict::Found(origin.clone(), OriginSource::Asked));
        }
        let elapsed_ms = now_ms.saturating_sub(self.asked_ms);
        let mut candidates = self.candidates.iter();
        let only = candidates.next().filter(|_| candidates.next().is_none());
        let only = only.filter(|_| self.is_confirmed || self.asked == 0);
        // Routers that have just died do not answer, so most answers are enough for a
        // version of which nobody knows another one.
        let has_most_answers = self.awaited.len() * 2 < self.asked;
        let is_settled = match only {
            Some(_) => has_most_answers || elapsed_ms >= ASK_AGAIN_MS,
            None => elapsed_ms >= ANSWER_TIMEOUT_MS,
        };
        if !is_settled && !self.awaited.is_empty() {
            return None;
        }
        Some(match only {
            Some(origin) => OriginVerdict::Found(origin.clone(), OriginSource::OnlyCandidate),
            None => OriginVerdict::Unknown,
        })
    }
}
