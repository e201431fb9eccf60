//! Small HTTP calls to the store and to other routers.

use std::{cell::RefCell, fmt::Display, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, StatusCode, header::HOST};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use tokio::time::timeout;

use crate::pool::{Connection, connect};

/// Largest answer, in bytes; a listing may hold about a megabyte.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Bytes read ahead. A process that is busy with callers' requests comes back
/// to a connection only now and then, so each read has to take much.
const BUFFER_BYTES: usize = 512 * 1024;

/// A call got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing came for this time, in milliseconds.
    #[error("nothing came for {0} ms")]
    TimedOut(u64),
    /// The connection failed.
    #[error("{0}")]
    Broken(String),
}

/// A connection to one server that is kept between calls, one call at a time.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    kept: RefCell<Option<Connection>>,
}

impl HttpClient {
    /// A caller of the server at `address`; connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, kept: RefCell::new(None) }
    }

    /// Makes a call and reads the answer, in which at most `limit_ms` may pass
    /// without progress: to its head, and between pieces of its body. A `GET` whose kept connection breaks
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
        let call = self.exchange(kept, request, limit_ms);
        let (answer, connection) = call.await?;
        *self.kept.borrow_mut() = Some(connection);
        Ok(answer)
    }

    async fn exchange(
        &self,
        kept: Option<Connection>,
        request: Request<Full<Bytes>>,
        limit_ms: u64,
    ) -> Result<((StatusCode, Bytes), Connection), CallError> {
        if let Some(kept) = kept {
            let again = (request.method() == Method::GET).then(|| request.clone());
            match (exchange(kept, request, limit_ms).await, again) {
                (Err(CallError::Broken(_)), Some(again)) => {
                    return exchange(self.open().await?, again, limit_ms).await;
                }
                (result, _) => return result,
            }
        }
        exchange(self.open().await?, request, limit_ms).await
    }

    async fn open(&self) -> Result<Connection, CallError> {
        let opened = connect(self.address, BUFFER_BYTES).await;
        opened.map_err(|error| CallError::Broken(error.to_string()))
    }
}

async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    limit_ms: u64,
) -> Result<((StatusCode, Bytes), Connection), CallError> {
    let limit = Duration::from_millis(limit_ms);
    let response = timeout(limit, connection.send(request)).await;
    let response = response.map_err(|_| CallError::TimedOut(limit_ms))?;
    let response = response.map_err(|error| CallError::Broken(error.to_string()))?;
    let status = response.status();
    let body = read_body(response.into_body(), limit_ms).await?;
    Ok(((status, body), connection))
}

/// Reads a body whose pieces come at most `limit_ms` after one another. There
/// is no limit for the whole: a large one is read slowly by a process that has
/// a small part of a core and is busy.
///
/// # Errors
///
/// The body breaks off, stands still, or is too long.
pub async fn read_body<B>(mut body: B, limit_ms: u64) -> Result<Bytes, CallError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let limit = Duration::from_millis(limit_ms);
    let mut whole = BytesMut::new();
    loop {
        let frame = timeout(limit, body.frame()).await;
        let Some(frame) = frame.map_err(|_| CallError::TimedOut(limit_ms))? else {
            return Ok(whole.freeze());
        };
        let frame = frame.map_err(|error| CallError::Broken(error.to_string()))?;
        if let Ok(piece) = frame.into_data() {
            if whole.len() + piece.len() > MAX_ANSWER_BYTES {
                return Err(CallError::Broken("the answer is too long".to_owned()));
            }
            whole.extend_from_slice(&piece);
        }
    }
}
