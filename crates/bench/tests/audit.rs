//! Audit and join on hand-made records and ledgers.

use span_bench::analysis::{
    Served, Wait,
    audit::{Audit, audit},
    interval::Interval,
    join::{Delays, Service, join},
};
use span_load::{AnswerKind, AttemptRecord, request_generator::Idempotency};
use span_standin::Execution;
use span_types::Outcome;

fn record(nonce: &str, answer: AnswerKind, outcome: Option<Outcome>) -> AttemptRecord {
    AttemptRecord {
        workspace: "ws".into(),
        service: "svc".into(),
        name: nonce.split('#').next().unwrap_or_default().into(),
        nonce: nonce.into(),
        entry: "r0".into(),
        repeat: Idempotency::Idempotent,
        last: true,
        sent_us: 100,
        first_byte_us: 0,
        ended_us: 900,
        status: 200,
        outcome,
        answer,
        retry_after_ms: None,
    }
}

fn execution(nonce: &str, started_us: u64, ended_us: u64) -> Execution {
    Execution {
        request_id: nonce.into(),
        nonce: nonce.into(),
        arrived_us: started_us,
        started_us,
        ended_us,
        prompt_cost: 10,
        output_cost: 5,
        cancelled: false,
    }
}

/// Guards against violations of the invariants that go uncounted, and against
/// counting what is allowed.
#[test]
fn audits() {
    let completed = Some(Outcome::Completed);
    let not_run = Some(Outcome::NotRun);
    let whole = record("a#0", AnswerKind::Complete, completed);
    let keyed = |nonce: &str, last| AttemptRecord {
        repeat: Idempotency::Keyed,
        last,
        ..record(nonce, AnswerKind::Complete, completed)
    };
    let one = Audit { requests: 1, attempts: 1, ..Audit::default() };
    let done = Audit { completed: 1, ..one.clone() };
    let ran = execution("a#0", 200, 300);
    let queued = execution("a#0", 0, 0);
    let cases = [
        ("whole", vec![whole.clone()], vec![ran.clone()], done.clone()),
        (
            "whole without execution",
            vec![whole.clone()],
            vec![queued.clone()],
            Audit { completed_that_did_not_run: 1, ..done.clone() },
        ),
        (
            "not run",
            vec![record("a#0", AnswerKind::Error, not_run)],
            vec![queued],
            Audit { not_run: 1, ..one.clone() },
        ),
        (
            "not run, but it ran",
            vec![record("a#0", AnswerKind::Error, not_run)],
            vec![ran.clone()],
            Audit { not_run: 1, not_run_that_ran: 1, ..one.clone() },
        ),
        (
            "unknown",
            vec![record("a#0", AnswerKind::Error, Some(Outcome::Unknown))],
            vec![],
            Audit { unknown: 1, ..one.clone() },
        ),
        (
            "crossed",
            vec![record("a#0", AnswerKind::Foreign, completed)],
            vec![ran.clone()],
            Audit { lost: 1, crossed: 1, ..one.clone() },
        ),
        (
            "cut",
            vec![record("a#0", AnswerKind::Partial, completed)],
            vec![ran.clone()],
            Audit { lost: 1, incomplete: 1, broken_attempts: 1, ..one.clone() },
        ),
        (
            "no answer to a request that may run once and has no key",
            vec![AttemptRecord {
                repeat: Idempotency::Once,
                ..record("a#0", AnswerKind::Missing, None)
            }],
            vec![ran.clone()],
            Audit { broken_once: 1, broken_attempts: 1, ..one.clone() },
        ),
        (
            "another request's answer to a request that may run once",
            vec![AttemptRecord {
                repeat: Idempotency::Once,
                ..record("a#0", AnswerKind::Foreign, completed)
            }],
            vec![ran.clone()],
            Audit { lost: 1, crossed: 1, ..one.clone() },
        ),
        (
            "no answer, then a whole one",
            vec![
                AttemptRecord { last: false, ..record("a#0", AnswerKind::Missing, None) },
                record("a#1", AnswerKind::Complete, completed),
            ],
            vec![ran.clone(), execution("a#1", 400, 500)],
            Audit { attempts: 2, broken_attempts: 1, ..done.clone() },
        ),
        (
            "key sent twice and run once",
            vec![keyed("a#0", true), keyed("a#1", false)],
            vec![ran.clone()],
            Audit { attempts: 2, ..done.clone() },
        ),
        (
            "key run twice",
            vec![keyed("a#0", true), keyed("a#1", false)],
            vec![ran.clone(), execution("a#1", 400, 500)],
            Audit { attempts: 2, duplicated_non_idempotent: 1, ..done.clone() },
        ),
        (
            "no answer, then told that the key completed",
            vec![
                AttemptRecord { last: false, ..record("a#0", AnswerKind::Missing, None) },
                record("a#1", AnswerKind::Error, completed),
            ],
            vec![ran.clone()],
            Audit { attempts: 2, broken_attempts: 1, told_completed: 1, ..one.clone() },
        ),
        (
            "told that the key completed, but nothing ran",
            vec![record("a#0", AnswerKind::Error, completed)],
            vec![],
            Audit { told_completed: 1, completed_that_did_not_run: 1, ..one.clone() },
        ),
        (
            "one attempt of a key run twice",
            vec![keyed("a#0", true)],
            vec![ran.clone(), ran.clone()],
            Audit { duplicated_non_idempotent: 1, ..done.clone() },
        ),
    ];
    for (name, records, executions, expected) in cases {
        assert_eq!(audit(&records, &executions), expected, "{name}");
    }
}

/// Guards against waits that ignore the network delay or that are missing for
/// requests that never started.
#[test]
fn joins_records_with_executions() {
    let workspaces = [("other".to_owned(), 1.0), ("ws".to_owned(), 4.0)];
    let service = Service { name: "svc", slots: 3, workspaces: &workspaces };
    let records = [
        record("started#0", AnswerKind::Complete, None),
        record("rejected#0", AnswerKind::Error, Some(Outcome::NotRun)),
        record("refused#0", AnswerKind::Refused, None),
        record("unstarted#0", AnswerKind::Missing, None),
        AttemptRecord {
            service: "else".into(),
            ..record("elsewhere#0", AnswerKind::Complete, None)
        },
    ];
    let executions = [
        execution("started#0", 500, 0),
        execution("unstarted#0", 0, 0),
        execution("elsewhere#0", 1, 2),
        execution("unknown#0", 1, 2),
    ];
    let delays = Delays { client_us: 30, upstream_us: 7 };
    let run = join(&service, &records, &executions, delays, 2_000);
    assert_eq!(run.shares, [1.0, 4.0]);
    assert_eq!(run.served, [Served { workspace: 1, start_us: 500, end_us: 2_000, cost: 15 }]);
    let wait = |to_us| Wait { workspace: 1, interval: Interval { from_us: 130, to_us } };
    assert_eq!(run.waits, [wait(493), wait(870), wait(870)]);
}
