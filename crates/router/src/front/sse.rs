//! Server-sent events, split but not decoded: what is passed on are the bytes
//! that came.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is larger than allowed.
#[derive(Debug, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub(super) struct EventTooLarge;

/// Collects bytes into whole events. A broken connection leaves a part of an
/// event behind, which is dropped, because the resumed stream repeats it.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds bytes from the connection.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The next whole event with its blank line.
    pub fn next(&mut self) -> Option<Bytes> {
        let lf = find(&self.buffer, b"\n\n");
        let crlf = find(&self.buffer, b"\r\n\r\n");
        let end = lf.into_iter().chain(crlf).min()?;
        Some(self.buffer.split_to(end).freeze())
    }
}

fn find(buffer: &[u8], mark: &[u8]) -> Option<usize> {
    buffer.windows(mark.len()).position(|window| window == mark).map(|at| at + mark.len())
}

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(super) struct Usage {
    /// Tokens of the prompt and of the answer.
    pub total_tokens: u64,
}

/// What the router reads of a chunk.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Chunk {
    /// Id that the engine gave the answer; contains the request id.
    pub id: String,
    choices: Vec<Choice>,
    /// Tokens used, in the last chunk.
    pub usage: Option<Usage>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    finish_reason: Option<serde::de::IgnoredAny>,
}

impl Chunk {
    /// The chunk carries a token.
    pub fn is_token(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.is_none())
    }
}

/// What an event is.
#[derive(Debug)]
pub(super) enum Event {
    /// A chunk of the answer.
    Chunk(Chunk),
    /// The end of the answer.
    Done,
    /// Something without data, such as a comment.
    Other,
}

/// Reads an event.
pub(super) fn read(event: &[u8]) -> Event {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:")).map(<[u8]>::trim_ascii);
    match data {
        None => Event::Other,
        Some(b"[DONE]") => Event::Done,
        Some(data) => serde_json::from_slice(data).map_or(Event::Other, Event::Chunk),
    }
}
