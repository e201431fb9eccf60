//! Records of the attempts that the load tool made.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use span_types::Outcome;

use crate::request_generator::Idempotency;

/// What an attempt received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AnswerKind {
    /// The complete answer to this request.
    #[serde(rename = "whole")]
    #[strum(serialize = "whole")]
    Complete,
    /// Only the beginning of the answer to this request.
    Partial,
    /// Content that does not belong to the answer to this request.
    Foreign,
    /// An error: a complete answer with a status other than 200, or a stream that
    /// reports an outcome other than `completed`.
    Error,
    /// No connection could be established, so nothing was sent.
    Refused,
    /// Nothing of the answer to this request, or only the beginning of an error.
    Missing,
}

/// One attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Name of the caller's workspace.
    pub workspace: Arc<str>,
    /// Name of the service that was called.
    pub service: Arc<str>,
    /// Name of the request, the same for all its attempts; also the idempotency key
    /// of a keyed request.
    pub name: String,
    /// Unique value of this attempt, the name with `#` and the number of the attempt. The
    /// content of the answer is derived from it.
    pub nonce: String,
    /// Instance name of the router that the attempt was sent to.
    pub entry: Arc<str>,
    /// How often the request may run.
    pub repeat: Idempotency,
    /// Whether the result of this attempt is that of the request. No retry follows; a
    /// keyed request may be sent once more after its answer.
    pub last: bool,
    /// Time of sending, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// Time of the first byte of the body, in microseconds since the Unix epoch; 0 if
    /// no body was received.
    pub first_byte_us: u64,
    /// End of the answer or of the attempt, in microseconds since the Unix epoch.
    pub ended_us: u64,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Outcome that the router reported, if any.
    pub outcome: Option<Outcome>,
    /// What the attempt received.
    pub answer: AnswerKind,
    /// Value of the `retry-after` header in milliseconds, if the router sent one.
    pub retry_after_ms: Option<u64>,
}

impl AttemptRecord {
    /// Whether the caller knows how the attempt ended: it has the complete answer, or
    /// the router reported an error.
    pub fn is_result_known(&self) -> bool {
        match self.answer {
            AnswerKind::Complete | AnswerKind::Error => true,
            AnswerKind::Partial
            | AnswerKind::Foreign
            | AnswerKind::Refused
            | AnswerKind::Missing => false,
        }
    }
}
