//! Chat completions that are answered with one JSON document.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, header::CONTENT_LENGTH};
use http_body_util::BodyExt;
use serde::Deserialize;
use span_http::{Body, ReadError, ResponseBody, collect_body_if, full_body};
use span_types::Outcome;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

use super::{
    Failure, Frontend,
    answer::set_outcome_headers,
    attempts::resume,
    body::{HoldingBody, IdleTimeout, IdleTimeoutBody},
    headers::clean_answer_headers,
    idempotency::Run,
    sse::{Usage, contains_request_id},
    upstream::{SendError, UpstreamAttempt, UpstreamRequest, attempt_failure},
};
use crate::control::AttemptResult;

/// Largest answer that is accepted.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Maximum of attempts to read an answer that is interrupted or belongs to
/// another request.
const MAX_READ_ATTEMPTS: u32 = 4;

/// A complete answer, and its charge of the memory for answers.
struct BufferedAnswer {
    bytes: Bytes,
    charge: Option<OwnedSemaphorePermit>,
}

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
    mut answer: Response<ResponseBody>,
    prompt_cost: u64,
) -> Result<Response<Body>, Failure> {
    let deadline = Instant::now() + Duration::from_millis(upstream_request.answer_timeout_ms);
    let mut last_error = SendError::Interrupted;
    for _ in 0..MAX_READ_ATTEMPTS {
        let status = answer.status();
        let (head, body) = answer.into_parts();
        let silence_timeout_ms = upstream_request.silence_timeout_ms;
        let error = match read(frontend, body, silence_timeout_ms, deadline).await {
            // A status other than success carries an error of the engine.
            Ok(body) if !status.is_success() => {
                return Ok(finish(run, attempt, head, body, 0));
            }
            Ok(body) => match read_usage(&run.id.to_string(), &body.bytes) {
                Some(usage) => {
                    let cost = usage.map_or(prompt_cost, |usage| usage.total_tokens);
                    return Ok(finish(run, attempt, head, body, cost));
                }
                None => SendError::Interrupted,
            },
            Err(error @ (SendError::TooLarge | SendError::NoMemory)) => {
                attempt.fail(error);
                return Err(attempt_failure(error, Outcome::Unknown));
            }
            Err(error) => error,
        };
        last_error = error;
        if Instant::now() >= deadline {
            break;
        }
        answer = match resume(frontend, upstream_request, &attempt, 0, error).await {
            Ok(answer) => answer,
            Err(error) => {
                attempt.fail(error);
                return Err(attempt_failure(error, Outcome::Unknown));
            }
        };
    }
    attempt.fail(last_error);
    Err(attempt_failure(last_error, Outcome::Unknown))
}

/// Reads an answer that may take until `deadline`, but must not be silent for longer than
/// the silence timeout.
async fn read(
    frontend: &Frontend,
    body: ResponseBody,
    silence_timeout_ms: u64,
    deadline: Instant,
) -> Result<BufferedAnswer, SendError> {
    let limit_bytes = MAX_ANSWER_BYTES.min(frontend.settings.limits.buffered_answer_bytes);
    let mut charge = None;
    let reserve = |bytes| try_charge(&frontend.answer_memory, &mut charge, bytes);
    let body = IdleTimeoutBody::new(body.map_err(Into::into).boxed(), silence_timeout_ms);
    match timeout_at(deadline, collect_body_if(body, limit_bytes, reserve)).await {
        Ok(Ok(bytes)) => Ok(BufferedAnswer { bytes, charge }),
        Ok(Err(ReadError::TooLarge { .. })) => Err(SendError::TooLarge),
        Ok(Err(ReadError::NoMemory)) => Err(SendError::NoMemory),
        Ok(Err(ReadError::Incomplete(error))) if error.is::<IdleTimeout>() => {
            Err(SendError::Silent)
        }
        Ok(Err(_)) => Err(SendError::Interrupted),
        Err(_) => Err(SendError::Silent),
    }
}

/// Adds `bytes` to a charge of the memory; false if there are not so many.
fn try_charge(
    memory: &Arc<Semaphore>,
    charge: &mut Option<OwnedSemaphorePermit>,
    bytes: usize,
) -> bool {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    let Ok(more) = Arc::clone(memory).try_acquire_many_owned(bytes) else {
        return false;
    };
    match charge {
        Some(charge) => charge.merge(more),
        None => *charge = Some(more),
    }
    true
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
    body: BufferedAnswer,
    cost: u64,
) -> Response<Body> {
    attempt.permit.add_cost(cost);
    attempt.end(AttemptResult::Answered);
    run.end(Outcome::Completed);
    clean_answer_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let body = Body::new(HoldingBody::new(full_body(body.bytes), body.charge));
    let mut response = Response::from_parts(head, body);
    set_outcome_headers(&mut response, &run.id, Outcome::Completed);
    response
}
