//! A single HTTP call to the platform with a timeout.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use span_http::{Body, Client, ResponseBody, collect_body, root_cause};

use crate::{
    Error,
    counters::{Counters, count},
};

const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CompleteResponse {
    /// Returns the error message in the body, or a placeholder if there is none.
    pub(crate) fn error_message(&self) -> String {
        let json = serde_json::from_slice::<serde_json::Value>(&self.body).ok();
        let message = json.as_ref().and_then(|json| json["error"]["message"].as_str());
        message.unwrap_or("no reason given").to_owned()
    }
}

/// Sends `request` and reads the complete response. On a timeout, closes the
/// connection as well, so that an unresponsive connection is not used again.
pub(crate) async fn exchange(
    client: &Client,
    counters: &Counters,
    request: Request<Body>,
    timeout: Duration,
) -> Result<CompleteResponse, Error> {
    let is_write = request.method() != http::Method::GET;
    count(if is_write { &counters.writes } else { &counters.reads });
    let result = match tokio::time::timeout(timeout, send(client, request)).await {
        Ok(result) => result.map_err(|error| error.into_error(is_write)),
        Err(_) => {
            count(&counters.timeouts);
            let reason = format!("no answer within {} ms", timeout.as_millis());
            Err(ExchangeError { reason, may_have_arrived: true }.into_error(is_write))
        }
    };
    if result.is_err() {
        count(&counters.failures);
    }
    result
}

/// An exchange that ended without a complete response.
struct ExchangeError {
    reason: String,
    /// The request may have reached the platform.
    may_have_arrived: bool,
}

impl ExchangeError {
    fn into_error(self, is_write: bool) -> Error {
        if is_write && self.may_have_arrived {
            Error::EffectUnknown { reason: self.reason }
        } else {
            Error::Unavailable { reason: self.reason }
        }
    }
}

async fn send(client: &Client, request: Request<Body>) -> Result<CompleteResponse, ExchangeError> {
    let response = client.request(request).await.map_err(|error| ExchangeError {
        may_have_arrived: !error.is_connect(),
        reason: root_cause(&error),
    })?;
    read_response(response).await
}

async fn read_response(
    response: Response<ResponseBody>,
) -> Result<CompleteResponse, ExchangeError> {
    let (parts, body) = response.into_parts();
    let body = collect_body(body, MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| ExchangeError { may_have_arrived: true, reason: error.to_string() })?;
    Ok(CompleteResponse { status: parts.status, headers: parts.headers, body })
}
