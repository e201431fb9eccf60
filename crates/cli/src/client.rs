//! Calls of the intent API, at one address after another.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    Method, Request,
    header::{AUTHORIZATION, RETRY_AFTER},
};
use serde::{Serialize, de::DeserializeOwned};
use span_http::{Client, collect_body, full_body, root_cause};
use span_intent::message::{ErrorAnswer, ErrorBody};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than an order with all its calls takes at most.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// No address gave a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    /// The error as the intent API words it.
    pub(crate) error: ErrorBody,
    /// When to come back, in seconds.
    pub(crate) retry_after_s: Option<u64>,
}

/// Client of the intent API.
#[derive(Debug)]
pub(crate) struct Intents {
    client: Client,
    addresses: Vec<SocketAddr>,
    key: String,
}

impl Intents {
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: String) -> Self {
        Self { client: span_http::pooled_client(CONNECT_TIMEOUT), addresses, key }
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body)
            .map_err(|error| failure("bad_request", error.to_string(), Some(false)))?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Every intent carries an id, so that it can be repeated at the next
    /// address without a second effect. Once an effect is not known, only a
    /// result or a proof that the plan can no longer be confirmed settles it.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        let message = "no intent address is given".to_owned();
        let mut last = failure("unavailable", message, Some(false));
        let mut unknown: Option<Failure> = None;
        for address in &self.addresses {
            let request = (method.clone(), path, body.clone());
            let failure = match self.attempt(*address, request).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            match failure.error.kind.as_str() {
                "unknown" => unknown = Some(failure),
                "unavailable" => last = failure,
                "stale" => return Err(failure),
                _ => return Err(unknown.unwrap_or(failure)),
            }
        }
        Err(unknown.unwrap_or(last))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        (method, path, body): (Method, &str, Bytes),
    ) -> Result<T, Failure> {
        let read = method == Method::GET;
        let request = self
            .request(address, method, path, body)
            .map_err(|error| failure("bad_request", error.to_string(), Some(false)))?;
        let broken = |broken: Broken| {
            let message = format!("{address}: {}", broken.message);
            // A read has no effect that could be unknown.
            if read || !broken.sent {
                return failure("unavailable", message, Some(false));
            }
            failure("unknown", message, None)
        };
        let exchange = tokio::time::timeout(CALL_TIMEOUT, self.exchange(request)).await;
        let timed_out = |_| Broken {
            sent: true,
            message: format!("no answer within {} s", CALL_TIMEOUT.as_secs()),
        };
        let answer = exchange.map_err(timed_out).flatten().map_err(broken)?;
        if !answer.success {
            return Err(answer.failure().map_err(broken)?);
        }
        serde_json::from_slice(&answer.body).map_err(|error| broken(not_understood(&error)))
    }

    fn request(
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

    async fn exchange(&self, request: Request<span_http::Body>) -> Result<Answer, Broken> {
        let answer = self
            .client
            .request(request)
            .await
            .map_err(|error| Broken { sent: !error.is_connect(), message: root_cause(&error) })?;
        let success = answer.status().is_success();
        let retry_after = answer.headers().get(RETRY_AFTER);
        let retry_after_s =
            retry_after.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
        let body = collect_body(answer.into_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(|error| Broken { sent: true, message: error.to_string() })?;
        Ok(Answer { success, retry_after_s, body })
    }
}

struct Answer {
    success: bool,
    retry_after_s: Option<u64>,
    body: Bytes,
}

impl Answer {
    fn failure(&self) -> Result<Failure, Broken> {
        let answer: ErrorAnswer =
            serde_json::from_slice(&self.body).map_err(|error| not_understood(&error))?;
        let mut error = answer.error;
        // The server answers this without looking at the request.
        if error.kind == "too_many_connections" {
            error.kind = "unavailable".to_owned();
            error.accepted = Some(false);
        }
        Ok(Failure { error, retry_after_s: self.retry_after_s })
    }
}

/// There is no usable answer.
struct Broken {
    message: String,
    /// The request may have reached the intent API.
    sent: bool,
}

fn not_understood(error: &serde_json::Error) -> Broken {
    Broken { sent: true, message: format!("the answer is not understood: {error}") }
}

fn failure(kind: &str, message: String, accepted: Option<bool>) -> Failure {
    let error = ErrorBody {
        kind: kind.to_owned(),
        message,
        accepted,
        problems: Vec::new(),
        since: Vec::new(),
    };
    Failure { error, retry_after_s: None }
}
