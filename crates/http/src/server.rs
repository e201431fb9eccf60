//! HTTP server with bounds on connections and headers.

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

use crate::{Body, json_response, stall::StallGuard};

const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Open connections; further ones are answered with status 503.
    pub max_connections: usize,
    /// Time to read a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a peer may take nothing that is written to it, in
    /// milliseconds.
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

/// A running server; dropping it stops accepting, while open requests finish.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Address the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets open requests finish, then returns.
    pub async fn shutdown(self) {
        self.stop.send_replace(true);
        // The accept loop only fails if it panicked; nothing is left to stop then.
        let _ = self.task.await;
    }

    /// Stops accepting at once and drops all connections.
    pub fn abort(self) {
        self.task.abort();
    }
}

/// Binds `address` and serves it with `handler`.
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

/// As [`serve`] for a bound listener; requests on connections past the limit are
/// answered with `refuse`.
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn serve_listener<F, Fut, R>(
    listener: TcpListener,
    limits: Limits,
    handler: F,
    refuse: R,
) -> io::Result<Server>
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
    R: Fn() -> Response<Body> + Clone + Send + Sync + 'static,
{
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_loop(listener, limits, handler, refuse, stopped));
    Ok(Server { address, stop, task })
}

async fn accept_loop<F, Fut, R>(
    listener: TcpListener,
    limits: Limits,
    handler: F,
    refuse: R,
    mut stopped: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
    R: Fn() -> Response<Body> + Clone + Send + Sync + 'static,
{
    let graceful = GracefulShutdown::new();
    // Aborting the accept loop drops the set and with it all connections.
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
                let (handler, refuse) = (handler.clone(), refuse.clone());
                let answer = move |request: Request<Incoming>, admitted: bool| {
                    let handler = handler.clone();
                    let refused = (!admitted).then(&refuse);
                    async move {
                        match refused {
                            Some(response) => response,
                            None => handler(request, peer).await,
                        }
                    }
                };
                connections.spawn(serve_connection(stream, limits, permit, &graceful, answer));
            }
            // Out of file descriptors, most often: wait for some to be closed.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<F, Fut>(
    stream: TcpStream,
    limits: Limits,
    permit: Option<OwnedSemaphorePermit>,
    graceful: &GracefulShutdown,
    answer: F,
) -> impl Future<Output = ()> + Send + 'static
where
    F: Fn(Request<Incoming>, bool) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let admitted = permit.is_some();
    // Only fails on a socket that is already closed.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = answer(request, admitted);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let stream = StallGuard::new(stream, Duration::from_millis(limits.write_timeout_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .keep_alive(admitted)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    async move {
        // A caller that breaks its connection is no fault of the server.
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
