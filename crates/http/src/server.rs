//! HTTP server with limits on connections, request heads and blocked writes.

use std::{
    convert::Infallible, future::Future, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use http::{HeaderValue, Request, Response, StatusCode, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::{JoinHandle, JoinSet},
};

use crate::{
    AnswerEnd, Backlog, Body, OrderlyCloseStream,
    drained_stream::{ConnectionState, DrainedStream},
    json_response,
    write_timeout::WriteTimeoutStream,
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a stopping server still reads a request from an idle connection. A
/// request may be on its way, and the answer to it announces the end of the connection.
const LAST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Limits of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections. Requests on further ones are rejected.
    pub max_connections: usize,
    /// Time in which a request head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which a blocked write closes the connection, in milliseconds.
    pub write_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_connections: 4096,
            header_timeout_ms: 10_000,
            write_timeout_ms: 10_000,
        }
    }
}

/// A running server. Dropping it stops accepting connections but lets open
/// requests finish.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Open requests go on, and so do those that arrive on an
    /// open connection within a short time.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until the server has stopped and all connections are closed.
    pub async fn stopped(&mut self) {
        // The task fails only if it panicked, and then it has stopped already.
        let _ = (&mut self.task).await;
    }

    /// Stops accepting connections and waits until open requests have finished, those
    /// included that arrive on an open connection within a short time.
    pub async fn shutdown(mut self) {
        self.stop();
        self.stopped().await;
    }

    /// Stops accepting connections and drops all open ones at once.
    pub fn abort(self) {
        self.task.abort();
    }
}

/// Binds `address` and serves requests with `handler`. Requests on connections
/// past the limit are rejected with status 503.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve<F, Fut>(address: SocketAddr, limits: Limits, handler: F) -> io::Result<Server>
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    serve_listener(TcpListener::bind(address).await?, limits, handler, too_many_connections)
}

/// Serves requests on a bound listener with `handler`, and requests on
/// connections past the limit with `reject`.
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn serve_listener<F, Fut, R>(
    listener: TcpListener,
    limits: Limits,
    handler: F,
    reject: R,
) -> io::Result<Server>
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
    R: Fn() -> Response<Body> + Clone + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_loop(listener, limits, handler, reject, stopped));
    Ok(Server { address, stop, task })
}

async fn accept_loop<F, Fut, R>(
    listener: TcpListener,
    limits: Limits,
    handler: F,
    reject: R,
    mut stopped: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
    R: Fn() -> Response<Body> + Clone + Send + Sync + 'static,
{
    // If the accept loop is aborted, dropping the set closes all connections.
    let mut connections = JoinSet::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let connection_stopped = stopped.clone();
    let serve = |stream: TcpStream, peer: SocketAddr| {
        let permit = Arc::clone(&permits).try_acquire_owned().ok();
        let (handler, reject) = (handler.clone(), reject.clone());
        let respond = move |request: Request<Incoming>, is_admitted: bool| {
            let handler = handler.clone();
            let rejection = (!is_admitted).then(&reject);
            async move {
                match rejection {
                    Some(response) => response,
                    None => handler(request, peer).await,
                }
            }
        };
        handle_connection(stream, limits, permit, connection_stopped.clone(), respond)
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                connections.spawn(serve(stream, peer));
            }
            // Usually out of file descriptors: wait until some are closed.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    let mut backlog = Backlog::new(listener);
    while let Some((stream, peer)) = backlog.next().await {
        connections.spawn(serve(stream, peer));
    }
    while connections.join_next().await.is_some() {}
}

fn handle_connection<F, Fut>(
    stream: TcpStream,
    limits: Limits,
    permit: Option<OwnedSemaphorePermit>,
    mut stopped: watch::Receiver<bool>,
    respond: F,
) -> impl Future<Output = ()> + Send + 'static
where
    F: Fn(Request<Incoming>, bool) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let is_admitted = permit.is_some();
    // Fails only if the socket is already closed.
    let _ = stream.set_nodelay(true);
    let answer_end = AnswerEnd::default();
    let stream = OrderlyCloseStream::new(stream, answer_end.clone());
    let is_stopped = stopped.clone();
    let state = ConnectionState::default();
    let service_state = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let open_request = service_state.request_begins();
        let (version, answer_end) = (request.version(), answer_end.clone());
        let is_stopped = is_stopped.clone();
        let response = respond(request, is_admitted);
        async move {
            let mut response = response.await;
            if *is_stopped.borrow() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            answer_end.record(version, &response);
            Ok::<_, Infallible>(response.map(|body| open_request.track_answer(body)))
        }
    });
    let stream = WriteTimeoutStream::new(stream, Duration::from_millis(limits.write_timeout_ms));
    let stream = DrainedStream::new(stream, state.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .keep_alive(is_admitted)
        .serve_connection(TokioIo::new(stream), service);
    async move {
        let mut connection = pin!(connection);
        // A connection that the client interrupts is not an error of the server.
        let last_request_grace = async {
            // Fails if the server was dropped, which stops it as well.
            let _ = stopped.wait_for(|stop| *stop).await;
            tokio::time::sleep(LAST_REQUEST_GRACE).await;
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            () = last_request_grace => {}
        }
        state.end_when_idle();
        let _ = connection.await;
        drop(permit);
    }
}

fn too_many_connections() -> Response<Body> {
    let error = serde_json::json!({
        "error": { "type": "too_many_connections", "message": "too many connections; retry later" }
    });
    let mut response = json_response(StatusCode::SERVICE_UNAVAILABLE, &error);
    response.headers_mut().insert("retry-after", http::HeaderValue::from_static("1"));
    response.headers_mut().insert("x-span-outcome", http::HeaderValue::from_static("not_run"));
    response
}
