//! Splits an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The event is larger than may be held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Passes on whole events only, so that another upstream can continue the
/// stream where the last whole event ended.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Box<str>>,
}

impl EventSplitter {
    /// Takes bytes of the stream and returns the events that are now whole.
    ///
    /// # Errors
    ///
    /// An event is too large to be held back.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id.into());
        }
        Ok(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Bytes of an event that is not whole. At the end of a stream that ended
    /// as it should, they belong to it.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}

/// End of the last whole event: just behind its empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok().map(str::trim)
}
