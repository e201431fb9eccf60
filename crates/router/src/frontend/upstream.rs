//! One attempt of a request at one upstream.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use span_http::{Body, Client, ResponseBody, empty_body, requested_pause_ms, states_event_stream};
use span_types::{REQUEST_ID_HEADER, RESUME_OFFSET_HEADER, RequestId};
use tracing::Span;

use super::{Failure, Frontend, body::RequestBody};
use crate::{
    control::{AttemptResult, Permit},
    trace::inject_span_context,
};

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The request that is sent to an upstream on each attempt.
pub(super) struct UpstreamRequest {
    /// HTTP method, the same as the caller's.
    pub method: Method,
    /// Path and query at the upstream.
    pub path_and_query: String,
    /// Headers, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body, which can be sent again as long as none of it was consumed.
    pub body: RequestBody,
    /// Whether the upstream is an engine, which can resume and cancel by request
    /// id.
    pub is_engine: bool,
    /// Whether the answer is streamed. If it is not, an upstream that is working
    /// cannot be distinguished from a silent one until its answer arrives.
    pub is_streamed: bool,
    /// Time without a byte after which a connection counts as silent.
    pub silence_timeout_ms: u64,
    /// Time without progress after which the attempt fails.
    pub answer_timeout_ms: u64,
}

/// An upstream did not answer completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SendError {
    /// The connection could not be opened or the request not be built, so nothing
    /// was sent.
    #[error("the upstream cannot be reached")]
    NotConnected,
    /// The connection ended early, or its data was not of this answer.
    #[error("the connection to the upstream broke")]
    Interrupted,
    /// No byte arrived within the silence limit.
    #[error("the upstream went silent")]
    Silent,
    /// The engine no longer has the answer, so it cannot be resumed.
    #[error("the upstream lost the answer")]
    AnswerLost,
    /// The answer is larger than allowed.
    #[error("the answer of the upstream is too large")]
    TooLarge,
    /// The router has no memory for the answer.
    #[error("the router has no memory for the answer")]
    NoMemory,
    /// The engine did not confirm that its answer begins at the requested chunk.
    #[error("the upstream did not resume the answer")]
    NotResumed,
}

impl SendError {
    /// The result to report to the control thread.
    pub fn attempt_result(self) -> AttemptResult {
        match self {
            Self::Silent => AttemptResult::Silent,
            // No fault of the upstream.
            Self::NoMemory => AttemptResult::Abandoned,
            Self::NotConnected
            | Self::Interrupted
            | Self::AnswerLost
            | Self::TooLarge
            | Self::NotResumed => AttemptResult::Failed,
        }
    }
}

/// An attempt at an upstream. Dropping it before its end abandons the attempt; an
/// engine then receives a cancellation.
pub(super) struct UpstreamAttempt {
    /// Slot that the attempt uses.
    pub permit: Permit,
    /// Trace span of the attempt.
    pub span: Span,
    client: Client,
    id: RequestId,
    is_engine: bool,
    /// Time for which the upstream's answer asks for no requests, in milliseconds.
    requested_pause_ms: Option<u64>,
    ended: bool,
}

impl UpstreamAttempt {
    /// Starts an attempt with a slot, before the request is sent.
    pub fn new(frontend: &Arc<Frontend>, id: &RequestId, permit: Permit, is_engine: bool) -> Self {
        let span = tracing::info_span!(
            target: crate::trace::REQUEST_SPAN_TARGET,
            "upstream",
            otel.kind = "client",
            upstream = %permit.upstream,
        );
        let client = frontend.unpooled_client.clone();
        Self {
            permit,
            span,
            client,
            id: id.clone(),
            is_engine,
            requested_pause_ms: None,
            ended: false,
        }
    }

    /// Records what the head of the answer says of the upstream.
    pub fn answer_begins(&mut self, answer: &Response<ResponseBody>) {
        self.requested_pause_ms = requested_pause_ms(answer.status(), answer.headers());
    }

    /// Whether the head of an answer names the request of this attempt.
    pub fn is_named_by(&self, answer: &Response<ResponseBody>) -> bool {
        let name = answer.headers().get(REQUEST_ID_HEADER);
        name.is_some_and(|name| name.as_bytes() == self.id.to_string().as_bytes())
    }

    /// Ends the attempt; the upstream no longer works on the request.
    pub fn end(&mut self, result: AttemptResult) {
        self.ended = true;
        self.permit.set_result(match (result, self.requested_pause_ms) {
            (AttemptResult::Answered, Some(pause_ms)) => AttemptResult::Paused { pause_ms },
            (result, _) => result,
        });
    }

