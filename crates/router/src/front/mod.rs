//! Caller side: authentication, routes and pass-through.

mod answer;
mod auth;
mod chat;
mod plain;
mod upstream;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use span_config::Document;
use span_http::{Body, Client};
use span_types::{Member, RequestId};

use crate::control;
use answer::{Failure, failure};

/// What the caller side needs for each request.
pub(crate) struct Front {
    /// This router process.
    pub member: Member,
    /// Configuration in force.
    pub document: Arc<ArcSwap<Document>>,
    /// Control thread.
    pub control: control::Handle,
    /// Client towards the upstreams.
    pub client: Client,
    /// Sequence number of the last request.
    pub last_seq: AtomicU64,
}

impl Front {
    fn mint(&self) -> RequestId {
        RequestId {
            instance: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            seq: self.last_seq.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

/// Answers one request.
pub(crate) async fn handle(front: Arc<Front>, request: Request<Incoming>) -> Response<Body> {
    let id = front.mint();
    let result = route(&front, &id, request).await;
    result.unwrap_or_else(|error| failure(&id, &error))
}

async fn route(
    front: &Arc<Front>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let document = front.document.load_full();
    let caller = auth::authenticate(&document, request.headers())?;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => {
            chat::complete(front, &document, id, caller, request).await
        }
        (_, path) if path.starts_with("/svc/") => {
            plain::call(front, &document, id, caller, request).await
        }
        _ => Err(Failure::not_run(StatusCode::NOT_FOUND, "no_such_path", "no such path")),
    }
}
