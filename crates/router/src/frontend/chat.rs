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
use span_types::{
    COST_HINT_HEADER, Outcome, PROMPT_PREFIX_HASH_HEADER, RESUME_OFFSET_HEADER, RequestId,
    ServiceName,
};

use super::{
    Failure, Frontend,
    answer::set_outcome_headers,
    attempts::send_with_retries,
    auth::Caller,
    body::{self, RequestBody},
    config_index::ConfigIndex,
    idempotency, json_answer, stream,
    upstream::UpstreamRequest,
};
use crate::control::AdmitRequest;

const ESTIMATED_BYTES_PER_TOKEN: usize = 4;
/// Header with which clients of server-sent events resume a stream.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Trace context headers of the caller that are sent to the engine.
const PROPAGATED_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
    HeaderName::from_static("baggage"),
];

/// The fields of a chat completion request that the router reads.
#[derive(Deserialize)]
struct ChatRequest<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// Runs one chat completion.
pub(super) async fn complete(
    frontend: &Arc<Frontend>,
    index: &ConfigIndex,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let (parts, body) = request.into_parts();
    reject_resumption(&parts.headers)?;
    let limits = &frontend.settings.limits;
    let idle_timeout_ms = frontend.settings.timeouts.body_ms;
    let body = body::read_to_end(&parts.headers, body, limits.body_bytes, idle_timeout_ms).await?;
    let chat: ChatRequest<'_> =
        serde_json::from_slice(&body).map_err(|error| invalid_request(&error))?;
    let (name, service) = find_service(index, &chat.model)?;
    caller.check_access(name)?;
    let prompt_cost = estimate_prompt_cost(&chat);
    let mut admit = admit_request(&caller, name, prompt_cost, &parts.headers);
    let mut run = idempotency::begin(frontend, id, &caller, service, &parts.headers).await?;
    let streamed = chat.stream;
    let upstream_request = build_upstream_request(frontend, &parts.headers, body.clone(), streamed);
    frontend.earn_retry();
    let mut last_failure: Option<Failure> = None;
    let mut retries = 0;
    loop {
        let sent = send_with_retries(frontend, &mut run, &mut admit, &upstream_request).await;
        // If the retry could not be sent, the earlier run is still the one that
        // may have taken effect, so its failure is reported.
        let (answer, attempt) = sent.map_err(|error| last_failure.take().unwrap_or(error))?;
        if streamed && answer.status().is_success() {
            let frontend = Arc::clone(frontend);
            let request = stream::StreamedRequest {
                frontend,
                run,
                admit,
                upstream_request,
                attempt,
                prompt_cost,
            };
            return Ok(stream::pass_through(request, answer));
        }
        match json_answer::pass_through(
            frontend,
            &mut run,
            &upstream_request,
            attempt,
            answer,
            prompt_cost,
        )
        .await
        {
            // The caller has received nothing of the answer, so an idempotent
            // request may run again.
            Err(failure) if run.answer_lost() && frontend.spend_retry() => {
                last_failure = Some(failure)
            }
            answer => return answer,
        }
        frontend.back_off(retries).await;
        retries += 1;
    }
}

/// Rejects a caller that asks for the rest of a stream. Routers keep no streams, so it would
/// get the start of another run.
fn reject_resumption(headers: &HeaderMap) -> Result<(), Failure> {
    let resumption_headers = [RESUME_OFFSET_HEADER, LAST_EVENT_ID_HEADER];
    let Some(name) = resumption_headers.iter().find(|name| headers.contains_key(**name)) else {
        return Ok(());
    };
    let message = format!("streams cannot be resumed; send the request without {name}");
    Err(Failure::not_run(StatusCode::BAD_REQUEST, "not_resumable", message))
}

fn invalid_request(error: &serde_json::Error) -> Failure {
    let message = format!("the body is not a chat completion request: {error}");
    Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

fn find_service<'a>(
    index: &'a ConfigIndex,
    model: &str,
) -> Result<(&'a ServiceName, &'a span_config::Service), Failure> {
    let name = index.service_for_model(model);
    let found = name.and_then(|name| index.document.services.get_key_value(name));
    found.ok_or_else(|| {
        let message = format!("no service has the model {model:?}");
        Failure::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
    })
}

/// Estimates the tokens of the prompt. The engine reports the exact number with
/// its answer.
fn estimate_prompt_cost(chat: &ChatRequest<'_>) -> u64 {
    let bytes: usize = chat.messages.iter().map(|message| message.get().len()).sum();
    (bytes / ESTIMATED_BYTES_PER_TOKEN) as u64 + 1
}

/// Makes the request for a slot from the caller's headers.
pub(super) fn admit_request(
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

fn build_upstream_request(
    frontend: &Frontend,
    caller: &HeaderMap,
    body: Bytes,
    streamed: bool,
) -> UpstreamRequest {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for name in PROPAGATED_HEADERS.iter().chain([&ACCEPT]) {
        if let Some(value) = caller.get(name) {
            headers.insert(name, value.clone());
        }
    }
    UpstreamRequest {
        method: Method::POST,
        path_and_query: "/v1/chat/completions".into(),
        headers,
        body: RequestBody::Buffered(body),
        is_engine: true,
        is_streamed: streamed,
        silence_timeout_ms: frontend.settings.timeouts.silence_ms,
        answer_timeout_ms: frontend.settings.timeouts.answer_ms,
    }
}

/// Answers `GET /v1/models` with the models that the caller may use.
pub(super) fn list_models(index: &ConfigIndex, id: &RequestId, caller: &Caller) -> Response<Body> {
    let services = index.document.services.iter();
    let allowed = services.filter(|(name, _)| caller.settings.services.contains(*name));
    let models = allowed.flat_map(|(name, service)| {
        let owner = name.clone();
        let model = move |model| {
            json!({ "id": model, "object": "model", "created": 0, "owned_by": owner.as_str() })
        };
        service.models.iter().map(model)
    });
    let list = json!({ "object": "list", "data": models.collect::<Vec<_>>() });
    let mut response = json_response(StatusCode::OK, &list);
    set_outcome_headers(&mut response, id, Outcome::Completed);
    response
}
