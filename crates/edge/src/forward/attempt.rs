//! One attempt at one upstream.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use span_http::{EventBoundary, Framing, requested_pause_ms, states_event_stream};
use span_types::UpstreamName;
use tokio::time::sleep;
use tracing::warn;

use super::head::{self, HeadKind};
use crate::{
    charged_buffer::ChargedBuffer,
    memory_budget::{Charge, MemoryUse},
    metrics::{Counter, Timing},
    node::Node,
    pool::{self, Connection, SendError},
    refusals::Refusal,
    stream_origin::{RequestKey, StreamAttempt},
    upstream_load::{AttemptResult, LoadReport},
    wire_format::{SegmentId, WorkEstimate},
};

/// Largest answer that is buffered until it is complete, in bytes.
const MAX_BUFFERED_ANSWER_BYTES: usize = 4 << 20;

/// Pause before memory for an answer is asked for again.
const MEMORY_PAUSE: Duration = Duration::from_millis(50);

/// What all attempts at a request have in common.
pub(crate) struct RequestData {
    /// Head without the headers that differ between attempts.
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    /// The memory of the header fields.
    pub(crate) _head_charge: Charge,
    pub(crate) work: WorkEstimate,
    /// Segments of the prompt that other prompts may share.
    pub(crate) shared_segments: Rc<[SegmentId]>,
    /// Id of the request.
    pub(crate) id: HeaderValue,
    /// The attempt that began the stream which this request takes up; none if it takes up
    /// none, or its caller does not name it.
    pub(crate) resumed_attempt: Option<StreamAttempt>,
    /// Id of the last event that the caller has of a stream which it takes up.
    pub(crate) last_event: Option<Box<str>>,
    /// When the caller gives up, in milliseconds.
    pub(crate) deadline_ms: u64,
}

impl RequestData {
    /// Requests by whose ids a caller may take up the stream that this one gets at its
    /// `attempt`, each with the attempt that counts.
    pub(crate) fn stream_attempts(&self, attempt: u32) -> Vec<StreamAttempt> {
        self.resumed_attempt.into_iter().chain([self.own_attempt(attempt)]).collect()
    }

    /// Attempt number `attempt` at this request.
    pub(crate) fn own_attempt(&self, attempt: u32) -> StreamAttempt {
        StreamAttempt { request: RequestKey::new(self.id.as_bytes()), attempt }
    }
}

/// The head of a proper answer, and the connection that its body comes on.
pub(crate) struct Answer {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) framing: Framing,
    pub(crate) connection: Connection,
    /// Idle timeout that the upstream stated, in milliseconds.
    pub(crate) idle_timeout_ms: Option<u64>,
    /// Load that the upstream reported with the head.
    pub(crate) load: Option<LoadReport>,
    /// Limit in requests per second that the upstream named with the head.
    pub(crate) limit_per_s: Option<f64>,
}

/// Why an attempt brought no proper answer.
pub(crate) enum Failure {
    /// Nothing was sent to the upstream.
    NotSent(String),
    /// Nothing was sent, for a reason that says nothing about the upstream.
    Withheld(&'static str),
    /// The upstream did not run the request.
    NotRun(AttemptResult),
    /// The upstream ran the request and answered with an error.
    Upstream(Box<Answer>),
    /// The answer is lost; the request may have run.
    Lost(String),
    /// The time for the attempt is over; the request may have run.
    TimedOut,
}

/// What is specific to one attempt.
pub(crate) struct Destination<'a> {
    pub(crate) upstream: &'a UpstreamName,
    /// Engine from which the upstream can copy the prompt prefix.
    pub(crate) copy_source: Option<&'a UpstreamName>,
    /// Id of the last event that the caller has, if it got the event from this request.
    pub(crate) last_event: Option<&'a HeaderValue>,
    /// Whether the caller has the beginning of the stream, at least its head.
    pub(crate) continues: bool,
}

/// Sends the request to an upstream and reads the head of the answer, at the
/// latest until `until_ms`.
pub(crate) async fn attempt(
    node: &Rc<Node>,
    data: &RequestData,
    destination: &Destination<'_>,
    until_ms: u64,
) -> Result<Answer, Failure> {
    let sent = node.wait_for(until_ms, send(node, data, destination)).await;
    sent.unwrap_or(Err(Failure::TimedOut))
}

