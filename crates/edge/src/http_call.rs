//! Small HTTP calls to the store and to other routers.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::pool::{Connection, connect};

/// Largest answer, in bytes; a listing may hold about a megabyte.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A call got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No answer came in time.
    #[error("no answer within {0} ms")]
    TimedOut(u64),
    /// The connection failed.
    #[error("{0}")]
    Broken(String),
}

/// A connection to one server that is kept between calls, one call at a time.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    kept: RefCell<Option<Connection>>,
}

impl Caller {
    /// A caller of the server at `address`; connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, kept: RefCell::new(None) }
    }

    /// Makes a call and reads the answer. A `GET` whose kept connection breaks
    /// is sent once more on a new one; other calls are sent once.
    ///
    /// # Errors
    ///
    /// No answer came; the call may have had its effect.
    pub async fn call(
        &self,
        request: http::request::Builder,
        body: Bytes,
        limit_ms: u64,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = request
            .header(HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| CallError::Broken(error.to_string()))?;
        // A call that is cut short must not leave its connection to the next.
        let kept = self.kept.borrow_mut().take().filter(Connection::is_ready);
        let call = self.exchange(kept, request);
        let (answer, connection) = timeout(Duration::from_millis(limit_ms), call)
            .await
            .map_err(|_| CallError::TimedOut(limit_ms))??;
        *self.kept.borrow_mut() = Some(connection);
        Ok(answer)
    }

    async fn exchange(
        &self,
        kept: Option<Connection>,
        request: Request<Full<Bytes>>,
    ) -> Result<((StatusCode, Bytes), Connection), CallError> {
        if let Some(kept) = kept {
            let again = (request.method() == Method::GET).then(|| request.clone());
            match (exchange(kept, request).await, again) {
                (Err(CallError::Broken(_)), Some(again)) => {
                    return exchange(self.open().await?, again).await;
                }
                (result, _) => return result,
            }
        }
        exchange(self.open().await?, request).await
    }

    async fn open(&self) -> Result<Connection, CallError> {
        connect(self.address).await.map_err(|error| CallError::Broken(error.to_string()))
    }
}

async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<((StatusCode, Bytes), Connection), CallError> {
    let broken = |error: &dyn std::fmt::Display| CallError::Broken(error.to_string());
    let response = connection.send(request).await.map_err(|error| broken(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|error| broken(&error))?.to_bytes();
    Ok(((status, body), connection))
}
