//! Body types and conversions.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, combinators::BoxBody};
use serde::{Serialize, de::DeserializeOwned};

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of requests and answers.
pub type Body = BoxBody<Bytes, BodyError>;

/// A body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is larger than allowed.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// Largest body allowed, in bytes.
        limit_bytes: usize,
    },
    /// The connection failed before the end of the body.
    #[error("the body ended early: {0}")]
    Incomplete(BodyError),
    /// The body is not the expected JSON.
    #[error("the body is not valid: {0}")]
    Json(#[from] serde_json::Error),
}

/// An empty body.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// A body of known bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// An answer with a JSON body; status 500 if `value` cannot be serialised.
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

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// [`ReadError::TooLarge`] past the limit, [`ReadError::Incomplete`] if the
/// connection fails first.
pub async fn collect_body<B>(body: B, limit_bytes: usize) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge { limit_bytes }),
        Err(error) => Err(ReadError::Incomplete(error)),
    }
}

/// Reads a JSON body of at most `limit_bytes`.
///
/// # Errors
///
/// As [`collect_body`], and [`ReadError::Json`].
pub async fn read_json_body<T, B>(body: B, limit_bytes: usize) -> Result<T, ReadError>
where
    T: DeserializeOwned,
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let bytes = collect_body(body, limit_bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}
