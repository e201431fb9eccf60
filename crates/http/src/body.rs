//! Bodies of HTTP requests and responses.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Empty, Full, combinators::BoxBody};
use serde::{Serialize, de::DeserializeOwned};

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of requests and responses.
pub type Body = BoxBody<Bytes, BodyError>;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Largest body allowed, in bytes.
        limit_bytes: usize,
    },
    /// There is no memory for more of the body.
    #[error("there is no memory for the body")]
    NoMemory,
    /// The connection failed before the body was complete.
    #[error("the body ended early: {0}")]
    Incomplete(BodyError),
    /// The body is not valid JSON or not of the expected type.
    #[error("the body is not valid: {0}")]
    Json(#[from] serde_json::Error),
}

/// Makes a body without data.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Makes a body that holds all its data.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Makes a response with a JSON body. Its status is 500 if `value` cannot be
/// serialised.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let (status, bytes) = match serde_json::to_vec(value) {
        Ok(bytes) => (status, bytes),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
    };
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// [`ReadError::TooLarge`] if the body exceeds the limit,
/// [`ReadError::Incomplete`] if the connection fails before its end.
pub async fn collect_body<B>(body: B, limit_bytes: usize) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    collect_body_if(body, limit_bytes, |_| true).await
}

/// Reads a complete body of at most `limit_bytes`. Before a part of it is kept, `reserve` gets
/// its size and returns whether there is memory for it.
///
/// The parts are copied into one buffer: kept as they arrive, each of them would occupy many
/// times the memory of a few bytes.
///
/// # Errors
///
/// The errors of [`collect_body`], and [`ReadError::NoMemory`] if `reserve` returns false.
pub async fn collect_body_if<B>(
    body: B,
    limit_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = pin!(body);
    let (mut first, mut buffer) = (Bytes::new(), BytesMut::new());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadError::Incomplete(error.into()))?;
        let Ok(part) = frame.into_data() else { continue };
        if part.len() > limit_bytes - (first.len() + buffer.len()) {
            return Err(ReadError::TooLarge { limit_bytes });
        }
        if !reserve(part.len()) {
            return Err(ReadError::NoMemory);
        }
        if first.is_empty() && buffer.is_empty() {
            first = part;
            continue;
        }
        buffer.extend_from_slice(&std::mem::take(&mut first));
        buffer.extend_from_slice(&part);
    }
    Ok(if buffer.is_empty() { first } else { buffer.freeze() })
}

/// Reads and parses a JSON body of at most `limit_bytes`.
///
/// # Errors
///
/// The errors of [`collect_body`], and [`ReadError::Json`] if the body cannot
/// be parsed as `T`.
pub async fn read_json_body<T, B>(body: B, limit_bytes: usize) -> Result<T, ReadError>
where
    T: DeserializeOwned,
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let bytes = collect_body(body, limit_bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}
