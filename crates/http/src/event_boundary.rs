//! Recognition of the ends of server-sent events.

/// Bytes of the longest end of an event: an LF and a blank line with CRLF.
const TAIL_BYTES: usize = 3;

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

    /// Whether the stream has no bytes yet.
    pub fn is_empty(&self) -> bool {
        !self.seen_bytes
    }

    /// Whether the stream stops inside an event: a blank line ends each event.
    pub fn is_inside_event(&self) -> bool {
        let ended = self.tail.ends_with(b"\n\n") || self.tail == *b"\n\r\n";
        self.seen_bytes && !ended
    }
}
