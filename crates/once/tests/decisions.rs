//! Retry decisions, minted ids, claims, retry budget and backoff.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use span_once::{
    Backoff, BeginResult, ClaimBucket, ClaimChange, ClaimKey, ClaimResult, Delivery, FailedAttempt,
    MAX_UNANSWERED_ATTEMPTS, RegistryLimits, RequestIdRegistry, RetryBudget, RetryDecision,
    RunState, decide_retry,
};
use span_types::{Outcome, WorkspaceName};

/// Guards against a retry of a request that may already have run, and against
/// an outcome that reports more than is known.
#[test]
fn failed_attempts_are_retried_only_if_safe() {
    struct Case {
        name: &'static str,
        attempt: FailedAttempt,
        decision: RetryDecision,
    }
    let base = FailedAttempt {
        delivery: Delivery::MaybeSent,
        maybe_sent_before: false,
        unanswered_attempts: 1,
        idempotent: false,
        response_started: false,
        replayable: true,
    };
    let not_sent = FailedAttempt { delivery: Delivery::NotSent, unanswered_attempts: 0, ..base };
    let cases = [
        Case {
            name: "may have been sent",
            attempt: base,
            decision: RetryDecision::End(Outcome::Unknown),
        },
        Case {
            name: "idempotent and may have been sent",
            attempt: FailedAttempt { idempotent: true, ..base },
            decision: RetryDecision::Retry(Outcome::Unknown),
        },
        Case {
            name: "not sent",
            attempt: not_sent,
            decision: RetryDecision::Retry(Outcome::NotRun),
        },
        Case {
            name: "not sent, but an earlier attempt may have run",
            attempt: FailedAttempt { maybe_sent_before: true, idempotent: true, ..not_sent },
            decision: RetryDecision::Retry(Outcome::Unknown),
        },
        Case {
            name: "not sent and the body is no longer available",
            attempt: FailedAttempt { replayable: false, ..not_sent },
            decision: RetryDecision::End(Outcome::NotRun),
        },
        Case {
            name: "idempotent, and as many upstreams as allowed have not answered",
            attempt: FailedAttempt {
                idempotent: true,
                unanswered_attempts: MAX_UNANSWERED_ATTEMPTS,
                ..base
            },
            decision: RetryDecision::End(Outcome::Unknown),
        },
        Case {
            name: "response started",
            attempt: FailedAttempt { idempotent: true, response_started: true, ..base },
            decision: RetryDecision::End(Outcome::Unknown),
        },
    ];
    for case in cases {
        assert_eq!(decide_retry(case.attempt), case.decision, "{}", case.name);
    }
}

/// Guards against a second run under an id, also after its state has expired.
#[test]
fn minted_id_runs_once() {
    let workspace = WorkspaceName::from("shop");
    let mut registry = RequestIdRegistry::new(RegistryLimits { max_entries: 2, lifetime_ms: 100 });
    registry.mint(0, 1, workspace.clone()).expect("the registry is not full");
    assert_eq!(registry.begin(1, 1, &"other".into()), BeginResult::Rejected(RunState::Unknown));
    assert_eq!(registry.begin(1, 1, &workspace), BeginResult::Run);
    assert_eq!(registry.begin(2, 1, &workspace), BeginResult::Rejected(RunState::Active));
    registry.end(3, 1, Outcome::NotRun);
    assert_eq!(registry.begin(4, 1, &workspace), BeginResult::Run, "the first request did not run");
    assert_eq!(registry.state(500, 1), RunState::Active, "an active id does not expire");
    registry.end(500, 1, Outcome::Completed);
    assert_eq!(registry.begin(501, 1, &workspace), BeginResult::Rejected(RunState::Completed));
    assert_eq!(
        registry.begin(700, 1, &workspace),
        BeginResult::Rejected(RunState::Unknown),
        "the id has expired"
    );
}

/// Guards against a registry that grows without limit, or stays full after its
/// ids have expired.
#[test]
fn registry_is_bounded() {
    let mut registry = RequestIdRegistry::new(RegistryLimits { max_entries: 2, lifetime_ms: 100 });
    for seq in 1..=2 {
        registry.mint(10, seq, "shop".into()).expect("the registry is not full");
    }
    let error = registry.mint(20, 3, "shop".into()).expect_err("the registry is full");
    assert_eq!(error.retry_after_ms, 90);
    registry.mint(111, 3, "shop".into()).expect("the other ids expired");
    assert_eq!(registry.len(), 1);
}

/// Guards against two requests that hold the same claim, and against keys of
/// different workspaces with the same hash.
#[test]
fn claim_has_one_owner() {
    let key = ClaimKey::new(&"shop".into(), "order-7");
    let acquire = |owner: &str, replaces: Option<&str>| ClaimChange::Acquire {
        key: key.clone(),
        owner: owner.into(),
        replaces: replaces.map(Into::into),
    };
    let mut bucket = ClaimBucket::default();
    assert_eq!(bucket.apply(0, &acquire("a", None)), ClaimResult::Applied);
    assert_eq!(
        bucket.apply(1, &acquire("a", None)),
        ClaimResult::Applied,
        "repeated after a lost answer"
    );
    assert!(matches!(bucket.apply(1, &acquire("b", None)), ClaimResult::HeldByOther(_)));
    assert!(matches!(bucket.apply(1, &acquire("b", Some("c"))), ClaimResult::HeldByOther(_)));
    assert_eq!(bucket.apply(2, &acquire("b", Some("a"))), ClaimResult::Applied);
    bucket.apply(3, &ClaimChange::Release { key: key.clone(), owner: "a".into() });
    assert!(bucket.get(&key).is_some(), "only the owner may release a claim");
    assert_ne!(ClaimKey::new(&"a".into(), "b:c"), ClaimKey::new(&"a:b".into(), "c"));
}

/// Guards against retries that multiply the load of a failing upstream.
#[test]
fn retry_budget_limits_retries_to_a_tenth() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

/// Guards against delays above the bound, and against overflow at many attempts.
#[test]
fn backoff_delays_stay_within_bounds() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let backoff = Backoff { base_ms: 10, max_ms: 100 };
    for attempt in 0..80 {
        let bound_ms = if attempt < 4 { 10 << attempt } else { 100 };
        assert!(backoff.delay_ms(attempt, &mut rng) <= bound_ms, "attempt {attempt}");
    }
}
