//! HTTP clients with and without connection reuse.

use std::time::Duration;

use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::Body;

/// HTTP client with one connection pool per address.
pub type Client = legacy::Client<HttpConnector, Body>;
/// Error of [`Client`].
pub type ClientError = legacy::Error;

/// Idle time of a connection before TCP keepalive probes it.
const TCP_KEEPALIVE: Duration = Duration::from_secs(10);
/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a client that reuses connections.
pub fn pooled_client(connect_timeout: Duration) -> Client {
    builder().pool_idle_timeout(POOL_IDLE_TIMEOUT).build(connector(connect_timeout))
}

/// Makes a client that opens a new connection for each request.
///
/// A pooled connection may be unresponsive or closing, and an error on it does
/// not tell whether the server received the request.
pub fn unpooled_client(connect_timeout: Duration) -> Client {
    builder().pool_max_idle_per_host(0).build(connector(connect_timeout))
}

fn connector(connect_timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_keepalive(Some(TCP_KEEPALIVE));
    connector.set_connect_timeout(Some(connect_timeout));
    connector
}

fn builder() -> legacy::Builder {
    let mut builder = legacy::Client::builder(TokioExecutor::new());
    // No automatic retries: the caller decides whether a request may be sent
    // again, also if the connection closed before the request was sent.
    builder.pool_timer(TokioTimer::new()).retry_canceled_requests(false);
    builder
}

/// Returns the message of the innermost cause of an error. It is more specific
/// than that of the outer layers: "Connection refused" instead of "client error
/// (Connect)".
pub fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
