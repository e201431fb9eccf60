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
    answer::stamp_id,
    dispatch::{MAX_RESUMES, dispatch, resume},
    headers::remove_hop_by_hop,
    once::Run,
    sse::{self, Event, Splitter},
    upstream::{Live, Outgoing, SendError, failure},
};
use crate::control::{AdmitRequest, AttemptResult};

/// The request behind a stream.
pub(super) struct Streamed {
    /// The caller side.
    pub front: Arc<Front>,
    /// The run of the request.
    pub run: Run,
    /// The request as the control thread sees it.
    pub admit: AdmitRequest,
    /// The request as it was sent.
    pub outgoing: Outgoing,
    /// The request at the engine.
    pub live: Live,
    /// Cost of the prompt by estimate, used if the engine does not tell.
    pub prompt_cost: u64,
}

/// A stream being passed on. Dropping it counts its cost; before its end this
/// also cancels the request at the engine.
struct Relay {
    request: Streamed,
    /// Request id as text; each chunk is checked for it.
    id_text: String,
    body: Incoming,
    splitter: Splitter,
    /// Runs out when the engine is silent. One timer for the whole stream:
    /// moving it on is cheaper than a new timer for each chunk.
    silent: Pin<Box<Sleep>>,
    progress: Progress,
    /// The caller has a part of the answer.
    passed_on: bool,
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
    fruitless: u32,
    /// When the last chunk came.
    last_chunk: Instant,
    /// Cost counted, in cost units.
    counted: u64,
    /// Cost told by the engine, in cost units.
    settled: Option<u64>,
}

impl Progress {
    fn new() -> Self {
        let last_chunk = Instant::now();
        Self { chunks: 0, fruitless: 0, last_chunk, counted: 0, settled: None }
    }
}

/// Passes an engine's stream on.
pub(super) fn answer(request: Streamed, answer: Response<Incoming>) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.headers.entry(CACHE_CONTROL).or_insert(http::HeaderValue::from_static("no-cache"));
    let id = request.run.id.clone();
    let relay = Box::new(Relay {
        id_text: id.to_string(),
        body,
        splitter: Splitter::default(),
        silent: Box::pin(sleep(Duration::ZERO)),
        progress: Progress::new(),
        passed_on: false,
        retries: 0,
        state: State::Reading,
        request,
    });
    let frames = stream::unfold(relay, |mut relay| {
        let span = relay.request.live.span.clone();
        let next = async move {
            let piece = relay.piece().await?;
            Some((Ok::<_, Infallible>(Frame::data(piece)), relay))
        };
        next.instrument(span)
    });
    let body = StreamBody::new(frames).map_err(|never| match never {}).boxed();
    let mut response = Response::from_parts(head, body);
    stamp_id(&mut response, &id);
    response
}

