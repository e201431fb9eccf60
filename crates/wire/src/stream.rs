//! Compression of peer streams, and counters of their bytes on the socket.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use async_compression::tokio::{bufread::DeflateDecoder, write::DeflateEncoder};
use tokio::io::{AsyncRead, AsyncWrite, BufReader, ReadBuf};

/// Bytes sent (index 0) and received (index 1) on sockets. Clones share the
/// counters.
#[derive(Clone, Debug, Default)]
pub struct ByteCounts(Arc<[AtomicU64; 2]>);

impl ByteCounts {
    /// Number of bytes sent.
    pub fn sent(&self) -> u64 {
        self.0[0].load(Ordering::Relaxed)
    }

    /// Number of bytes received.
    pub fn received(&self) -> u64 {
        self.0[1].load(Ordering::Relaxed)
    }

    /// Number of bytes sent and received.
    pub fn total(&self) -> u64 {
        self.sent() + self.received()
    }

    fn add(&self, index: usize, bytes: usize) {
        self.0[index].fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A stream that counts the bytes read and written.
#[derive(Debug)]
pub struct CountingStream<S> {
    inner: S,
    counts: ByteCounts,
    total: Option<ByteCounts>,
}

impl<S> CountingStream<S> {
    /// Counts the bytes of `inner` in `counts`, and in `total` if given.
    pub fn new(inner: S, counts: ByteCounts, total: Option<ByteCounts>) -> Self {
        Self { inner, counts, total }
    }

    fn add(&self, index: usize, bytes: usize) {
        self.counts.add(index, bytes);
        if let Some(total) = &self.total {
            total.add(index, bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.add(1, buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.add(0, written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Decompresses the read half of a stream and compresses the write half. The
/// compression state is kept between messages, so that data repeated from earlier
/// messages costs few bytes. A flush after each message makes it readable at
/// once.
pub fn compress_halves<R, W>(
    read: R,
    write: W,
) -> (impl AsyncRead + Unpin + use<R, W>, impl AsyncWrite + Unpin + use<R, W>)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    (DeflateDecoder::new(BufReader::new(read)), DeflateEncoder::new(write))
}
