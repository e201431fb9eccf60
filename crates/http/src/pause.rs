//! Pauses that a server asks for when it turns a request away.

use http::{HeaderMap, StatusCode, header::RETRY_AFTER};

/// Time for which a server that turned a request away with 503 asks for no further ones,
/// in milliseconds. A `Retry-After` that is not one number of seconds from 0 on is ignored.
pub fn requested_pause_ms(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let mut values = headers.get_all(RETRY_AFTER).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    // A conversion of a float to an integer stops at the largest integer.
    (seconds >= 0.0).then(|| (seconds * 1_000.0).ceil() as u64)
}