async fn send(
    node: &Rc<Node>,
    data: &RequestData,
    destination: &Destination<'_>,
) -> Result<Answer, Failure> {
    let upstream = destination.upstream;
    check_not_evacuated(node, upstream)?;
    let key = RequestKey::new(data.id.as_bytes());
    // One that was opened before the upstream's present entry came may lead to another process.
    let is_present = |connection: &Connection| {
        let process = connection.process.as_ref();
        process.is_none_or(|process| node.is_present_process(upstream, process))
    };
    let idle = node.pool.take(node.now_ms(), upstream, key).filter(is_present);
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(node, upstream).await?,
    };
    let sent_ms = node.now_ms();
    let request = build_request(node, data, destination, sent_ms);
    node.count(Counter::Sent);
    let response = match connection.send(request).await {
        Ok(response) => response,
        // The upstream had closed the idle connection.
        Err(SendError::NotSent(_)) if connection.reused => {
            node.connection_broke(upstream);
            connection = connect(node, upstream).await?;
            let request = build_request(node, data, destination, node.now_ms());
            connection.send(request).await.map_err(failure)?
        }
        Err(error) => return Err(failure(error)),
    };
    let (parts, body) = response.into_parts();
    let now_ms = node.now_ms();
    let load = record_head(node, upstream, &parts, now_ms, sent_ms);
    let idle_timeout_ms = head::idle_timeout_ms(&parts.headers);
    let kind = head::classify(&parts, &node.wire_format, &data.id, destination.continues);
    let is_own = !matches!(kind, HeadKind::Foreign(_) | HeadKind::NotRun(AttemptResult::Replaced));
    if is_own && head::states_leaving(&parts.headers, &node.wire_format.headers) {
        node.upstream_states_leaving(upstream);
    }
    let cold_remaining_ms = head::cold_remaining_ms(&parts.headers, &node.wire_format.headers);
    if let Some(remaining_ms) = cold_remaining_ms.filter(|_| is_own) {
        node.upstream_states_cold(upstream, remaining_ms);
    }
    let pause_ms = requested_pause_ms(parts.status, &parts.headers);
    if let Some(pause_ms) = pause_ms.filter(|_| is_own) {
        node.upstream_requests_pause(upstream, pause_ms);
    }
    let limit_per_s =
        if is_own { record_limit(node, upstream, &parts, kind, sent_ms) } else { None };
    let framing = Framing::of_response(&parts.headers, &body);
    let answer = Answer { parts, body, framing, connection, idle_timeout_ms, load, limit_per_s };
    match kind {
        HeadKind::Proper => {
            node.upstream_accepted(upstream);
            Ok(answer)
        }
        HeadKind::Failure => Err(Failure::Upstream(Box::new(answer))),
        HeadKind::NotRun(result) => {
            keep_after_rejection(node, upstream, answer, key).await;
            Err(Failure::NotRun(result))
        }
        // The connection is closed: its further bytes belong to no request either.
        HeadKind::Foreign(reason) => Err(Failure::Lost(reason.to_owned())),
    }
}

async fn connect(node: &Rc<Node>, upstream: &UpstreamName) -> Result<Connection, Failure> {
    let process = node.process_to_connect(upstream);
    let mut process =
        process.ok_or_else(|| Failure::NotSent("the upstream was removed".to_owned()))?;
    let charge = if node.connections.has_descriptor(node.settings().resources.max_sockets) {
        node.connections.charge(MemoryUse::Upstreams, pool::CONNECTION_BYTES).await
    } else {
        None
    };
    let Some(charge) = charge else {
        node.connections.refuse(Refusal::RefusedUpstreamConnections);
        return Err(Failure::Withheld("no memory or descriptor for a connection"));
    };
    node.count(Counter::UpstreamConnects);
    let connected = pool::connect(process.entry.address, pool::BUFFER_BYTES).await;
    let connected = connected.map(|connection| connection.with_charge(charge));
    let mut connection = connected.map_err(|error| {
        if matches!(error, SendError::Refused(_)) {
            node.connection_broke(upstream);
            node.upstream_process_ended(upstream);
            node.upstream_refused(upstream);
        }
        failure(error)
    })?;
    check_not_evacuated(node, upstream)?;
    process.opened_ms = node.now_ms();
    connection.process = Some(Rc::new(process));
    Ok(connection)
}

/// Checks that the failure domain of an upstream was not evacuated after the upstream was
/// chosen.
fn check_not_evacuated(node: &Node, upstream: &UpstreamName) -> Result<(), Failure> {
    if !node.is_evacuated(upstream) {
        return Ok(());
    }
    node.count(Counter::EvacuatedAttempts);
    Err(Failure::Withheld("the failure domain of the upstream is evacuated"))
}

fn failure(error: SendError) -> Failure {
    match error {
        SendError::Refused(cause) | SendError::NotSent(cause) => Failure::NotSent(cause),
        SendError::Lost(cause) => Failure::Lost(cause),
    }
}

fn build_request(
    node: &Node,
    data: &RequestData,
    destination: &Destination<'_>,
    now_ms: u64,
) -> Request<Full<Bytes>> {
    let names = &node.wire_format.headers;
    let mut parts = data.parts.clone();
    let remaining_ms = data.deadline_ms.saturating_sub(now_ms).max(1);
    let copy_source = destination.copy_source.filter(|source| !node.is_evacuated(source));
    let copy_from = copy_source.and_then(|source| {
        let state = node.state();
        state.registry.get(source).map(|entry| entry.address)
    });
    head::set_attempt_headers(
        &mut parts.headers,
        names,
        destination.upstream,
        copy_from,
        remaining_ms,
    );
    if let Some(value) = destination.last_event {
        parts.headers.insert(names.last_event_id.clone(), value.clone());
    }
    Request::from_parts(parts, Full::new(data.body.clone()))
}

