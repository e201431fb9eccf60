//! Sentences of section 1.2 of the design that need a scene of their own, over
//! separate processes under load. The others are checked in each test of
//! faults.rs.

mod fleet;

use std::collections::{BTreeMap, HashMap};

use fleet::{HANG_LIMIT, Rig, TOPOLOGY, assert_promises, wait_until, workload};
use rustix::process::Signal;
use serde::Deserialize;
use span_bench::{
    args::Policy,
    fleet::{knows_key, workspace},
};
use span_load::{AnswerKind, AttemptRecord};
use span_standin::{Execution, relay};
use span_types::Outcome;

#[derive(Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
}

async fn finish(load: tokio::task::JoinHandle<Vec<AttemptRecord>>) -> Vec<AttemptRecord> {
    tokio::time::timeout(HANG_LIMIT, load).await.expect("the load hangs").expect("load")
}

/// Cost that each workspace received from the model service while all sent
/// requests. What was still queued after that shows nothing about sharing.
fn received(records: &[AttemptRecord], executions: &[Execution]) -> BTreeMap<String, u64> {
    let workspaces: HashMap<&str, &str> =
        records.iter().map(|record| (record.nonce.as_str(), &*record.workspace)).collect();
    let mut last_sent = BTreeMap::new();
    for record in records {
        let last_us = last_sent.entry(record.workspace.to_string()).or_insert(0);
        *last_us = record.sent_us.max(*last_us);
    }
    let until_us = last_sent.into_values().min().unwrap_or(0);
    let mut received: BTreeMap<String, u64> =
        records.iter().map(|record| (record.workspace.to_string(), 0)).collect();
    let started = |execution: &&Execution| (1..=until_us).contains(&execution.started_us);
    for execution in executions.iter().filter(started) {
        if let Some(workspace) = workspaces.get(execution.nonce.as_str()) {
            let cost = execution.prompt_cost + execution.output_cost;
            *received.entry((*workspace).to_owned()).or_default() += cost;
        }
    }
    received
}

/// Least service of a small workspace as a part of the flooding one's, whose
/// share is the same.
async fn least_under_flood(policy: Policy) -> f64 {
    const FLOODING: usize = 0;
    let mut load = workload(21, 5_000);
    load.spec.plain_fraction = 0.0;
    for (number, workspace) in load.workspaces.iter_mut().enumerate() {
        let phase = span_load::workload::Phase { from_ms: 0, to_ms: load.spec.duration_ms };
        workspace.phases = vec![phase];
        workspace.share = 1;
        workspace.open_per_second = 0.0;
        // The slots are 12: each workspace alone keeps its quarter busy.
        workspace.callers = if number == FLOODING { 120 } else { 8 };
    }
    let flooding = load.workspaces[FLOODING].name.to_string();
    let rig = Rig::start_with(&format!("flood-{policy}"), load, Some(policy)).await;
    let records = finish(rig.load()).await;
    let executions = rig.executions().await;
    assert_promises(&format!("flood {policy}"), &records, &executions);
    let received = received(&records, &executions);
    println!("flood {policy}: {received:?}");
    rig.stop().await;
    let flooded = received[&flooding] as f64;
    let small = received.iter().filter(|(name, _)| **name != flooding);
    small.map(|(_, cost)| *cost as f64 / flooded).fold(f64::INFINITY, f64::min)
}

/// Guards against a workspace that starves or falls far behind while another
/// one floods the fleet. Arrival order shows that the check can fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_takes_no_more_than_its_share() {
    const LEAST: f64 = 0.5;
    let fleet = least_under_flood(Policy::Fleet).await;
    let arrival_order = least_under_flood(Policy::Fcfs).await;
    println!("least service of a small workspace: {fleet:.2}, in arrival order {arrival_order:.2}");
    assert!(fleet >= LEAST, "a small workspace received {fleet} of the flooding one's service");
    assert!(arrival_order < LEAST, "arrival order passes too, so the check shows nothing");
}

