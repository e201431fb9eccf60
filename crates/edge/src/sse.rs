//! Splits an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is too large to be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Buffers incomplete events, so that another upstream can continue the stream
/// after the last complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Box<str>>,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// An event is too large to be buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id.into());
        }
        Ok(events)
    }

    /// Id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Removes and returns the bytes of an incomplete event. At the proper end of
    /// a stream, they belong to the stream.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// Offset just after the last complete event, which an empty line ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|window| window == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

/// Id in the last `id` line of complete events.
fn last_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
