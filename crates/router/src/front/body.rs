//! Request bodies: bounded in size and pace, and sent again where nothing of
//! them was consumed.

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
/// it can be sent again and a slow caller holds no slot.
const REPLAY_BYTES: u64 = 64 * 1024;

/// Nothing arrived in time.
#[derive(Debug, thiserror::Error)]
#[error("no byte of the body arrived for {limit_ms} ms")]
pub(super) struct Silence {
    limit_ms: u64,
}

/// A body that fails when no frame arrives in time.
pub(super) struct Paced {
    body: Body,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
}

impl Paced {
    /// Limits the pace of a body.
    pub fn new(body: Body, limit_ms: u64) -> Self {
        let limit = Duration::from_millis(limit_ms);
        Self { body, limit, timer: Box::pin(sleep(limit)) }
    }
}

impl http_body::Body for Paced {
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
                Poll::Ready(Some(Err(Silence { limit_ms }.into())))
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
pub(super) enum Source {
    /// The whole body.
    Whole(Bytes),
    /// A body that is still arriving.
    Arriving(Arc<Mutex<Arriving>>),
}

/// State of a body that is still arriving.
pub(super) struct Arriving {
    body: Body,
    touched: bool,
    fault: Option<Failure>,
}

impl Source {
    /// Takes the body of a request, reading it first if it is small.
    pub async fn take(
        headers: &HeaderMap,
        body: hyper::body::Incoming,
        limit_bytes: usize,
        pace_ms: u64,
    ) -> Result<Self, Failure> {
        let length = check_length(headers, limit_bytes)?;
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        if length.is_some_and(|length| length <= REPLAY_BYTES) {
            return Ok(Self::Whole(read(headers, body, limit_bytes, pace_ms).await?));
        }
        let paced = Paced::new(body.map_err(Into::into).boxed(), pace_ms);
        let body = Body::new(Limited::new(paced, limit_bytes));
        let arriving = Arriving { body, touched: false, fault: None };
        Ok(Self::Arriving(Arc::new(Mutex::new(arriving))))
    }

    /// A body for one attempt.
    pub fn body(&self) -> Body {
        match self {
            Self::Whole(bytes) => full_body(bytes.clone()),
            Self::Arriving(shared) => Body::new(Attempted(Arc::clone(shared))),
        }
    }

    /// Nothing was consumed, so that another attempt can send all of it.
    pub fn replayable(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Arriving(shared) => !lock(shared).touched,
        }
    }

    /// The error with which the caller's body ended, if it did.
    pub fn fault(&self) -> Option<Failure> {
        match self {
            Self::Whole(_) => None,
            Self::Arriving(shared) => lock(shared).fault.clone(),
        }
    }
}

fn lock(shared: &Mutex<Arriving>) -> MutexGuard<'_, Arriving> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Attempted(Arc<Mutex<Arriving>>);

impl http_body::Body for Attempted {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut arriving = lock(&self.0);
        let polled = Pin::new(&mut arriving.body).poll_frame(cx);
        if let Poll::Ready(frame) = &polled {
            arriving.touched = true;
            if let Some(Err(error)) = frame {
                arriving.fault = Some(fault(error.as_ref(), Outcome::Unknown));
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

/// Reads a whole request body, before anything was dispatched.
pub(super) async fn read(
    headers: &HeaderMap,
    body: hyper::body::Incoming,
    limit_bytes: usize,
    pace_ms: u64,
) -> Result<Bytes, Failure> {
    check_length(headers, limit_bytes)?;
    let paced = Paced::new(body.map_err(Into::into).boxed(), pace_ms);
    collect_body(paced, limit_bytes).await.map_err(|error| match error {
        ReadError::TooLarge { .. } => too_large(limit_bytes, Outcome::NotRun),
        ReadError::Incomplete(error) => fault(error.as_ref(), Outcome::NotRun),
        ReadError::Json(error) => fault(&error, Outcome::NotRun),
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

fn fault(error: &(dyn std::error::Error + 'static), outcome: Outcome) -> Failure {
    if error.is::<LengthLimitError>() {
        let message = "the body is larger than allowed";
        return Failure::new(outcome, StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message);
    }
    if error.is::<Silence>() {
        let message = error.to_string();
        return Failure::new(outcome, StatusCode::REQUEST_TIMEOUT, "body_too_slow", message);
    }
    let message = format!("the body ended early: {error}");
    Failure::new(outcome, StatusCode::BAD_REQUEST, "body_incomplete", message)
}
