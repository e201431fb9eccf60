//! Reads and conditional writes of claim buckets in the object API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, Response, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use hyper::body::Incoming;
use span_http::{Client, collect, empty, full};
use span_once::Bucket;

const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A call of the object API gave no certain result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the object API gave no certain answer")]
pub(super) struct Uncertain;

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// Stored under this version.
    Stored(Option<u64>),
    /// The object had another version.
    Conflict,
}

/// A bucket as stored.
#[derive(Clone, Debug, Default)]
pub(super) struct Stored {
    /// Version of the object; `None` if there is none.
    pub version: Option<u64>,
    /// Its claims.
    pub bucket: Bucket,
}

/// Access to the buckets.
#[derive(Clone, Debug)]
pub(super) struct Objects {
    /// Client with connections of its own.
    pub client: Client,
    /// Address of the object API.
    pub address: SocketAddr,
    /// Time for one call.
    pub timeout: Duration,
}

impl Objects {
    /// Reads a bucket.
    pub async fn read(&self, bucket: u64) -> Result<Stored, Uncertain> {
        let request = Request::get(self.uri(bucket)).body(empty()).map_err(|_| Uncertain)?;
        let (response, body) = self.call(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(Stored::default()),
            StatusCode::OK => {
                let bucket = serde_json::from_slice(&body).map_err(|_| Uncertain)?;
                let version = version(&response).ok_or(Uncertain)?;
                Ok(Stored { version: Some(version), bucket })
            }
            _ => Err(Uncertain),
        }
    }

    /// Writes a bucket if it still has the version it was read with.
    pub async fn write(
        &self,
        bucket: u64,
        read: Option<u64>,
        value: &Bucket,
    ) -> Result<Written, Uncertain> {
        let value = serde_json::to_vec(value).map_err(|_| Uncertain)?;
        let (name, condition) = match read {
            Some(version) => (IF_MATCH, HeaderValue::from(version)),
            None => (IF_NONE_MATCH, HeaderValue::from_static("*")),
        };
        let request = Request::builder().method(Method::PUT).uri(self.uri(bucket));
        let request = request.header(name, condition).body(full(value)).map_err(|_| Uncertain)?;
        let (response, _) = self.call(request).await?;
        match response.status() {
            StatusCode::PRECONDITION_FAILED => Ok(Written::Conflict),
            status if status.is_success() => Ok(Written::Stored(version(&response))),
            _ => Err(Uncertain),
        }
    }

    fn uri(&self, bucket: u64) -> String {
        format!("http://{}/objects/claims/{bucket:02x}", self.address)
    }

    async fn call(
        &self,
        request: Request<span_http::Body>,
    ) -> Result<(Response<()>, Bytes), Uncertain> {
        let called = async {
            let answer: Response<Incoming> =
                self.client.request(request).await.map_err(|_| Uncertain)?;
            let (head, body) = answer.into_parts();
            let body = collect(body, MAX_VALUE_BYTES).await.map_err(|_| Uncertain)?;
            Ok((Response::from_parts(head, ()), body))
        };
        tokio::time::timeout(self.timeout, called).await.unwrap_or(Err(Uncertain))
    }
}

fn version(response: &Response<()>) -> Option<u64> {
    let text = response.headers().get(ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}
