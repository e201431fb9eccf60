//! Pooled HTTP client.

use std::time::Duration;

use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::Body;

/// HTTP client with a connection pool per address.
pub type Client = legacy::Client<HttpConnector, Body>;
/// Error of [`Client`].
pub type ClientError = legacy::Error;

const KEEP_ALIVE: Duration = Duration::from_secs(10);
const POOL_IDLE: Duration = Duration::from_secs(30);

/// Makes a client that gives up connecting after `connect_timeout`.
pub fn pooled_client(connect_timeout: Duration) -> Client {
    builder().pool_idle_timeout(POOL_IDLE).build(connector(connect_timeout))
}

/// As [`pooled_client`], with a new connection for each request.
///
/// A pooled connection may have gone silent or be closing, and an error on it
/// leaves open whether the request was received.
pub fn unpooled_client(connect_timeout: Duration) -> Client {
    builder().pool_max_idle_per_host(0).build(connector(connect_timeout))
}

fn connector(connect_timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEP_ALIVE));
    connector.set_connect_timeout(Some(connect_timeout));
    connector
}

fn builder() -> legacy::Builder {
    let mut builder = legacy::Client::builder(TokioExecutor::new());
    // A request whose connection closed before it was sent may be sent again;
    // whether it may run again is for the caller to decide.
    builder.pool_timer(TokioTimer::new()).retry_canceled_requests(false);
    builder
}

/// The innermost cause of an error, which says more than the library's outer
/// layers, such as "Connection refused" instead of "client error (Connect)".
pub fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
