//! HTTP servers: for callers, readiness checks, the directory, peers and metrics.

use std::{
    cell::Cell, collections::BTreeMap, convert::Infallible, future::Future, io, net::SocketAddr,
    rc::Rc, time::Duration,
};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use span_http::{AnswerEnd, Backlog, OrderlyCloseStream};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
};
use tracing::warn;

use crate::{
    connection_table::Activity,
    connections::{CountedStream, OpenConnection},
    forward::{self, AnswerBody, EdgeBody},
    memory_budget::MemoryUse,
    metrics::Counter,
    node::Node,
    overload,
    peers::UpstreamsAnswer,
    refusals::Refusal,
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
/// Fewest connections of a listener that is not for callers.
const MIN_INTERNAL_CONNECTIONS: usize = 8;
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
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Length of the shortest header field, in bytes: a name of one character, a colon and the end
/// of the line.
const SHORTEST_FIELD_BYTES: usize = 4;
/// Time in which a request head must arrive while no configuration is known, in milliseconds.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 10_000;
/// Time by which the timeout of a head exceeds the one that callers know, in milliseconds. The
/// last bytes may be in transit, or wait to be read, when theirs ends.
const HEAD_TIMEOUT_MARGIN_MS: u64 = 1_000;
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

/// Closes callers' connections as soon as they have no request and nothing to read.
pub(crate) fn end_idle_callers(node: &Node) {
    node.connections.end_idle(CALLERS);
}

/// Number of callers' connections in each activity.
pub(crate) fn count_caller_activities(node: &Node) -> BTreeMap<Activity, usize> {
    node.connections.count_activities(CALLERS)
}

/// Whether the connections of rejected callers are closed, since many
/// connections are open or the process is overloaded.
pub(crate) fn closes_rejected_connections(node: &Node) -> bool {
    let max_connections = max_caller_connections(&node.settings()) as f64;
    let has_many =
        node.caller_connections.get() as f64 > max_connections * KEEP_REJECTED_SOCKETS_FRACTION;
    has_many || node.overload.borrow().is_overloaded()
}

/// A listener that is not for callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InternalListener {
    number: usize,
    /// Fraction of the sockets that its connections may use.
    sockets_fraction: f64,
}

/// Number of the callers' listener.
const CALLERS: usize = 0;
/// For readiness checks.
pub(crate) const READINESS: InternalListener =
    InternalListener { number: 1, sockets_fraction: 0.03 };
/// For the directory.
pub(crate) const DIRECTORY: InternalListener =
    InternalListener { number: 2, sockets_fraction: 0.1 };
/// For other routers.
pub(crate) const PEERS: InternalListener = InternalListener { number: 3, sockets_fraction: 0.05 };
/// For metrics.
pub(crate) const METRICS: InternalListener = InternalListener { number: 4, sockets_fraction: 0.02 };

/// Time in which the head of a request must arrive, in milliseconds.
pub(crate) fn head_timeout_ms(node: &Node) -> u64 {
    let timeout_ms = node.config().map(|config| config.limits.head_timeout_ms);
    timeout_ms.unwrap_or(DEFAULT_HEAD_TIMEOUT_MS) + HEAD_TIMEOUT_MARGIN_MS
}

/// Accepts callers until `stop` is true, and then those that the kernel has accepted already;
/// open connections stay open.
pub(crate) async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let accept = async {
            while !node.overload.borrow().may_accept(node.now_ms()) {
                tokio::time::sleep(OVERLOAD_PAUSE).await;
            }
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        node.overload.borrow_mut().record_accept(node.now_ms());
        serve_caller(&node, stream).await;
    }
    let mut backlog = Backlog::new(listener);
    while let Some((stream, _)) = backlog.next().await {
        node.count(Counter::BacklogConnections);
        serve_caller(&node, stream).await;
    }
}

/// Starts to serve an accepted connection of a caller, unless there is no room for it.
async fn serve_caller(node: &Rc<Node>, stream: TcpStream) {
    let max_connections = max_caller_connections(&node.settings());
    let is_full = node.caller_connections.get() >= max_connections;
    if is_full && !make_place(node, CALLERS, &node.caller_connections, max_connections).await {
        node.count(Counter::CallerConnectionsRefused);
        return;
    }
    let buffer_bytes = read_buffer_bytes(max_head_bytes(node));
    let opened = OpenConnection::open(&node.connections, CALLERS, buffer_bytes).await;
    let Some(connection) = opened else {
        node.count(Counter::CallerConnectionsRefused);
        return;
    };
    node.count(Counter::CallerConnections);
    let counted = Counted::new(&node.caller_connections);
    let node = node.clone();
    spawn_local(async move {
        let _counted = counted;
        let handler_node = node.clone();
        // Boxed, so that an idle connection does not hold memory for the
        // state of a request.
        let handler = move |request| Box::pin(forward::handle(handler_node.clone(), request));
        serve(&node, stream, &connection, handler).await;
    });
}

/// A connection in a count of open ones, until it is dropped.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.update(|open| open + 1);
        Self(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.update(|open| open - 1);
    }
}

/// Closes a connection of a listener that has as many as it may. Returns whether there is a
/// place then.
async fn make_place(node: &Node, listener: usize, open: &Cell<usize>, max: usize) -> bool {
    let has_closed = node.connections.replace_one(listener).await;
    let has_place = has_closed && open.get() < max;
    if !has_place {
        node.connections.refuse(Refusal::RefusedConnections);
    }
    has_place
}

