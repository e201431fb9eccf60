//! Tests of the check of answers.

use span_load::{
    AnswerKind, AttemptRecord,
    check::{check_answer, plain_call_body},
    request_generator::{Idempotency, PlannedRequest},
};
use span_standin::signature::chunk_text;
use span_types::Outcome;

const OUTPUT_TOKENS: u64 = 3;

fn planned(is_plain_call: bool, idempotency: Idempotency) -> PlannedRequest {
    PlannedRequest {
        name: "a".into(),
        is_plain_call,
        prompt_tokens: 4,
        output_tokens: OUTPUT_TOKENS,
        cost_hint: None,
        idempotency,
        resend_after_answer: false,
        router_index: 0,
        interval_ms: 0.0,
    }
}

fn record(status: u16, idempotency: Idempotency) -> AttemptRecord {
    AttemptRecord {
        workspace: "ws".into(),
        service: "svc".into(),
        name: "a".into(),
        nonce: "a#1".into(),
        entry: "r0".into(),
        repeat: idempotency,
        last: true,
        sent_us: 0,
        first_byte_us: 0,
        ended_us: 0,
        status,
        outcome: None,
        answer: AnswerKind::Missing,
        retry_after_ms: None,
    }
}

fn chunk(nonce: &str, offset: u64) -> String {
    let delta =
        serde_json::json!({ "choices": [{ "delta": { "content": chunk_text(nonce, offset) } }] });
    format!("data: {delta}\n\n")
}

/// Guards against accepting a stream as complete that was interrupted, reordered or
/// mixed with chunks of another answer.
#[test]
fn check_of_streams() {
    let own_chunks = |offsets: &[u64]| offsets.iter().map(|n| chunk("a#1", *n)).collect::<String>();
    let done = "data: [DONE]\n\n";
    let error_event = "data: {\"error\":{\"outcome\":\"unknown\"}}\n\n";
    let outcome_comment = |outcome: &str| format!(": x-request-id=a x-span-outcome={outcome}\n\n");
    let completed = outcome_comment("completed") + done;
    let cases = [
        ("complete", own_chunks(&[0, 1, 2]) + done, AnswerKind::Complete, None),
        ("no end", own_chunks(&[0, 1, 2]), AnswerKind::Partial, None),
        ("interrupted", own_chunks(&[0, 1]), AnswerKind::Partial, None),
        ("ended early", own_chunks(&[0, 1]) + done, AnswerKind::Partial, None),
        ("chunk missing", own_chunks(&[0, 2]) + done, AnswerKind::Foreign, None),
        ("chunk twice", own_chunks(&[0, 1, 1, 2]) + done, AnswerKind::Foreign, None),
        ("too long", own_chunks(&[0, 1, 2, 3]) + done, AnswerKind::Foreign, None),
        (
            "chunk of another answer",
            own_chunks(&[0, 1]) + &chunk("b#0", 2) + done,
            AnswerKind::Foreign,
            None,
        ),
        ("nothing", String::new(), AnswerKind::Missing, None),
        (
            "complete with outcome",
            own_chunks(&[0, 1, 2]) + &completed,
            AnswerKind::Complete,
            Some(Outcome::Completed),
        ),
        (
            "interrupted with outcome",
            own_chunks(&[0]) + &outcome_comment("unknown"),
            AnswerKind::Error,
            Some(Outcome::Unknown),
        ),
        (
            "error event with outcome",
            own_chunks(&[0]) + error_event,
            AnswerKind::Error,
            Some(Outcome::Unknown),
        ),
    ];
    for (name, body, answer, outcome) in cases {
        let planned = planned(false, Idempotency::Idempotent);
        let checked =
            check_answer(&planned, &record(200, Idempotency::Idempotent), body.as_bytes(), true);
        assert_eq!((checked.answer, checked.outcome), (answer, outcome), "{name}");
    }
}

/// Guards against accepting the answer to another call, and against rejecting the
/// first answer when an idempotency key is sent again.
#[test]
fn check_of_plain_answers() {
    let body = |nonce: &str| {
        serde_json::json!({ "nonce": nonce, "body": plain_call_body(nonce) }).to_string()
    };
    let idempotent = Idempotency::Idempotent;
    let cases = [
        ("own", 200, idempotent, body("a#1"), true, AnswerKind::Complete),
        ("other attempt", 200, idempotent, body("a#0"), true, AnswerKind::Foreign),
        (
            "first answer of the key",
            200,
            Idempotency::Keyed,
            body("a#0"),
            true,
            AnswerKind::Complete,
        ),
        ("other key", 200, Idempotency::Keyed, body("b#0"), true, AnswerKind::Foreign),
        ("interrupted", 200, idempotent, "{\"non".into(), false, AnswerKind::Partial),
        ("nothing", 200, idempotent, String::new(), false, AnswerKind::Missing),
        ("error", 503, idempotent, "{}".into(), true, AnswerKind::Error),
    ];
    for (name, status, idempotency, body, complete, answer) in cases {
        let planned = planned(true, idempotency);
        let checked =
            check_answer(&planned, &record(status, idempotency), body.as_bytes(), complete);
        assert_eq!(checked.answer, answer, "{name}");
    }
}
