//! One attempt at an upstream.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use span_http::{Body, Client};

use super::Failure;

/// Sends a request to an upstream.
pub(super) async fn send(
    client: &Client,
    request: Request<Body>,
) -> Result<Response<Incoming>, Failure> {
    client.request(request).await.map_err(|error| {
        let message = format!("the upstream failed: {error}");
        if error.is_connect() {
            Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "upstream_unreachable", message)
        } else {
            Failure::unknown(StatusCode::BAD_GATEWAY, "upstream_failed", message)
        }
    })
}
