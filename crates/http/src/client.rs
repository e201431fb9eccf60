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
pub fn client(connect_timeout: Duration) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEP_ALIVE));
    connector.set_connect_timeout(Some(connect_timeout));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE)
        // A request whose connection closed before it was sent may be sent
        // again; whether it may run again is for the caller to decide.
        .retry_canceled_requests(false)
        .build(connector)
}

/// The innermost cause of an error, which says more than the library's outer
/// layers, such as "Connection refused" instead of "client error (Connect)".
pub fn cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}
