//! Interface to the platform's store.

use std::{fmt, rc::Rc, sync::Arc};

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use span_member::Router;
use span_types::{FailureDomain, UpstreamName};

use crate::{
    config::Config,
    evacuation::EvacuationEvent,
    registry::UpstreamEntry,
    stream_records::{HistoryRecord, OriginSegment, StreamRecords},
};

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store does not have the changes since the requested position: it has
    /// dropped them, or is in another era.
    #[error("the store does not have the changes since that position")]
    HistoryDropped,
    /// The object has changed since the revision that the call named.
    #[error("the object has changed meanwhile")]
    Conflict,
    /// The store did not answer a write, which may have been executed or may still be.
    #[error("the store did not answer: {0}")]
    Unanswered(String),
    /// The store did not answer, or rejected the call.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The answer cannot be decoded.
    #[error("cannot decode the answer of the store: {0}")]
    Unreadable(String),
}

/// A point in the history of the store.
///
/// A store that was restored from a copy begins a new era, and gives revisions out
/// again that it gave out after the copy was made. So a position in a newer era is the
/// later one, whatever its revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Number of the era; 0 for a store that states none.
    pub era: u64,
    /// Revision within the era; 0 before any.
    pub revision: u64,
}

/// All objects of one kind as of one position of the store, also if they are read in several
/// calls. A watch from there misses nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// The objects.
    pub items: Vec<T>,
    /// Position of the store that they correspond to.
    pub position: Position,
}

/// The entry of an upstream, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEvent {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// The entry; `None` if it was removed or cannot be decoded.
    pub entry: Option<UpstreamEntry>,
}

/// Changes of the objects of one kind since a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// The changes, oldest first.
    pub events: Vec<T>,
    /// Position to continue the watch from.
    pub position: Position,
}

type Answer<T> = LocalBoxFuture<'static, Result<T, StoreError>>;
type Read<T> = Rc<dyn Fn() -> Answer<T>>;
type Watch<T> = Rc<dyn Fn(Position, u64) -> Answer<T>>;

/// Calls to the store. Watches take the position to start from and the longest
/// wait in milliseconds.
#[derive(Clone)]
pub struct Store {
    /// Reads the newest configuration. Without one, the listing is empty.
    pub read_config: Read<Listing<Config>>,
    /// Waits for a newer configuration.
    pub watch_config: Watch<Changes<Config>>,
    /// Reads all upstream entries.
    pub read_upstreams: Read<Listing<UpstreamEvent>>,
    /// Waits for changes of upstream entries.
    pub watch_upstreams: Watch<Changes<UpstreamEvent>>,
    /// Reads the failure domains that the operator has evacuated.
    pub read_evacuations: Read<Listing<FailureDomain>>,
    /// Waits for changes of the evacuations.
    pub watch_evacuations: Watch<Changes<EvacuationEvent>>,
    /// Reads the registered routers. The answer may be out of date.
    pub read_routers: Read<Vec<Router>>,
    /// Registers this router.
    pub register: Rc<dyn Fn(Router) -> Answer<()>>,
    /// Reads what routers recorded about streams, as of one position.
    pub read_stream_records: Read<StreamRecords>,
    /// Creates a segment, or replaces it. The flag says whether it was written before.
    pub write_segment: Rc<dyn Fn(OriginSegment, bool) -> Answer<()>>,
    /// Removes the segment of that name, if it exists.
    pub remove_segment: Rc<dyn Fn(Arc<str>) -> Answer<()>>,
    /// Writes the record if the one in the store still has its revision, or creates it.
    /// Returns the new revision.
    pub write_history: Rc<dyn Fn(HistoryRecord) -> Answer<u64>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
