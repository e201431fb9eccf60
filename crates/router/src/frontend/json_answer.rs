//! Chat completions that are answered with one JSON document.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, header::CONTENT_LENGTH};
use hyper::body::Incoming;
use serde::Deserialize;
use span_http::{Body, collect_body, full_body};
use span_types::Outcome;

use super::{
    Failure, Frontend,
    answer::set_outcome_headers,
    attempts::resume,
    headers::clean_answer_headers,
    idempotency::Run,
    sse::{Usage, contains_request_id},
    upstream::{SendError, UpstreamAttempt, UpstreamRequest, attempt_failure},
};
use crate::control::AttemptResult;

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Maximum of attempts to read an answer that is interrupted or belongs to
/// another request.
const MAX_READ_ATTEMPTS: u32 = 4;

#[derive(Deserialize)]
struct Completion {
    id: String,
    #[serde(default)]
    usage: Option<Usage>,
}

/// Reads the complete answer of an engine and passes it to the caller.
pub(super) async fn pass_through(
    frontend: &Arc<Frontend>,
    run: &mut Run,
    upstream_request: &UpstreamRequest,
    mut attempt: UpstreamAttempt,
    mut answer: Response<Incoming>,
    prompt_cost: u64,
) -> Result<Response<Body>, Failure> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let status = answer.status();
        let (head, body) = answer.into_parts();
        let error = match read(body, upstream_request.silence_timeout_ms).await {
            // A status other than success carries an error of the engine.
            Ok(body) if !status.is_success() => {
                return Ok(finish(run, attempt, head, body, 0));
            }
            Ok(body) => match read_usage(&run.id.to_string(), &body) {
                Some(usage) => {
                    let cost = usage.map_or(prompt_cost, |usage| usage.total_tokens);
                    return Ok(finish(run, attempt, head, body, cost));
                }
                None => SendError::Interrupted,
            },
            Err(error) => error,
        };
        answer = match resume(frontend, upstream_request, &attempt, 0, error).await {
            Ok(answer) => answer,
            Err(error) => {
                attempt.fail(error);
                return Err(attempt_failure(error, Outcome::Unknown));
            }
        };
    }
    attempt.fail(SendError::Interrupted);
    Err(attempt_failure(SendError::Interrupted, Outcome::Unknown))
}

async fn read(body: Incoming, silence_timeout_ms: u64) -> Result<Bytes, SendError> {
    let limit = Duration::from_millis(silence_timeout_ms);
    match tokio::time::timeout(limit, collect_body(body, MAX_ANSWER_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err(SendError::Interrupted),
        Err(_) => Err(SendError::Silent),
    }
}

/// The usage in the completion, if any; the outer option is `None` if the body is
/// not the completion of this request.
fn read_usage(id: &str, body: &Bytes) -> Option<Option<Usage>> {
    let completion: Completion = serde_json::from_slice(body).ok()?;
    contains_request_id(&completion.id, id).then_some(completion.usage)
}

fn finish(
    run: &mut Run,
    mut attempt: UpstreamAttempt,
    mut head: http::response::Parts,
    body: Bytes,
    cost: u64,
) -> Response<Body> {
    attempt.permit.add_cost(cost);
    attempt.end(AttemptResult::Answered);
    run.end(Outcome::Completed);
    clean_answer_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut response = Response::from_parts(head, full_body(body));
    set_outcome_headers(&mut response, &run.id, Outcome::Completed);
    response
}
