//! One HTTP exchange with the platform, bounded in time.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use span_http::{Body, Client, collect_body, root_cause};

use crate::{
    Error,
    counters::{Counters, count},
};

const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// The message of an error answer.
    pub(crate) fn message(&self) -> String {
        let json = serde_json::from_slice::<serde_json::Value>(&self.body).ok();
        let message = json.as_ref().and_then(|json| json["error"]["message"].as_str());
        message.unwrap_or("no reason given").to_owned()
    }
}

/// Sends `request` and reads the whole answer. A call that runs out of time is
/// dropped together with its connection, so that a silent connection is never
/// used again.
pub(crate) async fn exchange(
    client: &Client,
    counters: &Counters,
    request: Request<Body>,
    timeout: Duration,
) -> Result<Answer, Error> {
    let write = request.method() != http::Method::GET;
    count(if write { &counters.writes } else { &counters.reads });
    let result = match tokio::time::timeout(timeout, send(client, request)).await {
        Ok(result) => result.map_err(|failure| failure.into_error(write)),
        Err(_) => {
            count(&counters.timeouts);
            let reason = format!("no answer within {} ms", timeout.as_millis());
            Err(Failure { reason, sent: true }.into_error(write))
        }
    };
    if result.is_err() {
        count(&counters.failures);
    }
    result
}

struct Failure {
    reason: String,
    /// The request may have reached the platform.
    sent: bool,
}

impl Failure {
    fn into_error(self, write: bool) -> Error {
        if write && self.sent {
            Error::EffectUnknown { reason: self.reason }
        } else {
            Error::Unavailable { reason: self.reason }
        }
    }
}

async fn send(client: &Client, request: Request<Body>) -> Result<Answer, Failure> {
    let response = client
        .request(request)
        .await
        .map_err(|error| Failure { sent: !error.is_connect(), reason: root_cause(&error) })?;
    read(response).await
}

async fn read(response: Response<Incoming>) -> Result<Answer, Failure> {
    let (parts, body) = response.into_parts();
    let body = collect_body(body, MAX_ANSWER_BYTES)
        .await
        .map_err(|error| Failure { sent: true, reason: error.to_string() })?;
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}