impl Relay {
    /// What the caller receives next; nothing at the end.
    async fn piece(&mut self) -> Option<Bytes> {
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
                    Ok(piece) if piece.is_empty() => {}
                    Ok(piece) => {
                        self.passed_on = true;
                        return Some(piece);
                    }
                    Err(error) => self.state = State::Failed(error),
                },
            }
        }
    }

    fn read_from(&mut self, body: Incoming) {
        self.body = body;
        self.splitter = Splitter::default();
        self.state = State::Reading;
    }

    /// Runs a lost generation again, if the request allows that and the caller
    /// has nothing of it.
    async fn retry(&mut self, error: SendError) -> Option<Incoming> {
        let Self { request, progress, passed_on, retries, .. } = self;
        if *passed_on || !request.run.idempotent || !request.front.spend_retry() {
            return None;
        }
        request.live.fail(error);
        request.front.back_off(*retries).await;
        *retries += 1;
        let Streamed { front, run, admit, outgoing, .. } = request;
        let (answer, live) = dispatch(front, run, admit, outgoing).await.ok()?;
        request.live = live;
        *progress = Progress::new();
        answer.status().is_success().then(|| answer.into_body())
    }

    async fn resume(&mut self, error: SendError) -> Result<Incoming, SendError> {
        let Self { request, progress, .. } = self;
        // An engine that accepts each connection and sends nothing must not be
        // asked for ever.
        progress.fruitless += u32::from(error == SendError::Broken);
        let silent = progress.last_chunk.elapsed();
        let too_long = silent > Duration::from_millis(request.outgoing.answer_ms);
        if progress.fruitless > MAX_RESUMES || too_long || error == SendError::Gone {
            return Err(error);
        }
        let Streamed { front, outgoing, live, .. } = request;
        let resumed = resume(front, outgoing, live, progress.chunks, error).await;
        resumed.map(Response::into_body)
    }

    /// Whole events that arrived; none if only a part of one did.
    async fn read(&mut self) -> Result<Bytes, SendError> {
        // Time in which a slow caller did not read is not the engine's.
        let silence = Duration::from_millis(self.request.outgoing.silence_ms);
        self.silent.as_mut().reset(Instant::now() + silence);
        let frame = match select(pin!(self.body.frame()), self.silent.as_mut()).await {
            Either::Left((frame, _)) => frame,
            Either::Right(_) => return Err(SendError::Silent),
        };
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            // An end before `[DONE]` is as incomplete as a broken connection.
            Some(Err(_)) | None => return Err(SendError::Broken),
        };
        let whole = self.splitter.push(bytes).map_err(|_| SendError::Gone)?;
        Ok(self.check(whole))
    }

    /// Checks whole events; returns those that are to be passed on.
    fn check(&mut self, mut whole: Bytes) -> Bytes {
        let mut checked = 0;
        while let Some(length) = sse::event_length(&whole[checked..]) {
            let end = checked + length;
            match sse::read(&whole[checked..end]) {
                // Part of another request's answer: this connection is not to
                // be trusted any more.
                Event::Chunk(chunk) if !chunk.id.contains(&self.id_text) => {
                    self.state = State::Failed(SendError::Broken);
                    break;
                }
                Event::Chunk(chunk) => self.count(&chunk),
                Event::Done => {
                    let note = self.note(Outcome::Completed);
                    self.complete();
                    return [&whole[..checked], note.as_bytes(), &whole[checked..end]]
                        .concat()
                        .into();
                }
                Event::Other => {}
            }
            checked = end;
        }
        whole.truncate(checked);
        whole
    }

    fn count(&mut self, chunk: &sse::Chunk<'_>) {
        let progress = &mut self.progress;
        progress.chunks += 1;
        progress.fruitless = 0;
        progress.last_chunk = Instant::now();
        if chunk.is_token() {
            progress.counted += 1;
            self.request.live.permit.add_cost(1);
        }
        if let Some(usage) = chunk.usage {
            progress.settled = Some(usage.total_tokens);
        }
    }

    /// A comment that states id and outcome; readers of events skip it.
    fn note(&self, outcome: Outcome) -> String {
        let id = &self.request.run.id;
        format!(": {REQUEST_ID_HEADER}={id} {OUTCOME_HEADER}={outcome}\n\n")
    }

    fn ending(&self, error: SendError) -> Bytes {
        let error = failure(error, Outcome::Unknown).json(&self.request.run.id);
        format!("data: {error}\n\n{}", self.note(Outcome::Unknown)).into()
    }

    fn complete(&mut self) {
        self.state = State::Ended;
        self.request.live.end(AttemptResult::Answered);
        self.request.run.end(Outcome::Completed);
    }

    fn fail(&mut self, error: SendError) -> Bytes {
        self.state = State::Ended;
        self.request.live.fail(error);
        self.ending(error)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let counted = self.progress.counted;
        let total = self.progress.settled.unwrap_or(counted + self.request.prompt_cost);
        self.request.live.permit.add_cost(total.saturating_sub(counted));
    }
}
