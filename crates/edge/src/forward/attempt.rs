//! One attempt at one upstream.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use span_types::UpstreamName;
use tokio::time::timeout;

use super::head::{self, Reading};
use crate::{
    metrics::{Counter, Timing},
    node::Node,
    pool::{self, Connection, SendError},
    upstream_load::AttemptResult,
    wire_format::WorkEstimate,
};

/// Largest answer that is held back until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// The request as every attempt sends it.
pub(crate) struct Call {
    /// Head without what differs between attempts.
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    /// What the request says of its work.
    pub(crate) work: WorkEstimate,
    /// Id of the request.
    pub(crate) id: HeaderValue,
    /// When the caller gives up, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// The head of a proper answer, and the connection that brings the rest.
pub(crate) struct Answer {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) idle_ms: Option<u64>,
}

/// How an attempt ended without a proper answer.
pub(crate) enum Failure {
    /// The upstream got nothing.
    NotSent(String),
    /// The upstream did not run the request.
    NotRun(AttemptResult),
    /// The upstream ran the request and says that it failed.
    Upstream(Box<Answer>),
    /// The request may have run.
    Lost(String),
    /// The time for the attempt is over.
    TimedOut,
}

/// Where and how one attempt is sent.
pub(crate) struct To<'a> {
    pub(crate) upstream: &'a UpstreamName,
    /// Engine from which the upstream can copy the shared part of the prompt.
    pub(crate) holder: Option<&'a UpstreamName>,
    /// Last event that the caller has.
    pub(crate) last_event: Option<&'a str>,
}

/// Sends the request to an upstream and reads the head of the answer.
pub(crate) async fn attempt(
    node: &Rc<Node>,
    call: &Call,
    to: &To<'_>,
    until_ms: u64,
) -> Result<Answer, Failure> {
    let now_ms = node.now_ms();
    let wait = Duration::from_millis(until_ms.saturating_sub(now_ms));
    match timeout(wait, send(node, call, to)).await {
        Ok(result) => result,
        Err(_) => Err(Failure::TimedOut),
    }
}

async fn send(node: &Rc<Node>, call: &Call, to: &To<'_>) -> Result<Answer, Failure> {
    let upstream = to.upstream;
    let mut connection = match node.pool.take(node.now_ms(), upstream) {
        Some(connection) => connection,
        None => open(node, upstream).await?,
    };
    let sent_ms = node.now_ms();
    let request = request(node, call, to, sent_ms);
    node.count(Counter::Sent);
    let response = match connection.send(request).await {
        Ok(response) => response,
        // An idle connection that the upstream has closed meanwhile.
        Err(SendError::NotSent(_)) if connection.reused => {
            connection = open(node, upstream).await?;
            let request = self::request(node, call, to, node.now_ms());
            connection.send(request).await.map_err(failure)?
        }
        Err(error) => return Err(failure(error)),
    };
    let (parts, body) = response.into_parts();
    let now_ms = node.now_ms();
    note_load(node, upstream, &parts, now_ms, sent_ms);
    let idle_ms = head::idle_ms(&parts.headers);
    let reading = head::read(&parts, &node.wire_format, &call.id);
    let answer = Answer { parts, body, connection, idle_ms };
    match reading {
        Reading::Proper => Ok(answer),
        Reading::Failure => Err(Failure::Upstream(Box::new(answer))),
        Reading::NotRun(result) => {
            keep_after_refusal(node, upstream, answer).await;
            Err(Failure::NotRun(result))
        }
        // Whatever else comes on this connection belongs to no request either.
        Reading::Foreign(reason) => Err(Failure::Lost(reason.to_owned())),
    }
}

async fn open(node: &Rc<Node>, upstream: &UpstreamName) -> Result<Connection, Failure> {
    let address = node.state().registry.get(upstream).map(|entry| entry.address);
    let address = address.ok_or_else(|| Failure::NotSent("the upstream is gone".to_owned()))?;
    node.count(Counter::UpstreamConnects);
    pool::connect(address, pool::BUFFER_BYTES).await.map_err(failure)
}