/// Answers the requests on a listener that is not for callers with `answer`, until
/// the process ends.
pub(crate) async fn serve_internal(
    node: Rc<Node>,
    listener: TcpListener,
    internal: InternalListener,
    answer: impl Fn(&Node, &Request<Incoming>) -> Response<EdgeBody> + Clone + 'static,
) {
    let InternalListener { number, sockets_fraction } = internal;
    let max_sockets = node.settings().resources.max_sockets as f64;
    let max_connections = ((max_sockets * sockets_fraction) as usize).max(MIN_INTERNAL_CONNECTIONS);
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let is_full = open_connections.get() >= max_connections;
        if is_full && !make_place(&node, number, &open_connections, max_connections).await {
            continue;
        }
        let buffer_bytes = read_buffer_bytes(max_head_bytes(&node));
        let opened = OpenConnection::open(&node.connections, number, buffer_bytes).await;
        let Some(connection) = opened else { continue };
        let counted = Counted::new(&open_connections);
        let (node, answer, open_connections) =
            (node.clone(), answer.clone(), open_connections.clone());
        spawn_local(async move {
            let _counted = counted;
            let handler_node = node.clone();
            let open = open_connections.clone();
            let handler = move |request: Request<Incoming>| {
                let mut response = answer(&handler_node, &request);
                // An idle connection would only keep others out.
                if open.get() > max_connections / 2 {
                    set_connection_close(&mut response);
                }
                std::future::ready(response)
            };
            serve(&node, stream, &connection, handler).await;
        });
    }
}

/// Largest request head, in bytes.
fn max_head_bytes(node: &Node) -> usize {
    node.config().map_or(DEFAULT_MAX_HEAD_BYTES, |config| config.limits.max_head_bytes)
}

/// Read buffer of a connection whose heads have at most `max_head_bytes`, in bytes.
fn read_buffer_bytes(max_head_bytes: usize) -> usize {
    max_head_bytes.saturating_add(READ_AHEAD_BYTES).max(MIN_READ_BUFFER_BYTES)
}

/// Serves one connection until it is closed.
async fn serve<F, Fut>(node: &Node, stream: TcpStream, connection: &Rc<OpenConnection>, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Response<EdgeBody>>,
{
    let idle_ms =
        node.config().map_or(DEFAULT_IDLE_TIMEOUT_MS, |config| config.limits.idle_timeout_ms)
            + IDLE_TIMEOUT_MARGIN_MS;
    let max_head_bytes = max_head_bytes(node);
    let answer_end = AnswerEnd::default();
    let stream = OrderlyCloseStream::new(stream, answer_end.clone());
    let mut stream = CountedStream::new(stream, connection.clone());
    loop {
        let service = service_fn(|mut request: Request<Incoming>| {
            let (version, answer_end) = (request.version(), &answer_end);
            let open_request = connection.request_begins();
            request.extensions_mut().insert(connection.id);
            let response = handler(request);
            async move {
                let response = response.await;
                answer_end.record(version, &response);
                let response = response.map(|body| AnswerBody { body, _request: open_request });
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(idle_ms))
            .max_buf_size(read_buffer_bytes(max_head_bytes))
            .auto_date_header(false);
        if connection.has_many_fields.get() {
            builder.max_headers(max_head_bytes / SHORTEST_FIELD_BYTES);
        }
        let mut served = builder.serve_connection(TokioIo::new(stream), service);
        loop {
            let knows_end = node.connections.ends_idle();
            tokio::select! {
                // First, so that no further request is read that would end without an answer.
                biased;
                () = connection.close.notified() => return,
                // An interrupted connection is no error of this process.
                _ = &mut served => return,
                () = connection.many_fields_begin.notified() => break,
                () = connection.close_check_is_due() => {}
                // Lets the server read, which sees the end of a connection without a request.
                () = node.connections.idle_ends.notified(), if !knows_end => {}
            }
        }
        // No answer is being written: the stream reports this only between requests.
        let parts = served.into_parts();
        stream = parts.io.into_inner().put_back(&parts.read_buf);
    }
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
                (state.registry.position(), state.shared_entries(node.now_ms()))
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
    let budget = &node.connections.budget;
    let gauges = [
        ("open_requests", node.open_requests.get() as u64),
        ("idle_upstream_connections", node.pool.len() as u64),
        ("request_body_bytes", budget.used_bytes(MemoryUse::Bodies)),
        ("answer_bytes", budget.used_bytes(MemoryUse::Answers)),
        ("charged_bytes", budget.total_used_bytes()),
        ("memory_budget_bytes", budget.limit_bytes()),
        ("connections", node.connections.len() as u64),
        ("routers", state.live_router_count() as u64),
        ("upstreams", state.registry.len() as u64),
        ("evacuated_domains", state.evacuations.len() as u64),
        ("limited_upstreams", state.limited_upstream_count() as u64),
        ("cold_upstreams", state.cold_upstream_count(node.now_ms()) as u64),
        ("slow_upstreams", state.slow_upstream_count() as u64),
        ("prefill_tokens_per_ms", state.prefill_tokens_per_ms()),
        ("settings_awaiting_restart", node.settings_awaiting_restart.get() as u64),
        ("blocked_segments", state.prompt_crashes.blocked_count() as u64),
        ("store_era", state.registry.era()),
        ("unrecorded_streams", state.origin_log.unwritten_len() as u64),
        ("recorded_streams", state.recorded_origins.len() as u64),
        ("config_version", state.config.as_ref().map_or(0, |config| config.version)),
    ];
    let gauges = gauges.into_iter().chain(node.connections.refusal_counts());
    let text = state.metrics.render(&gauges.collect());
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
