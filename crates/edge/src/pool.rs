//! Pool of idle connections to upstreams.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use span_http::{ClientStream, is_answer_status};
use span_types::UpstreamName;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
};

use crate::{
    memory_budget::Charge, socket::set_options, stream_origin::RequestKey,
    upstream_process::ConnectedProcess,
};

/// Time limit for connecting, in milliseconds. The links between failure domains
/// take a few milliseconds; a lost SYN packet is sent again only after a second.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time without acknowledgement of sent bytes after which a connection fails, in
/// milliseconds.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 1_500;
/// Idle timeout of a connection whose upstream states none, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// Time before the end of an upstream's idle timeout from which a connection is no
/// longer used, in milliseconds. The upstream's close may be in transit.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 600;
/// Number of rejections after which a connection is closed. It remembers each of them, and
/// a new connection has a price.
const MAX_REJECTIONS: usize = 32;

/// Read buffer of a connection to an upstream, in bytes. The memory of a small
/// instance must suffice for thousands of connections.
pub(crate) const BUFFER_BYTES: usize = 16 * 1024;
/// Memory of a connection to an upstream, in bytes: the allocation of its read buffer doubles
/// when it grows.
pub(crate) const CONNECTION_BYTES: u64 = 2 * BUFFER_BYTES as u64;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// Nothing listens at the upstream's address, so nothing was sent.
    #[error("not sent: {0}")]
    Refused(String),
    /// Nothing was sent, so the upstream did not run the request.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Some or all of the request was sent, so it may have run.
    #[error("no answer: {0}")]
    Lost(String),
}

/// The task that drives a connection. Dropping it closes the connection, which
/// makes the upstream stop its work.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection that carries at most one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    /// Whether an earlier request used the connection.
    pub(crate) reused: bool,
    /// The process of an upstream that it leads to.
    pub(crate) process: Option<Rc<ConnectedProcess>>,
    /// Requests whose rejection it has carried.
    rejected: Vec<RequestKey>,
    /// Its memory.
    _charge: Option<Charge>,
}

impl Connection {
    /// Keeps `charge` for as long as the connection is open.
    pub(crate) fn with_charge(self, charge: Charge) -> Self {
        Self { _charge: Some(charge), ..self }
    }

    /// Whether the connection is open and can send a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Records that the upstream rejected a request. The request must not be sent again
    /// on this connection: a copy of the rejection would be taken for its answer.
    pub(crate) fn record_rejection(&mut self, request: RequestKey) {
        self.rejected.push(request);
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let response = self.sender.try_send_request(request).await.map_err(|mut error| {
            let not_sent = error.take_message().is_some();
            let cause = cause(error.error());
            if not_sent { SendError::NotSent(cause) } else { SendError::Lost(cause) }
        })?;
        if !is_answer_status(response.status()) {
            let status = response.status();
            return Err(SendError::Lost(format!("{status} is not the status of an answer")));
        }
        Ok(response)
    }
}

/// Describes an error with its source.
pub(crate) fn cause(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<UpstreamName, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes an idle connection to an upstream out of the pool, if there is one that can
    /// carry `request`.
    pub(crate) fn take(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        request: RequestKey,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(name)?;
        for index in (0..connections.len()).rev() {
            if connections[index].connection.rejected.contains(&request) {
                continue;
            }
            let candidate = connections.remove(index);
            let usable = candidate.expires_ms > now_ms && candidate.connection.is_ready();
            if usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read to the end, or closes it
    /// if it cannot be used again.
    /// `idle_timeout_ms` is the idle timeout that the upstream stated, if any.
    pub(crate) fn keep(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        mut connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        let keep_ms = idle_timeout_ms
            .unwrap_or(DEFAULT_IDLE_TIMEOUT_MS)
            .saturating_sub(IDLE_TIMEOUT_MARGIN_MS);
        let is_used_up = connection.rejected.len() >= MAX_REJECTIONS;
        if keep_ms == 0 || is_used_up || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(name.clone()).or_default();
        connections.push(IdleConnection { connection, expires_ms: now_ms + keep_ms });
    }

    /// Closes the idle connections to an upstream.
    pub(crate) fn close(&self, name: &UpstreamName) {
        self.idle.borrow_mut().remove(name);
    }

    /// Closes idle connections whose idle timeout is over. Returns the upstreams that closed some
    /// before.
    pub(crate) fn expire(&self, now_ms: u64) -> Vec<UpstreamName> {
        let mut closed_by = Vec::new();
        self.idle.borrow_mut().retain(|name, connections| {
            let open = connections.len();
            connections.retain(|idle| !idle.connection.sender.is_closed());
            if connections.len() < open {
                closed_by.push(name.clone());
            }
            connections.retain(|idle| idle.expires_ms > now_ms);
            !connections.is_empty()
        });
        closed_by
    }

    /// Number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}

/// Whether nothing listens at `address`, as its machine says.
pub(crate) async fn is_refused(address: SocketAddr) -> bool {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(limit, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Opens a connection to an HTTP server, with a read buffer of at most
/// `buffer_bytes`.
pub(crate) async fn connect(
    address: SocketAddr,
    buffer_bytes: usize,
) -> Result<Connection, SendError> {
    let not_sent = |error: io::Error| {
        let cause = format!("cannot connect: {error}");
        match error.kind() {
            io::ErrorKind::ConnectionRefused => SendError::Refused(cause),
            _ => SendError::NotSent(cause),
        }
    };
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| SendError::NotSent("cannot connect within the time limit".to_owned()))?
        .map_err(not_sent)?;
    set_options(SockRef::from(&stream), UNACKNOWLEDGED_TIMEOUT_MS).map_err(not_sent)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(buffer_bytes)
        .handshake(TokioIo::new(ClientStream::new(stream)))
        .await
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    let task = spawn_local(async move {
        // A request in flight gets the error through its response.
        let _ = connection.await;
    });
    let task = ConnectionTask(task.abort_handle());
    Ok(Connection {
        sender,
        _task: task,
        reused: false,
        process: None,
        rejected: Vec::new(),
        _charge: None,
    })
}
