//! Heads of requests and answers on their way through.

use std::net::SocketAddr;

use http::{
    HeaderMap, HeaderName, HeaderValue, Uri, Version,
    header::{
        CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, TE, TRAILER, TRANSFER_ENCODING,
        UPGRADE,
    },
    request, response,
};
use span_types::{UpstreamName, WorkspaceName};

use crate::{
    upstream_load::AttemptResult,
    wire_format::{HeaderNames, WireFormat},
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The host that a request names, in lower case and without a port.
pub(crate) fn host(parts: &request::Parts) -> Option<String> {
    let mut named = parts.headers.get_all(HOST).iter();
    let host = named.next()?.to_str().ok()?;
    if named.next().is_some() {
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

/// Removes what concerns only one connection.
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
    let fixed = [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in fixed {
        headers.remove(name);
    }
}

/// The head of a request as every attempt sends it.
pub(crate) fn outgoing(
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

/// Sets what differs between attempts.
pub(crate) fn address_to(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    upstream: &UpstreamName,
    copy_from: Option<SocketAddr>,
    time_left_ms: u64,
) {
    let copy_from = copy_from.and_then(|from| HeaderValue::from_str(&from.to_string()).ok());
    if let Some(value) = copy_from {
        headers.insert(names.copy_from.clone(), value);
    }
    if let Ok(value) = HeaderValue::from_str(upstream.as_str()) {
        headers.insert(names.expected_upstream.clone(), value);
    }
    headers.insert(names.time_left.clone(), HeaderValue::from(time_left_ms));
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    /// The answer to this request, made by the upstream.
    Proper,
    /// The upstream ran the request and failed.
    Failure,
    /// The upstream did not run the request.
    NotRun(AttemptResult),
    /// Not an answer to this request.
    Foreign(&'static str),
}

/// Reads the head of an upstream's answer to the request `id`.
pub(crate) fn read(parts: &response::Parts, wire_format: &WireFormat, id: &HeaderValue) -> Reading {
    let names = &wire_format.headers;
    let status = parts.status.as_u16();
    let echoed = parts.headers.get(&names.request_id);
    if echoed.is_some_and(|echoed| echoed != id) {
        return Reading::Foreign("the answer belongs to another request");
    }
    if status == 421 {
        return Reading::NotRun(AttemptResult::Replaced);
    }
    if parts.headers.contains_key(&names.not_run) {
        return Reading::NotRun(AttemptResult::Full);
    }
    if status >= 500 || status == 429 || status == 408 {
        return Reading::Failure;
    }
    if !(200..300).contains(&status) {
        return Reading::Proper;
    }
    if echoed.is_none() {
        return Reading::Foreign("the answer names no request");
    }
    if !parts.headers.contains_key(&names.signature) {
        return Reading::Foreign("the answer has no signature");
    }
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return Reading::Foreign("the answer is encoded");
    }
    Reading::Proper
}

/// How long an upstream keeps an idle connection, in milliseconds: `Some(0)`
/// if it closes it now, none if it does not say.
pub(crate) fn idle_ms(headers: &HeaderMap) -> Option<u64> {
    let has = |name: &HeaderName, token: &str| {
        let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
        values
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    };
    if has(&CONNECTION, "close") {
        return Some(0);
    }
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse::<u64>().ok().map(|seconds| seconds * 1_000)
}

/// The head of an upstream's answer as the caller gets it.
pub(crate) fn incoming(mut parts: response::Parts, names: &HeaderNames) -> response::Parts {
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(&names.load);
    parts.version = Version::HTTP_11;
    parts
}
