//! Request bodies with limits on size and idle time. A body can be sent again as
//! long as none of it was consumed.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header::CONTENT_LENGTH};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use span_http::{Body, BodyError, ReadError, collect_body, full_body};
use span_types::Outcome;
use tokio::time::{Instant, Sleep, sleep};

use super::Failure;

/// Bodies up to this size are read before the request is dispatched, so that
/// they can be sent again and a slow caller does not occupy a slot.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// Keeps a value until a body was sent.
pub(super) struct HoldingBody<T> {
    body: Body,
    _held: T,
}

impl<T> HoldingBody<T> {
    /// Holds `held` until `body` is dropped.
    pub fn new(body: Body, held: T) -> Self {
        Self { body, _held: held }
    }
}

impl<T: Unpin> http_body::Body for HoldingBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// No frame of a body arrived within the idle time limit.
#[derive(Debug, thiserror::Error)]
#[error("no byte of the body arrived for {limit_ms} ms")]
pub(super) struct IdleTimeout {
    limit_ms: u64,
}

/// A body that fails when no frame arrives within the idle time limit.
pub(super) struct IdleTimeoutBody {
    body: Body,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
}

impl IdleTimeoutBody {
    /// Limits the time between two frames of a body.
    pub fn new(body: Body, limit_ms: u64) -> Self {
        let limit = Duration::from_millis(limit_ms);
        Self { body, limit, timer: Box::pin(sleep(limit)) }
    }
}

impl http_body::Body for IdleTimeoutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            let next = Instant::now() + self.limit;
            self.timer.as_mut().reset(next);
            return Poll::Ready(frame);
        }
        match self.timer.as_mut().poll(cx) {
            Poll::Ready(()) => {
                let limit_ms = self.limit.as_millis() as u64;
                Poll::Ready(Some(Err(IdleTimeout { limit_ms }.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request body that can be sent again as long as nothing of it was consumed.
#[derive(Clone)]
pub(super) enum RequestBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is still arriving.
    Streaming(Arc<Mutex<StreamingBody>>),
}

/// A body that is still arriving, shared by the attempts to send it.
pub(super) struct StreamingBody {
    body: Body,
    consumed: bool,
    failure: Option<Failure>,
}

impl RequestBody {
    /// Receives the body of a request; a small one is read completely first.
    pub async fn receive(
        headers: &HeaderMap,
        body: hyper::body::Incoming,
        limit_bytes: usize,
        idle_timeout_ms: u64,
    ) -> Result<Self, Failure> {
        let length = check_length(headers, limit_bytes)?;
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        if length.is_some_and(|length| length <= MAX_BUFFERED_BODY_BYTES) {
            return Ok(Self::Buffered(
                read_to_end(headers, body, limit_bytes, idle_timeout_ms).await?,
            ));
        }
        let timed_body = IdleTimeoutBody::new(body.map_err(Into::into).boxed(), idle_timeout_ms);
        let body = Body::new(Limited::new(timed_body, limit_bytes));
        let streaming = StreamingBody { body, consumed: false, failure: None };
        Ok(Self::Streaming(Arc::new(Mutex::new(streaming))))
    }

    /// A body for one attempt.
    pub fn attempt_body(&self) -> Body {
        match self {
            Self::Buffered(bytes) => full_body(bytes.clone()),
            Self::Streaming(shared) => Body::new(AttemptBody(Arc::clone(shared))),
        }
    }

    /// Whether nothing was consumed, so that another attempt can send all of it.
    pub fn replayable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(shared) => !lock(shared).consumed,
        }
    }

    /// The failure to report if reading the caller's body failed.
    pub fn caller_failure(&self) -> Option<Failure> {
        match self {
            Self::Buffered(_) => None,
            Self::Streaming(shared) => lock(shared).failure.clone(),
        }
    }
}

fn lock(shared: &Mutex<StreamingBody>) -> MutexGuard<'_, StreamingBody> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

struct AttemptBody(Arc<Mutex<StreamingBody>>);

impl http_body::Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut streaming = lock(&self.0);
        let polled = Pin::new(&mut streaming.body).poll_frame(cx);
        if let Poll::Ready(frame) = &polled {
            streaming.consumed = true;
            if let Some(Err(error)) = frame {
                streaming.failure = Some(body_failure(error.as_ref(), Outcome::Unknown));
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        lock(&self.0).body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        lock(&self.0).body.size_hint()
    }
}

/// Reads a complete request body. All failures have the outcome not run, since
/// nothing was dispatched yet.
pub(super) async fn read_to_end(
    headers: &HeaderMap,
    body: hyper::body::Incoming,
    limit_bytes: usize,
    idle_timeout_ms: u64,
) -> Result<Bytes, Failure> {
    check_length(headers, limit_bytes)?;
    let timed_body = IdleTimeoutBody::new(body.map_err(Into::into).boxed(), idle_timeout_ms);
    collect_body(timed_body, limit_bytes).await.map_err(|error| match error {
        ReadError::TooLarge { .. } => too_large(limit_bytes, Outcome::NotRun),
        ReadError::Incomplete(error) => body_failure(error.as_ref(), Outcome::NotRun),
        error @ (ReadError::Json(_) | ReadError::NoMemory) => body_failure(&error, Outcome::NotRun),
    })
}

fn check_length(headers: &HeaderMap, limit_bytes: usize) -> Result<Option<u64>, Failure> {
    let text = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let length = text.and_then(|text| text.parse::<u64>().ok());
    if length.is_some_and(|length| length > limit_bytes as u64) {
        return Err(too_large(limit_bytes, Outcome::NotRun));
    }
    Ok(length)
}

fn too_large(limit_bytes: usize, outcome: Outcome) -> Failure {
    let message = format!("the body is larger than {limit_bytes} bytes");
    Failure::new(outcome, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

fn body_failure(error: &(dyn std::error::Error + 'static), outcome: Outcome) -> Failure {
    if error.is::<LengthLimitError>() {
        let message = "the body is larger than allowed";
        return Failure::new(outcome, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message);
    }
    if error.is::<IdleTimeout>() {
        let message = error.to_string();
        return Failure::new(outcome, StatusCode::REQUEST_TIMEOUT, "body_too_slow", message);
    }
    let message = format!("the body ended early: {error}");
    Failure::new(outcome, StatusCode::BAD_REQUEST, "body_incomplete", message)
}
