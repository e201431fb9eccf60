//! Streamed chat completions. A task of its own reads the engine, so that it
//! can change connections without the caller noticing.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http::{
    Response,
    header::{CACHE_CONTROL, CONTENT_LENGTH},
};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use span_http::Body;
use span_types::{OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER};
use tokio::{sync::mpsc, time::Instant};
use tracing::Instrument;

use super::{
    Front,
    answer::stamp_id,
    dispatch::{MAX_RESUMES, resume},
    headers::remove_hop_by_hop,
    once::Run,
    sse::{self, Event, Splitter},
    upstream::{Live, Outgoing, SendError, failure},
};
use crate::control::AttemptEnd;

/// Events that wait for a slow caller before the engine is no longer read.
const EVENTS_AHEAD: usize = 64;

/// A stream being passed on.
pub(super) struct Relay {
    /// The caller side.
    pub front: Arc<Front>,
    /// The run of the request.
    pub run: Run,
    /// The request as it was sent.
    pub outgoing: Outgoing,
    /// The request at the engine.
    pub live: Live,
    /// Cost of the prompt by estimate, used if the engine does not tell.
    pub prompt_cost: u64,
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

enum End {
    Done,
    CallerLeft,
    Failed(SendError),
}

/// Passes an engine's stream on.
pub(super) fn answer(relay: Relay, answer: Response<Incoming>) -> Response<Body> {
    let (events, received) = mpsc::channel(EVENTS_AHEAD);
    let (mut head, body) = answer.into_parts();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.headers.entry(CACHE_CONTROL).or_insert(http::HeaderValue::from_static("no-cache"));
    let id = relay.run.id.clone();
    let span = relay.live.span.clone();
    tokio::spawn(relay.pass_on(body, events).instrument(span));
    let frames = stream::unfold(received, |mut received| async move {
        let event: Bytes = received.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(event)), received))
    });
    let body = StreamBody::new(frames).map_err(|never| match never {}).boxed();
    let mut response = Response::from_parts(head, body);
    stamp_id(&mut response, &id);
    response
}

impl Relay {
    async fn pass_on(mut self, mut body: Incoming, events: mpsc::Sender<Bytes>) {
        let mut progress = Progress::new();
        loop {
            let error = match self.read(body, &events, &mut progress).await {
                End::Failed(error) => error,
                end => return self.finish(end, progress),
            };
            match self.resume(&mut progress, error, &events).await {
                Ok(next) => body = next,
                Err(End::Failed(error)) => {
                    let ending = self.ending(error);
                    let _ = events.send(ending).await;
                    return self.finish(End::Failed(error), progress);
                }
                Err(end) => return self.finish(end, progress),
            }
        }
    }

    async fn resume(
        &self,
        progress: &mut Progress,
        error: SendError,
        events: &mpsc::Sender<Bytes>,
    ) -> Result<Incoming, End> {
        // An engine that accepts each connection and sends nothing must not be
        // asked for ever.
        progress.fruitless += u32::from(error == SendError::Broken);
        let silent = progress.last_chunk.elapsed();
        let too_long = silent > Duration::from_millis(self.outgoing.answer_ms);
        if progress.fruitless > MAX_RESUMES || too_long || error == SendError::Gone {
            return Err(End::Failed(error));
        }
        tokio::select! {
            () = events.closed() => Err(End::CallerLeft),
            resumed = resume(&self.front, &self.outgoing, &self.live, progress.chunks, error) => {
                resumed.map(Response::into_body).map_err(End::Failed)
            }
        }
    }

    async fn read(
        &mut self,
        mut body: Incoming,
        events: &mpsc::Sender<Bytes>,
        progress: &mut Progress,
    ) -> End {
        let mut splitter = Splitter::default();
        loop {
            let bytes = match self.next(&mut body, events).await {
                Ok(bytes) => bytes,
                Err(end) => return end,
            };
            if splitter.push(&bytes).is_err() {
                return End::Failed(SendError::Gone);
            }
            while let Some(event) = splitter.next() {
                if let Err(end) = self.event(event, events, progress).await {
                    return end;
                }
            }
        }
    }

    async fn next(&self, body: &mut Incoming, events: &mpsc::Sender<Bytes>) -> Result<Bytes, End> {
        let silence = Duration::from_millis(self.outgoing.silence_ms);
        let frame = tokio::select! {
            () = events.closed() => return Err(End::CallerLeft),
            frame = tokio::time::timeout(silence, body.frame()) => frame,
        };
        match frame {
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            // An end before `[DONE]` is as incomplete as a broken connection.
            Ok(Some(Err(_)) | None) => Err(End::Failed(SendError::Broken)),
            Err(_) => Err(End::Failed(SendError::Silent)),
        }
    }

    async fn event(
        &mut self,
        event: Bytes,
        events: &mpsc::Sender<Bytes>,
        progress: &mut Progress,
    ) -> Result<(), End> {
        let event = match sse::read(&event) {
            Event::Chunk(chunk) if !self.is_own(&chunk.id) => {
                // Part of another request's answer: this connection is not to
                // be trusted any more.
                return Err(End::Failed(SendError::Broken));
            }
            Event::Chunk(chunk) => {
                self.count(&chunk, progress);
                event
            }
            Event::Done => {
                let done = [self.note(Outcome::Completed).as_bytes(), &event].concat();
                events.send(done.into()).await.map_err(|_| End::CallerLeft)?;
                return Err(End::Done);
            }
            Event::Other => event,
        };
        events.send(event).await.map_err(|_| End::CallerLeft)
    }

    fn is_own(&self, id: &str) -> bool {
        id.contains(&self.run.id.to_string())
    }

    fn count(&mut self, chunk: &sse::Chunk, progress: &mut Progress) {
        progress.chunks += 1;
        progress.fruitless = 0;
        progress.last_chunk = Instant::now();
        if chunk.is_token() {
            progress.counted += 1;
            self.live.permit.add_cost(1);
        }
        if let Some(usage) = chunk.usage {
            progress.settled = Some(usage.total_tokens);
        }
    }

    /// A comment that states id and outcome; readers of events skip it.
    fn note(&self, outcome: Outcome) -> String {
        let id = &self.run.id;
        format!(": {REQUEST_ID_HEADER}={id} {OUTCOME_HEADER}={outcome}\n\n")
    }

    fn ending(&self, error: SendError) -> Bytes {
        let error = failure(error, Outcome::Unknown).json(&self.run.id);
        format!("data: {error}\n\n{}", self.note(Outcome::Unknown)).into()
    }

    fn finish(mut self, end: End, progress: Progress) {
        let total = progress.settled.unwrap_or(progress.counted + self.prompt_cost);
        self.live.permit.add_cost(total.saturating_sub(progress.counted));
        match end {
            End::Done => {
                self.live.end(AttemptEnd::Answered);
                self.run.end(Outcome::Completed);
            }
            // Dropping the request cancels it at the engine.
            End::CallerLeft => {}
            End::Failed(error) => self.live.fail(error),
        }
    }
}
