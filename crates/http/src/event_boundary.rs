//! Whether a stream of server-sent events is complete.

use http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};

use crate::Framing;

/// Bytes of the longest end of an event: an LF and a blank line with CRLF.
const TAIL_BYTES: usize = 3;

/// Why a stream of events is not complete although its framing ends in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenStream {
    /// The last event has no blank line at its end.
    #[error("the stream ends inside an event")]
    InsideEvent,
    /// Nothing but the end of the connection says that there are no events.
    #[error("the connection ends before the first event")]
    NoEvent,
}

/// Whether the headers of an answer state that it is a stream of events.
pub fn states_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).map_or(&[][..], HeaderValue::as_bytes);
    content_type.to_ascii_lowercase().starts_with(b"text/event-stream")
}

/// Tells whether an event stream of which only the bytes are seen is between two
/// events or inside one. It keeps the last bytes only.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    tail: [u8; TAIL_BYTES],
    seen_bytes: bool,
}

impl EventBoundary {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.seen_bytes |= !bytes.is_empty();
        for byte in &bytes[bytes.len().saturating_sub(TAIL_BYTES)..] {
            self.tail.rotate_left(1);
            self.tail[TAIL_BYTES - 1] = *byte;
        }
    }

    /// Whether the stream stops inside an event: a blank line ends each event.
    pub fn is_inside_event(&self) -> bool {
        let ended = self.tail.ends_with(b"\n\n") || self.tail == *b"\n\r\n";
        self.seen_bytes && !ended
    }

    /// Checks a stream with this `framing` after its last byte.
    ///
    /// # Errors
    ///
    /// The sender broke the stream off: a crashed process ends its connections in
    /// order, and one behind a proxy its chunks.
    pub fn check_end(&self, framing: Framing) -> Result<(), BrokenStream> {
        if self.is_inside_event() {
            Err(BrokenStream::InsideEvent)
        } else if !self.seen_bytes && framing == Framing::UntilClose {
            Err(BrokenStream::NoEvent)
        } else {
            Ok(())
        }
    }
}
