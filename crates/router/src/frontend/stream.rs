//! Streamed chat completions. The response body reads from the engine directly,
//! so that a chunk wakes only one task. It resumes interrupted connections
//! without the caller noticing.

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
    HeaderName, Response,
    header::{CACHE_CONTROL, CONTENT_LENGTH},
};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use span_http::{Body, ResponseBody};
use span_types::{OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, RESUME_OFFSET_HEADER};
use tokio::time::{Instant, Sleep, sleep};
use tracing::Instrument;

use super::{
    Failure, Frontend,
    answer::set_request_id_header,
    attempts::{MAX_FAILED_RESUMES, resume, send_with_retries},
    headers::clean_answer_headers,
    idempotency::Run,
    interruption,
    sse::{self, Event, EventSplitter},
    upstream::{SendError, UpstreamAttempt, UpstreamRequest, attempt_failure},
};
use crate::control::{AdmitRequest, AttemptResult};

/// A streamed request and its state.
pub(super) struct StreamedRequest {
    /// State of the caller side.
    pub frontend: Arc<Frontend>,
    /// The run of the request.
    pub run: Run,
    /// Request for a slot, used again by retries.
    pub admit: AdmitRequest,
    /// Request as sent to the engine.
    pub upstream_request: UpstreamRequest,
    /// Current attempt at an engine.
    pub attempt: UpstreamAttempt,
    /// Estimated cost of the prompt, used if the engine reports no usage.
    pub prompt_cost: u64,
}

/// Relays a stream to the caller. Dropping it settles the cost; before the end of
/// the stream this also cancels the request at the engine.
struct Relay {
    request: StreamedRequest,
    /// Request id as text; each chunk must contain it.
    id_text: String,
    body: ResponseBody,
    splitter: EventSplitter,
    /// Expires when the engine is silent or makes no progress. One timer serves the whole stream,
    /// because resetting it is cheaper than a new timer for each chunk.
    silence_timer: Pin<Box<Sleep>>,
    progress: Progress,
    /// Whether the caller has received any data of the answer.
    data_sent: bool,
    /// Number of runs after the first one.
    retries: u32,
    state: State,
}

enum State {
    /// Reading from the engine.
    Reading,
    /// The connection failed; the stream must be resumed.
    Failed(SendError),
    /// The last data was sent.
    Ended,
}

struct Progress {
    /// Chunks relayed to the caller; the offset for resumptions.
    chunks: u64,
    /// Whether a chunk said that the answer is finished.
    finished: bool,
    /// Consecutive connections that were interrupted without a chunk.
    resumes_without_chunk: u32,
    /// Arrival time of the last chunk.
    last_chunk_at: Instant,
    /// Cost of the tokens counted so far, in cost units.
    counted_cost: u64,
    /// Total cost reported by the engine, in cost units.
    reported_cost: Option<u64>,
}

impl Progress {
    fn new() -> Self {
        let last_chunk_at = Instant::now();
        Self {
            chunks: 0,
            finished: false,
            resumes_without_chunk: 0,
            last_chunk_at,
            counted_cost: 0,
            reported_cost: None,
        }
    }
}

/// Relays an engine's stream to the caller.
pub(super) fn pass_through(
    request: StreamedRequest,
    answer: Response<ResponseBody>,
) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    clean_answer_headers(&mut head.headers);
    for name in [CONTENT_LENGTH, HeaderName::from_static(RESUME_OFFSET_HEADER)] {
        head.headers.remove(name);
    }
    head.headers.entry(CACHE_CONTROL).or_insert(http::HeaderValue::from_static("no-cache"));
    let id = request.run.id.clone();
    let frontend = Arc::clone(&request.frontend);
    // One future serves the whole stream.
    let interrupted = Box::pin(async move { frontend.interrupted().await });
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
    let frames = stream::unfold((relay, interrupted), |(mut relay, mut interrupted)| {
        let span = relay.request.attempt.span.clone();
        let next = async move {
            let payload = relay.next_data(interrupted.as_mut()).await?;
            Some((Ok::<_, Infallible>(Frame::data(payload)), (relay, interrupted)))
        };
        next.instrument(span)
    });
    let body = StreamBody::new(frames).map_err(|never| match never {}).boxed();
    let mut response = Response::from_parts(head, body);
    set_request_id_header(&mut response, &id);
    response
}

