//! Sends single chat completions.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use http::{Request, header::AUTHORIZATION};
use span_http::{Client, ReadError, collect_body, full_body};
use span_standin::{
    engine::{ChatRequest, Message},
    signature::answer_text,
};
use span_types::{OUTCOME_HEADER, Outcome};

const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Router, key and model of a call.
#[derive(Clone, Debug)]
pub struct ChatTarget {
    /// Router to call.
    pub router: SocketAddr,
    /// API key of the caller.
    pub key: String,
    /// Name of the model.
    pub model: String,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// Outcome that the router reported, if any.
    pub outcome: Option<Outcome>,
    /// HTTP status.
    pub status: u16,
    /// The complete answer arrived and belongs to this call.
    pub complete: bool,
    /// Time from sending to the end of the answer, in microseconds.
    pub latency_us: u64,
}

/// A call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request cannot be built.
    #[error("the request cannot be built: {0}")]
    Build(#[from] http::Error),
    /// The request cannot be serialised.
    #[error("the request cannot be serialised: {0}")]
    Json(#[from] serde_json::Error),
    /// The router cannot be reached.
    #[error("the call to the router failed: {0}")]
    Send(#[from] span_http::ClientError),
    /// The answer was interrupted or is too large.
    #[error(transparent)]
    Read(#[from] ReadError),
}

/// Sends one streamed chat completion and checks its answer.
///
/// # Errors
///
/// Fails if the router cannot be reached, or if the answer is interrupted or too large.
pub async fn send_chat(
    client: &Client,
    target: &ChatTarget,
    nonce: &str,
    output_tokens: u64,
) -> Result<CallResult, CallError> {
    let started = Instant::now();
    let response = client.request(build_request(target, nonce, output_tokens)?).await?;
    let status = response.status().as_u16();
    let outcome = response.headers().get(OUTCOME_HEADER);
    let outcome = outcome.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let body = collect_body(response.into_body(), MAX_ANSWER_BYTES).await?;
    let complete = stream_text(&body) == Some(answer_text(nonce, output_tokens));
    let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    Ok(CallResult { outcome, status, complete, latency_us })
}

fn build_request(
    target: &ChatTarget,
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

/// Returns the text of an event stream, or `None` if it does not end with `[DONE]`
/// or contains invalid JSON.
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
