//! Splits an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered until it is complete, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the events of an answer cannot be forwarded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event is too large to be buffered.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The first event of an answer does not come after the last one that the caller has.
    #[error("the answer does not go on after the event {last_id}")]
    NotContinued {
        /// Id of the last event that the caller has.
        last_id: Box<str>,
    },
}

/// Buffers incomplete events, so that another upstream can continue the stream
/// after the last complete event, and checks that it does.
#[derive(Debug)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Box<str>>,
    /// Whether the next event is the first of an answer that has to go on after `last_id`.
    checks_next: bool,
    has_passed_event: bool,
    /// Whether the last complete event has an id; true before the first one.
    last_has_id: bool,
}

impl EventSplitter {
    /// Splits the stream of a caller that has the events up to the one with `last_id`;
    /// none if it has no events.
    pub fn after(last_id: Option<Box<str>>) -> Self {
        Self {
            partial: BytesMut::new(),
            checks_next: last_id.is_some(),
            last_id,
            has_passed_event: false,
            last_has_id: true,
        }
    }

    /// Adds bytes of the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// An event is too large to be buffered, or does not come after the last one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial) else {
            if self.partial.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            return Ok(Bytes::new());
        };
        let events = self.partial.split_to(end).freeze();
        for id in event_ids(&events) {
            if let Some(last_id) = self.last_id.as_ref().filter(|_| self.checks_next)
                && !id.is_some_and(|id| comes_after(id, last_id))
            {
                return Err(EventError::NotContinued { last_id: last_id.clone() });
            }
            self.checks_next = false;
            self.has_passed_event = true;
            self.last_has_id = id.is_some();
            if let Some(id) = id {
                self.last_id = Some(id.into());
            }
        }
        Ok(events)
    }

    /// Prepares for the answer of another upstream, which has to go on after the last
    /// complete event. Drops the incomplete one.
    pub fn start_next_answer(&mut self) {
        self.partial.clear();
        self.checks_next = self.last_id.is_some();
    }

    /// Id of the last event that the caller has and that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether another upstream can be told after which event it has to go on.
    pub fn can_continue(&self) -> bool {
        self.last_has_id
    }

    /// Bytes of an incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Whether any event was returned.
    pub fn has_passed_event(&self) -> bool {
        self.has_passed_event
    }

    /// Whether the current answer has to go on after events of another one and has no
    /// event yet.
    pub fn awaits_continuation(&self) -> bool {
        self.has_passed_event && self.checks_next
    }
}

/// Whether the event `id` comes after `last_id`. The ids of a stream increase; of those
/// that are no numbers it is only known that they differ.
fn comes_after(id: &str, last_id: &str) -> bool {
    match (id.parse::<u64>(), last_id.parse::<u64>()) {
        (Ok(id), Ok(last_id)) => id > last_id,
        _ => id != last_id,
    }
}

/// Offset just after the last complete event, which an empty line ends.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|window| window == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(3).rposition(|window| window == b"\n\r\n").map(|at| at + 3);
    lf.max(crlf)
}

/// Ids of complete events, none for an event without an id. Comments and reconnection
/// times alone are no event.
fn event_ids(events: &[u8]) -> impl Iterator<Item = Option<&str>> {
    let mut lines =
        events.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    std::iter::from_fn(move || {
        let mut event = None;
        for line in lines.by_ref() {
            if line.is_empty() {
                if event.is_some() {
                    break;
                }
            } else if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).ok().map(str::trim);
                event = Some(id.filter(|id| !id.is_empty()));
            } else if !line.starts_with(b":") && !line.starts_with(b"retry:") {
                event.get_or_insert(None);
            }
        }
        event
    })
}
