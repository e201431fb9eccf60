//! Guards against cost that is counted twice, lost, or taken from the caller's
//! hint instead of the engine's execution.

mod common;

use std::ops::RangeInclusive;

use common::{
    ADMIN_KEY, RunningSetup, TestSetup, call, chat_body, executions, fast_engine, loopback,
    wait_until,
};
use http::Method;
use span_standin::engine::{self, Engine, Faults};
use span_types::COST_HINT_HEADER;

const TOKENS: u64 = 20;

fn no_faults() -> Faults {
    Faults::default()
}

async fn read_settled_cost(setup: &RunningSetup) -> u64 {
    let bearer = format!("Bearer {ADMIN_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let address = setup.router.http_address();
    let answer = call(&setup.client, address, Method::GET, "/metrics", &headers, "").await;
    let text = answer.text();
    let line = text.lines().find_map(|line| line.strip_prefix("rosemaryspan_router_settled_cost "));
    line.expect("the counter is missing").parse().expect("not a number")
}

async fn wait_for_settled_cost(setup: &RunningSetup, holds: impl Fn(u64) -> bool) -> u64 {
    loop {
        let cost = read_settled_cost(setup).await;
        if setup.router.in_flight().is_empty() && holds(cost) {
            return cost;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

fn executed_cost(engine: &Engine, nonce: &str) -> u64 {
    executions(engine, nonce).iter().map(|run| run.prompt_cost + run.output_cost).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn settled_cost_matches_executed_cost() {
    struct Case {
        name: &'static str,
        stream: bool,
        hint: Option<&'static str>,
        faults: Faults,
    }
    let fault = |faults: Faults| Faults { answers: 1, ..faults };
    let interrupted = || fault(Faults { break_after: Some(4), ..no_faults() });
    let crossed = || fault(Faults { cross_after: Some(4), ..no_faults() });
    let interrupted_after_usage = || fault(Faults { break_after: Some(TOKENS + 1), ..no_faults() });
    let interrupted_json = || fault(Faults { break_after: Some(0), ..no_faults() });
    let cases = [
        Case { name: "streamed", stream: true, hint: None, faults: no_faults() },
        Case { name: "json", stream: false, hint: None, faults: no_faults() },
        Case { name: "resumed", stream: true, hint: None, faults: interrupted() },
        Case {
            name: "resumed after the usage",
            stream: true,
            hint: None,
            faults: interrupted_after_usage(),
        },
        Case { name: "crossed", stream: true, hint: None, faults: crossed() },
        Case { name: "json, read again", stream: false, hint: None, faults: interrupted_json() },
        Case {
            name: "hint 10 times too high",
            stream: true,
            hint: Some("270"),
            faults: no_faults(),
        },
        Case { name: "hint 10 times too low", stream: true, hint: Some("3"), faults: no_faults() },
        Case { name: "json, high hint", stream: false, hint: Some("270"), faults: no_faults() },
        Case { name: "json, low hint", stream: false, hint: Some("3"), faults: no_faults() },
    ];
    for Case { name, stream, hint, faults } in cases {
        let settings = engine::Settings { faults, ..fast_engine() };
        let engine = engine::bind(loopback(), settings).await.expect("bind failed");
        let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
        let headers: Vec<_> = hint.map(|hint| (COST_HINT_HEADER, hint)).into_iter().collect();
        let body = chat_body(name, TOKENS, stream).to_string();
        let answer = setup.call(Method::POST, "/v1/chat/completions", &headers, &body).await;
        assert_eq!(answer.outcome().as_deref(), Some("completed"), "{name}");
        let cost = wait_for_settled_cost(&setup, |cost| cost > 0).await;
        assert_eq!(cost, executed_cost(&engine, name), "{name}");
    }
}

/// Guards against a cancelled stream that is charged for its complete answer or
/// its hint. It is charged for the estimated prompt and the tokens that reached
/// the router.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_stream_settles_received_tokens() {
    let settings = engine::Settings { token_us: 20_000, ..fast_engine() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let body = chat_body("left", 100_000, true).to_string();
    let headers = [(COST_HINT_HEADER, "100000")];
    tokio::select! {
        _ = setup.call(Method::POST, "/v1/chat/completions", &headers, &body) => {
            panic!("the request completed")
        }
        () = wait_until(|| executions(&engine, "left").iter().any(|run| run.output_cost > 4)) => {}
    }
    wait_until(|| executions(&engine, "left")[0].cancelled).await;
    let cost = wait_for_settled_cost(&setup, |cost| cost > 0).await;
    let prompt = chat_body("left", 1, true)["messages"][0].to_string().len() as u64 / 4 + 1;
    let max_cost = executions(&engine, "left")[0].output_cost + prompt;
    assert!((prompt + 1..=max_cost).contains(&cost), "{cost} of {prompt} to {max_cost}");
}

/// Guards against an idempotent generation that is lost before the caller has a
/// byte of it and not retried, against retries without a limit, and against a
/// lost run that is reported as not run because its retry was not sent.
#[tokio::test(flavor = "multi_thread")]
async fn lost_generation_is_retried_within_budget() {
    /// The retries in the budget at the start, and the first run.
    const MAX_RUNS: usize = 21;
    struct Case {
        name: &'static str,
        /// Answers that each of the two engines loses.
        lost: u32,
        idempotent: &'static str,
        outcome: &'static str,
        runs: RangeInclusive<usize>,
    }
    let case =
        |name, lost, idempotent, outcome, runs| Case { name, lost, idempotent, outcome, runs };
    let cases = [
        case("lost at both engines", 1, "true", "completed", 2..=3),
        case("not idempotent", 1, "false", "unknown", 1..=1),
        case("always lost", 1_000, "true", "unknown", 2..=MAX_RUNS),
    ];
    for Case { name, lost, idempotent, outcome, runs: expected } in cases {
        for stream in [true, false] {
            let fault = Faults { answers: lost, break_after: Some(0), forget: true, ..no_faults() };
            let faulty = || engine::Settings { faults: fault.clone(), ..fast_engine() };
            let engines = [
                engine::bind(loopback(), faulty()).await.expect("bind failed"),
                engine::bind(loopback(), faulty()).await.expect("bind failed"),
            ];
            let setup = TestSetup { deadline_ms: 2_000, ..TestSetup::new() };
            let setup = engines
                .iter()
                .fold(setup, |setup, engine| setup.upstream("stitch-assist", engine.address()));
            let setup = setup.start().await;
            let headers = [("x-span-idempotent", idempotent)];
            let body = chat_body(name, 5, stream).to_string();
            let answer = setup.call(Method::POST, "/v1/chat/completions", &headers, &body).await;
            assert_eq!(answer.outcome().as_deref(), Some(outcome), "{name}, stream {stream}");
            let count = engines.iter().map(|engine| executions(engine, name).len()).sum();
            assert!(expected.contains(&count), "{name}, stream {stream}: {count} runs");
        }
    }
}
