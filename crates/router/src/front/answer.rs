//! Answers that the router makes itself.

use http::{HeaderName, HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use serde_json::json;
use span_http::{Body, json as json_response};
use span_types::{OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, RequestId};

const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// A request that did not complete.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{message}")]
pub(super) struct Failure {
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// Whether it ran.
    pub outcome: Outcome,
    /// Name of the error for programs.
    pub kind: &'static str,
    /// Text for people.
    pub message: String,
    /// When to come back, in seconds.
    pub retry_after_s: u64,
}

impl Failure {
    /// The request certainly did not run.
    pub fn not_run(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        let outcome = Outcome::NotRun;
        let retry_after_s = DEFAULT_RETRY_AFTER_S;
        Self { status, outcome, kind, message: message.into(), retry_after_s }
    }

    /// The request may have run.
    pub fn unknown(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(status, kind, message) }
    }
}

/// Adds request id and outcome to an answer.
pub(super) fn stamp(response: &mut Response<Body>, id: &RequestId, outcome: Outcome) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    let outcome = HeaderValue::from_static(outcome.into());
    headers.insert(HeaderName::from_static(OUTCOME_HEADER), outcome);
}

/// The answer to a request that did not complete.
pub(super) fn failure(id: &RequestId, error: &Failure) -> Response<Body> {
    let body = json!({
        "error": {
            "type": error.kind,
            "message": error.message,
            "request_id": id.to_string(),
            "outcome": error.outcome,
        }
    });
    let mut response = json_response(error.status, &body);
    stamp(&mut response, id, error.outcome);
    if error.outcome == Outcome::NotRun {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(error.retry_after_s));
    }
    response
}
