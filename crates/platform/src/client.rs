//! Client of the object API and the instance list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use span_http::{Body, Client, empty_body, full_body};

use crate::{
    CallCounts, Condition, Error, Instance, Object, Watch,
    call::{CompleteResponse, exchange},
    counters::{Counters, count},
    object::check_key,
};

/// A read is retried once, because the server of a pooled connection may no
/// longer respond.
const MAX_READ_ATTEMPTS: u32 = 2;

/// Address and timeouts of a [`PlatformClient`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address of the object API and the instance list.
    pub address: SocketAddr,
    /// Timeout of one attempt at a call, in milliseconds. The platform usually
    /// answers within milliseconds. Two attempts must stay below the 10 s
    /// allowed for a call.
    pub call_timeout_ms: u64,
    /// Timeout for connecting, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest wait of a watch, in milliseconds; a plain read then checks that
    /// the watch has missed no change. Must be below 3 s, the time in which a
    /// configuration has to be in force.
    pub watch_wait_ms: u64,
}

impl Settings {
    /// Default timeouts for a platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, call_timeout_ms: 2_000, connect_timeout_ms: 1_000, watch_wait_ms: 2_000 }
    }
}

/// Client of the platform. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    client: Client,
    counters: Counters,
}

impl PlatformClient {
    /// Makes a client; connects on the first call.
    pub fn new(settings: Settings) -> Self {
        let client = span_http::pooled_client(Duration::from_millis(settings.connect_timeout_ms));
        Self { inner: Arc::new(Inner { settings, client, counters: Counters::default() }) }
    }

    /// Address and timeouts that the client was made with.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Number of calls that all clones have made so far.
    pub fn counts(&self) -> CallCounts {
        self.inner.counters.snapshot()
    }

