//! Answers that the router makes itself.

use http::{HeaderName, HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use serde_json::{Value, json};
use span_http::{Body, json_response};
use span_types::{OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, RequestId};

use crate::control::Rejection;

const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// A request that did not complete.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub(crate) struct Failure {
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// Whether it ran.
    pub outcome: Outcome,
    /// Name of the error for programs.
    pub kind: &'static str,
    /// Text for people.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}

impl Failure {
    /// A request with this outcome.
    pub fn new(
        outcome: Outcome,
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let retry_after_ms = DEFAULT_RETRY_AFTER_MS;
        Self { status, outcome, kind, message: message.into(), retry_after_ms }
    }

    /// The request certainly did not run.
    pub fn not_run(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self::new(Outcome::NotRun, status, kind, message)
    }

    /// Sets when to come back.
    pub fn retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms, ..self }
    }

    /// The error as callers see it.
    pub fn json(&self, id: &RequestId) -> Value {
        json!({
            "error": {
                "type": self.kind,
                "code": self.kind,
                "message": self.message,
                "request_id": id.to_string(),
                "outcome": self.outcome,
            }
        })
    }
}

impl From<Rejection> for Failure {
    fn from(rejection: Rejection) -> Self {
        let (status, kind, retry_after_ms) = match rejection {
            Rejection::NoUpstream => {
                (StatusCode::SERVICE_UNAVAILABLE, "no_upstream", DEFAULT_RETRY_AFTER_MS)
            }
            Rejection::QueueFull { retry_after_ms } => {
                (StatusCode::TOO_MANY_REQUESTS, "queue_full", retry_after_ms)
            }
            Rejection::DeadlinePassed { retry_after_ms } => {
                (StatusCode::SERVICE_UNAVAILABLE, "deadline_passed", retry_after_ms)
            }
            Rejection::ShuttingDown => {
                (StatusCode::SERVICE_UNAVAILABLE, "shutting_down", DEFAULT_RETRY_AFTER_MS)
            }
        };
        Self::not_run(status, kind, rejection.to_string()).retry_after_ms(retry_after_ms)
    }
}

/// Adds the request id to an answer.
pub(super) fn stamp_id(response: &mut Response<Body>, id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
}

/// Adds request id and outcome to an answer.
pub(super) fn stamp(response: &mut Response<Body>, id: &RequestId, outcome: Outcome) {
    stamp_id(response, id);
    let outcome = HeaderValue::from_static(outcome.into());
    response.headers_mut().insert(HeaderName::from_static(OUTCOME_HEADER), outcome);
}

/// Whether the same request may succeed later; a caller that is told when to
/// come back with any other would only repeat its mistake.
fn passes_with_time(status: StatusCode) -> bool {
    let waits = [StatusCode::REQUEST_TIMEOUT, StatusCode::CONFLICT, StatusCode::TOO_MANY_REQUESTS];
    status.is_server_error() || waits.contains(&status)
}

/// The answer to a request that did not complete.
pub(super) fn failure(id: &RequestId, error: &Failure) -> Response<Body> {
    let mut response = json_response(error.status, &error.json(id));
    stamp(&mut response, id, error.outcome);
    if error.outcome == Outcome::NotRun && passes_with_time(error.status) {
        let seconds = error.retry_after_ms.div_ceil(1_000).max(1);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