/// Guards against work for an upstream that left: once all routers have the
/// change in force and its last request ended, it executes nothing more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_upstream_gets_no_new_work() {
    for name in ["stitch-assist-0", "booking-desk-0"] {
        let mut rig = Rig::start(&format!("leaving-{name}"), 22, 1_500).await;
        let load = rig.load();
        wait_until("work at the upstream", || async {
            rig.fleet.ledgers().await.is_ok_and(|ledgers| !ledgers[name].is_empty())
        })
        .await;
        rig.fleet.document.upstreams.get_mut(name).expect("configured").leaving = true;
        assert!(rig.change("canary-leaving").await, "the change is not accepted");
        rig.wait_in_force("canary-leaving").await;
        let address = rig.fleet.document.upstreams[name].address;
        let upstream = rig.fleet.rest(address);
        wait_until("the leaving upstream is idle", || async {
            let load = upstream.get::<Load>("/load").await;
            load.is_ok_and(|load| load.running == 0 && load.waiting == 0)
        })
        .await;
        let mut records = finish(load).await;
        let before = rig.fleet.ledgers().await.expect("ledgers");
        // The seed names the requests; the workspaces and their keys stay.
        rig.workload.spec.seed += 1;
        let second = finish(rig.load()).await;
        let after = rig.fleet.ledgers().await.expect("ledgers");
        assert_promises(name, &second, &rig.executions().await);
        records.extend(second);
        assert_promises(name, &records, &rig.executions().await);
        assert_eq!(after[name].len(), before[name].len(), "{name} got work after it left");
        rig.stop().await;
    }
}

/// Guards against a router that leaves and cuts requests which wait or run, or
/// that never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_cuts_nothing() {
    let mut rig = Rig::start("shutdown", 24, 12_000).await;
    let load = rig.load();
    let name = rig.fleet.routers[0].name.clone();
    wait_until("a request through the router that will leave", || async {
        // Ids name the router that minted them.
        rig.executions().await.iter().any(|execution| execution.request_id.contains(&name))
    })
    .await;
    let mut process = rig.fleet.routers[0].process.take().expect("running");
    process.signal(Signal::TERM).expect("running");
    assert!(process.ended(HANG_LIMIT).await, "the router does not end");
    let records = finish(load).await;
    let audit = assert_promises("shutdown", &records, &rig.executions().await);
    let cut = |record: &&AttemptRecord| {
        matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing)
    };
    let cut: Vec<&AttemptRecord> = records.iter().filter(cut).collect();
    assert!(cut.is_empty(), "requests were cut: {cut:#?}");
    let at_router = records.iter().filter(|record| *record.entry == *name).count();
    println!("shutdown: {at_router} attempts at the leaving router of {}", audit.attempts);
    assert!(at_router > 0, "the leaving router had no requests, so the test shows nothing");
    rig.stop().await;
}

/// Guards against two conflicting plans that are both accepted, and against a
/// rejected one that comes into force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_operators_wins() {
    const ROUNDS: usize = 6;
    let mut rig = Rig::start("operators", 25, 500).await;
    for round in 0..ROUNDS {
        let keys = ["a", "b"].map(|operator| format!("canary-{round}-{operator}"));
        let documents = [0, 1].map(|operator| {
            let mut document = rig.fleet.document.clone();
            let changed = workspace(1, &[TOPOLOGY.model_service], &keys[operator]);
            document.workspaces.insert("canary".into(), changed);
            document
        });
        let (first, second) =
            tokio::join!(rig.intents.plan(0, &documents[0]), rig.intents.plan(1, &documents[1]));
        let plans = [first.expect("planned"), second.expect("planned")];
        let (first, second) =
            tokio::join!(rig.intents.confirm(0, &plans[0]), rig.intents.confirm(1, &plans[1]));
        let accepted = [first.is_ok(), second.is_ok()];
        let won = accepted.iter().filter(|accepted| **accepted).count();
        assert_eq!(won, 1, "round {round}: accepted {accepted:?}");
        let (winner, loser) = if accepted[0] { (0, 1) } else { (1, 0) };
        rig.wait_in_force(&keys[winner]).await;
        for seat in &rig.fleet.routers {
            let knows = knows_key(&rig.fleet.rest(seat.direct), &keys[loser]).await;
            assert!(!knows, "round {round}: the rejected plan is in force at {}", seat.name);
        }
        rig.fleet.document = documents[winner].clone();
    }
    rig.assert_never_reverted("operators");
    rig.stop().await;
}

/// Guards against a call that may run once and is sent again, or is told
/// `not_run`, after its connection to the service broke behind the send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_connection_broke_is_unknown() {
    const CLOSINGS: usize = 20;
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(100);
    let mut load = workload(26, 2_500);
    load.spec.plain_fraction = 1.0;
    let rig = Rig::start_with("broken", load, None).await;
    let load = rig.load();
    for _ in 0..CLOSINGS {
        for name in ["upstream-booking-desk-0", "upstream-booking-desk-1"] {
            let faults = relay::Faults { close_open: true, ..relay::Faults::default() };
            rig.fleet.relay_faults(name, faults).await.expect("the relay answers");
        }
        tokio::time::sleep(PAUSE).await;
    }
    let records = finish(load).await;
    let audit = assert_promises("broken", &records, &rig.executions().await);
    let told = records.iter().filter(|record| record.outcome == Some(Outcome::Unknown)).count();
    assert!(told > 0, "no call broke, so the test shows nothing: {audit:?}");
    rig.stop().await;
}
