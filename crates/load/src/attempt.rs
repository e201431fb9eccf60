//! Sends one attempt of a request and checks its answer.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header::AUTHORIZATION};
use http_body_util::BodyExt;
use span_http::{Body, Client, ResponseBody, full_body};
use span_standin::{
    engine::{ChatRequest, Message},
    service::NONCE_HEADER,
    unix_us,
};
use span_types::{COST_HINT_HEADER, IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, OUTCOME_HEADER};

use crate::{
    check::{self, CheckedAnswer},
    fleet::{Fleet, RouterEndpoint},
    minted_key::MintedKey,
    record::{AnswerKind, AttemptRecord},
    request_generator::{Idempotency, PlannedRequest},
    workload::WorkspaceLoad,
};

/// Time without any byte received after which a caller gives up an attempt.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const BYTES_PER_TOKEN: usize = 4;
const MS_PER_S: u64 = 1000;

/// Client, fleet and workspace of an attempt.
pub(crate) struct AttemptContext<'a> {
    pub client: &'a Client,
    pub fleet: &'a Fleet,
    pub workspace: &'a WorkspaceLoad,
    /// Idempotency key to use instead of the name of the request, if any.
    pub minted_key: Option<&'a MintedKey>,
}

/// Sends attempt number `number` of a request to `router`.
pub(crate) async fn send_attempt(
    context: &AttemptContext<'_>,
    planned: &PlannedRequest,
    router: &RouterEndpoint,
    number: u32,
) -> AttemptRecord {
    let nonce = format!("{}#{number}", planned.name);
    let service = if planned.is_plain_call {
        &context.fleet.plain_service
    } else {
        &context.fleet.model_service
    };
    let mut record = AttemptRecord {
        workspace: context.workspace.name.clone(),
        service: service.clone(),
        name: planned.name.clone(),
        nonce: nonce.clone(),
        entry: router.name.clone(),
        repeat: planned.idempotency,
        last: false,
        sent_us: unix_us(),
        first_byte_us: 0,
        ended_us: 0,
        status: 0,
        outcome: None,
        answer: AnswerKind::Missing,
        retry_after_ms: None,
    };
    if let Ok(request) = build_request(context, planned, router, &nonce) {
        send_and_check(context.client, request, planned, &mut record).await;
    }
    record.ended_us = unix_us();
    record
}

async fn send_and_check(
    client: &Client,
    request: Request<Body>,
    planned: &PlannedRequest,
    record: &mut AttemptRecord,
) {
    let response = match tokio::time::timeout(IDLE_TIMEOUT, client.request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            record.answer = AnswerKind::Refused;
            return;
        }
        _ => return,
    };
    record_head(&response, record);
    let (body, complete) = read_body(response.into_body(), record).await;
    let checked = check::check_answer(planned, record, &body, complete);
    let CheckedAnswer { answer, outcome } = checked;
    record.answer = answer;
    record.outcome = outcome.or(record.outcome);
}

fn record_head(response: &Response<ResponseBody>, record: &mut AttemptRecord) {
    let text = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    record.status = response.status().as_u16();
    record.outcome = text(OUTCOME_HEADER).and_then(|text| text.parse().ok());
    let seconds = text("retry-after").and_then(|text| text.parse::<u64>().ok());
    record.retry_after_ms = seconds.map(|seconds| seconds * MS_PER_S);
}

/// Reads a body. The flag is false if the body was interrupted or [`IDLE_TIMEOUT`]
/// passed.
async fn read_body(mut body: ResponseBody, record: &mut AttemptRecord) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    loop {
        match tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await {
            Ok(None) => return (bytes, true),
            Ok(Some(Ok(frame))) => {
                if record.first_byte_us == 0 {
                    record.first_byte_us = unix_us();
                }
                match frame.into_data() {
                    Ok(data) => bytes.extend_from_slice(&data),
                    Err(frame) => record_trailers(frame.trailers_ref(), record),
                }
            }
            Ok(Some(Err(_))) | Err(_) => return (bytes, false),
        }
    }
}

fn record_trailers(trailers: Option<&http::HeaderMap>, record: &mut AttemptRecord) {
    let outcome = trailers.and_then(|trailers| trailers.get(OUTCOME_HEADER));
    let outcome = outcome.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    record.outcome = outcome.or(record.outcome);
}

fn build_request(
    context: &AttemptContext<'_>,
    planned: &PlannedRequest,
    router: &RouterEndpoint,
    nonce: &str,
) -> Result<Request<Body>, http::Error> {
    let (path, body) = if planned.is_plain_call {
        (format!("/svc/{}/book", context.fleet.plain_service), check::plain_call_body(nonce).into())
    } else {
        ("/v1/chat/completions".to_owned(), chat_body(context.fleet, planned, nonce))
    };
    let mut request = Request::post(format!("http://{}{path}", router.address))
        .header(AUTHORIZATION, format!("Bearer {}", context.workspace.key))
        .header(NONCE_HEADER, nonce);
    if let Some(hint) = planned.cost_hint {
        request = request.header(COST_HINT_HEADER, hint);
    }
    if planned.idempotency != Idempotency::Idempotent {
        request = request.header(IDEMPOTENT_HEADER, "false");
    }
    if planned.idempotency.has_key() {
        let key = context.minted_key.map_or(&planned.name, |minted_key| &minted_key.key);
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    request.body(full_body(body))
}

fn chat_body(fleet: &Fleet, planned: &PlannedRequest, nonce: &str) -> Bytes {
    // The engine counts one token in addition to those of the text.
    let bytes = (planned.prompt_tokens as usize).saturating_sub(1) * BYTES_PER_TOKEN;
    let body = ChatRequest {
        model: fleet.model.clone(),
        messages: vec![Message { role: "user".into(), content: "x".repeat(bytes).into() }],
        stream: true,
        max_tokens: None,
        user: Some(nonce.to_owned()),
        metadata: BTreeMap::from([("output_tokens".into(), planned.output_tokens.to_string())]),
    };
    // Serialising strings and numbers does not fail.
    serde_json::to_vec(&body).unwrap_or_default().into()
}
