//! HTTP server with limits on connections, request heads and blocked writes.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::{JoinHandle, JoinSet},
};

use crate::{
    AnswerEnd, Body, OrderlyCloseStream, json_response, write_timeout::WriteTimeoutStream,
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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

    /// Stops accepting connections and waits until open requests have finished.
    pub async fn shutdown(self) {
        self.stop.send_replace(true);
        // The task fails only if it panicked, and then it has stopped already.
        let _ = self.task.await;
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
    let graceful = GracefulShutdown::new();
    // If the accept loop is aborted, dropping the set closes all connections.
    let mut connections = JoinSet::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
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
                connections.spawn(handle_connection(stream, limits, permit, &graceful, respond));
            }
            // Usually out of file descriptors: wait until some are closed.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn handle_connection<F, Fut>(
    stream: TcpStream,
    limits: Limits,
    permit: Option<OwnedSemaphorePermit>,
    graceful: &GracefulShutdown,
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
    let service = service_fn(move |request: Request<Incoming>| {
        let (version, answer_end) = (request.version(), answer_end.clone());
        let response = respond(request, is_admitted);
        async move {
            let response = response.await;
            answer_end.record(version, &response);
            Ok::<_, Infallible>(response)
        }
    });
    let stream = WriteTimeoutStream::new(stream, Duration::from_millis(limits.write_timeout_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .keep_alive(is_admitted)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    async move {
        // A connection that the client interrupts is not an error of the server.
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
