//! One call and what came of it.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use http::{Request, header::AUTHORIZATION};
use span_http::{Client, ReadError, collect_body, full_body};
use span_standin::{
    engine::{ChatRequest, Message},
    signature::answer_text,
};
use span_types::{OUTCOME_HEADER, Outcome};

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Where a call goes and under which key.
#[derive(Clone, Debug)]
pub struct Target {
    /// Router to call.
    pub router: SocketAddr,
    /// Caller's key.
    pub key: String,
    /// Model to name.
    pub model: String,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Outcome that the router told, if it told one.
    pub outcome: Option<Outcome>,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// The whole answer arrived and is the one for this call.
    pub whole: bool,
    /// Time from sending to the end of the answer, in microseconds.
    pub latency_us: u64,
}

/// The call could not be made.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request cannot be built.
    #[error("the request cannot be built: {0}")]
    Build(#[from] http::Error),
    /// The request cannot be serialised.
    #[error("the request cannot be serialised: {0}")]
    Json(#[from] serde_json::Error),
    /// The router cannot be reached.
    #[error("the router failed: {0}")]
    Send(#[from] span_http::ClientError),
    /// The answer broke off.
    #[error(transparent)]
    Read(#[from] ReadError),
}

/// Sends one streamed chat completion and checks its answer.
///
/// # Errors
///
/// Fails if the router cannot be reached or the answer breaks off.
pub async fn chat(
    client: &Client,
    target: &Target,
    nonce: &str,
    output_tokens: u64,
) -> Result<CallResult, CallError> {
    let started = Instant::now();
    let response = client.request(request(target, nonce, output_tokens)?).await?;
    let status = response.status().as_u16();
    let outcome = response.headers().get(OUTCOME_HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let body = collect_body(response.into_body(), MAX_ANSWER_BYTES).await?;
    let whole = stream_text(&body) == Some(answer_text(nonce, output_tokens));
    let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    Ok(CallResult { outcome, status, whole, latency_us })
}

fn request(
    target: &Target,
    nonce: &str,
    output_tokens: u64,
) -> Result<Request<span_http::Body>, CallError> {
    let body = ChatRequest {
        model: target.model.clone(),
        messages: vec![Message { role: "user".into(), content: "Draft a ticket.".into() }],
        stream: true,
        max_tokens: None,
        user: Some(nonce.to_owned()),
        metadata: BTreeMap::from([("output_tokens".into(), output_tokens.to_string())]),
    };
    Ok(Request::post(format!("http://{}/v1/chat/completions", target.router))
        .header(AUTHORIZATION, format!("Bearer {}", target.key))
        .body(full_body(serde_json::to_vec(&body)?))?)
}

/// Text of an event stream that ended with `[DONE]`.
fn stream_text(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let mut text = String::new();
    for event in events {
        if event == "[DONE]" {
            return Some(text);
        }
        let event: serde_json::Value = serde_json::from_str(event).ok()?;
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    None
}
