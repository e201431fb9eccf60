//! Answers as HTTP.

use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};
use serde::Serialize;
use span_http::{Body, json_response};

use crate::{
    IntentError,
    message::{ErrorAnswer, ErrorBody},
};

/// The answer for the result of an intent.
pub(crate) fn answer<T: Serialize>(result: Result<T, IntentError>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => failure(error),
    }
}

fn failure(error: IntentError) -> Response<Body> {
    let status = error.status();
    let retry_after_ms = error.retry_after_ms();
    let mut response = json_response(status, &ErrorAnswer { error: body(error) });
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn body(error: IntentError) -> ErrorBody {
    let kind = error.kind().to_owned();
    let accepted = error.accepted();
    let message = match accepted {
        Some(_) => format!("{error}; the intent is not accepted"),
        None => format!("{error}; repeating the intent is safe"),
    };
    let (problems, since) = match error {
        IntentError::Invalid(problems) => (problems, Vec::new()),
        IntentError::Stale { since, .. } => (Vec::new(), since),
        _ => (Vec::new(), Vec::new()),
    };
    ErrorBody { kind, message, accepted, problems, since }
}
