//! What routers keep in the platform's store about streams, for when the memory of all
//! routers is lost at once.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use span_types::{ServiceName, SoftwareVersion};

use crate::{
    stream_origin::{AttemptOrigin, RequestKey},
    version_shares::VersionShares,
};

/// Origins of streams that began within a few seconds, as one object of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginSegment {
    /// Name of the object, which no other router uses.
    pub name: Arc<str>,
    /// The requests for streams by where they were sent, at which attempt.
    pub streams: BTreeMap<AttemptOrigin, Vec<RequestKey>>,
}

/// A route in records: its host and path prefix.
pub type RouteId = Arc<str>;

/// Where streams that are open may have begun.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryRecord {
    /// Software versions of each service's upstreams, and of those that left within the
    /// lifetime of streams.
    pub versions: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    /// Services that each route whose streams may be taken up leads to, or led to within the
    /// lifetime of streams.
    pub routes: BTreeMap<RouteId, BTreeSet<ServiceName>>,
    /// Times within which streams may be taken up, in milliseconds; those of now, and those
    /// that have changed within these times.
    pub lifetimes_ms: BTreeSet<u64>,
    /// Shares of the versions of services that have several: those in force last, after earlier
    /// ones that routers may still use.
    pub shares: BTreeMap<ServiceName, Vec<VersionShares>>,
    /// Era of the store in which the record was complete; none if it never was.
    pub complete_era: Option<u64>,
    /// Revision of the object that holds the record; none if there is no object yet.
    pub revision: Option<u64>,
}

/// All that the store holds about streams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamRecords {
    /// Origins of single streams.
    pub segments: Vec<OriginSegment>,
    /// Where they may have begun; none if no router has recorded it.
    pub history: Option<HistoryRecord>,
    /// Era of the store that the records were read from.
    pub era: u64,
}

/// What the store holds about one stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordedOrigin {
    /// Nothing.
    None,
    /// The stream began there.
    At(AttemptOrigin),
    /// Records contradict each other.
    Several,
}

/// Index of the origins that the store held when it was last read.
#[derive(Debug, Default)]
pub struct RecordedOrigins {
    starts: Vec<AttemptOrigin>,
    /// Position of each stream's last attempt in `starts`, and whether there is another record
    /// of the same attempt.
    streams: HashMap<RequestKey, (usize, bool)>,
}

impl RecordedOrigins {
    /// Indexes `segments` instead of those before.
    pub fn replace(&mut self, segments: &[OriginSegment]) {
        self.starts.clear();
        self.streams.clear();
        for (start, requests) in segments.iter().flat_map(|segment| &segment.streams) {
            let known = self.starts.iter().position(|known| known == start);
            let index = known.unwrap_or_else(|| {
                self.starts.push(start.clone());
                self.starts.len() - 1
            });
            for request in requests {
                let entry = self.streams.entry(*request).or_insert((index, false));
                let known_attempt = self.starts[entry.0].attempt;
                if start.attempt > known_attempt {
                    *entry = (index, false);
                } else if start.attempt == known_attempt && entry.0 != index {
                    entry.1 = true;
                }
            }
        }
    }

    /// Where a stream began.
    pub fn get(&self, request: RequestKey) -> RecordedOrigin {
        match self.streams.get(&request) {
            None => RecordedOrigin::None,
            Some((_, true)) => RecordedOrigin::Several,
            Some((index, false)) => RecordedOrigin::At(self.starts[*index].clone()),
        }
    }

    /// Number of streams in the index.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether the index has no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
