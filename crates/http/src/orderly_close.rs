//! Resets connections whose end could be taken for the end of an answer.

use std::{
    io::{self, Read},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use http::{Response, Version};
use http_body::Body;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Tells the stream of a connection that the answer on it ends with the connection.
#[derive(Clone, Debug, Default)]
pub struct AnswerEnd(Arc<AtomicBool>);

impl AnswerEnd {
    /// Records how the answer to a request of HTTP `version` ends. HTTP/1.0 has no
    /// chunks, so an answer of unknown length ends with its connection.
    pub fn record<B: Body>(&self, version: Version, answer: &Response<B>) {
        let has_length =
            answer.body().is_end_stream() || answer.body().size_hint().exact().is_some();
        self.0.store(version < Version::HTTP_11 && !has_length, Ordering::Relaxed);
    }
}

/// A TCP stream that is closed in order only by a shutdown, if the answer on it ends
/// with the connection. Otherwise it is reset when it is dropped, and when the process
/// dies, so that nobody takes a broken answer for a complete one.
#[derive(Debug)]
pub struct OrderlyCloseStream {
    stream: TcpStream,
    answer_end: AnswerEnd,
    resets_on_close: bool,
}

impl OrderlyCloseStream {
    /// Wraps a connection whose answers are recorded in `answer_end`.
    pub fn new(stream: TcpStream, answer_end: AnswerEnd) -> Self {
        Self { stream, answer_end, resets_on_close: false }
    }

    /// Reads what has arrived, also if the runtime has not noticed it yet. Returns the number of
    /// bytes, 0 if there are none or the stream has ended.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn read_arrived(&self, bytes: &mut [u8]) -> io::Result<usize> {
        match (&*SockRef::from(&self.stream)).read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            read => read,
        }
    }

    /// The socket, to look at its state.
    pub fn socket(&self) -> SockRef<'_> {
        SockRef::from(&self.stream)
    }

    /// Sets whether closing the socket resets the connection.
    fn set_reset_on_close(&mut self, reset: bool) -> io::Result<()> {
        if self.resets_on_close != reset {
            SockRef::from(&self.stream).set_linger(reset.then_some(Duration::ZERO))?;
            self.resets_on_close = reset;
        }
        Ok(())
    }

    fn before_write(&mut self) -> io::Result<()> {
        self.set_reset_on_close(self.answer_end.0.load(Ordering::Relaxed))
    }
}

impl AsyncRead for OrderlyCloseStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for OrderlyCloseStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_reset_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
