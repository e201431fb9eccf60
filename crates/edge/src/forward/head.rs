//! Heads of forwarded requests and answers.

use std::net::SocketAddr;

use http::{
    HeaderMap, HeaderName, HeaderValue, Uri, Version,
    header::{
        CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING,
        UPGRADE,
    },
    request, response,
};
use span_http::states_event_stream;
use span_types::{UpstreamName, WorkspaceName};

use crate::{
    config::RouteKind,
    upstream_load::AttemptResult,
    wire_format::{HeaderNames, WireFormat},
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Host of a request, in lower case and without the port; none if the header is
/// missing or given twice.
pub(crate) fn host(parts: &request::Parts) -> Option<String> {
    let mut values = parts.headers.get_all(HOST).iter();
    let host = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    Some(host.to_ascii_lowercase())
}

/// The only value of a header; none if it is missing or given twice.
pub(crate) fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// Removes the headers that concern only one connection.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let standard =
        [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in standard {
        headers.remove(name);
    }
}

/// Head of a request without the headers that differ between attempts.
pub(crate) fn request_head(
    mut parts: request::Parts,
    names: &HeaderNames,
    workspace: Option<&WorkspaceName>,
    body_bytes: usize,
) -> request::Parts {
    let headers = &mut parts.headers;
    let had_body = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    remove_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.remove(&names.key);
    headers.remove(&names.workspace);
    headers.remove(&names.expected_upstream);
    headers.remove(&names.copy_from);
    for name in &names.reserved {
        headers.remove(name);
    }
    if let Some(value) = workspace.and_then(|name| HeaderValue::from_str(name.as_str()).ok()) {
        headers.insert(names.workspace.clone(), value);
    }
    headers.remove(CONTENT_LENGTH);
    if had_body || body_bytes > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body_bytes));
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(Uri::default, Uri::from);
    parts.version = Version::HTTP_11;
    parts
}

/// Sets the headers that differ between attempts.
pub(crate) fn set_attempt_headers(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    upstream: &UpstreamName,
    copy_from: Option<SocketAddr>,
    remaining_ms: u64,
) {
    let copy_from = copy_from.and_then(|from| HeaderValue::from_str(&from.to_string()).ok());
    if let Some(value) = copy_from {
        headers.insert(names.copy_from.clone(), value);
    }
    if let Ok(value) = HeaderValue::from_str(upstream.as_str()) {
        headers.insert(names.expected_upstream.clone(), value);
    }
    headers.insert(names.remaining_time.clone(), HeaderValue::from(remaining_ms));
}

/// Kind of an upstream's answer, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadKind {
    /// The upstream's answer to this request.
    Proper,
    /// The upstream ran the request and answered with an error.
    Failure,
    /// The upstream did not run the request.
    NotRun(AttemptResult),
    /// Not an answer to this request, or not a usable one.
    Foreign(&'static str),
}

/// Classifies the head of an upstream's answer to the request `id`. `continues` says
/// whether the caller has the beginning of a stream, to which a success is joined.
pub(crate) fn classify(
    parts: &response::Parts,
    wire_format: &WireFormat,
    id: &HeaderValue,
    continues: bool,
) -> HeadKind {
    let names = &wire_format.headers;
    let status = parts.status.as_u16();
    let mut echoed = parts.headers.get_all(&names.request_id).iter().peekable();
    // It may be a copy of an answer to an earlier request on the connection.
    if echoed.peek().is_none() {
        return HeadKind::Foreign("the answer names no request");
    }
    if echoed.any(|echoed| echoed != id) {
        return HeadKind::Foreign("the answer belongs to another request");
    }
    if status == 421 {
        return HeadKind::NotRun(AttemptResult::Replaced);
    }
    if parts.headers.contains_key(&names.not_run) {
        return HeadKind::NotRun(AttemptResult::Full);
    }
    if status >= 500 || status == 429 || status == 408 {
        return HeadKind::Failure;
    }
    if !(200..300).contains(&status) {
        return HeadKind::Proper;
    }
    if !parts.headers.contains_key(&names.signature) {
        return HeadKind::Foreign("the answer has no signature");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return HeadKind::Foreign("the answer is encoded");
    }
    if continues && !states_event_stream(&parts.headers) {
        return HeadKind::Foreign("the answer is no stream of events");
    }
    HeadKind::Proper
}

/// Whether an answer states that its upstream is leaving.
pub(crate) fn states_leaving(headers: &HeaderMap, names: &HeaderNames) -> bool {
    let mut values = headers.get_all(&names.leaving).iter();
    values.any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Time for which the upstream of an answer is still cold, in milliseconds; none if the
/// answer does not say.
pub(crate) fn cold_remaining_ms(headers: &HeaderMap, names: &HeaderNames) -> Option<u64> {
    single(headers, &names.cold_remaining)?.to_str().ok()?.trim().parse().ok()
}

/// Limit in requests per second that an answer names; none if it names none.
///
/// # Errors
///
/// The answer names something else, which is returned.
pub(crate) fn request_limit(
    headers: &HeaderMap,
    wire_format: &WireFormat,
) -> Result<Option<f64>, String> {
    let name = &wire_format.headers.request_limit;
    if !headers.contains_key(name) {
        return Ok(None);
    }
    let value = single(headers, name);
    let per_s = value.and_then(|value| (wire_format.decode_request_limit)(value.as_bytes()));
    per_s.map(Some).ok_or_else(|| {
        let values: Vec<_> = headers.get_all(name).iter().collect();
        format!("{values:?}")
    })
}

/// Whether an answer is a series of events. Errors on the routes of streams are not.
pub(crate) fn is_event_stream(parts: &response::Parts, kind: RouteKind) -> bool {
    states_event_stream(&parts.headers) || (kind.is_stream() && parts.status.is_success())
}

/// Idle timeout of an upstream's connection, in milliseconds: `Some(0)` if the
/// upstream closes it now, none if it does not state one.
pub(crate) fn idle_timeout_ms(headers: &HeaderMap) -> Option<u64> {
    let has_token = |name: &HeaderName, token: &str| {
        let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
        values
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    };
    if has_token(&CONNECTION, "close") {
        return Some(0);
    }
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.trim().parse::<u64>().ok().map(|seconds| seconds * 1_000)
}

/// Head of an upstream's answer for the caller.
pub(crate) fn response_head(mut parts: response::Parts, names: &HeaderNames) -> response::Parts {
    remove_hop_by_hop(&mut parts.headers);
    // These concern routers, not callers.
    for name in [&names.load_report, &names.leaving, &names.request_limit, &names.cold_remaining] {
        parts.headers.remove(name);
    }
    parts.version = Version::HTTP_11;
    parts
}
