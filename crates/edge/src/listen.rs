//! HTTP servers: for callers, readiness checks, the directory, peers and metrics.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use span_http::{AnswerEnd, OrderlyCloseStream};
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
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Pause in accepting callers while the process is overloaded.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(overload::TICK_INTERVAL_MS);
/// Fraction of the sockets that callers may use; the rest is for upstreams, peers
/// and the store.
const CALLER_SOCKETS_FRACTION: f64 = 0.7;
/// Fraction of the callers' sockets in use up to which the connections of
/// rejected callers stay open: accepting a new one costs more than the rejection.
const KEEP_REJECTED_SOCKETS_FRACTION: f64 = 0.1;
/// Idle timeout of accepted connections while no configuration is known, in
/// milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// Time by which the idle timeout exceeds the one that callers know, in
/// milliseconds. A request may be in transit when theirs ends.
const IDLE_TIMEOUT_MARGIN_MS: u64 = 1_000;
/// Largest request head while no configuration is known, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes read ahead beyond the largest head.
const READ_AHEAD_BYTES: usize = 4 * 1024;
/// Time for which sent bytes may stay unacknowledged, or the other end may read
/// nothing, before an accepted connection fails, in milliseconds.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 10_000;
/// Lifetime of an answer of the directory, in milliseconds. Callers may use it
/// for three lifetimes, which must end within the grace period.
const DIRECTORY_LIFETIME_MS: u64 = 2_000;

/// Binds a listening socket.
pub(crate) fn bind(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    socket::bind(address, UNACKNOWLEDGED_TIMEOUT_MS, backlog)
}

/// Connections of callers that may be open at the same time.
fn max_caller_connections(settings: &Settings) -> usize {
    (settings.resources.max_sockets as f64 * CALLER_SOCKETS_FRACTION) as usize
}

/// Whether the connections of rejected callers are closed, since many
/// connections are open or the process is overloaded.
pub(crate) fn closes_rejected_connections(node: &Node) -> bool {
    let max_connections = max_caller_connections(&node.settings()) as f64;
    let has_many =
        node.caller_connections.get() as f64 > max_connections * KEEP_REJECTED_SOCKETS_FRACTION;
    has_many || node.overload.borrow().is_overloaded()
}

/// Accepts callers until `stop` is true; open connections stay open.
pub(crate) async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let max_connections = max_caller_connections(&node.settings());
    loop {
        while !node.overload.borrow().may_accept(node.now_ms()) {
            tokio::time::sleep(OVERLOAD_PAUSE).await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        node.overload.borrow_mut().record_accept(node.now_ms());
        if node.caller_connections.get() >= max_connections {
            node.count(Counter::CallerConnectionsRefused);
            continue;
        }
        node.count(Counter::CallerConnections);
        node.caller_connections.update(|open| open + 1);
        let node = node.clone();
        spawn_local(async move {
            let handler_node = node.clone();
            // Boxed, so that an idle connection does not hold memory for the
            // state of a request.
            let handler = move |request| Box::pin(forward::handle(handler_node.clone(), request));
            serve(&node, stream, handler).await;
            node.caller_connections.update(|open| open - 1);
        });
    }
}

/// Answers the requests on a listener that is not for callers with `answer`, until
/// the process ends.
pub(crate) async fn serve_internal(
    node: Rc<Node>,
    listener: TcpListener,
    answer: impl Fn(&Node, &Request<Incoming>) -> Response<EdgeBody> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let (node, answer) = (node.clone(), answer.clone());
        spawn_local(async move {
            let handler_node = node.clone();
            let handler = move |request: Request<Incoming>| {
                std::future::ready(answer(&handler_node, &request))
            };
            serve(&node, stream, handler).await;
        });
    }
}

