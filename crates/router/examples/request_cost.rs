//! Measures the processor time of a router per request and per streamed token:
//! one router, one engine, loopback. Prints JSON.
//!
//!     cargo run --release -p span-router --example request_cost [REQUESTS]
//!
//! The router runs on separate threads, whose processor time the kernel counts.
//! The output also has ratios to the processor time of caller and engine for
//! direct calls in the same run; they depend less on the machine and its load.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{fs, net::SocketAddr, time::Duration};

use common::{TestSetup, chat_body, loopback};
use futures::{StreamExt, stream};
use http::Method;
use serde_json::json;
use span_standin::engine;

const DEFAULT_REQUESTS: u64 = 500;
const CONCURRENT_REQUESTS: usize = 16;
const SHORT_TOKENS: u64 = 2;
const LONG_TOKENS: u64 = 202;
const IDLE_DURATION: Duration = Duration::from_secs(3);
const ROUTER_THREAD: &str = "router";
const CALLER_THREAD: &str = "caller";
const CONTROL_THREAD: &str = "control";

/// Processor time of all threads of this process with this name.
fn cpu_ns(name: &str) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("cannot list threads");
    let tasks = tasks.filter_map(|task| Some(task.ok()?.path()));
    let named = tasks
        .filter(|task| fs::read_to_string(task.join("comm")).is_ok_and(|comm| comm.trim() == name));
    let times = named.filter_map(|task| fs::read_to_string(task.join("schedstat")).ok());
    times.filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok()).sum()
}

/// Processor times of the thread groups.
#[derive(Clone, Copy)]
struct Times {
    traffic_ns: u64,
    control_ns: u64,
    caller_ns: u64,
}

impl Times {
    fn now() -> Self {
        Self {
            traffic_ns: cpu_ns(ROUTER_THREAD),
            control_ns: cpu_ns(CONTROL_THREAD),
            caller_ns: cpu_ns(CALLER_THREAD),
        }
    }

    fn since(self) -> Self {
        let now = Self::now();
        Self {
            traffic_ns: now.traffic_ns - self.traffic_ns,
            control_ns: now.control_ns - self.control_ns,
            caller_ns: now.caller_ns - self.caller_ns,
        }
    }
}

/// Sends streamed requests and returns the processor time that was used
/// meanwhile.
async fn load(address: SocketAddr, requests: u64, tokens: u64) -> Times {
    let client = span_http::pooled_client(Duration::from_secs(1));
    let before = Times::now();
    let calls = stream::iter(0..requests).map(|number| {
        let client = &client;
        async move {
            let body = chat_body(&format!("n{number}"), tokens, true).to_string();
            let path = "/v1/chat/completions";
            let id = format!("direct-{tokens}-{number}");
            let headers = [("x-request-id", id.as_str())];
            let answer = common::call(client, address, Method::POST, path, &headers, &body).await;
            assert!(answer.text().contains("[DONE]"), "{answer:?}");
        }
    });
    calls.buffer_unordered(CONCURRENT_REQUESTS).collect::<Vec<_>>().await;
    before.since()
}

fn runtime(name: &str) -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).thread_name(name).enable_all().build().expect("cannot start threads")
}

fn main() {
    let requests = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let requests: u64 = requests.unwrap_or(DEFAULT_REQUESTS);
    let (routers, callers) = (runtime(ROUTER_THREAD), runtime(CALLER_THREAD));
    let engine = callers.spawn(async {
        let settings = engine::Settings { slots: 64, token_us: 500, ..Default::default() };
        engine::bind(loopback(), settings).await.expect("bind failed")
    });
    let engine = callers.block_on(engine).expect("a task panicked");
    let engine_address = engine.address();
    let setup = TestSetup::new().upstream("stitch-assist", engine_address);
    let setup =
        routers.block_on(async { routers.spawn(setup.start()).await.expect("a task panicked") });
    let router_address = setup.router.http_address();
    let run = |address, tokens| {
        callers.block_on(async {
            callers.spawn(load(address, requests, tokens)).await.expect("a task panicked")
        })
    };
    let before = Times::now();
    std::thread::sleep(IDLE_DURATION);
    let idle = before.since();
    let direct = [run(engine_address, SHORT_TOKENS), run(engine_address, LONG_TOKENS)];
    let routed = [run(router_address, SHORT_TOKENS), run(router_address, LONG_TOKENS)];
    let per_request = |ns: u64| ns as f64 / requests as f64 / 1e3;
    let per_token = |short: u64, long: u64| {
        let tokens = requests * (LONG_TOKENS - SHORT_TOKENS);
        (long as f64 - short as f64) / tokens as f64 / 1e3
    };
    let router_total_ns = |times: &Times| times.traffic_ns + times.control_ns;
    let request_us = per_request(router_total_ns(&routed[0]));
    let token_us = per_token(router_total_ns(&routed[0]), router_total_ns(&routed[1]));
    let direct_token_us = per_token(direct[0].caller_ns, direct[1].caller_ns);
    let report = json!({
        "requests": requests,
        "idle_us_per_s": (idle.traffic_ns + idle.control_ns) as f64 / 1e3 / IDLE_DURATION.as_secs_f64(),
        "request_us": request_us,
        "request_control_us": per_request(routed[0].control_ns),
        "token_us": token_us,
        "direct_request_us": per_request(direct[0].caller_ns),
        "direct_token_us": direct_token_us,
        "request_ratio": request_us / per_request(direct[0].caller_ns),
        "token_ratio": token_us / direct_token_us,
    });
    println!("{report}");
}
