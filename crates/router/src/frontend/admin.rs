//! `/status` and `/metrics`, for operators and monitoring.

use std::sync::Arc;

use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use span_http::{Body, full_body, json_response};
use span_types::{Outcome, RequestId};

use super::{Failure, Frontend, answer::set_outcome_headers, auth, config_index::ConfigIndex};

/// Answers `/status` and `/metrics`; `None` for any other path.
///
/// Both show services and upstreams of all workspaces, so the keys of callers do
/// not give access to them.
pub(super) async fn answer(
    frontend: &Arc<Frontend>,
    index: &ConfigIndex,
    id: &RequestId,
    request: &Request<Incoming>,
) -> Option<Result<Response<Body>, Failure>> {
    let path = request.uri().path();
    if request.method() != Method::GET || !matches!(path, "/status" | "/metrics") {
        return None;
    }
    let admin_key = frontend.settings.admin_key_sha256.as_ref();
    if let Err(failure) = auth::authenticate_operator(index, admin_key, request.headers()) {
        return Some(Err(failure));
    }
    let mut response = match path {
        "/status" => json_response(StatusCode::OK, &frontend.control.status().await),
        _ => text(frontend.control.metrics().await),
    };
    set_outcome_headers(&mut response, id, Outcome::Completed);
    Some(Ok(response))
}

fn text(metrics: String) -> Response<Body> {
    let mut response = Response::new(full_body(metrics));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