fn failure(error: SendError) -> Failure {
    match error {
        SendError::NotSent(cause) => Failure::NotSent(cause),
        SendError::Lost(cause) => Failure::Lost(cause),
    }
}

fn request(node: &Node, call: &Call, to: &To<'_>, now_ms: u64) -> Request<Full<Bytes>> {
    let names = &node.wire_format.headers;
    let mut parts = call.parts.clone();
    let left_ms = call.deadline_ms.saturating_sub(now_ms).max(1);
    let copy_from = to.holder.and_then(|holder| {
        let state = node.state();
        state.registry.get(holder).map(|entry| entry.address)
    });
    head::address_to(&mut parts.headers, names, to.upstream, copy_from, left_ms);
    if let Some(value) = to.last_event.and_then(|id| HeaderValue::from_str(id).ok()) {
        parts.headers.insert(names.last_event.clone(), value);
    }
    Request::from_parts(parts, Full::new(call.body.clone()))
}

fn note_load(
    node: &Node,
    upstream: &UpstreamName,
    parts: &response::Parts,
    now_ms: u64,
    sent_ms: u64,
) {
    let names = &node.wire_format.headers;
    let report = parts.headers.get(&names.load);
    let report = report.and_then(|value| (node.wire_format.decode_load_report)(value.as_bytes()));
    let mut state = node.state();
    state.metrics.time(Timing::UpstreamFirstByteMs, now_ms.saturating_sub(sent_ms));
    let Some(report) = report else {
        return;
    };
    let service = state.registry.get(upstream).map(|entry| entry.service.clone());
    if let Some(service) = service.and_then(|service| state.services.get_mut(&service)) {
        service.placement.report(now_ms, upstream, report);
    }
}

async fn keep_after_refusal(node: &Node, upstream: &UpstreamName, answer: Answer) {
    let Answer { body, connection, idle_ms, .. } = answer;
    if collect(body, MAX_REFUSAL_BYTES).await.is_ok() {
        node.pool.keep(node.now_ms(), upstream, connection, idle_ms);
    }
}

/// Largest body of a rejection that is read to keep the connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;

/// Reads a body to its end.
///
/// # Errors
///
/// The body breaks off, or is larger than `limit` bytes.
async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, String> {
    let mut whole: Option<Bytes> = None;
    let mut parts = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else {
            continue;
        };
        if whole.is_none() && parts.is_empty() {
            whole = Some(data);
        } else {
            parts.extend(whole.take());
            parts.extend_from_slice(&data);
        }
        if whole.as_ref().map_or(parts.len(), Bytes::len) > limit {
            return Err(format!("the answer is larger than {limit} bytes"));
        }
    }
    Ok(whole.unwrap_or_else(|| parts.freeze()))
}

/// Whether an answer is too large to be held back until it is whole.
pub(crate) fn is_large(answer: &Answer) -> bool {
    answer.body.size_hint().lower() > MAX_WHOLE_BYTES as u64
}

/// Reads an answer to its end and keeps its connection.
pub(crate) async fn whole(
    node: &Rc<Node>,
    upstream: &UpstreamName,
    answer: Answer,
    until_ms: u64,
) -> Result<(response::Parts, Bytes), Failure> {
    let Answer { parts, body, connection, idle_ms } = answer;
    let wait = Duration::from_millis(until_ms.saturating_sub(node.now_ms()));
    match timeout(wait, collect(body, MAX_WHOLE_BYTES)).await {
        Ok(Ok(bytes)) => {
            node.pool.keep(node.now_ms(), upstream, connection, idle_ms);
            Ok((parts, bytes))
        }
        Ok(Err(cause)) => Err(Failure::Lost(cause)),
        Err(_) => Err(Failure::TimedOut),
    }
}
