//! Answers as the load tool judges them.

use span_load::{
    Answer, Record,
    check::{check, plain_body},
    plan::{Planned, Repeat},
};
use span_standin::signature::chunk_text;
use span_types::Outcome;

const TOKENS: u64 = 3;

fn planned(plain: bool, repeat: Repeat) -> Planned {
    Planned {
        name: "a".into(),
        plain,
        prompt_tokens: 4,
        output_tokens: TOKENS,
        cost_hint: None,
        repeat,
        resend: false,
        entry: 0,
        gap_ms: 0.0,
    }
}

fn record(status: u16, repeat: Repeat) -> Record {
    Record {
        workspace: "ws".into(),
        service: "svc".into(),
        name: "a".into(),
        nonce: "a#1".into(),
        entry: "r0".into(),
        repeat,
        last: true,
        sent_us: 0,
        first_byte_us: 0,
        ended_us: 0,
        status,
        outcome: None,
        answer: Answer::Missing,
        retry_after_ms: None,
    }
}

fn chunk(nonce: &str, offset: u64) -> String {
    let delta =
        serde_json::json!({ "choices": [{ "delta": { "content": chunk_text(nonce, offset) } }] });
    format!("data: {delta}\n\n")
}

/// Guards against taking crossed, reordered or cut streams for whole ones.
#[test]
fn streams() {
    let own = |offsets: &[u64]| offsets.iter().map(|n| chunk("a#1", *n)).collect::<String>();
    let done = "data: [DONE]\n\n";
    let failed = "data: {\"error\":{\"outcome\":\"unknown\"}}\n\n";
    let noted = |outcome: &str| format!(": x-request-id=a x-span-outcome={outcome}\n\n");
    let completed = noted("completed") + done;
    let cases = [
        ("whole", own(&[0, 1, 2]) + done, Answer::Whole, None),
        ("no end", own(&[0, 1, 2]), Answer::Partial, None),
        ("cut", own(&[0, 1]), Answer::Partial, None),
        ("ended early", own(&[0, 1]) + done, Answer::Partial, None),
        ("chunk lost", own(&[0, 2]) + done, Answer::Foreign, None),
        ("chunk twice", own(&[0, 1, 1, 2]) + done, Answer::Foreign, None),
        ("too long", own(&[0, 1, 2, 3]) + done, Answer::Foreign, None),
        ("crossed", own(&[0, 1]) + &chunk("b#0", 2) + done, Answer::Foreign, None),
        ("nothing", String::new(), Answer::Missing, None),
        ("whole and told", own(&[0, 1, 2]) + &completed, Answer::Whole, Some(Outcome::Completed)),
        ("cut and told", own(&[0]) + &noted("unknown"), Answer::Error, Some(Outcome::Unknown)),
        ("told unknown", own(&[0]) + failed, Answer::Error, Some(Outcome::Unknown)),
    ];
    for (name, body, answer, outcome) in cases {
        let planned = planned(false, Repeat::Idempotent);
        let checked = check(&planned, &record(200, Repeat::Idempotent), body.as_bytes(), true);
        assert_eq!((checked.answer, checked.outcome), (answer, outcome), "{name}");
    }
}

/// Guards against accepting another call's answer, and against rejecting the
/// first answer of a key that is sent again.
#[test]
fn plain_answers() {
    let body =
        |nonce: &str| serde_json::json!({ "nonce": nonce, "body": plain_body(nonce) }).to_string();
    let idempotent = Repeat::Idempotent;
    let cases = [
        ("own", 200, idempotent, body("a#1"), true, Answer::Whole),
        ("other attempt", 200, idempotent, body("a#0"), true, Answer::Foreign),
        ("first answer of the key", 200, Repeat::Keyed, body("a#0"), true, Answer::Whole),
        ("other key", 200, Repeat::Keyed, body("b#0"), true, Answer::Foreign),
        ("cut", 200, idempotent, "{\"non".into(), false, Answer::Partial),
        ("nothing", 200, idempotent, String::new(), false, Answer::Missing),
        ("error", 503, idempotent, "{}".into(), true, Answer::Error),
    ];
    for (name, status, repeat, body, complete, answer) in cases {
        let planned = planned(true, repeat);
        let checked = check(&planned, &record(status, repeat), body.as_bytes(), complete);
        assert_eq!(checked.answer, answer, "{name}");
    }
}