    /// Ends the attempt as failed, and cancels the request at an engine that may
    /// still work on it.
    pub fn fail(&mut self, error: SendError) {
        self.permit.set_result(error.attempt_result());
        if self.is_engine && !matches!(error, SendError::NotConnected | SendError::AnswerLost) {
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
            // If the cancellation is lost, the engine cancels the request once
            // it has had no reader for some time.
            let _ = tokio::time::timeout(CANCEL_TIMEOUT, client.request(request)).await;
        });
    }
}

impl Drop for UpstreamAttempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.permit.set_result(AttemptResult::Abandoned);
        if self.is_engine {
            self.cancel();
        }
    }
}

impl UpstreamRequest {
    /// Sends the request to the upstream of `attempt`. With an offset, it asks
    /// the engine to resume its answer from that chunk.
    pub async fn send(
        &self,
        client: &Client,
        attempt: &UpstreamAttempt,
        offset: Option<u64>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request =
            self.build_request(attempt, offset).map_err(|_| SendError::NotConnected)?;
        let connection = capture_connection(&mut request);
        let limit = Duration::from_millis(self.silence_timeout_ms);
        let mut answer = tokio::time::timeout(limit, client.request(request)).await;
        if let Ok(Ok(answer)) = &mut answer {
            answer.extensions_mut().insert(connection);
        }
        match answer {
            Ok(Ok(answer)) => self.check_head(answer, offset),
            Ok(Err(error)) if error.is_connect() => Err(SendError::NotConnected),
            Ok(Err(_)) => Err(SendError::Interrupted),
            Err(_) => Err(SendError::Silent),
        }
    }

    /// Checks the head of an answer to a request that asks to resume from `offset`.
    fn check_head(
        &self,
        answer: Response<ResponseBody>,
        offset: Option<u64>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let status = answer.status();
        let expects_events = self.is_engine && self.is_streamed && status.is_success();
        if expects_events && !states_event_stream(answer.headers()) {
            return Err(SendError::Interrupted);
        }
        let Some(offset) = offset else {
            return Ok(answer);
        };
        match status {
            // A stream from the first chunk on is complete in any case.
            StatusCode::OK if expects_events && offset > 0 && !confirms(&answer, offset) => {
                Err(SendError::NotResumed)
            }
            StatusCode::OK => Ok(answer),
            StatusCode::GONE => Err(SendError::AnswerLost),
            _ => Err(SendError::Interrupted),
        }
    }

    fn build_request(
        &self,
        attempt: &UpstreamAttempt,
        offset: Option<u64>,
    ) -> Result<Request<Body>, http::Error> {
        let uri = uri(attempt.permit.address, &self.path_and_query);
        let mut request =
            Request::builder().method(&self.method).uri(uri).body(self.body.attempt_body())?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        if let Ok(value) = HeaderValue::from_str(&attempt.id.to_string()) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        if let Some(offset) = offset {
            headers.insert(RESUME_OFFSET_HEADER, HeaderValue::from(offset));
        }
        inject_span_context(&attempt.span, headers);
        Ok(request)
    }
}

/// Whether a resumed answer states that it begins at chunk `offset`.
fn confirms(answer: &Response<ResponseBody>, offset: u64) -> bool {
    let stated = answer.headers().get(RESUME_OFFSET_HEADER);
    stated.is_some_and(|stated| stated.as_bytes() == offset.to_string().as_bytes())
}

/// Drops an answer that may belong to another request, and its connection, on which the
/// answer to this request may still arrive.
pub(super) fn discard_answer(answer: Response<ResponseBody>) {
    if let Some(connection) = answer.extensions().get::<CaptureConnection>()
        && let Some(connected) = &*connection.connection_metadata()
    {
        connected.poison();
    }
}

fn uri(address: SocketAddr, target: &str) -> String {
    format!("http://{address}{target}")
}

/// The failure for the caller if the last attempt ended with `error`.
pub(super) fn attempt_failure(error: SendError, outcome: span_types::Outcome) -> Failure {
    let (status, kind) = match error {
        SendError::NotConnected => (StatusCode::SERVICE_UNAVAILABLE, "upstream_unreachable"),
        SendError::Interrupted
        | SendError::AnswerLost
        | SendError::TooLarge
        | SendError::NotResumed => (StatusCode::BAD_GATEWAY, "upstream_failed"),
        SendError::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no_answer_memory"),
        SendError::Silent => (StatusCode::GATEWAY_TIMEOUT, "upstream_silent"),
    };
    Failure::new(outcome, status, kind, error.to_string())
}
