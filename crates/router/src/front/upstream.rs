//! One request to one upstream.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use span_http::{Body, Client, empty_body};
use span_types::{REQUEST_ID_HEADER, RESUME_OFFSET_HEADER, RequestId};
use tracing::Span;

use super::{Failure, Front, body::Source};
use crate::{
    control::{AttemptResult, Permit},
    trace::inject,
};

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// What is sent to an upstream, on every attempt.
pub(super) struct Outgoing {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Source,
    /// The upstream is an engine that resumes and cancels by request id.
    pub engine: bool,
    /// The answer comes in parts. Without it, an upstream that works and one
    /// that is silent look alike until the answer is there.
    pub streamed: bool,
    /// Time without a byte after which a connection counts as silent, in
    /// milliseconds.
    pub silence_ms: u64,
    /// Time without progress after which the upstream is given up on, in
    /// milliseconds.
    pub answer_ms: u64,
}

/// Why an upstream gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SendError {
    /// No connection was made.
    #[error("the upstream cannot be reached")]
    Refused,
    /// The connection broke.
    #[error("the connection to the upstream broke")]
    Broken,
    /// The connection went silent.
    #[error("the upstream went silent")]
    Silent,
    /// The engine no longer has the answer.
    #[error("the upstream lost the answer")]
    Gone,
}

impl SendError {
    /// The error as the control thread counts it.
    pub fn attempt_result(self) -> AttemptResult {
        match self {
            Self::Silent => AttemptResult::Silent,
            Self::Refused | Self::Broken | Self::Gone => AttemptResult::Failed,
        }
    }
}

/// A request at an upstream. Dropping it before its end abandons it: an engine
/// is told to cancel.
pub(super) struct Live {
    /// The slot in use.
    pub permit: Permit,
    /// Span of the attempt.
    pub span: Span,
    client: Client,
    id: RequestId,
    engine: bool,
    ended: bool,
}

impl Live {
    /// Marks the slot as used by a request about to be sent.
    pub fn new(front: &Arc<Front>, id: &RequestId, permit: Permit, engine: bool) -> Self {
        let span = tracing::info_span!(
            target: crate::trace::SPAN_TARGET,
            "upstream",
            otel.kind = "client",
            upstream = %permit.upstream,
        );
        let client = front.fresh.clone();
        Self { permit, span, client, id: id.clone(), engine, ended: false }
    }

    /// The upstream has nothing left to do for the request.
    pub fn end(&mut self, end: AttemptResult) {
        self.ended = true;
        self.permit.set_result(end);
    }

    /// The attempt failed and the engine may still work on it.
    pub fn fail(&mut self, error: SendError) {
        self.permit.set_result(error.attempt_result());
        if self.engine && !matches!(error, SendError::Refused | SendError::Gone) {
            self.cancel();
        }
        self.ended = true;
    }

    fn cancel(&self) {
        let uri = format!("http://{}/v1/requests/{}", self.permit.address, self.id);
        let Ok(request) = Request::delete(uri).body(empty_body()) else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move {
            // If this is lost, the engine cancels once it has had no reader
            // for a while.
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, client.request(request)).await;
        });
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.permit.set_result(AttemptResult::Abandoned);
        if self.engine {
            self.cancel();
        }
    }
}

impl Outgoing {
    /// Sends the request to the upstream of `live`.
    pub async fn send(
        &self,
        client: &Client,
        live: &Live,
        offset: Option<u64>,
    ) -> Result<Response<Incoming>, SendError> {
        let request = self.request(live, offset).map_err(|_| SendError::Refused)?;
        let limit = Duration::from_millis(self.silence_ms);
        let answer = tokio::time::timeout(limit, client.request(request)).await;
        match answer {
            Ok(Ok(answer)) if offset.is_none() => Ok(answer),
            Ok(Ok(answer)) if answer.status() == StatusCode::OK => Ok(answer),
            Ok(Ok(answer)) if answer.status() == StatusCode::GONE => Err(SendError::Gone),
            Ok(Ok(_)) => Err(SendError::Broken),
            Ok(Err(error)) if error.is_connect() => Err(SendError::Refused),
            Ok(Err(_)) => Err(SendError::Broken),
            Err(_) => Err(SendError::Silent),
        }
    }

    fn request(&self, live: &Live, offset: Option<u64>) -> Result<Request<Body>, http::Error> {
        let uri = uri(live.permit.address, &self.target);
        let mut request =
            Request::builder().method(&self.method).uri(uri).body(self.body.body())?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        if let Ok(value) = HeaderValue::from_str(&live.id.to_string()) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        if let Some(offset) = offset {
            headers.insert(RESUME_OFFSET_HEADER, HeaderValue::from(offset));
        }
        inject(&live.span, headers);
        Ok(request)
    }
}

fn uri(address: SocketAddr, target: &str) -> String {
    format!("http://{address}{target}")
}

/// The failure that a caller sees when the last attempt ended with `error`.
pub(super) fn failure(error: SendError, outcome: span_types::Outcome) -> Failure {
    let (status, kind) = match error {
        SendError::Refused => (StatusCode::SERVICE_UNAVAILABLE, "upstream_unreachable"),
        SendError::Broken | SendError::Gone => (StatusCode::BAD_GATEWAY, "upstream_failed"),
        SendError::Silent => (StatusCode::GATEWAY_TIMEOUT, "upstream_silent"),
    };
    Failure::new(outcome, status, kind, error.to_string())
}
