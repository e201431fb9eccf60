//! Requests that wait or run, so that a forced end can list them.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use span_http::{Body, BodyError};
use span_types::{RequestId, WorkspaceName};

/// A request that was ended before its answer was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace it belongs to.
    pub workspace: WorkspaceName,
    /// Path that was called.
    pub path: String,
}

/// Requests by sequence number.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    requests: Arc<Mutex<BTreeMap<u64, InFlightRequest>>>,
}

impl InFlight {
    /// Adds a request until the entry is dropped.
    pub fn enter(&self, request: InFlightRequest) -> Entry {
        let seq = request.id.seq;
        self.lock().insert(seq, request);
        Entry { list: self.clone(), seq }
    }

    /// The requests now in flight.
    pub fn list(&self) -> Vec<InFlightRequest> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, InFlightRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request listed.
#[derive(Debug)]
pub(crate) struct Entry {
    list: InFlight,
    seq: u64,
}

impl Entry {
    /// Keeps the request listed until its answer's body was passed on.
    pub fn hold(self, body: Body) -> Body {
        Body::new(Listed { body, _entry: self })
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.list.lock().remove(&self.seq);
    }
}

struct Listed {
    body: Body,
    _entry: Entry,
}

impl http_body::Body for Listed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
