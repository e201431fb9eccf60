//! Connections to upstreams.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use span_types::UpstreamName;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
};

use crate::socket::prepare;

/// Time to connect to an upstream, in milliseconds. The links between failure
/// domains take a few milliseconds; a lost opening packet is sent again only
/// after a second.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time for which sent bytes may stay unacknowledged before a connection
/// counts as silent, in milliseconds.
const UNACKNOWLEDGED_MS: u64 = 1_500;
/// Time for which an idle connection is kept if the upstream names no time,
/// in milliseconds.
const IDLE_MS: u64 = 4_000;
/// Time before the end of an upstream's idle timeout at which a connection is
/// no longer used, in milliseconds: the close may be on its way.
const IDLE_MARGIN_MS: u64 = 600;

/// Bytes read ahead on a connection to an upstream. The memory of a small
/// instance is divided among thousands of connections.
pub(crate) const BUFFER_BYTES: usize = 16 * 1024;

/// A request did not get an answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// Nothing was sent, so the upstream did not run it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It was sent, at least in part, and may have run.
    #[error("no answer: {0}")]
    Lost(String),
}

/// Ends the connection when dropped, which makes the upstream stop its work.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection that carries at most one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: Driver,
    /// Whether an earlier request used the connection.
    pub(crate) reused: bool,
}

impl Connection {
    /// Whether a request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            let not_sent = error.take_message().is_some();
            let cause = cause(error.error());
            if not_sent { SendError::NotSent(cause) } else { SendError::Lost(cause) }
        })
    }
}

fn cause(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until_ms: u64,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<UpstreamName, Vec<Idle>>>,
}

impl Pool {
    /// An idle connection to an upstream.
    pub(crate) fn take(&self, now_ms: u64, name: &UpstreamName) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(name)?;
        while let Some(candidate) = connections.pop() {
            let usable = candidate.until_ms > now_ms && candidate.connection.is_ready();
            if usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end. `idle_ms` is the
    /// idle timeout that the upstream stated.
    pub(crate) fn keep(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        mut connection: Connection,
        idle_ms: Option<u64>,
    ) {
        let keep_ms = idle_ms.unwrap_or(IDLE_MS).saturating_sub(IDLE_MARGIN_MS);
        if keep_ms == 0 || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(name.clone()).or_default();
        connections.push(Idle { connection, until_ms: now_ms + keep_ms });
    }

    /// Closes the connections to an upstream.
    pub(crate) fn close(&self, name: &UpstreamName) {
        self.idle.borrow_mut().remove(name);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain(|idle| idle.until_ms > now_ms && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}

/// Opens a connection to an upstream or another HTTP server, with at most
/// `buffer_bytes` read ahead.
pub(crate) async fn connect(
    address: SocketAddr,
    buffer_bytes: usize,
) -> Result<Connection, SendError> {
    let not_sent = |error: io::Error| SendError::NotSent(format!("cannot connect: {error}"));
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::NotSent("cannot connect in time".to_owned()))?
        .map_err(not_sent)?;
    prepare(SockRef::from(&stream), UNACKNOWLEDGED_MS).map_err(not_sent)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(buffer_bytes)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    let driver = spawn_local(async move {
        // The request that is open learns of a failure through its answer.
        let _ = connection.await;
    });
    Ok(Connection { sender, _driver: Driver(driver.abort_handle()), reused: false })
}
