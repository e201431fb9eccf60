//! Server-sent events. They are split but not re-encoded, so that callers receive
//! the bytes that the engine sent.

use std::{borrow::Cow, fmt};

use bytes::{Bytes, BytesMut};
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, SeqAccess, Visitor},
};

/// Largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Bytes of the longest end of an event: an LF and a blank line with CRLF.
const MAX_END_BYTES: usize = 3;

/// An event is larger than allowed.
#[derive(Debug, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub(super) struct EventTooLarge;

/// Splits bytes into complete events. An incomplete event at the end of an
/// interrupted connection is dropped, because the resumed stream repeats it.
///
/// Only an event that arrives in several frames is copied; all others are slices
/// of the received bytes.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes and returns the events that are now complete, one
    /// after another.
    pub fn push(&mut self, mut bytes: Bytes) -> Result<Bytes, EventTooLarge> {
        if self.partial.is_empty() {
            let rest = bytes.split_off(complete_length(&bytes));
            self.partial.extend_from_slice(&rest);
        } else {
            // Only the end of the first event may have begun in the bytes before. Searched from
            // their start each time, an event in many small parts takes the whole core.
            let start = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
            self.partial.extend_from_slice(&bytes);
            let complete = match complete_length(&self.partial[start..]) {
                0 => 0,
                length => start + length,
            };
            bytes = self.partial.split_to(complete).freeze();
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(bytes)
    }
}

/// Length of the complete events at the start of `bytes`.
fn complete_length(bytes: &[u8]) -> usize {
    let mut end = 0;
    while let Some(length) = event_length(&bytes[end..]) {
        end += length;
    }
    end
}

/// Length of the first event with its blank line, if it is complete.
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

/// Token usage that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub(super) struct Usage {
    /// Tokens of the prompt and of the answer together.
    pub total_tokens: u64,
}

/// The fields of a chunk that the router reads. It borrows from the event and has
/// no list, so that parsing a chunk allocates nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Chunk<'a> {
    /// Id of the answer at the engine; it contains the request id.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    choices: Choices,
    /// Token usage; only the last chunk has it.
    pub usage: Option<Usage>,
}

/// Summary of a chunk's choices.
#[derive(Debug, Default)]
struct Choices {
    has_token: bool,
    has_finish_reason: bool,
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
        let mut choices = Choices::default();
        while let Some(choice) = list.next_element::<Choice>()? {
            choices.has_token |= choice.finish_reason.is_none();
            choices.has_finish_reason |= choice.finish_reason.is_some();
        }
        Ok(choices)
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    finish_reason: Option<IgnoredAny>,
}

impl Chunk<'_> {
    /// Whether the chunk belongs to the answer to the request with this id.
    pub fn is_of(&self, request_id: &str) -> bool {
        contains_request_id(&self.id, request_id)
    }

    /// Whether the chunk carries a token.
    pub fn is_token(&self) -> bool {
        self.choices.has_token
    }

    /// Whether the chunk says that the answer is finished.
    pub fn is_last(&self) -> bool {
        self.choices.has_finish_reason
    }
}

/// Whether the id of an answer, such as `chatcmpl-<request id>`, contains this request id,
/// and not one with more digits.
pub(super) fn contains_request_id(answer_id: &str, request_id: &str) -> bool {
    let mut matches = answer_id.match_indices(request_id);
    matches.any(|(start, id)| {
        !answer_id[start + id.len()..].starts_with(|next: char| next.is_ascii_hexdigit())
    })
}

/// A parsed event.
#[derive(Debug)]
pub(super) enum Event<'a> {
    /// A chunk of the answer.
    Chunk(Chunk<'a>),
    /// The end of the answer.
    Done,
    /// An event without data, such as a comment.
    Empty,
    /// Anything else, such as the text of an error. No stream of chunks has it.
    Invalid,
}

/// Parses a complete event.
pub(super) fn parse_event(event: &[u8]) -> Event<'_> {
    let mut data = None;
    for line in event.split(|byte| *byte == b'\n') {
        match parse_line(line.trim_ascii_end()) {
            Line::Ignored => {}
            Line::Data(value) if data.is_none() => data = Some(value),
            Line::Data(_) | Line::Invalid => return Event::Invalid,
        }
    }
    match data {
        None => Event::Empty,
        Some(b"[DONE]") => Event::Done,
        Some(data) => serde_json::from_slice(data).map_or(Event::Invalid, Event::Chunk),
    }
}

enum Line<'a> {
    Data(&'a [u8]),
    /// Blank, a comment, or a field that a chunk may have besides its data.
    Ignored,
    Invalid,
}

fn parse_line(line: &[u8]) -> Line<'_> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (field, value) = line.split_at(colon.unwrap_or(line.len()));
    match field {
        b"data" => Line::Data(value.strip_prefix(b":").unwrap_or(value).trim_ascii()),
        b"" | b"event" | b"id" | b"retry" => Line::Ignored,
        _ => Line::Invalid,
    }
}
