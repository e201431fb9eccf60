//! Whether an answer is whole and belongs to its request.

use serde_json::Value;
use span_standin::signature::answer_text;
use span_types::{OUTCOME_HEADER, Outcome};

use crate::{
    plan::Planned,
    record::{Answer, Record},
};

/// Attempts of one request whose answers are taken for its own.
pub const MAX_ATTEMPTS: u32 = 4;
const HTTP_OK: u16 = 200;

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checked {
    /// What came back.
    pub answer: Answer,
    /// Outcome told within the body.
    pub outcome: Option<Outcome>,
}

/// Body of a plain call; the service repeats it in its answer.
pub fn plain_body(nonce: &str) -> String {
    format!("slot for {nonce}")
}

/// Checks the body of an answer. `complete` tells that it came to its end.
pub fn check(planned: &Planned, record: &Record, body: &[u8], complete: bool) -> Checked {
    if record.status != HTTP_OK {
        let answer = if complete { Answer::Error } else { Answer::Missing };
        return Checked { answer, outcome: None };
    }
    // A keyed request that ran before may be answered with its first answer.
    let nonces: Vec<String> = match planned.repeat.has_key() {
        true => (0..=MAX_ATTEMPTS).map(|n| format!("{}#{n}", planned.name)).collect(),
        false => vec![record.nonce.clone()],
    };
    if planned.plain {
        let answer = plain(&nonces, body, complete);
        return Checked { answer, outcome: None };
    }
    stream(&answer_text(&record.nonce, planned.output_tokens), body)
}

fn plain(nonces: &[String], body: &[u8], complete: bool) -> Answer {
    if !complete {
        return if body.is_empty() { Answer::Missing } else { Answer::Partial };
    }
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return Answer::Foreign;
    };
    let matches = |nonce: &String| {
        answer["nonce"] == nonce.as_str() && answer["body"] == plain_body(nonce).as_str()
    };
    if nonces.iter().any(matches) { Answer::Whole } else { Answer::Foreign }
}

fn stream(expected: &str, body: &[u8]) -> Checked {
    let read = read_stream(body);
    let answer = if !expected.starts_with(&read.text) {
        Answer::Foreign
    } else if read.outcome.is_some_and(|outcome| outcome != Outcome::Completed) {
        Answer::Error
    } else if read.done && read.text == expected {
        Answer::Whole
    } else if read.text.is_empty() {
        Answer::Missing
    } else {
        Answer::Partial
    };
    Checked { answer, outcome: read.outcome }
}

#[derive(Default)]
struct ReadStream {
    text: String,
    done: bool,
    outcome: Option<Outcome>,
}

fn read_stream(body: &[u8]) -> ReadStream {
    let mut read = ReadStream::default();
    let text = String::from_utf8_lossy(body);
    for line in text.lines() {
        read.outcome = comment_outcome(line).or(read.outcome);
        let Some(event) = line.strip_prefix("data: ") else {
            continue;
        };
        if event == "[DONE]" {
            read.done = true;
            continue;
        }
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            continue;
        };
        let content = event["choices"][0]["delta"]["content"].as_str();
        read.text.push_str(content.unwrap_or_default());
        let outcome = event["error"]["outcome"].as_str().or(event["outcome"].as_str());
        read.outcome = outcome.and_then(|text| text.parse().ok()).or(read.outcome);
    }
    read
}

/// Outcome from a comment of the form `: x-request-id=<id> x-span-outcome=<outcome>`.
fn comment_outcome(line: &str) -> Option<Outcome> {
    let mut fields = line.strip_prefix(": ")?.split(' ').filter_map(|field| field.split_once('='));
    let (_, outcome) = fields.find(|(name, _)| *name == OUTCOME_HEADER)?;
    outcome.parse().ok()
}
