//! Write timeout for connections whose remote side has stopped reading.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use crate::OrderlyCloseStream;

/// A TCP stream whose writes fail once the remote side has accepted no data for
/// `timeout`. hyper has no write timeout, and a caller that stops reading would
/// otherwise hold its slot at the upstream for ever.
#[derive(Debug)]
pub(crate) struct WriteTimeoutStream {
    stream: OrderlyCloseStream,
    timeout: Duration,
    /// Runs while a write is blocked.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    pub(crate) fn new(stream: OrderlyCloseStream, timeout: Duration) -> Self {
        Self { stream, timeout, timer: None }
    }

    /// Reads what has arrived; see [`OrderlyCloseStream::read_arrived`].
    pub(crate) fn read_arrived(&self, bytes: &mut [u8]) -> io::Result<usize> {
        self.stream.read_arrived(bytes)
    }

    /// Replaces a pending `result` by an error once the timeout has passed.
    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.apply_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.apply_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.apply_timeout(cx, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
