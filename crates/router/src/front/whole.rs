//! Chat completions answered as one JSON document.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, header::CONTENT_LENGTH};
use hyper::body::Incoming;
use serde::Deserialize;
use span_http::{Body, collect_body, full_body};
use span_types::Outcome;

use super::{
    Failure, Front,
    answer::stamp,
    dispatch::resume,
    headers::remove_hop_by_hop,
    once::Run,
    sse::Usage,
    upstream::{Live, Outgoing, SendError, failure},
};
use crate::control::AttemptResult;

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Times that an answer is read again after it broke off or was another's.
const MAX_READS: u32 = 4;

#[derive(Deserialize)]
struct Completion {
    id: String,
    #[serde(default)]
    usage: Option<Usage>,
}

/// Passes a whole answer on.
pub(super) async fn answer(
    front: &Arc<Front>,
    run: &mut Run,
    outgoing: &Outgoing,
    mut live: Live,
    mut answer: Response<Incoming>,
    prompt_cost: u64,
) -> Result<Response<Body>, Failure> {
    for _ in 0..MAX_READS {
        let status = answer.status();
        let (head, body) = answer.into_parts();
        let error = match read(body, outgoing.silence_ms).await {
            // What is not a completion is an error that the engine states.
            Ok(body) if !status.is_success() => {
                return Ok(finish(run, live, head, body, 0));
            }
            Ok(body) => match completion(&run.id.to_string(), &body) {
                Some(usage) => {
                    let cost = usage.map_or(prompt_cost, |usage| usage.total_tokens);
                    return Ok(finish(run, live, head, body, cost));
                }
                None => SendError::Broken,
            },
            Err(error) => error,
        };
        answer = match resume(front, outgoing, &live, 0, error).await {
            Ok(answer) => answer,
            Err(error) => {
                live.fail(error);
                return Err(failure(error, Outcome::Unknown));
            }
        };
    }
    live.fail(SendError::Broken);
    Err(failure(SendError::Broken, Outcome::Unknown))
}

async fn read(body: Incoming, silence_ms: u64) -> Result<Bytes, SendError> {
    let limit = Duration::from_millis(silence_ms);
    match tokio::time::timeout(limit, collect_body(body, MAX_ANSWER_BYTES)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err(SendError::Broken),
        Err(_) => Err(SendError::Silent),
    }
}

/// The usage, if the body is the completion of this request.
fn completion(id: &str, body: &Bytes) -> Option<Option<Usage>> {
    let completion: Completion = serde_json::from_slice(body).ok()?;
    completion.id.contains(id).then_some(completion.usage)
}

fn finish(
    run: &mut Run,
    mut live: Live,
    mut head: http::response::Parts,
    body: Bytes,
    cost: u64,
) -> Response<Body> {
    live.permit.add_cost(cost);
    live.end(AttemptResult::Answered);
    run.end(Outcome::Completed);
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let mut response = Response::from_parts(head, full_body(body));
    stamp(&mut response, &run.id, Outcome::Completed);
    response
}
