//! What tells a client that an answer broke off although its connection seems to have ended in
//! order.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{Body, BodyError, Framing};

/// The stream of a client's connection. Its end is an error if a write has failed, or while bytes
/// wait to be written.
///
/// The system reports a reset once. If a write gets it, the next read returns the end of the
/// stream, which is also how an answer without a length ends.
#[derive(Debug)]
pub struct ClientStream<S> {
    stream: S,
    has_write_failed: bool,
    /// Whether the stream did not take the last bytes.
    is_write_pending: bool,
}

impl<S> ClientStream<S> {
    /// Wraps the stream of a new connection.
    pub fn new(stream: S) -> Self {
        Self { stream, has_write_failed: false, is_write_pending: false }
    }

    /// Notes the result of a write.
    fn written<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.is_write_pending = result.is_pending();
        self.has_write_failed |= matches!(result, Poll::Ready(Err(_)));
        result
    }

    /// The error in place of the end of the stream, if that is not in order.
    fn check_end(&self) -> io::Result<()> {
        let cause = if self.has_write_failed {
            "the connection ended after a write had failed"
        } else if self.is_write_pending {
            "the connection ended before the request was written"
        } else {
            return Ok(());
        };
        Err(io::Error::new(io::ErrorKind::ConnectionReset, cause))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled, has_room) = (buf.filled().len(), buf.remaining() > 0);
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) && has_room && buf.filled().len() == filled {
            self.check_end()?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.has_write_failed |= matches!(flushed, Poll::Ready(Err(_)));
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl<S: Connection> Connection for ClientStream<S> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

/// Whether an answer of `status` can be the one to a request. HTTP has no others, and a client
/// that asks for none gets no switch of protocols.
pub fn is_answer_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// How far the body of a request was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upload(Arc<AtomicBool>);

impl Upload {
    /// Follows `body` until its end.
    pub(crate) fn track(&self, body: Body) -> Body {
        self.note_end(&body);
        Body::new(TrackedBody { body, upload: self.clone() })
    }

    fn note_end(&self, body: &Body) {
        if body.is_end_stream() {
            self.0.store(true, Ordering::Relaxed);
        }
    }

    fn is_complete(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

struct TrackedBody {
    body: Body,
    upload: Upload,
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            self.upload.0.store(true, Ordering::Relaxed);
        }
        self.upload.note_end(&self.body);
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// An answer ended with its connection before its request was sent.
#[derive(Debug, thiserror::Error)]
#[error("the connection ended before the request was sent")]
pub struct UnsentRequest;

/// Body of an answer that a [`Client`](crate::Client) gets. If it ends with its connection, the
/// request must have been sent by then.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    upload: Option<Upload>,
}

impl ResponseBody {
    pub(crate) fn wrap(response: Response<Incoming>, upload: Upload) -> Response<Self> {
        let framing = Framing::of_response(response.headers(), response.body());
        let upload = (framing == Framing::UntilClose).then_some(upload);
        response.map(|body| Self { body, upload })
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx).map_err(BodyError::from);
        let is_unsent = self.upload.as_ref().is_some_and(|upload| !upload.is_complete());
        if matches!(frame, Poll::Ready(None)) && is_unsent {
            self.upload = None;
            return Poll::Ready(Some(Err(UnsentRequest.into())));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.upload.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