    /// Reads an object. Returns `None` if there is none under `key`.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        check_key(key)?;
        let response = self.read(&format!("/objects/{key}"), self.call_timeout()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => decode_object(response).map(Some),
            _ => Err(status_error(&response, false)),
        }
    }

    /// Writes an object if `condition` holds and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the condition does not hold, or any other error.
    pub async fn put(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        condition: Condition,
    ) -> Result<u64, Error> {
        check_key(key)?;
        let mut request =
            self.request(Method::PUT, &format!("/objects/{key}"), full_body(value))?;
        let headers = request.headers_mut();
        match condition {
            Condition::Any => None,
            Condition::Absent => headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*")),
            Condition::Version(version) => headers.insert(IF_MATCH, HeaderValue::from(version)),
        };
        let response = self.exchange(request, self.call_timeout()).await?;
        match response.status {
            StatusCode::OK => object_version(&response).ok_or_else(|| Error::EffectUnknown {
                reason: "the answer names no version".to_owned(),
            }),
            StatusCode::PRECONDITION_FAILED => {
                count(&self.inner.counters.conflicts);
                Err(Error::Conflict { key: key.to_owned() })
            }
            _ => Err(status_error(&response, true)),
        }
    }

    /// Removes an object. Returns whether it existed.
    ///
    /// # Errors
    ///
    /// Any error except [`Error::Conflict`].
    pub async fn delete(&self, key: &str) -> Result<bool, Error> {
        check_key(key)?;
        self.remove(&format!("/objects/{key}")).await
    }

    /// Lists the keys that start with `prefix`, in ascending order.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        check_key(prefix)?;
        self.read_json(&format!("/objects?prefix={prefix}")).await
    }

    /// Waits up to `wait_ms` for a version above `after_version`. Returns
    /// `None` if there was none. Also returns `None` if the platform has left
    /// the watch stale; [`PlatformClient::watch`] detects that.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn wait_for_change(
        &self,
        key: &str,
        after_version: u64,
        wait_ms: u64,
    ) -> Result<Option<Object>, Error> {
        check_key(key)?;
        count(&self.inner.counters.watches);
        let path = format!("/objects/{key}?after={after_version}&wait_ms={wait_ms}");
        let timeout = self.call_timeout() + Duration::from_millis(wait_ms);
        let request = self.request(Method::GET, &path, empty_body())?;
        let response = self.exchange(request, timeout).await?;
        match response.status {
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => decode_object(response).map(Some),
            _ => Err(status_error(&response, false)),
        }
    }

    /// Follows the versions of an object above `after_version`.
    pub fn watch(&self, key: &str, after_version: u64) -> Watch {
        Watch::new(self.clone(), key, after_version)
    }

    /// Reads the instance list. Skips invalid rows, so that one of them does
    /// not hide the others.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let body = self.read_body("/instances").await?;
        // Bytes that are no text spoil only their row, and so does what JSON cannot express.
        let text = String::from_utf8_lossy(&body);
        let rows: Vec<&RawValue> = serde_json::from_str(&text).map_err(invalid_answer)?;
        Ok(rows.into_iter().filter_map(|row| serde_json::from_str(row.get()).ok()).collect())
    }

    /// Adds or replaces an instance in the list. Idempotent.
    ///
    /// # Errors
    ///
    /// Any error except [`Error::Conflict`].
    pub async fn register(&self, instance: &Instance) -> Result<(), Error> {
        check_key(instance.name.as_str())?;
        let body = serde_json::to_vec(instance)
            .map_err(|error| Error::Rejected { status: 0, message: error.to_string() })?;
        let path = format!("/instances/{}", instance.name);
        let request = self.request(Method::PUT, &path, full_body(body))?;
        let response = self.exchange(request, self.call_timeout()).await?;
        if response.status.is_success() { Ok(()) } else { Err(status_error(&response, true)) }
    }

    /// Marks an instance as leaving. Idempotent.
    ///
    /// # Errors
    ///
    /// Any error except [`Error::Conflict`].
    pub async fn mark_leaving(&self, instance: &Instance) -> Result<(), Error> {
        self.register(&Instance { leaving: true, ..instance.clone() }).await
    }

    /// Removes an instance from the list. Returns whether it was listed.
    ///
    /// # Errors
    ///
    /// Any error except [`Error::Conflict`].
    pub async fn remove_instance(&self, name: &str) -> Result<bool, Error> {
        check_key(name)?;
        self.remove(&format!("/instances/{name}")).await
    }

    fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.inner.settings.call_timeout_ms)
    }

    fn request(&self, method: Method, path: &str, body: Body) -> Result<Request<Body>, Error> {
        let uri = format!("http://{}{path}", self.inner.settings.address);
        Request::builder()
            .method(method)
            .uri(uri)
            .body(body)
            .map_err(|error| Error::Rejected { status: 0, message: error.to_string() })
    }

    async fn exchange(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<CompleteResponse, Error> {
        exchange(&self.inner.client, &self.inner.counters, request, timeout).await
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<CompleteResponse, Error> {
        let mut attempt = 1;
        loop {
            let request = self.request(Method::GET, path, empty_body())?;
            match self.exchange(request, timeout).await {
                Err(error) if attempt == MAX_READ_ATTEMPTS || !error.is_transient() => {
                    return Err(error);
                }
                Err(_) => attempt += 1,
                Ok(response) => return Ok(response),
            }
        }
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = self.read_body(path).await?;
        serde_json::from_slice(&body).map_err(invalid_answer)
    }

    async fn read_body(&self, path: &str) -> Result<Bytes, Error> {
        let response = self.read(path, self.call_timeout()).await?;
        if response.status.is_success() {
            Ok(response.body)
        } else {
            Err(status_error(&response, false))
        }
    }

    async fn remove(&self, path: &str) -> Result<bool, Error> {
        let request = self.request(Method::DELETE, path, empty_body())?;
        let response = self.exchange(request, self.call_timeout()).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            _ => Err(status_error(&response, true)),
        }
    }
}

fn status_error(response: &CompleteResponse, is_write: bool) -> Error {
    Error::from_status(response.status, response.error_message(), is_write)
}

fn invalid_answer(error: serde_json::Error) -> Error {
    Error::Unavailable { reason: format!("the answer is not valid: {error}") }
}

fn object_version(response: &CompleteResponse) -> Option<u64> {
    response.headers.get(ETAG)?.to_str().ok()?.parse().ok()
}

fn decode_object(response: CompleteResponse) -> Result<Object, Error> {
    let version = object_version(&response)
        .ok_or_else(|| Error::Unavailable { reason: "the answer names no version".to_owned() })?;
    Ok(Object { version, value: response.body })
}
