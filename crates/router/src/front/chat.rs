//! Chat completions and the list of models.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
    header::{ACCEPT, CONTENT_TYPE},
};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{json, value::RawValue};
use span_http::{Body, json_response};
use span_types::{COST_HINT_HEADER, Outcome, PROMPT_PREFIX_HASH_HEADER, RequestId, ServiceName};

use super::{
    Failure, Front,
    answer::stamp,
    auth::Caller,
    body::{self, Source},
    dispatch::dispatch,
    index::Index,
    once, stream,
    upstream::Outgoing,
    whole,
};
use crate::control::AdmitRequest;

const BYTES_PER_TOKEN: usize = 4;
/// Headers of the caller that an engine receives.
const PASSED_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
    HeaderName::from_static("baggage"),
];

#[derive(Deserialize)]
struct Head<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// Runs one chat completion.
pub(super) async fn complete(
    front: &Arc<Front>,
    index: &Index,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = request.into_parts();
    let limits = &front.settings.limits;
    let pace_ms = front.settings.timeouts.body_ms;
    let body = body::read(&parts.headers, body, limits.body_bytes, pace_ms).await?;
    let head: Head<'_> = serde_json::from_slice(&body).map_err(|error| invalid(&error))?;
    let (name, service) = service(index, &head.model)?;
    caller.may_reach(name)?;
    let prompt_cost = prompt_cost(&head);
    let mut admit = admit(&caller, name, prompt_cost, &parts.headers);
    let mut run = once::begin(front, id, &caller, service, &parts.headers).await?;
    let streamed = head.stream;
    let outgoing = outgoing(front, &parts.headers, body.clone(), streamed);
    front.earn_retry();
    let mut lost: Option<Failure> = None;
    let mut retries = 0;
    loop {
        let sent = dispatch(front, &mut run, &mut admit, &outgoing).await;
        // A retry that was not sent does not undo the run that was lost.
        let (answer, live) = sent.map_err(|error| lost.take().unwrap_or(error))?;
        if streamed && answer.status().is_success() {
            let front = Arc::clone(front);
            let request = stream::Streamed { front, run, admit, outgoing, live, prompt_cost };
            return Ok(stream::answer(request, answer));
        }
        match whole::answer(front, &mut run, &outgoing, live, answer, prompt_cost).await {
            // The engine lost the answer, and the caller has nothing of it.
            Err(failure) if run.idempotent && front.spend_retry() => lost = Some(failure),
            answer => return answer,
        }
        front.back_off(retries).await;
        retries += 1;
    }
}

fn invalid(error: &serde_json::Error) -> Failure {
    let message = format!("the body is not a chat completion request: {error}");
    Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

fn service<'a>(
    index: &'a Index,
    model: &str,
) -> Result<(&'a ServiceName, &'a span_config::Service), Failure> {
    let name = index.service_of(model);
    let found = name.and_then(|name| index.document.services.get_key_value(name));
    found.ok_or_else(|| {
        let message = format!("no service has the model {model:?}");
        Failure::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
    })
}

/// An estimate of the prompt's tokens; the engine tells the number at the end.
fn prompt_cost(head: &Head<'_>) -> u64 {
    let bytes: usize = head.messages.iter().map(|message| message.get().len()).sum();
    (bytes / BYTES_PER_TOKEN) as u64 + 1
}

pub(super) fn admit(
    caller: &Caller,
    service: &ServiceName,
    prompt_cost: u64,
    headers: &HeaderMap,
) -> AdmitRequest {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    AdmitRequest {
        workspace: caller.workspace.clone(),
        service: service.clone(),
        prompt_cost,
        cost_hint: text(COST_HINT_HEADER).and_then(|text| text.parse().ok()),
        prefix: text(PROMPT_PREFIX_HASH_HEADER).and_then(|text| u64::from_str_radix(text, 16).ok()),
        avoid: Vec::new(),
    }
}

fn outgoing(front: &Front, caller: &HeaderMap, body: Bytes, streamed: bool) -> Outgoing {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for name in PASSED_HEADERS.iter().chain([&ACCEPT]) {
        if let Some(value) = caller.get(name) {
            headers.insert(name, value.clone());
        }
    }
    Outgoing {
        method: Method::POST,
        target: "/v1/chat/completions".into(),
        headers,
        body: Source::Whole(body),
        engine: true,
        streamed,
        silence_ms: front.settings.timeouts.silence_ms,
        answer_ms: front.settings.timeouts.answer_ms,
    }
}

/// Lists the models that the caller may use: `GET /v1/models`.
pub(super) fn models(index: &Index, id: &RequestId, caller: &Caller) -> Response<Body> {
    let services = index.document.services.iter();
    let reached = services.filter(|(name, _)| caller.settings.services.contains(*name));
    let models = reached.flat_map(|(name, service)| {
        let owner = name.clone();
        let model = move |model| {
            json!({ "id": model, "object": "model", "created": 0, "owned_by": owner.as_str() })
        };
        service.models.iter().map(model)
    });
    let list = json!({ "object": "list", "data": models.collect::<Vec<_>>() });
    let mut response = json_response(StatusCode::OK, &list);
    stamp(&mut response, id, Outcome::Completed);
    response
}
