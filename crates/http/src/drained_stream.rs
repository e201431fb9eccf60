//! Ends connections of a stopping server that have no request.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{Body, BodyError, write_timeout::WriteTimeoutStream};

/// What a connection is used for.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
enum Activity {
    Idle,
    /// A part of a request head has arrived.
    ReadingHead,
    /// A request has no complete answer.
    Serving,
    /// The end of an answer is not written.
    Flushing,
}

/// State of a connection that its stream, its service and its answers share.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionState {
    activity: Arc<AtomicU8>,
    ends_when_idle: Arc<AtomicBool>,
}

impl ConnectionState {
    /// Makes the stream end once the connection has no request.
    pub(crate) fn end_when_idle(&self) {
        self.ends_when_idle.store(true, Ordering::Relaxed);
    }

    /// Records a complete request head. The request ends when the body made by
    /// [`OpenRequest::track_answer`] is dropped.
    pub(crate) fn request_begins(&self) -> OpenRequest {
        self.set(Activity::Serving);
        OpenRequest(self.clone())
    }

    fn set(&self, activity: Activity) {
        self.activity.store(activity as u8, Ordering::Relaxed);
    }

    fn replace(&self, before: Activity, after: Activity) {
        let (before, after) = (before as u8, after as u8);
        // Any other activity stays.
        let _ = self.activity.compare_exchange(before, after, Ordering::Relaxed, Ordering::Relaxed);
    }

    fn ends_now(&self) -> bool {
        self.ends_when_idle.load(Ordering::Relaxed)
            && self.activity.load(Ordering::Relaxed) == Activity::Idle as u8
    }
}

/// A request without a complete answer.
#[derive(Debug)]
pub(crate) struct OpenRequest(ConnectionState);

impl OpenRequest {
    /// Keeps the request open until the body of its answer is dropped.
    pub(crate) fn track_answer(self, body: Body) -> AnswerBody {
        AnswerBody { body, _request: self }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.set(Activity::Flushing);
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    body: Body,
    _request: OpenRequest,
}

impl http_body::Body for AnswerBody {
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

/// A stream that ends as if the caller had closed it once [`ConnectionState::end_when_idle`]
/// was called, the connection has no request and nothing has arrived. hyper's own graceful
/// shutdown closes a connection whatever waits to be read on it.
#[derive(Debug)]
pub(crate) struct DrainedStream {
    stream: WriteTimeoutStream,
    state: ConnectionState,
}

impl DrainedStream {
    pub(crate) fn new(stream: WriteTimeoutStream, state: ConnectionState) -> Self {
        Self { stream, state }
    }
}

impl AsyncRead for DrainedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Pending if self.state.ends_now() => {
                let count = self.stream.read_arrived(buf.initialize_unfilled())?;
                buf.advance(count);
            }
            Poll::Pending => return Poll::Pending,
            Poll::Ready(read) => read?,
        }
        if buf.filled().len() > filled {
            self.state.replace(Activity::Idle, Activity::ReadingHead);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for DrainedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            // hyper flushes the stream after it has written all that it had buffered.
            self.state.replace(Activity::Flushing, Activity::Idle);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
