//! Guarantees of section 1.2 of the design that need a test of their own, with
//! separate processes under load. The others are checked in each test of faults.rs.

mod fleet;

use std::collections::{BTreeMap, HashMap};

use fleet::{HANG_TIMEOUT, TOPOLOGY, TestFleet, assert_guarantees, wait_until, workload};
use rustix::process::Signal;
use serde::Deserialize;
use span_bench::{
    args::Policy,
    fleet::{accepts_key, workspace_config},
};
use span_load::{AnswerKind, AttemptRecord};
use span_standin::{Execution, relay};
use span_types::Outcome;

#[derive(Deserialize)]
struct LoadReport {
    running: u32,
    waiting: u32,
}

async fn wait_for_load(load: tokio::task::JoinHandle<Vec<AttemptRecord>>) -> Vec<AttemptRecord> {
    tokio::time::timeout(HANG_TIMEOUT, load).await.expect("the load hangs").expect("load")
}

/// Cost that the model service spent on each workspace while all workspaces sent
/// requests. Requests that started later show nothing about fair sharing.
fn cost_received(records: &[AttemptRecord], executions: &[Execution]) -> BTreeMap<String, u64> {
    let workspaces: HashMap<&str, &str> =
        records.iter().map(|record| (record.nonce.as_str(), &*record.workspace)).collect();
    let mut last_sent = BTreeMap::new();
    for record in records {
        let last_us = last_sent.entry(record.workspace.to_string()).or_insert(0);
        *last_us = record.sent_us.max(*last_us);
    }
    let until_us = last_sent.into_values().min().unwrap_or(0);
    let mut cost_received: BTreeMap<String, u64> =
        records.iter().map(|record| (record.workspace.to_string(), 0)).collect();
    let started = |execution: &&Execution| (1..=until_us).contains(&execution.started_us);
    for execution in executions.iter().filter(started) {
        if let Some(workspace) = workspaces.get(execution.nonce.as_str()) {
            let cost = execution.prompt_cost + execution.output_cost;
            *cost_received.entry((*workspace).to_owned()).or_default() += cost;
        }
    }
    cost_received
}

/// Smallest service of a small workspace, as a fraction of the service of the flooding
/// workspace, which has the same share.
async fn smallest_fraction_under_flood(policy: Policy) -> f64 {
    const FLOODING: usize = 0;
    let mut load = workload(21, 5_000);
    load.spec.plain_fraction = 0.0;
    for (number, workspace) in load.workspaces.iter_mut().enumerate() {
        let phase = span_load::workload::Phase { from_ms: 0, to_ms: load.spec.duration_ms };
        workspace.phases = vec![phase];
        workspace.share = 1;
        workspace.open_per_second = 0.0;
        // There are 12 slots, so 8 callers keep a workspace's quarter of them busy.
        workspace.callers = if number == FLOODING { 120 } else { 8 };
    }
    let flooding = load.workspaces[FLOODING].name.to_string();
    let test_fleet = TestFleet::start_with(&format!("flood-{policy}"), load, Some(policy)).await;
    let records = wait_for_load(test_fleet.start_load()).await;
    let executions = test_fleet.executions().await;
    assert_guarantees(&format!("flood {policy}"), &records, &executions);
    let cost_received = cost_received(&records, &executions);
    println!("flood {policy}: {cost_received:?}");
    test_fleet.stop().await;
    let flooding_cost = cost_received[&flooding] as f64;
    let small = cost_received.iter().filter(|(name, _)| **name != flooding);
    small.map(|(_, cost)| *cost as f64 / flooding_cost).fold(f64::INFINITY, f64::min)
}

/// Guards against a workspace that gets little or no service while another one floods
/// the fleet. The run with first come, first served shows that the check can fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_flood_does_not_starve_other_workspaces() {
    const MIN_SERVICE_FRACTION: f64 = 0.5;
    let fleet = smallest_fraction_under_flood(Policy::Fleet).await;
    let first_come_first_served = smallest_fraction_under_flood(Policy::Fcfs).await;
    println!(
        "smallest service of a small workspace: {fleet:.2}, first come, first served: {first_come_first_served:.2}"
    );
    assert!(
        fleet >= MIN_SERVICE_FRACTION,
        "a small workspace received {fleet} of the flooding one's service"
    );
    assert!(
        first_come_first_served < MIN_SERVICE_FRACTION,
        "first come, first served passes too, so the check shows nothing"
    );
}

/// Guards against requests to an upstream that left: once all routers have applied the
/// change and its last request ended, it executes nothing more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_upstream_gets_no_new_work() {
    for name in ["stitch-assist-0", "booking-desk-0"] {
        let mut test_fleet = TestFleet::start(&format!("leaving-{name}"), 22, 1_500).await;
        let load = test_fleet.start_load();
        wait_until("work at the upstream", || async {
            test_fleet.fleet.ledgers().await.is_ok_and(|ledgers| !ledgers[name].is_empty())
        })
        .await;
        test_fleet.fleet.document.upstreams.get_mut(name).expect("configured").leaving = true;
        assert!(
            test_fleet.change_configuration("canary-leaving").await,
            "the change is not accepted"
        );
        test_fleet.wait_until_key_accepted("canary-leaving").await;
        let address = test_fleet.fleet.document.upstreams[name].address;
        let upstream = test_fleet.fleet.json_client(address);
        wait_until("the leaving upstream is idle", || async {
            let load = upstream.get::<LoadReport>("/load").await;
            load.is_ok_and(|load| load.running == 0 && load.waiting == 0)
        })
        .await;
        let mut records = wait_for_load(load).await;
        let before = test_fleet.fleet.ledgers().await.expect("ledgers");
        // The names of the requests depend on the seed. The workspaces and their keys stay
        // the same.
        test_fleet.workload.spec.seed += 1;
        let second = wait_for_load(test_fleet.start_load()).await;
        let after = test_fleet.fleet.ledgers().await.expect("ledgers");
        assert_guarantees(name, &second, &test_fleet.executions().await);
        records.extend(second);
        assert_guarantees(name, &records, &test_fleet.executions().await);
        assert_eq!(after[name].len(), before[name].len(), "{name} got work after it left");
        test_fleet.stop().await;
    }
}

