//! How the end of a body is marked.

use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body::Body;

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// A length, or a status that has no body.
    Length,
    /// A last chunk.
    Chunked,
    /// The end of the connection, which a crash of the sender causes as well.
    UntilClose,
}

impl Framing {
    /// Framing of a response that was received with `headers` and `body`.
    pub fn of_response(headers: &HeaderMap, body: &impl Body) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) || body.is_end_stream() {
            Self::Length
        } else {
            Self::UntilClose
        }
    }
}
