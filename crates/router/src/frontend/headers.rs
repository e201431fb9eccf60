//! Headers that are not passed on: hop-by-hop ones (RFC 9110, section 7.6.1), and the
//! outcome that an upstream states.

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRANSFER_ENCODING, UPGRADE},
};
use span_types::OUTCOME_HEADER;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the hop-by-hop headers and those that `Connection` names. `Trailer` and
/// `TE: trailers` stay, because trailers are passed through.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let trailers = headers.get_all(TE).iter().any(accepts_trailers);
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    let fixed = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    for name in fixed {
        headers.remove(name);
    }
    if trailers {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
}

/// Removes the headers of an upstream's answer that do not reach the caller: the
/// hop-by-hop ones, and the outcome, which only the router states.
pub(super) fn clean_answer_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(OUTCOME_HEADER);
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok()).collect()
}

fn accepts_trailers(value: &HeaderValue) -> bool {
    let text = value.to_str().unwrap_or_default();
    text.split(',').any(|part| part.trim().eq_ignore_ascii_case("trailers"))
}