/// Records the time to the head of an answer, and returns the load that it reports.
fn record_head(
    node: &Node,
    upstream: &UpstreamName,
    parts: &response::Parts,
    now_ms: u64,
    sent_ms: u64,
) -> Option<LoadReport> {
    let names = &node.wire_format.headers;
    let report = parts.headers.get(&names.load_report);
    let report = report.and_then(|value| (node.wire_format.decode_load_report)(value.as_bytes()));
    let mut state = node.state();
    state.metrics.time(Timing::UpstreamFirstByteMs, now_ms.saturating_sub(sent_ms));
    let report = report?;
    let service = state.registry.get(upstream).map(|entry| entry.service.clone());
    if let Some(service) = service.and_then(|service| state.services.get_mut(&service)) {
        service.placement.record_report(now_ms, upstream, report);
    }
    Some(report)
}

/// Records what an upstream's answer says about its limit on requests per second, and
/// returns the limit.
fn record_limit(
    node: &Node,
    upstream: &UpstreamName,
    parts: &response::Parts,
    kind: HeadKind,
    sent_ms: u64,
) -> Option<f64> {
    match head::request_limit(&parts.headers, &node.wire_format) {
        // An error may be made by something that does not know of the limit.
        Ok(None) if kind == HeadKind::Failure => None,
        Ok(per_s) => {
            node.upstream_states_limit(upstream, per_s, sent_ms);
            per_s
        }
        Err(value) => {
            warn!(upstream = upstream.as_str(), value, "cannot read the limit of an upstream");
            None
        }
    }
}

async fn keep_after_rejection(
    node: &Node,
    upstream: &UpstreamName,
    answer: Answer,
    request: RequestKey,
) {
    let Answer { body, mut connection, idle_timeout_ms, .. } = answer;
    connection.record_rejection(request);
    if read_to_end(body, MAX_REJECTION_BYTES).await.is_ok() {
        node.pool.keep(node.now_ms(), upstream, connection, idle_timeout_ms);
    }
}

/// Largest body of an upstream's rejection that is read to keep the connection,
/// in bytes.
const MAX_REJECTION_BYTES: usize = 16 * 1024;

/// Reads a body to its end, without a copy if it is a single chunk.
///
/// # Errors
///
/// The body is interrupted, or is larger than `limit` bytes.
async fn read_to_end(mut body: Incoming, limit: usize) -> Result<Bytes, String> {
    let mut single: Option<Bytes> = None;
    let mut chunks = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|error| pool::cause(&error))?.into_data() else {
            continue;
        };
        if single.is_none() && chunks.is_empty() {
            single = Some(data);
        } else {
            chunks.extend(single.take());
            chunks.extend_from_slice(&data);
        }
        if single.as_ref().map_or(chunks.len(), Bytes::len) > limit {
            return Err(format!("the answer is larger than {limit} bytes"));
        }
    }
    Ok(single.unwrap_or_else(|| chunks.freeze()))
}

/// Reads an answer into memory, which is charged until the caller has the answer. Without
/// memory, it is read later.
///
/// # Errors
///
/// The body is interrupted, or is too large.
async fn buffer_answer(node: &Node, mut body: Incoming) -> Result<Bytes, String> {
    let expected_bytes = body.size_hint().exact().map(|length| length as usize);
    let charge = node.connections.budget.start(MemoryUse::Answers);
    let mut buffer = ChargedBuffer::new(charge, expected_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(|error| pool::cause(&error))?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_BUFFERED_ANSWER_BYTES {
            return Err(format!("the answer is larger than {MAX_BUFFERED_ANSWER_BYTES} bytes"));
        }
        while !node.connections.push(&mut buffer, &mut data).await {
            node.connections.refuse(Refusal::DelayedAnswers);
            sleep(MEMORY_PAUSE).await;
        }
    }
    Ok(buffer.finish())
}

/// Whether an answer is too large to be buffered until it is complete.
pub(crate) fn is_large(answer: &Answer) -> bool {
    answer.body.size_hint().lower() > MAX_BUFFERED_ANSWER_BYTES as u64
}

/// Reads an answer to its end and returns its connection to the pool.
pub(crate) async fn read_answer(
    node: &Rc<Node>,
    upstream: &UpstreamName,
    answer: Answer,
    until_ms: u64,
) -> Result<(response::Parts, Bytes), Failure> {
    let Answer { parts, body, framing, connection, idle_timeout_ms, .. } = answer;
    match node.wait_for(until_ms, buffer_answer(node, body)).await {
        Some(Ok(bytes)) => {
            if states_event_stream(&parts.headers) {
                let mut boundary = EventBoundary::default();
                boundary.push(&bytes);
                boundary.check_end(framing).map_err(|broken| Failure::Lost(broken.to_string()))?;
            }
            node.pool.keep(node.now_ms(), upstream, connection, idle_timeout_ms);
            Ok((parts, bytes))
        }
        Some(Err(cause)) => Err(Failure::Lost(cause)),
        None => Err(Failure::TimedOut),
    }
}
