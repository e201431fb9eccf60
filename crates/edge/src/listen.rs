//! Servers for callers, for questions where to connect, and for checks.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
};

use tracing::warn;

use crate::{
    forward::{self, EdgeBody},
    metrics::Counter,
    node::Node,
    overload,
    peers::UpstreamsAnswer,
    settings::Settings,
    socket,
};

/// Pause after a failed accept, most often for lack of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Pause in accepting callers while the process is overloaded.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(overload::INTERVAL_MS);
/// Part of the sockets that callers may use; the rest is for upstreams, peers
/// and the store.
const CALLER_SOCKETS_PART: f64 = 0.7;
/// Part of these sockets up to which a refused caller's connection stays open:
/// to accept the next one costs more than the refusal.
const CROWDED_PART: f64 = 0.1;
/// Idle timeout of callers' connections until a configuration names one, in
/// milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// Time by which the idle timeout exceeds what callers were told, in
/// milliseconds; a request may be on its way when it ends.
const IDLE_SLACK_MS: u64 = 1_000;
/// Request heads until a configuration bounds them, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Bytes read ahead beyond the largest head.
const READ_AHEAD_BYTES: usize = 4 * 1024;
/// Time for which a caller may take nothing of an answer, in milliseconds.
const CALLER_SILENCE_MS: u64 = 10_000;
/// Lifetime of an answer of the directory, in milliseconds. Callers may keep
/// it three times as long, which has to pass within the grace time.
const DIRECTORY_LIFETIME_MS: u64 = 2_000;

/// Binds a listening socket.
pub(crate) fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    socket::bind(address, CALLER_SILENCE_MS, backlog)
}

/// Connections of callers that may be open.
fn caller_sockets(settings: &Settings) -> usize {
    (settings.resources.max_sockets as f64 * CALLER_SOCKETS_PART) as usize
}

/// Whether the connections of refused callers are closed: so many are open, or
/// the process has too much to read.
pub(crate) fn closes_refused(node: &Node) -> bool {
    let most = caller_sockets(&node.settings()) as f64;
    let crowded = node.caller_connections.get() as f64 > most * CROWDED_PART;
    crowded || node.overload.borrow().is_overloaded()
}

/// Accepts callers until `stop` is true; open connections go on.
pub(crate) async fn callers(
    node: Rc<Node>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let most = caller_sockets(&node.settings());
    loop {
        while !node.overload.borrow().may_accept(node.now_ms()) {
            tokio::time::sleep(OVERLOAD_PAUSE).await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        node.overload.borrow_mut().accepted(node.now_ms());
        if node.caller_connections.get() >= most {
            node.count(Counter::CallerConnectionsRefused);
            continue;
        }
        node.count(Counter::CallerConnections);
        node.caller_connections.update(|open| open + 1);
        let node = node.clone();
        spawn_local(async move {
            let handled = node.clone();
            // Boxed, so that an idle connection does not hold a whole request's
            // state.
            let handler = move |request| Box::pin(forward::handle(handled.clone(), request));
            serve(&node, stream, handler).await;
            node.caller_connections.update(|open| open - 1);
        });
    }
}

/// Serves small answers that `answer` makes, until the process ends.
pub(crate) async fn answers(
    node: Rc<Node>,
    listener: TcpListener,
    answer: impl Fn(&Node, &Request<Incoming>) -> Response<EdgeBody> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let (node, answer) = (node.clone(), answer.clone());
        spawn_local(async move {
            let answering = node.clone();
            let handler =
                move |request: Request<Incoming>| std::future::ready(answer(&answering, &request));
            serve(&node, stream, handler).await;
        });
    }
}

async fn serve<F, Fut>(node: &Node, stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<EdgeBody>>,
{
    let limits = node.config().map(|config| config.limits);
    let idle_ms = limits.map_or(IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms) + IDLE_SLACK_MS;
    let head_bytes = limits.map_or(HEAD_BYTES, |limits| limits.max_head_bytes);
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes + READ_AHEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    // A caller that breaks its connection is no fault of this process.
    let _ = connection.await;
}

/// Whether this instance takes callers.
pub(crate) fn ready(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    if request.uri().path() != node.wire_format.ready_path {
        return status(StatusCode::NOT_FOUND);
    }
    let is_ready = node.config_version() > 0 && !node.is_leaving();
    status(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Where callers may connect.
pub(crate) fn directory(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    if request.method() != Method::GET || request.uri().path() != node.wire_format.directory_path {
        return status(StatusCode::NOT_FOUND);
    }
    let entries = node.entries();
    if entries.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime_ms = DIRECTORY_LIFETIME_MS.min(node.settings().fleet_limits.directory_lifetime_ms);
    json((node.wire_format.encode_addresses)(&entries, lifetime_ms))
}

/// What this router knows, for other routers.
pub(crate) fn peer(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    match request.uri().path() {
        "/config" => peer_config(node, request),
        "/upstreams" => {
            let answer: UpstreamsAnswer = {
                let state = node.state();
                (state.registry.revision(), state.registry.entries())
            };
            match postcard::to_stdvec(&answer) {
                Ok(bytes) => Response::new(EdgeBody::whole(bytes.into())),
                Err(error) => {
                    warn!(%error, "the entries of upstreams cannot be encoded");
                    status(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// The configuration, if it is newer than the version that the peer has.
fn peer_config(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    let has = request.uri().query().and_then(|query| query.strip_prefix("newer="));
    let has = has.and_then(|version| version.parse::<u64>().ok()).unwrap_or(0);
    match node.config() {
        Some(config) if config.version > has => {
            let mut response = Response::new(EdgeBody::whole(config.document.clone()));
            close_after(&mut response);
            response
        }
        _ => status(StatusCode::NO_CONTENT),
    }
}

/// Counters, histograms and gauges as text.
pub(crate) fn metrics(node: &Node, _request: &Request<Incoming>) -> Response<EdgeBody> {
    let state = node.state();
    let gauges = [
        ("open_requests", node.open_requests.get() as u64),
        ("idle_upstream_connections", node.pool.len() as u64),
        ("request_body_bytes", node.body_bytes.get()),
        ("routers", state.routers() as u64),
        ("upstreams", state.registry.len() as u64),
        ("config_version", state.config.as_ref().map_or(0, |config| config.version)),
    ];
    let text = state.metrics.render(&gauges.into_iter().collect());
    Response::new(EdgeBody::whole(text.into()))
}

fn status(status: StatusCode) -> Response<EdgeBody> {
    let mut response = Response::new(EdgeBody::Whole(None));
    *response.status_mut() = status;
    response
}

fn json(text: String) -> Response<EdgeBody> {
    let mut response = Response::new(EdgeBody::whole(text.into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn close_after(response: &mut Response<EdgeBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
