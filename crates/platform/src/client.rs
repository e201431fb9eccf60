//! Calls of the object API and the instance list.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use serde::de::DeserializeOwned;
use span_http::{Body, Client, empty_body, full_body};

use crate::{
    CallCounts, Condition, Error, Instance, Object, Watch,
    call::{Answer, exchange},
    counters::{Counters, count},
    object::check_key,
};

/// A read is repeated once, because a pooled connection may have gone silent.
const READ_ATTEMPTS: u32 = 2;

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address of the object API and instance list.
    pub address: SocketAddr,
    /// Time for one attempt at a call, in milliseconds. The platform answers
    /// in milliseconds; two attempts stay under the 10 s allowed for a call.
    pub call_timeout_ms: u64,
    /// Time to connect, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time a watch waits before it checks by a plain read that it has
    /// missed nothing, in milliseconds. Below the 3 s in which configuration
    /// has to be in force.
    pub watch_wait_ms: u64,
}

impl Settings {
    /// Default times for a platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, call_timeout_ms: 2_000, connect_timeout_ms: 1_000, watch_wait_ms: 2_000 }
    }
}

/// Client of the platform; clones share connections and counters.
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

    /// Settings of the client.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Calls made so far by all clones.
    pub fn counts(&self) -> CallCounts {
        self.inner.counters.read()
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        check_key(key)?;
        let answer = self.read(&format!("/objects/{key}"), self.call_timeout()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => object(answer).map(Some),
            _ => Err(refused(&answer, false)),
        }
    }

    /// Writes an object if `condition` holds and returns its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the condition does not hold, otherwise any error.
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
        let answer = self.exchange(request, self.call_timeout()).await?;
        match answer.status {
            StatusCode::OK => version(&answer).ok_or_else(|| Error::EffectUnknown {
                reason: "the answer names no version".to_owned(),
            }),
            StatusCode::PRECONDITION_FAILED => {
                count(&self.inner.counters.conflicts);
                Err(Error::Conflict { key: key.to_owned() })
            }
            _ => Err(refused(&answer, true)),
        }
    }

    /// Removes an object; true if there was one.
    ///
    /// # Errors
    ///
    /// Any error but [`Error::Conflict`].
    pub async fn delete(&self, key: &str) -> Result<bool, Error> {
        check_key(key)?;
        self.remove(&format!("/objects/{key}")).await
    }

    /// Keys that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        check_key(prefix)?;
        self.read_json(&format!("/objects?prefix={prefix}")).await
    }

    /// Waits up to `wait_ms` for a version above `after`; `None` if none came.
    /// A watch that the platform leaves stale also ends in `None`; see
    /// [`PlatformClient::watch`], which guards against it.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn wait_for_change(
        &self,
        key: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Option<Object>, Error> {
        check_key(key)?;
        count(&self.inner.counters.watches);
        let path = format!("/objects/{key}?after={after}&wait_ms={wait_ms}");
        let timeout = self.call_timeout() + Duration::from_millis(wait_ms);
        let request = self.request(Method::GET, &path, empty_body())?;
        let answer = self.exchange(request, timeout).await?;
        match answer.status {
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => object(answer).map(Some),
            _ => Err(refused(&answer, false)),
        }
    }

    /// Follows an object from the first version above `after`.
    pub fn watch(&self, key: &str, after: u64) -> Watch {
        Watch::new(self.clone(), key, after)
    }

    /// The instance list. Rows that are not valid are left out, so that one bad
    /// row does not hide the others.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let rows: Vec<serde_json::Value> = self.read_json("/instances").await?;
        Ok(rows.into_iter().filter_map(|row| serde_json::from_value(row).ok()).collect())
    }

    /// Adds or replaces an instance in the list. Repeating it is harmless.
    ///
    /// # Errors
    ///
    /// Any error but [`Error::Conflict`].
    pub async fn register(&self, instance: &Instance) -> Result<(), Error> {
        check_key(instance.name.as_str())?;
        let body = serde_json::to_vec(instance)
            .map_err(|error| Error::Rejected { status: 0, message: error.to_string() })?;
        let path = format!("/instances/{}", instance.name);
        let request = self.request(Method::PUT, &path, full_body(body))?;
        let answer = self.exchange(request, self.call_timeout()).await?;
        if answer.status.is_success() { Ok(()) } else { Err(refused(&answer, true)) }
    }

    /// Marks an instance as leaving. Repeating it is harmless.
    ///
    /// # Errors
    ///
    /// Any error but [`Error::Conflict`].
    pub async fn mark_leaving(&self, instance: &Instance) -> Result<(), Error> {
        self.register(&Instance { leaving: true, ..instance.clone() }).await
    }

    /// Removes an instance from the list; true if it was listed.
    ///
    /// # Errors
    ///
    /// Any error but [`Error::Conflict`].
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

    async fn exchange(&self, request: Request<Body>, timeout: Duration) -> Result<Answer, Error> {
        exchange(&self.inner.client, &self.inner.counters, request, timeout).await
    }

    async fn read(&self, path: &str, timeout: Duration) -> Result<Answer, Error> {
        let mut attempt = 1;
        loop {
            let request = self.request(Method::GET, path, empty_body())?;
            match self.exchange(request, timeout).await {
                Err(error) if attempt == READ_ATTEMPTS || !error.is_transient() => {
                    return Err(error);
                }
                Err(_) => attempt += 1,
                Ok(answer) => return Ok(answer),
            }
        }
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let answer = self.read(path, self.call_timeout()).await?;
        if !answer.status.is_success() {
            return Err(refused(&answer, false));
        }
        serde_json::from_slice(&answer.body).map_err(|error| Error::Unavailable {
            reason: format!("the answer is not valid: {error}"),
        })
    }

    async fn remove(&self, path: &str) -> Result<bool, Error> {
        let request = self.request(Method::DELETE, path, empty_body())?;
        let answer = self.exchange(request, self.call_timeout()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(false),
            status if status.is_success() => Ok(true),
            _ => Err(refused(&answer, true)),
        }
    }
}

fn refused(answer: &Answer, write: bool) -> Error {
    Error::of_status(answer.status, answer.message(), write)
}

fn version(answer: &Answer) -> Option<u64> {
    answer.headers.get(ETAG)?.to_str().ok()?.parse().ok()
}

fn object(answer: Answer) -> Result<Object, Error> {
    let version = version(&answer)
        .ok_or_else(|| Error::Unavailable { reason: "the answer names no version".to_owned() })?;
    Ok(Object { version, value: answer.body })
}
