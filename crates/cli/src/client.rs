//! Client of the intent API, which tries one address after another.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    Method, Request,
    header::{AUTHORIZATION, RETRY_AFTER},
};
use serde::{Serialize, de::DeserializeOwned};
use span_http::{Client, collect_body, full_body, root_cause};
use span_intent::message::{ErrorBody, ErrorResponse};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than the longest time in which the intent API completes an order.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A call failed at all addresses that were tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Error of the intent API, or one of the same form for a failed connection.
    pub(crate) error: ErrorBody,
    /// Time to wait before a retry, in seconds. Absent if the response has none.
    pub(crate) retry_after_s: Option<u64>,
}

/// Client of the intent API at several addresses.
#[derive(Debug)]
pub(crate) struct IntentClient {
    client: Client,
    addresses: Vec<SocketAddr>,
    key: String,
}

impl IntentClient {
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        Self { client: span_http::pooled_client(CONNECT_TIMEOUT), addresses, key }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallFailure> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallFailure> {
        let body = serde_json::to_vec(body)
            .map_err(|error| call_failure("bad_request", error.to_string(), Some(false)))?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Tries the addresses in turn until one gives a final result.
    ///
    /// Every intent has an id, so that it can be repeated at the next address without a
    /// second effect. If the effect at one address is not known, later failures do not
    /// change that. Only a success, or the error `stale`, which proves that the plan can
    /// no longer be confirmed, resolves it.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CallFailure> {
        let message =
            "no intent address is given; use --intent or set ROSEMARYSPAN_INTENT".to_owned();
        let mut last_failure = call_failure("unavailable", message, Some(false));
        let mut unknown_effect: Option<CallFailure> = None;
        for address in &self.addresses {
            let request = (method.clone(), path, body.clone());
            let failure = match self.attempt(*address, request).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            match failure.error.kind.as_str() {
                "unknown" => unknown_effect = Some(failure),
                "unavailable" => last_failure = failure,
                "stale" => return Err(failure),
                _ => return Err(unknown_effect.unwrap_or(failure)),
            }
        }
        Err(unknown_effect.unwrap_or(last_failure))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        (method, path, body): (Method, &str, Bytes),
    ) -> Result<T, CallFailure> {
        let is_read = method == Method::GET;
        let request = self
            .build_request(address, method, path, body)
            .map_err(|error| call_failure("bad_request", error.to_string(), Some(false)))?;
        let to_failure = |error: ExchangeError| {
            let message = format!("{address}: {}", error.message);
            // A read has no effect, so its effect cannot be unknown.
            if is_read || !error.may_have_arrived {
                return call_failure("unavailable", message, Some(false));
            }
            call_failure("unknown", message, None)
        };
        let result = tokio::time::timeout(CALL_TIMEOUT, self.send(request)).await;
        let timed_out = |_| ExchangeError {
            may_have_arrived: true,
            message: format!("no response within {} s", CALL_TIMEOUT.as_secs()),
        };
        let response = result.map_err(timed_out).flatten().map_err(to_failure)?;
        if !response.success {
            return Err(response.failure().map_err(to_failure)?);
        }
        serde_json::from_slice(&response.body).map_err(|error| to_failure(invalid_response(&error)))
    }

    fn build_request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> http::Result<Request<span_http::Body>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(full_body(body))
    }

    async fn send(&self, request: Request<span_http::Body>) -> Result<RawResponse, ExchangeError> {
        let response = self.client.request(request).await.map_err(|error| ExchangeError {
            may_have_arrived: !error.is_connect(),
            message: root_cause(&error),
        })?;
        let success = response.status().is_success();
        let retry_after = response.headers().get(RETRY_AFTER);
        let retry_after_s =
            retry_after.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
        let body =
            collect_body(response.into_body(), MAX_RESPONSE_BYTES).await.map_err(|error| {
                ExchangeError { may_have_arrived: true, message: error.to_string() }
            })?;
        Ok(RawResponse { success, retry_after_s, body })
    }
}

/// A response whose JSON body is not parsed yet.
struct RawResponse {
    success: bool,
    retry_after_s: Option<u64>,
    body: Bytes,
}

impl RawResponse {
    fn failure(&self) -> Result<CallFailure, ExchangeError> {
        let response: ErrorResponse =
            serde_json::from_slice(&self.body).map_err(|error| invalid_response(&error))?;
        let mut error = response.error;
        // The server sends this error before it reads the request.
        if error.kind == "too_many_connections" {
            error.kind = "unavailable".to_owned();
            error.accepted = Some(false);
        }
        Ok(CallFailure { error, retry_after_s: self.retry_after_s })
    }
}

/// A request without a valid response.
struct ExchangeError {
    message: String,
    /// The request may have reached the intent API.
    may_have_arrived: bool,
}

fn invalid_response(error: &serde_json::Error) -> ExchangeError {
    ExchangeError { may_have_arrived: true, message: format!("the response is not valid: {error}") }
}

fn call_failure(kind: &str, message: String, accepted: Option<bool>) -> CallFailure {
    let error = ErrorBody {
        kind: kind.to_owned(),
        message,
        accepted,
        problems: Vec::new(),
        since: Vec::new(),
    };
    CallFailure { error, retry_after_s: None }
}
