//! HTTP interface of the engine.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, stream};
use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::StreamBody;
use hyper::body::Incoming;
use serde_json::json;
use span_http::{Body, json_response, read_json_body};
use span_types::{REQUEST_ID_HEADER, RESUME_OFFSET_HEADER};
use tokio::time::Instant;

use super::{
    ChatRequest, Faults, Order, State, faults,
    generation::{self, Reader},
};
use crate::signature::{answer_text, chunk_text};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Answers one request to the engine.
pub(super) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => complete_chat(state, request).await,
        (&Method::GET, "/load") => load_report(&state),
        (&Method::GET, "/ledger") => json_response(StatusCode::OK, &state.ledger.executions()),
        (&Method::POST, "/orders") => execute_order(&state, request).await,
        (&Method::GET, "/orders") => json_response(StatusCode::OK, &state.orders.executed()),
        (&Method::DELETE, path) if path.starts_with("/v1/requests/") => {
            cancel_request(&state, path)
        }
        _ => error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({ "error": { "message": message } }))
}

fn load_report(state: &State) -> Response<Body> {
    let lag = Duration::from_millis(state.settings.load_lag_ms);
    let report = state.load.report(Instant::now(), lag, state.settings.slots);
    json_response(StatusCode::OK, &report)
}

fn cancel_request(state: &State, path: &str) -> Response<Body> {
    let id = path.trim_start_matches("/v1/requests/");
    match state.generations.get(id) {
        Some(generation) => {
            generation.cancel();
            json_response(StatusCode::OK, &json!({ "cancelled": id }))
        }
        None => error(StatusCode::NOT_FOUND, "no such request"),
    }
}

async fn execute_order(state: &State, request: Request<Incoming>) -> Response<Body> {
    let order: Order = match read_json_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(order) => order,
        Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let id = order.id.clone();
    match state.orders.execute(order) {
        Err(err) => error(StatusCode::CONFLICT, &err.to_string()),
        Ok(()) if state.settings.lose_order_answers => {
            error(StatusCode::SERVICE_UNAVAILABLE, "the answer was lost")
        }
        Ok(()) => json_response(StatusCode::OK, &json!({ "done": id })),
    }
}

fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Runs or resumes a chat completion. Each answer names its request, errors included.
async fn complete_chat(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let Some(id) = request.headers().get(REQUEST_ID_HEADER).cloned() else {
        return error(StatusCode::BAD_REQUEST, "x-request-id is missing");
    };
    let mut response = run_chat(state, id.to_str().unwrap_or_default().to_owned(), request).await;
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    response
}

async fn run_chat(state: Arc<State>, id: String, request: Request<Incoming>) -> Response<Body> {
    let offset = header(&request, RESUME_OFFSET_HEADER).and_then(|text| text.parse::<u64>().ok());
    let chat: ChatRequest = match read_json_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(chat) => chat,
        Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let reader = match (offset, state.generations.get(&id)) {
        (Some(_), Some(generation)) => generation.add_reader(),
        (Some(_), None) => return error(StatusCode::GONE, "no such stream to resume"),
        (None, Some(_)) => return error(StatusCode::CONFLICT, "the request id was used before"),
        (None, None) => generation::start(&state, &id, &chat),
    };
    let faults = faults::take_next(&state);
    if faults.forget {
        state.generations.remove(&id);
    }
    if chat.stream {
        stream_response(reader, &chat.model, &id, offset, faults)
    } else {
        complete_response(reader, &chat.model, &id, faults).await
    }
}

async fn complete_response(
    mut reader: Reader,
    model: &str,
    id: &str,
    faults: Faults,
) -> Response<Body> {
    let ended = reader.progress.wait_for(|progress| progress.ended).await.map(|progress| *progress);
    match ended {
        Ok(progress) if !progress.cancelled => {}
        _ => return error(StatusCode::SERVICE_UNAVAILABLE, "the request was cancelled"),
    }
    let generation = &reader.generation;
    let text = answer_text(&generation.nonce, generation.output_tokens);
    let completion = json!({
        "id": id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": usage(generation.prompt_tokens, generation.output_tokens),
    });
    let events = stream::iter([Bytes::from(completion.to_string())]);
    build_response(faults, id, events, "application/json")
}

fn build_response(
    faults: Faults,
    id: &str,
    events: impl Stream<Item = Bytes> + Send + Sync + 'static,
    content_type: &'static str,
) -> Response<Body> {
    let body = Body::new(StreamBody::new(faults::apply_faults(faults, id.to_owned(), events)));
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> serde_json::Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

fn stream_response(
    reader: Reader,
    model: &str,
    id: &str,
    offset: Option<u64>,
    faults: Faults,
) -> Response<Body> {
    let events = stream_events(reader, model.to_owned(), id.to_owned(), offset.unwrap_or(0));
    let mut response = build_response(faults, id, events, "text/event-stream");
    if let Some(offset) = offset {
        response.headers_mut().insert(RESUME_OFFSET_HEADER, HeaderValue::from(offset));
    }
    response
}

struct EventCursor {
    reader: Reader,
    model: String,
    id: String,
    next_offset: u64,
    stage: StreamStage,
}

enum StreamStage {
    Tokens,
    Done,
    Closed,
}

/// Sends one event for each token, then one with the usage, then `[DONE]`. A
/// cancelled generation ends without the last two.
fn stream_events(
    reader: Reader,
    model: String,
    id: String,
    offset: u64,
) -> impl Stream<Item = Bytes> + Send + Sync {
    let cursor = EventCursor { reader, model, id, next_offset: offset, stage: StreamStage::Tokens };
    stream::unfold(cursor, |mut cursor| async move {
        match cursor.stage {
            StreamStage::Tokens => cursor.next_event().await.map(|event| (event, cursor)),
            StreamStage::Done => {
                cursor.stage = StreamStage::Closed;
                Some((Bytes::from_static(DONE), cursor))
            }
            StreamStage::Closed => None,
        }
    })
}

impl EventCursor {
    async fn next_event(&mut self) -> Option<Bytes> {
        let offset = self.next_offset;
        let progress = {
            let ready = self.reader.progress.wait_for(|p| p.tokens > offset || p.ended);
            *ready.await.ok()?
        };
        if progress.tokens > offset {
            self.next_offset += 1;
            return Some(self.token_event(offset));
        }
        if progress.cancelled {
            return None;
        }
        if offset > self.reader.generation.output_tokens {
            // The caller resumed after the event with the usage.
            self.stage = StreamStage::Closed;
            return Some(Bytes::from_static(DONE));
        }
        self.stage = StreamStage::Done;
        Some(self.usage_event())
    }

    fn token_event(&self, offset: u64) -> Bytes {
        let text = chunk_text(&self.reader.generation.nonce, offset);
        self.event(json!([{ "index": 0, "delta": { "role": "assistant", "content": text } }]), None)
    }

    fn usage_event(&self) -> Bytes {
        let generation = &self.reader.generation;
        let choices = json!([{ "index": 0, "delta": {}, "finish_reason": "stop" }]);
        self.event(choices, Some(usage(generation.prompt_tokens, generation.output_tokens)))
    }

    fn event(&self, choices: serde_json::Value, usage: Option<serde_json::Value>) -> Bytes {
        let chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": choices,
            "usage": usage,
        });
        Bytes::from(format!("data: {chunk}\n\n"))
    }
}
