//! Status and counters, for operators and monitoring.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use span_http::{Body, full_body, json_response};
use span_types::{Outcome, RequestId};

use super::{Failure, Front, answer::stamp, auth, index::Index};

/// Answers `/status` and `/metrics`; `None` for any other path.
///
/// Both name workspaces' services and upstreams, so callers' keys do not open
/// them.
pub(super) async fn answer(
    front: &Arc<Front>,
    index: &Index,
    id: &RequestId,
    request: &Request<Incoming>,
) -> Option<Result<Response<Body>, Failure>> {
    let path = request.uri().path();
    if request.method() != Method::GET || !matches!(path, "/status" | "/metrics") {
        return None;
    }
    let admin_key = front.settings.admin_key_sha256.as_ref();
    if let Err(failure) = auth::authenticate_operator(index, admin_key, request.headers()) {
        return Some(Err(failure));
    }
    let mut response = match path {
        "/status" => json_response(StatusCode::OK, &front.control.status().await),
        _ => text(front.control.metrics().await),
    };
    stamp(&mut response, id, Outcome::Completed);
    Some(Ok(response))
}

fn text(metrics: String) -> Response<Body> {
    let mut response = Response::new(full_body(metrics));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
