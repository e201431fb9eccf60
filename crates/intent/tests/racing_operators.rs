//! Concurrent operators while faults of the platform come and go.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use span_standin::objects::Faults;
use support::{Fleet, workspace};

const INTENT_PROCESSES: usize = 3;
const OPERATORS: u64 = 4;
/// Each operator stops once it has this many responses to confirmations.
const RESULTS_PER_OPERATOR: usize = 16;
/// Limits the attempts of an operator. A plan that is rejected in an outage brings no
/// result.
const MAX_ROUNDS: u32 = 500;

/// The response that an operator received to a confirmation.
#[derive(Debug, PartialEq)]
enum ConfirmOutcome {
    Accepted(u64),
    NotAccepted,
    Unknown,
}

fn confirm_outcome(response: &Value) -> ConfirmOutcome {
    match (response["revision"].as_u64(), response["error"]["accepted"].as_bool()) {
        (Some(revision), _) => ConfirmOutcome::Accepted(revision),
        (None, Some(false)) => ConfirmOutcome::NotAccepted,
        _ => ConfirmOutcome::Unknown,
    }
}

/// Plans and confirms changes at random instances, and repeats some confirmations.
async fn run_operator(fleet: &Fleet, seed: u64, operator: u64) -> Vec<(String, ConfirmOutcome)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 100 + operator);
    let mut results = Vec::new();
    let mut round = 0;
    while results.len() < RESULTS_PER_OPERATOR && round < MAX_ROUNDS {
        round += 1;
        let share = 1 + operator as u32 * 1000 + round;
        let (_, planned) =
            fleet.plan(random.random_range(0..INTENT_PROCESSES), &workspace("a", share)).await;
        tokio::time::sleep(Duration::from_millis(random.random_range(0..10))).await;
        let Some(id) = planned["plan"]["id"].as_str() else { continue };
        for _ in 0..random.random_range(1..3) {
            let (_, response) = fleet.confirm(random.random_range(0..INTENT_PROCESSES), id).await;
            results.push((id.to_owned(), confirm_outcome(&response)));
        }
    }
    results
}

/// Alternates between no faults and one of several patterns. Some of them lose the
/// response to a write and then make the platform unavailable, so that the effect of
/// the write cannot be resolved.
async fn inject_faults(fleet: &Fleet, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let no_faults = Faults::default;
    let lose_response = Faults { lose_write_answers: true, ..no_faults() };
    let down = Faults { down: true, ..no_faults() };
    let patterns = [
        vec![lose_response.clone()],
        vec![lose_response.clone(), down.clone()],
        vec![Faults { delay_ms: 10, ..lose_response }, down.clone()],
        vec![Faults { delay_ms: 20, ..no_faults() }],
        vec![down],
        vec![Faults { silent: true, ..no_faults() }],
    ];
    loop {
        for faults in patterns.choose(&mut random).unwrap() {
            fleet.platform.set_faults(faults.clone());
            let hold_ms = if faults.down { 400 } else { random.random_range(5..40) };
            tokio::time::sleep(Duration::from_millis(hold_ms)).await;
        }
        fleet.platform.set_faults(no_faults());
        tokio::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
    }
}

/// Guards against responses that differ from what happened. An accepted plan has to be
/// in the history exactly once, with the revision in the response. A plan that was not
/// accepted must not be there. The revisions have to be in order.
#[tokio::test]
async fn responses_agree_with_the_history() {
    let mut accepted = 0;
    for seed in 1..=3 {
        let fleet = Fleet::start(INTENT_PROCESSES).await;
        let operators = (0..OPERATORS).map(|operator| run_operator(&fleet, seed, operator));
        let results = tokio::select! {
            results = futures::future::join_all(operators) => results,
            () = inject_faults(&fleet, seed) => unreachable!("faults are injected until the end"),
        };
        let results: Vec<_> = results.into_iter().flatten().collect();
        fleet.platform.set_faults(Faults::default());
        let (_, history) = fleet.get(0, "/v1/history").await;
        let entries = history["entries"].as_array().unwrap();
        for (id, outcome) in &results {
            let mut found = entries.iter().filter(|entry| entry["plan"] == id.as_str());
            let revision = found.next().map(|entry| entry["revision"].as_u64().unwrap());
            assert_eq!(found.next(), None, "seed {seed}: {id} has two effects");
            match outcome {
                ConfirmOutcome::Accepted(accepted_revision) => {
                    accepted += 1;
                    assert_eq!(revision, Some(*accepted_revision), "seed {seed}: {id}");
                }
                ConfirmOutcome::NotAccepted => {
                    let accepted_or_unknown = results.iter().any(|(other, outcome)| {
                        other == id && !matches!(outcome, ConfirmOutcome::NotAccepted)
                    });
                    assert!(
                        accepted_or_unknown || revision.is_none(),
                        "seed {seed}: {id} is in force"
                    );
                }
                ConfirmOutcome::Unknown => {}
            }
        }
        let revisions: Vec<u64> = entries.iter().map(|e| e["revision"].as_u64().unwrap()).collect();
        assert!(revisions.is_sorted(), "seed {seed}: {revisions:?}");
    }
    assert!(accepted > 0, "no plan was accepted");
}
