//! What the load tool records of each attempt.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use span_types::Outcome;

use crate::plan::Repeat;

/// What came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The whole answer to this request.
    Whole,
    /// The start of the answer to this request.
    Partial,
    /// Something that is no part of the answer to this request.
    Foreign,
    /// An error that the router made itself.
    Error,
    /// No connection could be made; nothing was sent.
    Refused,
    /// Nothing, or not in time.
    Missing,
}

/// One attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Workspace of the caller.
    pub workspace: Arc<str>,
    /// Service called.
    pub service: Arc<str>,
    /// Request, the same for all attempts; key of a keyed request.
    pub name: String,
    /// Attempt of this request, unique; the value that the answer is signed with.
    pub nonce: String,
    /// Router that the attempt was sent to.
    pub entry: Arc<str>,
    /// How often it may run.
    pub repeat: Repeat,
    /// It is the last attempt; the request's result is this one.
    pub last: bool,
    /// Sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// First byte of the answer's body, or 0 if none came.
    pub first_byte_us: u64,
    /// End of the answer or of the attempt, in microseconds since the epoch.
    pub ended_us: u64,
    /// HTTP status, 0 without an answer.
    pub status: u16,
    /// Outcome that the router told, if it told one.
    pub outcome: Option<Outcome>,
    /// What came back.
    pub answer: Answer,
    /// When to come back, in milliseconds, if the router told.
    pub retry_after_ms: Option<u64>,
}

impl Record {
    /// The caller knows how the attempt ended: it has the whole answer, or the
    /// router told it so.
    pub fn settled(&self) -> bool {
        match self.answer {
            Answer::Whole | Answer::Error => true,
            Answer::Partial | Answer::Foreign | Answer::Refused | Answer::Missing => false,
        }
    }
}
