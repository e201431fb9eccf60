//! Tests of the audit, and of joining records with ledgers.

use span_bench::analysis::{
    ServedExecution, WaitingRequest,
    audit::{Audit, audit},
    interval::Interval,
    join::{NetworkDelays, ServiceDescription, build_service_run},
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

/// Guards against violations of guarantees that are not counted, and against counting
/// allowed results as violations.
#[test]
fn audit_of_records_and_executions() {
    let completed = Some(Outcome::Completed);
    let not_run = Some(Outcome::NotRun);
    let complete = record("a#0", AnswerKind::Complete, completed);
    let keyed = |nonce: &str, last| AttemptRecord {
        repeat: Idempotency::Keyed,
        last,
        ..record(nonce, AnswerKind::Complete, completed)
    };
    let one_attempt = Audit { requests: 1, attempts: 1, ..Audit::default() };
    let one_completed = Audit { completed: 1, ..one_attempt.clone() };
    let executed = execution("a#0", 200, 300);
    let never_started = execution("a#0", 0, 0);
    let cases = [
        ("complete", vec![complete.clone()], vec![executed.clone()], one_completed.clone()),
        (
            "complete without execution",
            vec![complete.clone()],
            vec![never_started.clone()],
            Audit { completed_that_did_not_run: 1, ..one_completed.clone() },
        ),
        (
            "not run",
            vec![record("a#0", AnswerKind::Error, not_run)],
            vec![never_started],
            Audit { not_run: 1, ..one_attempt.clone() },
        ),
        (
            "not run, but it ran",
            vec![record("a#0", AnswerKind::Error, not_run)],
            vec![executed.clone()],
            Audit { not_run: 1, not_run_that_ran: 1, ..one_attempt.clone() },
        ),
        (
            "unknown",
            vec![record("a#0", AnswerKind::Error, Some(Outcome::Unknown))],
            vec![],
            Audit { unknown: 1, ..one_attempt.clone() },
        ),
        (
            "answer to another request",
            vec![record("a#0", AnswerKind::Foreign, completed)],
            vec![executed.clone()],
            Audit { lost: 1, crossed: 1, ..one_attempt.clone() },
        ),
        (
            "interrupted",
            vec![record("a#0", AnswerKind::Partial, completed)],
            vec![executed.clone()],
            Audit { lost: 1, incomplete: 1, broken_attempts: 1, ..one_attempt.clone() },
        ),
        (
            "no answer to a request that may run at most once and has no key",
            vec![AttemptRecord {
                repeat: Idempotency::Once,
                ..record("a#0", AnswerKind::Missing, None)
            }],
            vec![executed.clone()],
            Audit { broken_once: 1, broken_attempts: 1, ..one_attempt.clone() },
        ),
        (
            "answer to another request, to a request that may run at most once",
            vec![AttemptRecord {
                repeat: Idempotency::Once,
                ..record("a#0", AnswerKind::Foreign, completed)
            }],
            vec![executed.clone()],
            Audit { lost: 1, crossed: 1, ..one_attempt.clone() },
        ),
        (
            "no answer, then a complete one",
            vec![
                AttemptRecord { last: false, ..record("a#0", AnswerKind::Missing, None) },
                record("a#1", AnswerKind::Complete, completed),
            ],
            vec![executed.clone(), execution("a#1", 400, 500)],
            Audit { attempts: 2, broken_attempts: 1, ..one_completed.clone() },
        ),
        (
            "request with a key sent twice and run once",
            vec![keyed("a#0", true), keyed("a#1", false)],
            vec![executed.clone()],
            Audit { attempts: 2, ..one_completed.clone() },
        ),
        (
            "request with a key run twice",
            vec![keyed("a#0", true), keyed("a#1", false)],
            vec![executed.clone(), execution("a#1", 400, 500)],
            Audit { attempts: 2, duplicated_non_idempotent: 1, ..one_completed.clone() },
        ),
        (
            "no answer, then told that the key completed",
            vec![
                AttemptRecord { last: false, ..record("a#0", AnswerKind::Missing, None) },
                record("a#1", AnswerKind::Error, completed),
            ],
            vec![executed.clone()],
            Audit { attempts: 2, broken_attempts: 1, told_completed: 1, ..one_attempt.clone() },
        ),
        (
            "told that the key completed, but nothing ran",
            vec![record("a#0", AnswerKind::Error, completed)],
            vec![],
            Audit { told_completed: 1, completed_that_did_not_run: 1, ..one_attempt.clone() },
        ),
        (
            "one attempt of a key run twice",
            vec![keyed("a#0", true)],
            vec![executed.clone(), executed.clone()],
            Audit { duplicated_non_idempotent: 1, ..one_completed.clone() },
        ),
    ];
    for (name, records, executions, expected) in cases {
        assert_eq!(audit(&records, &executions), expected, "{name}");
    }
}

/// Guards against waiting intervals that ignore the network delay or are missing for
/// requests that never started.
#[test]
fn run_built_from_records_and_executions() {
    let workspaces = [("other".to_owned(), 1.0), ("ws".to_owned(), 4.0)];
    let service = ServiceDescription { name: "svc", slots: 3, workspaces: &workspaces };
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
    let delays = NetworkDelays { client_us: 30, upstream_us: 7 };
    let run = build_service_run(&service, &records, &executions, delays, 2_000);
    assert_eq!(run.shares, [1.0, 4.0]);
    assert_eq!(
        run.served,
        [ServedExecution { workspace: 1, start_us: 500, end_us: 2_000, cost: 15 }]
    );
    let wait = |to_us| WaitingRequest { workspace: 1, interval: Interval { from_us: 130, to_us } };
    assert_eq!(run.waiting_requests, [wait(493), wait(870), wait(870)]);
}