impl Relay {
    /// The next data for the caller; `None` at the end. Once `interrupted` is ready, this is
    /// the error that ends the stream.
    async fn next_data(
        &mut self,
        interrupted: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<Bytes> {
        if matches!(self.state, State::Ended) {
            return None;
        }
        let data = match select(pin!(self.relay_data()), interrupted).await {
            Either::Left((data, _)) => Some(data),
            Either::Right(_) => None,
        };
        data.unwrap_or_else(|| {
            self.state = State::Ended;
            Some(self.error_event(&interruption(true)))
        })
    }

    async fn relay_data(&mut self) -> Option<Bytes> {
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

    fn read_from(&mut self, body: ResponseBody) {
        self.body = body;
        self.splitter = EventSplitter::default();
        self.state = State::Reading;
    }

    /// Runs a lost generation again, if the request is idempotent and the caller
    /// has received no data.
    async fn retry(&mut self, error: SendError) -> Option<ResponseBody> {
        let Self { request, progress, data_sent, retries, .. } = self;
        if *data_sent || !request.run.answer_lost() || !request.frontend.spend_retry() {
            return None;
        }
        request.attempt.fail(error);
        request.frontend.back_off(*retries).await;
        *retries += 1;
        let StreamedRequest { frontend, run, admit, upstream_request, .. } = request;
        let (answer, attempt) =
            send_with_retries(frontend, run, admit, upstream_request).await.ok()?;
        request.attempt = attempt;
        *progress = Progress::new();
        answer.status().is_success().then(|| answer.into_body())
    }

    async fn resume(&mut self, error: SendError) -> Result<ResponseBody, SendError> {
        let Self { request, progress, .. } = self;
        // Limits the resumptions at an engine that accepts each connection and
        // sends nothing.
        progress.resumes_without_chunk += u32::from(error == SendError::Interrupted);
        let since_last_chunk = progress.last_chunk_at.elapsed();
        let timed_out =
            since_last_chunk >= Duration::from_millis(request.upstream_request.answer_timeout_ms);
        if progress.resumes_without_chunk > MAX_FAILED_RESUMES
            || timed_out
            || error == SendError::AnswerLost
        {
            return Err(error);
        }
        let StreamedRequest { frontend, upstream_request, attempt, .. } = request;
        let resumed = resume(frontend, upstream_request, attempt, progress.chunks, error).await;
        resumed.map(Response::into_body)
    }

    /// The complete events that arrived; empty while an event is incomplete.
    async fn read(&mut self) -> Result<Bytes, SendError> {
        // The timer starts here, so that time in which a slow caller did not
        // read does not count as silence of the engine. Comments and parts of
        // events break the silence, but they are no progress.
        let upstream_request = &self.request.upstream_request;
        let silence_timeout = Duration::from_millis(upstream_request.silence_timeout_ms);
        let answer_timeout = Duration::from_millis(upstream_request.answer_timeout_ms);
        let deadline =
            (Instant::now() + silence_timeout).min(self.progress.last_chunk_at + answer_timeout);
        self.silence_timer.as_mut().reset(deadline);
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

    /// Checks complete events; returns those to relay to the caller.
    fn check_events(&mut self, mut events: Bytes) -> Bytes {
        let mut checked = 0;
        while let Some(length) = sse::event_length(&events[checked..]) {
            let end = checked + length;
            match sse::parse_event(&events[checked..end]) {
                Event::Chunk(chunk) if chunk.is_of(&self.id_text) => {
                    self.count_chunk(&chunk);
                }
                Event::Done if self.progress.finished => {
                    let comment = self.outcome_comment(Outcome::Completed);
                    self.complete();
                    return [&events[..checked], comment.as_bytes(), &events[checked..end]]
                        .concat()
                        .into();
                }
                Event::Empty => {}
                // The event does not belong to this request's answer, or ends it early,
                // so the connection cannot be trusted.
                Event::Chunk(_) | Event::Done | Event::Invalid => {
                    self.state = State::Failed(SendError::Interrupted);
                    break;
                }
            }
            checked = end;
        }
        events.truncate(checked);
        events
    }

    fn count_chunk(&mut self, chunk: &sse::Chunk<'_>) {
        let progress = &mut self.progress;
        progress.chunks += 1;
        progress.finished |= chunk.is_last();
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

    /// A comment with request id and outcome; parsers of events skip it.
    fn outcome_comment(&self, outcome: Outcome) -> String {
        let id = &self.request.run.id;
        format!(": {REQUEST_ID_HEADER}={id} {OUTCOME_HEADER}={outcome}\n\n")
    }

    fn error_event(&self, failure: &Failure) -> Bytes {
        let error = failure.json(&self.request.run.id);
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
        self.error_event(&attempt_failure(error, Outcome::Unknown))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let counted_cost = self.progress.counted_cost;
        let total = self.progress.reported_cost.unwrap_or(counted_cost + self.request.prompt_cost);
        self.request.attempt.permit.add_cost(total.saturating_sub(counted_cost));
    }
}
