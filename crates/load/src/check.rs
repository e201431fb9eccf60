//! Checks that an answer is complete and belongs to its request.

use serde_json::Value;
use span_standin::signature::answer_text;
use span_types::{OUTCOME_HEADER, Outcome};

use crate::{
    record::{AnswerKind, AttemptRecord},
    request_generator::PlannedRequest,
};

/// Largest number of attempts until a request is answered. A keyed request may be sent
/// once more after its answer; the check of its answers accepts the nonces of all of
/// these attempts.
pub const MAX_ATTEMPTS: u32 = 4;
const HTTP_OK: u16 = 200;

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedAnswer {
    /// What the attempt received.
    pub answer: AnswerKind,
    /// Outcome reported in the body, if any.
    pub outcome: Option<Outcome>,
}

/// Returns the body of a plain call, which the service includes in its answer.
pub fn plain_call_body(nonce: &str) -> String {
    format!("slot for {nonce}")
}

/// Checks the body of an answer. `complete` is false if the body was interrupted.
pub fn check_answer(
    planned: &PlannedRequest,
    record: &AttemptRecord,
    body: &[u8],
    complete: bool,
) -> CheckedAnswer {
    if record.status != HTTP_OK {
        let answer = if complete { AnswerKind::Error } else { AnswerKind::Missing };
        return CheckedAnswer { answer, outcome: None };
    }
    // A keyed request that ran before may be answered with the first answer.
    let nonces: Vec<String> = match planned.idempotency.has_key() {
        true => (0..=MAX_ATTEMPTS).map(|n| format!("{}#{n}", planned.name)).collect(),
        false => vec![record.nonce.clone()],
    };
    if planned.is_plain_call {
        let answer = check_plain_answer(&nonces, body, complete);
        return CheckedAnswer { answer, outcome: None };
    }
    check_stream(&answer_text(&record.nonce, planned.output_tokens), body)
}

fn check_plain_answer(nonces: &[String], body: &[u8], complete: bool) -> AnswerKind {
    if !complete {
        return if body.is_empty() { AnswerKind::Missing } else { AnswerKind::Partial };
    }
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return AnswerKind::Foreign;
    };
    let matches = |nonce: &String| {
        answer["nonce"] == nonce.as_str() && answer["body"] == plain_call_body(nonce).as_str()
    };
    if nonces.iter().any(matches) { AnswerKind::Complete } else { AnswerKind::Foreign }
}

fn check_stream(expected: &str, body: &[u8]) -> CheckedAnswer {
    let parsed = parse_stream(body);
    let answer = if !expected.starts_with(&parsed.text) {
        AnswerKind::Foreign
    } else if parsed.outcome.is_some_and(|outcome| outcome != Outcome::Completed) {
        AnswerKind::Error
    } else if parsed.done && parsed.text == expected {
        AnswerKind::Complete
    } else if parsed.text.is_empty() {
        AnswerKind::Missing
    } else {
        AnswerKind::Partial
    };
    CheckedAnswer { answer, outcome: parsed.outcome }
}

#[derive(Default)]
struct ParsedStream {
    text: String,
    done: bool,
    outcome: Option<Outcome>,
}

fn parse_stream(body: &[u8]) -> ParsedStream {
    let mut parsed = ParsedStream::default();
    let text = String::from_utf8_lossy(body);
    for line in text.lines() {
        parsed.outcome = outcome_from_comment(line).or(parsed.outcome);
        let Some(event) = line.strip_prefix("data: ") else {
            continue;
        };
        if event == "[DONE]" {
            parsed.done = true;
            continue;
        }
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            continue;
        };
        let content = event["choices"][0]["delta"]["content"].as_str();
        parsed.text.push_str(content.unwrap_or_default());
        let outcome = event["error"]["outcome"].as_str().or(event["outcome"].as_str());
        parsed.outcome = outcome.and_then(|text| text.parse().ok()).or(parsed.outcome);
    }
    parsed
}

/// Reads the outcome from a comment line of the form `: x-request-id=<id> x-span-outcome=<outcome>`.
fn outcome_from_comment(line: &str) -> Option<Outcome> {
    let mut fields = line.strip_prefix(": ")?.split(' ').filter_map(|field| field.split_once('='));
    let (_, outcome) = fields.find(|(name, _)| *name == OUTCOME_HEADER)?;
    outcome.parse().ok()
}
