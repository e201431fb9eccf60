//! Server-sent events, split but not decoded: what is passed on are the bytes
//! that came.

use std::{borrow::Cow, fmt};

use bytes::{Bytes, BytesMut};
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, SeqAccess, Visitor},
};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event is larger than allowed.
#[derive(Debug, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub(super) struct EventTooLarge;

/// Splits bytes into whole events. A broken connection leaves a part of an
/// event behind, which is dropped, because the resumed stream repeats it.
///
/// Events that arrive whole are slices of what arrived; only an event that
/// arrives in parts is copied.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds bytes from the connection and returns the whole events so far, one
    /// after another.
    pub fn push(&mut self, mut bytes: Bytes) -> Result<Bytes, EventTooLarge> {
        if self.partial.is_empty() {
            let rest = bytes.split_off(complete_length(&bytes));
            self.partial.extend_from_slice(&rest);
        } else {
            self.partial.extend_from_slice(&bytes);
            let complete = complete_length(&self.partial);
            bytes = self.partial.split_to(complete).freeze();
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(bytes)
    }
}

/// Length of the whole events at the start of `bytes`.
fn complete_length(bytes: &[u8]) -> usize {
    let mut end = 0;
    while let Some(length) = event_length(&bytes[end..]) {
        end += length;
    }
    end
}

/// Length of the first event with its blank line, if it is whole.
pub(super) fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(line) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        at += line + 1;
        match &bytes[at..] {
            [b'\n', ..] => return Some(at + 1),
            [b'\r', b'\n', ..] => return Some(at + 2),
            _ => {}
        }
    }
    None
}

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(super) struct Usage {
    /// Tokens of the prompt and of the answer.
    pub total_tokens: u64,
}

/// What the router reads of a chunk. It borrows from the event and holds no
/// list, so that reading a chunk allocates nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Chunk<'a> {
    /// Id that the engine gave the answer; contains the request id.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    choices: Choices,
    /// Tokens used, in the last chunk.
    pub usage: Option<Usage>,
}

/// Whether any of the choices carries a token.
#[derive(Debug, Default)]
struct Choices {
    has_token: bool,
}

impl<'de> Deserialize<'de> for Choices {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = Choices;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Choices, A::Error> {
        let mut has_token = false;
        while let Some(choice) = list.next_element::<Choice>()? {
            has_token |= choice.finish_reason.is_none();
        }
        Ok(Choices { has_token })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    finish_reason: Option<IgnoredAny>,
}

impl Chunk<'_> {
    /// The chunk carries a token.
    pub fn is_token(&self) -> bool {
        self.choices.has_token
    }
}

/// What an event is.
#[derive(Debug)]
pub(super) enum Event<'a> {
    /// A chunk of the answer.
    Chunk(Chunk<'a>),
    /// The end of the answer.
    Done,
    /// Something without data, such as a comment.
    Other,
}

/// Reads an event.
pub(super) fn read(event: &[u8]) -> Event<'_> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let data = lines.find_map(|line| line.strip_prefix(b"data:")).map(<[u8]>::trim_ascii);
    match data {
        None => Event::Other,
        Some(b"[DONE]") => Event::Done,
        Some(data) => serde_json::from_slice(data).map_or(Event::Other, Event::Chunk),
    }
}
