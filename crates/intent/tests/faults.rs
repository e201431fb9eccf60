//! Operators who race while the platform's faults come and go.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use span_standin::objects::Faults;
use support::{Fleet, workspace};

const INTENTS: usize = 3;
const OPERATORS: u64 = 4;
const RESULTS: usize = 16;
/// Plans that an outage refuses bring no result.
const MAX_ROUNDS: u32 = 500;

/// What an operator was told about a plan.
#[derive(Debug, PartialEq)]
enum Told {
    Accepted(u64),
    NotAccepted,
    Unknown,
}

fn told(answer: &Value) -> Told {
    match (answer["revision"].as_u64(), answer["error"]["accepted"].as_bool()) {
        (Some(revision), _) => Told::Accepted(revision),
        (None, Some(false)) => Told::NotAccepted,
        _ => Told::Unknown,
    }
}

/// Plans and confirms at random instances; repeats some confirmations.
async fn operate(fleet: &Fleet, seed: u64, operator: u64) -> Vec<(String, Told)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 100 + operator);
    let mut results = Vec::new();
    let mut round = 0;
    while results.len() < RESULTS && round < MAX_ROUNDS {
        round += 1;
        let share = 1 + operator as u32 * 1000 + round;
        let (_, planned) =
            fleet.plan(random.random_range(0..INTENTS), &workspace("a", share)).await;
        tokio::time::sleep(Duration::from_millis(random.random_range(0..10))).await;
        let Some(id) = planned["plan"]["id"].as_str() else { continue };
        for _ in 0..random.random_range(1..3) {
            let (_, answer) = fleet.confirm(random.random_range(0..INTENTS), id).await;
            results.push((id.to_owned(), told(&answer)));
        }
    }
    results
}

/// Good times alternate with one fault or with a lost answer that is followed
/// by an outage, which keeps the answer from being resolved.
async fn disturb(fleet: &Fleet, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let none = Faults::default;
    let lost = Faults { lose_write_answers: true, ..none() };
    let down = Faults { down: true, ..none() };
    let patterns = [
        vec![lost.clone()],
        vec![lost.clone(), down.clone()],
        vec![Faults { delay_ms: 10, ..lost }, down.clone()],
        vec![Faults { delay_ms: 20, ..none() }],
        vec![down],
        vec![Faults { silent: true, ..none() }],
    ];
    loop {
        for faults in patterns.choose(&mut random).unwrap() {
            fleet.platform.set_faults(faults.clone());
            let hold_ms = if faults.down { 400 } else { random.random_range(5..40) };
            tokio::time::sleep(Duration::from_millis(hold_ms)).await;
        }
        fleet.platform.set_faults(none());
        tokio::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
    }
}

/// Guards against what operators are told differing from what happened: an
/// accepted plan is in the history once and under the revision that was named,
/// one that was not accepted is not there, and each revision follows the one
/// before it.
#[tokio::test]
async fn operators_are_told_what_happened() {
    let mut accepted = 0;
    for seed in 1..=3 {
        let fleet = Fleet::start(INTENTS).await;
        let operators = (0..OPERATORS).map(|operator| operate(&fleet, seed, operator));
        let results = tokio::select! {
            results = futures::future::join_all(operators) => results,
            () = disturb(&fleet, seed) => unreachable!("faults go on until the end"),
        };
        let results: Vec<_> = results.into_iter().flatten().collect();
        fleet.platform.set_faults(Faults::default());
        let (_, history) = fleet.get(0, "/v1/history").await;
        let entries = history["entries"].as_array().unwrap();
        for (id, told) in &results {
            let mut found = entries.iter().filter(|entry| entry["plan"] == id.as_str());
            let revision = found.next().map(|entry| entry["revision"].as_u64().unwrap());
            assert_eq!(found.next(), None, "seed {seed}: {id} has two effects");
            match told {
                Told::Accepted(told) => {
                    accepted += 1;
                    assert_eq!(revision, Some(*told), "seed {seed}: {id}");
                }
                Told::NotAccepted => {
                    let later = results
                        .iter()
                        .any(|(other, told)| other == id && !matches!(told, Told::NotAccepted));
                    assert!(later || revision.is_none(), "seed {seed}: {id} is in force");
                }
                Told::Unknown => {}
            }
        }
        let revisions: Vec<u64> = entries.iter().map(|e| e["revision"].as_u64().unwrap()).collect();
        assert!(revisions.is_sorted(), "seed {seed}: {revisions:?}");
    }
    assert!(accepted > 0, "no plan was ever accepted");
}
