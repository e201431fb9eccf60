//! Answers that this process makes itself.

use http::{HeaderValue, Response, StatusCode, header};

use super::body::EdgeBody;

/// Shortest time in a `Retry-After` header, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// An answer with one line of text.
pub(crate) fn text(status: StatusCode, message: &str) -> Response<EdgeBody> {
    let mut response = Response::new(EdgeBody::complete(format!("{message}\n").into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// An answer to a request that did not run, with a `Retry-After` header in seconds
/// and thousandths.
pub(crate) fn not_run(
    status: StatusCode,
    message: &str,
    retry_after_ms: u64,
) -> Response<EdgeBody> {
    let mut response = text(status, message);
    let retry_after_ms = retry_after_ms.max(MIN_RETRY_AFTER_MS);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
