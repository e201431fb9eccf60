//! Streamed chat completions. The body of the answer reads the engine itself,
//! so that a chunk wakes one task only, and changes connections without the
//! caller noticing.

use std::{
    convert::Infallible,
    pin::{Pin, pin},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures::{
    future::{Either, select},
    stream,
};
use http::{
    Response,
    header::{CACHE_CONTROL, CONTENT_LENGTH},
};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use span_http::Body;
use span_types::{OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER};
use tokio::time::{Instant, Sleep, sleep};
use tracing::Instrument;

use super::{
    Front,
    answer::set_request_id_header,
    attempts::{MAX_FAILED_RESUMES, resume, send_with_retries},
    headers::remove_hop_by_hop,
    idempotency::Run,
    sse::{self, Event, EventSplitter},
    upstream::{SendError, UpstreamAttempt, UpstreamRequest, attempt_failure},
};
use crate::control::{AdmitRequest, AttemptResult};

/// The request behind a stream.
pub(super) struct StreamedRequest {
    /// The caller side.
    pub front: Arc<Front>,
    /// The run of the request.
    pub run: Run,
    /// The request as the control thread sees it.
    pub admit: AdmitRequest,
    /// The request as it was sent.
    pub upstream_request: UpstreamRequest,
    /// The request at the engine.
    pub attempt: UpstreamAttempt,
    /// Cost of the prompt by estimate, used if the engine does not tell.
    pub prompt_cost: u64,
}

/// A stream being passed on. Dropping it counts its cost; before its end this
/// also cancels the request at the engine.
struct Relay {
    request: StreamedRequest,
    /// Request id as text; each chunk is checked for it.
    id_text: String,
    body: Incoming,
    splitter: EventSplitter,
    /// Runs out when the engine is silent. One timer for the whole stream:
    /// moving it on is cheaper than a new timer for each chunk.
    silence_timer: Pin<Box<Sleep>>,
    progress: Progress,
    /// The caller has a part of the answer.
    data_sent: bool,
    /// Runs beyond the first.
    retries: u32,
    state: State,
}

enum State {
    /// The engine is read.
    Reading,
    /// The connection failed after what was passed on.
    Failed(SendError),
    /// Nothing follows.
    Ended,
}

struct Progress {
    /// Chunks passed on.
    chunks: u64,
    /// Connections in a row that broke without a chunk.
    resumes_without_chunk: u32,
    /// When the last chunk came.
    last_chunk_at: Instant,
    /// Cost counted, in cost units.
    counted_cost: u64,
    /// Cost told by the engine, in cost units.
    reported_cost: Option<u64>,
}

impl Progress {
    fn new() -> Self {
        let last_chunk_at = Instant::now();
        Self {
            chunks: 0,
            resumes_without_chunk: 0,
            last_chunk_at,
            counted_cost: 0,
            reported_cost: None,
        }
    }
}

/// Passes an engine's stream on.
pub(super) fn pass_through(request: StreamedRequest, answer: Response<Incoming>) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.headers.entry(CACHE_CONTROL).or_insert(http::HeaderValue::from_static("no-cache"));
    let id = request.run.id.clone();
    let relay = Box::new(Relay {
        id_text: id.to_string(),
        body,
        splitter: EventSplitter::default(),
        silence_timer: Box::pin(sleep(Duration::ZERO)),
        progress: Progress::new(),
        data_sent: false,
        retries: 0,
        state: State::Reading,
        request,
    });
    let frames = stream::unfold(relay, |mut relay| {
        let span = relay.request.attempt.span.clone();
        let next = async move {
            let payload = relay.next_data().await?;
            Some((Ok::<_, Infallible>(Frame::data(payload)), relay))
        };
        next.instrument(span)
    });
    let body = StreamBody::new(frames).map_err(|never| match never {}).boxed();
    let mut response = Response::from_parts(head, body);
    set_request_id_header(&mut response, &id);
    response
}

impl Relay {
    /// What the caller receives next; nothing at the end.
    async fn next_data(&mut self) -> Option<Bytes> {
        loop {
            match self.state {
                State::Ended => return None,
                State::Failed(error) => match self.resume(error).await {
                    Ok(body) => self.read_from(body),
                    Err(error) => match self.retry(error).await {
                        Some(body) => self.read_from(body),
                        None => return Some(self.fail(error)),
                    },
                },
                State::Reading => match self.read().await {
                    Ok(payload) if payload.is_empty() => {}
                    Ok(payload) => {
                        self.data_sent = true;
                        return Some(payload);
                    }
                    Err(error) => self.state = State::Failed(error),
                },
            }
        }
    }

    fn read_from(&mut self, body: Incoming) {
        self.body = body;
        self.splitter = EventSplitter::default();
        self.state = State::Reading;
    }