/// Serves one connection until it is closed.
async fn serve<F, Fut>(node: &Node, stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<EdgeBody>>,
{
    let limits = node.config().map(|config| config.limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms)
        + IDLE_TIMEOUT_MARGIN_MS;
    let max_head_bytes = limits.map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.max_head_bytes);
    let answer_end = AnswerEnd::default();
    let stream = OrderlyCloseStream::new(stream, answer_end.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let (version, answer_end) = (request.version(), &answer_end);
        let response = handler(request);
        async move {
            let response = response.await;
            answer_end.record(version, &response);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(max_head_bytes + READ_AHEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    // An interrupted connection is no error of this process.
    let _ = connection.await;
}

/// Answers a readiness check: 200 if this instance takes callers, else 503.
pub(crate) fn answer_readiness(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    if request.uri().path() != node.wire_format.readiness_path {
        return status(StatusCode::NOT_FOUND);
    }
    let is_ready = node.config_version() > 0 && !node.is_leaving();
    status(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

/// Answers with the addresses of the routers that callers may use.
pub(crate) fn answer_directory(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    if request.method() != Method::GET || request.uri().path() != node.wire_format.directory_path {
        return status(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let caller_domain = (node.wire_format.decode_caller_domain)(query);
    let addresses = node.directory_addresses(caller_domain.as_ref());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime_ms = DIRECTORY_LIFETIME_MS.min(node.settings().fleet_limits.directory_lifetime_ms);
    json((node.wire_format.encode_addresses)(&addresses, lifetime_ms))
}

/// Answers another router that fetches the configuration or the upstream entries.
pub(crate) fn answer_peer(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    match request.uri().path() {
        "/config" => answer_config(node, request),
        "/upstream-entries" => {
            let answer: UpstreamsAnswer = {
                let state = node.state();
                (state.registry.position(), state.registry.shared_entries(node.now_ms()))
            };
            match postcard::to_stdvec(&answer) {
                Ok(bytes) => Response::new(EdgeBody::complete(bytes.into())),
                Err(error) => {
                    warn!(%error, "cannot encode the upstream entries for a peer");
                    status(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// Answers with the configuration if it is newer than the peer's version, else with
/// 204.
fn answer_config(node: &Node, request: &Request<Incoming>) -> Response<EdgeBody> {
    let known = request.uri().query().and_then(|query| query.strip_prefix("newer="));
    let known = known.and_then(|version| version.parse::<u64>().ok()).unwrap_or(0);
    match node.config() {
        Some(config) if config.version > known => {
            let mut response = Response::new(EdgeBody::complete(config.document.clone()));
            set_connection_close(&mut response);
            response
        }
        _ => status(StatusCode::NO_CONTENT),
    }
}

/// Answers with all metrics as text.
pub(crate) fn answer_metrics(node: &Node, _request: &Request<Incoming>) -> Response<EdgeBody> {
    let state = node.state();
    let gauges = [
        ("open_requests", node.open_requests.get() as u64),
        ("idle_upstream_connections", node.pool.len() as u64),
        ("request_body_bytes", node.request_body_bytes.get()),
        ("routers", state.live_router_count() as u64),
        ("upstreams", state.registry.len() as u64),
        ("limited_upstreams", state.limited_upstream_count() as u64),
        ("slow_upstreams", state.slow_upstream_count() as u64),
        ("prefill_tokens_per_ms", state.prefill_tokens_per_ms()),
        ("blocked_segments", state.prompt_crashes.blocked_count() as u64),
        ("store_era", state.registry.era()),
        ("unrecorded_streams", state.origin_log.unwritten_len() as u64),
        ("recorded_streams", state.recorded_origins.len() as u64),
        ("config_version", state.config.as_ref().map_or(0, |config| config.version)),
    ];
    let text = state.metrics.render(&gauges.into_iter().collect());
    Response::new(EdgeBody::complete(text.into()))
}

fn status(status: StatusCode) -> Response<EdgeBody> {
    let mut response = Response::new(EdgeBody::Complete(None));
    *response.status_mut() = status;
    response
}

fn json(text: String) -> Response<EdgeBody> {
    let mut response = Response::new(EdgeBody::complete(text.into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn set_connection_close(response: &mut Response<EdgeBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
