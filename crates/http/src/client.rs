//! HTTP clients with and without connection reuse.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use http::{Request, Response, StatusCode, Uri};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::{
    Body, ClientStream, ResponseBody,
    client_stream::{Upload, is_answer_status},
};

/// HTTP client with one connection pool per address.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<CheckedConnector, Body>);

/// Error of [`Client`].
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed, or what came is no HTTP.
    #[error("{0}")]
    Connection(#[from] legacy::Error),
    /// HTTP has no answer of this status.
    #[error("{0} is not the status of an answer")]
    Status(StatusCode),
}

impl ClientError {
    /// Whether no connection could be opened, so that nothing was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Connection(error) if error.is_connect())
    }
}

impl Client {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// There is no answer. Unless [`ClientError::is_connect`], the request may have been
    /// received.
    pub async fn request(
        &self,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, ClientError> {
        let upload = Upload::default();
        let response = self.0.request(request.map(|body| upload.track(body))).await?;
        if !is_answer_status(response.status()) {
            return Err(ClientError::Status(response.status()));
        }
        Ok(ResponseBody::wrap(response, upload))
    }
}

/// Opens the connections of a [`Client`].
#[derive(Clone, Debug)]
struct CheckedConnector(HttpConnector);

impl Service<Uri> for CheckedConnector {
    type Response = TokioIo<ClientStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(ClientStream::new(stream)))
        })
    }
}

/// Idle time of a connection before TCP keepalive probes it.
const TCP_KEEPALIVE: Duration = Duration::from_secs(10);
/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Makes a client that reuses connections.
pub fn pooled_client(connect_timeout: Duration) -> Client {
    Client(builder().pool_idle_timeout(POOL_IDLE_TIMEOUT).build(connector(connect_timeout)))
}

/// Makes a client that opens a new connection for each request.
///
/// A pooled connection may be unresponsive or closing, and an error on it does
/// not tell whether the server received the request.
pub fn unpooled_client(connect_timeout: Duration) -> Client {
    Client(builder().pool_max_idle_per_host(0).build(connector(connect_timeout)))
}

fn connector(connect_timeout: Duration) -> CheckedConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_keepalive(Some(TCP_KEEPALIVE));
    connector.set_connect_timeout(Some(connect_timeout));
    CheckedConnector(connector)
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
