//! List of waiting and running requests, so that a forced shutdown can report
//! which ones it interrupts.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use span_http::Body;
use span_types::{RequestId, WorkspaceName};

use super::body::HoldingBody;

/// A request whose answer is not complete yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InFlightRequest {
    /// Id that the router gave the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Path of the request, without the query.
    pub path: String,
}

/// Requests in flight, by sequence number of their id.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    requests: Arc<Mutex<BTreeMap<u64, OpenRequest>>>,
}

#[derive(Debug)]
struct OpenRequest {
    request: InFlightRequest,
    may_have_run: bool,
}

impl InFlight {
    /// Adds a request; dropping the entry removes it.
    pub fn add(&self, request: InFlightRequest) -> InFlightEntry {
        let seq = request.id.seq;
        self.lock().insert(seq, OpenRequest { request, may_have_run: false });
        InFlightEntry { list: self.clone(), seq }
    }

    /// The requests in flight, by sequence number.
    pub fn list(&self) -> Vec<InFlightRequest> {
        self.lock().values().map(|open| open.request.clone()).collect()
    }

    /// Sets whether a byte of the request may have reached an upstream.
    pub fn set_may_have_run(&self, id: &RequestId, may_have_run: bool) {
        if let Some(open) = self.lock().get_mut(&id.seq) {
            open.may_have_run = may_have_run;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, OpenRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request in the list until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightEntry {
    list: InFlight,
    seq: u64,
}

impl InFlightEntry {
    /// Whether a byte of the request may have reached an upstream.
    pub fn may_have_run(&self) -> bool {
        self.list.lock().get(&self.seq).is_some_and(|open| open.may_have_run)
    }

    /// Keeps the request in the list until the body of its answer was sent.
    pub fn track_body(self, body: Body) -> Body {
        Body::new(HoldingBody::new(body, self))
    }
}

impl Drop for InFlightEntry {
    fn drop(&mut self) {
        self.list.lock().remove(&self.seq);
    }
}
