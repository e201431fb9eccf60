//! HTTP client for calls to the store and to other routers.

use std::{cell::RefCell, fmt::Display, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, header::HOST};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use tokio::{
    sync::watch,
    time::{Instant, timeout, timeout_at},
};

use crate::pool::{Connection, connect};

/// Largest answer, in bytes. A listing may have about a megabyte.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Longest time to read a body, in milliseconds. A process with 0.12 of a core needs a little
/// more than a second for 400 KB, so less than half of this for the largest answer.
const MAX_BODY_MS: u64 = 60_000;
/// Read buffer, in bytes. A process that is busy with callers' requests reads from
/// a connection only rarely, so each read has to take much.
const BUFFER_BYTES: usize = 512 * 1024;

/// Why a call got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No bytes arrived for this time, in milliseconds.
    #[error("no bytes arrived for {0} ms")]
    TimedOut(u64),
    /// The body of the answer did not end within this time, in milliseconds.
    #[error("the answer did not end within {0} ms")]
    TooLong(u64),
    /// The connection failed or the answer is too large.
    #[error("{0}")]
    Failed(String),
}

/// Address of a server, which may change. Clones share it.
#[derive(Clone, Debug)]
pub struct ServerAddress(Rc<watch::Sender<NumberedAddress>>);

/// An address, and how many there were before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NumberedAddress {
    address: SocketAddr,
    number: u64,
}

impl ServerAddress {
    /// The address `address`, until it is set to another one.
    pub fn new(address: SocketAddr) -> Self {
        Self(Rc::new(watch::Sender::new(NumberedAddress { address, number: 0 })))
    }

    /// The present address.
    pub fn get(&self) -> SocketAddr {
        self.0.borrow().address
    }

    /// Number of addresses before the present one.
    pub fn number(&self) -> u64 {
        self.0.borrow().number
    }

    /// Sets the address. Calls that are under way to another one fail at once, so that their
    /// callers make them again; a write may have had its effect there. Returns whether the
    /// address is another one.
    pub fn set(&self, address: SocketAddr) -> bool {
        self.0.send_if_modified(|present| {
            let is_other = present.address != address;
            if is_other {
                *present = NumberedAddress { address, number: present.number + 1 };
            }
            is_other
        })
    }
}

/// A client of one server. Keeps one connection between calls.
#[derive(Debug)]
pub struct HttpClient {
    address: ServerAddress,
    /// The connection, and the number of the address that it is to.
    idle: RefCell<Option<(u64, Connection)>>,
}

impl HttpClient {
    /// Creates a client of the server at `address`. It connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_address(ServerAddress::new(address))
    }

    /// Creates a client of a server whose address may change.
    pub fn with_address(address: ServerAddress) -> Self {
        Self { address, idle: RefCell::new(None) }
    }

    /// Number of addresses of the server before the present one.
    pub fn address_number(&self) -> u64 {
        self.address.number()
    }

    /// Makes a call and reads the answer. At most `timeout_ms` may pass until the
    /// head of the answer, and between chunks of its body. A `GET` is retried once on
    /// a new connection if the kept one fails; other calls are not retried.
    ///
    /// # Errors
    ///
    /// There is no complete answer; the call may have had its effect.
    pub async fn call(
        &self,
        request: http::request::Builder,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, CallError> {
        let mut addresses = self.address.0.subscribe();
        let NumberedAddress { address, number } = *addresses.borrow_and_update();
        let request = request
            .header(HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|error| CallError::Failed(error.to_string()))?;
        // If this future is dropped, its connection must not serve the next call.
        let idle = self.idle.borrow_mut().take();
        let idle = idle.filter(|(kept_number, _)| *kept_number == number);
        let idle = idle.map(|(_, connection)| connection).filter(Connection::is_ready);
        let call = Self::exchange_at(address, idle, request, timeout_ms);
        let (answer, connection) = tokio::select! {
            biased;
            _ = addresses.changed() => {
                return Err(CallError::Failed("the server has another address now".to_owned()));
            }
            result = call => result?,
        };
        *self.idle.borrow_mut() = Some((number, connection));
        Ok(answer)
    }

    async fn exchange_at(
        address: SocketAddr,
        idle: Option<Connection>,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<(Response<Bytes>, Connection), CallError> {
        if let Some(connection) = idle {
            let retry = (request.method() == Method::GET).then(|| request.clone());
            match (exchange(connection, request, timeout_ms).await, retry) {
                (Err(CallError::Failed(_)), Some(retry)) => {
                    return exchange(connect_to(address).await?, retry, timeout_ms).await;
                }
                (result, _) => return result,
            }
        }
        exchange(connect_to(address).await?, request, timeout_ms).await
    }
}

async fn connect_to(address: SocketAddr) -> Result<Connection, CallError> {
    let opened = connect(address, BUFFER_BYTES).await;
    opened.map_err(|error| CallError::Failed(error.to_string()))
}

/// Sends a request and reads the complete answer.
async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    timeout_ms: u64,
) -> Result<(Response<Bytes>, Connection), CallError> {
    let time_limit = Duration::from_millis(timeout_ms);
    let response = timeout(time_limit, connection.send(request)).await;
    let response = response.map_err(|_| CallError::TimedOut(timeout_ms))?;
    let response = response.map_err(|error| CallError::Failed(error.to_string()))?;
    let (head, body) = response.into_parts();
    let body = read_body(body, timeout_ms).await?;
    Ok((Response::from_parts(head, body), connection))
}

/// Reads a body whose chunks arrive at most `timeout_ms` after one another. The time
/// limit for the complete body is far longer: a busy process with a fraction of a
/// core reads a large one slowly.
///
/// # Errors
///
/// The body is interrupted, stalls, has no end, or is too large.
pub async fn read_body<B>(mut body: B, timeout_ms: u64) -> Result<Bytes, CallError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let time_limit = Duration::from_millis(timeout_ms);
    let end = Instant::now() + Duration::from_millis(MAX_BODY_MS);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout_at(end, timeout(time_limit, body.frame())).await;
        let frame = frame.map_err(|_| CallError::TooLong(MAX_BODY_MS))?;
        let Some(frame) = frame.map_err(|_| CallError::TimedOut(timeout_ms))? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| CallError::Failed(error.to_string()))?;
        if let Ok(chunk) = frame.into_data() {
            if bytes.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(CallError::Failed("the answer is too large".to_owned()));
            }
            bytes.extend_from_slice(&chunk);
        }
    }
}
