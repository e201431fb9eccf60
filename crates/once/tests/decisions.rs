//! Guards against requests that run twice and outcomes that claim too much.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use span_once::{
    Backoff, BeginResult, ClaimBucket, ClaimChange, ClaimKey, ClaimResult, Delivery, FailedAttempt,
    RegistryLimits, RequestIdRegistry, RetryBudget, RetryDecision, RunState, decide_retry,
};
use span_types::{Outcome, WorkspaceName};

#[test]
fn failed_attempts_are_repeated_only_where_safe() {
    struct Case {
        name: &'static str,
        attempt: FailedAttempt,
        decision: RetryDecision,
    }
    let base = FailedAttempt {
        delivery: Delivery::MaybeSent,
        maybe_sent_before: false,
        idempotent: false,
        response_started: false,
        replayable: true,
    };
    let refused = FailedAttempt { delivery: Delivery::NotSent, ..base };
    let cases = [
        Case { name: "sent once", attempt: base, decision: RetryDecision::End(Outcome::Unknown) },
        Case {
            name: "idempotent",
            attempt: FailedAttempt { idempotent: true, ..base },
            decision: RetryDecision::Retry(Outcome::Unknown),
        },
        Case { name: "refused", attempt: refused, decision: RetryDecision::Retry(Outcome::NotRun) },
        Case {
            name: "refused after another upstream may have run it",
            attempt: FailedAttempt { maybe_sent_before: true, idempotent: true, ..refused },
            decision: RetryDecision::Retry(Outcome::Unknown),
        },
        Case {
            name: "refused and the body is gone",
            attempt: FailedAttempt { replayable: false, ..refused },
            decision: RetryDecision::End(Outcome::NotRun),
        },
        Case {
            name: "answer begun",
            attempt: FailedAttempt { idempotent: true, response_started: true, ..base },
            decision: RetryDecision::End(Outcome::Unknown),
        },
    ];
    for case in cases {
        assert_eq!(decide_retry(case.attempt), case.decision, "{}", case.name);
    }
}

#[test]
fn a_minted_id_runs_once() {
    let ws = WorkspaceName::from("shop");
    let mut registry = RequestIdRegistry::new(RegistryLimits { max_entries: 2, lifetime_ms: 100 });
    registry.mint(0, 1, ws.clone()).expect("there is room");
    assert_eq!(registry.begin(1, 1, &"other".into()), BeginResult::Rejected(RunState::Unknown));
    assert_eq!(registry.begin(1, 1, &ws), BeginResult::Run);
    assert_eq!(registry.begin(2, 1, &ws), BeginResult::Rejected(RunState::Active));
    registry.end(3, 1, Outcome::NotRun);
    assert_eq!(registry.begin(4, 1, &ws), BeginResult::Run, "it did not run before");
    assert_eq!(registry.state(500, 1), RunState::Active, "a running id is not forgotten");
    registry.end(500, 1, Outcome::Completed);
    assert_eq!(registry.begin(501, 1, &ws), BeginResult::Rejected(RunState::Completed));
    assert_eq!(registry.begin(700, 1, &ws), BeginResult::Rejected(RunState::Unknown), "forgotten");
}

#[test]
fn the_registry_is_bounded() {
    let mut registry = RequestIdRegistry::new(RegistryLimits { max_entries: 2, lifetime_ms: 100 });
    for seq in 1..=2 {
        registry.mint(10, seq, "shop".into()).expect("there is room");
    }
    let error = registry.mint(20, 3, "shop".into()).expect_err("it is full");
    assert_eq!(error.retry_after_ms, 90);
    registry.mint(111, 3, "shop".into()).expect("the others expired");
    assert_eq!(registry.len(), 1);
}

#[test]
fn one_owner_holds_a_claim() {
    let key = ClaimKey::new(&"shop".into(), "order-7");
    let take = |owner: &str, replaces: Option<&str>| ClaimChange::Acquire {
        key: key.clone(),
        owner: owner.into(),
        replaces: replaces.map(Into::into),
    };
    let mut bucket = ClaimBucket::default();
    assert_eq!(bucket.apply(0, &take("a", None)), ClaimResult::Applied);
    assert_eq!(bucket.apply(1, &take("a", None)), ClaimResult::Applied, "lost answer");
    assert!(matches!(bucket.apply(1, &take("b", None)), ClaimResult::HeldByOther(_)));
    assert!(matches!(bucket.apply(1, &take("b", Some("c"))), ClaimResult::HeldByOther(_)));
    assert_eq!(bucket.apply(2, &take("b", Some("a"))), ClaimResult::Applied);
    bucket.apply(3, &ClaimChange::Release { key: key.clone(), owner: "a".into() });
    assert!(bucket.get(&key).is_some(), "only the owner releases its claim");
    assert_ne!(ClaimKey::new(&"a".into(), "b:c"), ClaimKey::new(&"a:b".into(), "c"));
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

#[test]
fn delays_grow_to_their_bound() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let backoff = Backoff { base_ms: 10, max_ms: 100 };
    for attempt in 0..80 {
        let bound_ms = if attempt < 4 { 10 << attempt } else { 100 };
        assert!(backoff.delay_ms(attempt, &mut rng) <= bound_ms, "attempt {attempt}");
    }
}