    /// Runs a lost generation again, if the request allows that and the caller
    /// has nothing of it.
    async fn retry(&mut self, error: SendError) -> Option<Incoming> {
        let Self { request, progress, data_sent, retries, .. } = self;
        if *data_sent || !request.run.idempotent || !request.front.spend_retry() {
            return None;
        }
        request.attempt.fail(error);
        request.front.back_off(*retries).await;
        *retries += 1;
        let StreamedRequest { front, run, admit, upstream_request, .. } = request;
        let (answer, attempt) =
            send_with_retries(front, run, admit, upstream_request).await.ok()?;
        request.attempt = attempt;
        *progress = Progress::new();
        answer.status().is_success().then(|| answer.into_body())
    }

    async fn resume(&mut self, error: SendError) -> Result<Incoming, SendError> {
        let Self { request, progress, .. } = self;
        // An engine that accepts each connection and sends nothing must not be
        // asked for ever.
        progress.resumes_without_chunk += u32::from(error == SendError::Interrupted);
        let since_last_chunk = progress.last_chunk_at.elapsed();
        let timed_out =
            since_last_chunk > Duration::from_millis(request.upstream_request.answer_timeout_ms);
        if progress.resumes_without_chunk > MAX_FAILED_RESUMES
            || timed_out
            || error == SendError::AnswerLost
        {
            return Err(error);
        }
        let StreamedRequest { front, upstream_request, attempt, .. } = request;
        let resumed = resume(front, upstream_request, attempt, progress.chunks, error).await;
        resumed.map(Response::into_body)
    }

    /// Whole events that arrived; none if only a part of one did.
    async fn read(&mut self) -> Result<Bytes, SendError> {
        // Time in which a slow caller did not read is not the engine's.
        let silence = Duration::from_millis(self.request.upstream_request.silence_timeout_ms);
        self.silence_timer.as_mut().reset(Instant::now() + silence);
        let frame = match select(pin!(self.body.frame()), self.silence_timer.as_mut()).await {
            Either::Left((frame, _)) => frame,
            Either::Right(_) => return Err(SendError::Silent),
        };
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            // An end before `[DONE]` is as incomplete as a broken connection.
            Some(Err(_)) | None => return Err(SendError::Interrupted),
        };
        let events = self.splitter.push(bytes).map_err(|_| SendError::AnswerLost)?;
        Ok(self.check_events(events))
    }

    /// Checks whole events; returns those that are to be passed on.
    fn check_events(&mut self, mut events: Bytes) -> Bytes {
        let mut checked = 0;
        while let Some(length) = sse::event_length(&events[checked..]) {
            let end = checked + length;
            match sse::read(&events[checked..end]) {
                // Part of another request's answer: this connection is not to
                // be trusted any more.
                Event::Chunk(chunk) if !chunk.id.contains(&self.id_text) => {
                    self.state = State::Failed(SendError::Interrupted);
                    break;
                }
                Event::Chunk(chunk) => self.count_chunk(&chunk),
                Event::Done => {
                    let comment = self.outcome_comment(Outcome::Completed);
                    self.complete();
                    return [&events[..checked], comment.as_bytes(), &events[checked..end]]
                        .concat()
                        .into();
                }
                Event::Other => {}
            }
            checked = end;
        }
        events.truncate(checked);
        events
    }

    fn count_chunk(&mut self, chunk: &sse::Chunk<'_>) {
        let progress = &mut self.progress;
        progress.chunks += 1;
        progress.resumes_without_chunk = 0;
        progress.last_chunk_at = Instant::now();
        if chunk.is_token() {
            progress.counted_cost += 1;
            self.request.attempt.permit.add_cost(1);
        }
        if let Some(usage) = chunk.usage {
            progress.reported_cost = Some(usage.total_tokens);
        }
    }

    /// A comment that states id and outcome; readers of events skip it.
    fn outcome_comment(&self, outcome: Outcome) -> String {
        let id = &self.request.run.id;
        format!(": {REQUEST_ID_HEADER}={id} {OUTCOME_HEADER}={outcome}\n\n")
    }

    fn error_event(&self, error: SendError) -> Bytes {
        let error = attempt_failure(error, Outcome::Unknown).json(&self.request.run.id);
        format!("data: {error}\n\n{}", self.outcome_comment(Outcome::Unknown)).into()
    }

    fn complete(&mut self) {
        self.state = State::Ended;
        self.request.attempt.end(AttemptResult::Answered);
        self.request.run.end(Outcome::Completed);
    }

    fn fail(&mut self, error: SendError) -> Bytes {
        self.state = State::Ended;
        self.request.attempt.fail(error);
        self.error_event(error)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let counted_cost = self.progress.counted_cost;
        let total = self.progress.reported_cost.unwrap_or(counted_cost + self.request.prompt_cost);
        self.request.attempt.permit.add_cost(total.saturating_sub(counted_cost));
    }
}