/// Guards against a leaving router that interrupts waiting or running requests, or that
/// never exits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_interrupts_no_request() {
    let mut test_fleet = TestFleet::start("shutdown", 24, 12_000).await;
    let load = test_fleet.start_load();
    let name = test_fleet.fleet.routers[0].name.clone();
    wait_until("a request through the router that will leave", || async {
        // Request ids contain the name of the router that minted them.
        test_fleet.executions().await.iter().any(|execution| execution.request_id.contains(&name))
    })
    .await;
    let mut process = test_fleet.fleet.routers[0].process.take().expect("running");
    process.signal(Signal::TERM).expect("running");
    assert!(process.wait_for_exit(HANG_TIMEOUT).await, "the router does not exit");
    let records = wait_for_load(load).await;
    let audit = assert_guarantees("shutdown", &records, &test_fleet.executions().await);
    let is_interrupted = |record: &&AttemptRecord| {
        matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing)
    };
    let interrupted: Vec<&AttemptRecord> = records.iter().filter(is_interrupted).collect();
    assert!(interrupted.is_empty(), "requests were interrupted: {interrupted:#?}");
    let at_router = records.iter().filter(|record| *record.entry == *name).count();
    println!("shutdown: {at_router} attempts at the leaving router of {}", audit.attempts);
    assert!(at_router > 0, "the leaving router had no requests, so the test shows nothing");
    test_fleet.stop().await;
}

/// Guards against accepting both of two conflicting plans, and against applying the
/// rejected one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_conflicting_plans_is_accepted() {
    const ROUNDS: usize = 6;
    let mut test_fleet = TestFleet::start("operators", 25, 500).await;
    for round in 0..ROUNDS {
        let keys = ["a", "b"].map(|operator| format!("canary-{round}-{operator}"));
        let documents = [0, 1].map(|operator| {
            let mut document = test_fleet.fleet.document.clone();
            let changed = workspace_config(1, &[TOPOLOGY.model_service], &keys[operator]);
            document.workspaces.insert("canary".into(), changed);
            document
        });
        let (first, second) = tokio::join!(
            test_fleet.intents.create_plan(0, &documents[0]),
            test_fleet.intents.create_plan(1, &documents[1])
        );
        let plans = [first.expect("planned"), second.expect("planned")];
        let (first, second) = tokio::join!(
            test_fleet.intents.confirm_plan(0, &plans[0]),
            test_fleet.intents.confirm_plan(1, &plans[1])
        );
        let accepted = [first.is_ok(), second.is_ok()];
        let accepted_count = accepted.iter().filter(|accepted| **accepted).count();
        assert_eq!(accepted_count, 1, "round {round}: accepted {accepted:?}");
        let (winner, loser) = if accepted[0] { (0, 1) } else { (1, 0) };
        test_fleet.wait_until_key_accepted(&keys[winner]).await;
        for router in &test_fleet.fleet.routers {
            let accepts_rejected_key =
                accepts_key(&test_fleet.fleet.json_client(router.direct_address), &keys[loser])
                    .await;
            assert!(
                !accepts_rejected_key,
                "round {round}: the rejected plan is in force at {}",
                router.name
            );
        }
        test_fleet.fleet.document = documents[winner].clone();
    }
    test_fleet.assert_configuration_never_reverted("operators");
    test_fleet.stop().await;
}

/// Guards against a call that may run at most once and is retried or answered with
/// `not_run` although its connection to the service was interrupted after it was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_on_an_interrupted_connection_is_unknown() {
    const CLOSE_COUNT: usize = 20;
    const CLOSE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
    let mut load = workload(26, 2_500);
    load.spec.plain_fraction = 1.0;
    let test_fleet = TestFleet::start_with("broken", load, None).await;
    let load = test_fleet.start_load();
    for _ in 0..CLOSE_COUNT {
        for name in ["upstream-booking-desk-0", "upstream-booking-desk-1"] {
            let faults = relay::Faults { close_open: true, ..relay::Faults::default() };
            test_fleet.fleet.set_relay_faults(name, faults).await.expect("the relay answers");
        }
        tokio::time::sleep(CLOSE_INTERVAL).await;
    }
    let records = wait_for_load(load).await;
    let audit = assert_guarantees("broken", &records, &test_fleet.executions().await);
    let unknown_count =
        records.iter().filter(|record| record.outcome == Some(Outcome::Unknown)).count();
    assert!(unknown_count > 0, "no call was interrupted, so the test shows nothing: {audit:?}");
    test_fleet.stop().await;
}
