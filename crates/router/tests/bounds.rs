//! Guards against callers that send malformed, oversized, truncated or slow
//! requests, and against hop-by-hop or unbounded resources that they hold.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{KEY, World, any, chat_body, quick_engine, request, runs, until};
use http::{Method, StatusCode};
use proptest::{
    arbitrary::any as arbitrary,
    collection::vec,
    prelude::{Strategy, prop_assert, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use span_http::{Body, full_body};
use span_router::settings::{Limits, Timeouts};
use span_standin::engine::{self, Engine};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

async fn engine() -> Engine {
    engine::bind(any(), quick_engine()).await.expect("it binds")
}

/// Sends bytes and returns what comes back until the connection ends.
async fn exchange(router: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(router).await.expect("it accepts");
    // The router may have answered and closed before it read everything.
    let _ = stream.write_all(bytes).await;
    if close {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_and_slow_requests_get_a_clear_error() {
    struct Case {
        name: &'static str,
        bytes: String,
        status: &'static str,
        kind: &'static str,
    }
    let chat = "/v1/chat/completions";
    let chunked = format!(
        "POST {chat} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n1000\r\n{}\r\n0\r\n\r\n",
        "x".repeat(0x1000)
    );
    let long = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(20_000));
    let cases = [
        Case { name: "length", bytes: head(chat, 4_000), status: "413", kind: "body_too_large" },
        Case {
            name: "length of a plain call",
            bytes: head("/svc/pages/", 4_000),
            status: "413",
            kind: "body_too_large",
        },
        Case { name: "chunks", bytes: chunked, status: "413", kind: "body_too_large" },
        Case { name: "slow", bytes: head(chat, 100), status: "408", kind: "body_too_slow" },
        Case {
            name: "slow plain call",
            bytes: head("/svc/pages/", 100),
            status: "408",
            kind: "body_too_slow",
        },
        Case { name: "head", bytes: long, status: "431", kind: "" },
        Case { name: "no HTTP", bytes: "\u{1}\u{2}\r\n\r\n".into(), status: "400", kind: "" },
    ];
    let engine = engine().await;
    let mut world = World::new().upstream("stitch-assist", engine.address());
    world = world.upstream("pages", engine.address());
    world.limits = Limits { body_bytes: 1_000, header_bytes: 8_192, ..Limits::default() };
    world.timeouts.header_ms = 300;
    let world = world.start().await;
    let router = world.router.http_address();
    for case in cases {
        let answer = exchange(router, case.bytes.as_bytes(), false).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {}", case.status)),
            "{}: {answer}",
            case.name
        );
        assert!(answer.contains(case.kind), "{}: {answer}", case.name);
        assert!(case.kind.is_empty() || answer.contains("x-span-outcome: not_run"), "{answer}");
    }
    assert!(engine.ledger().executions().is_empty(), "nothing was dispatched");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_past_the_limit_is_refused() {
    let mut world = World::new();
    world.limits.connections = 3;
    let world = world.start().await;
    let router = world.router.http_address();
    let mut held = Vec::new();
    let refused = loop {
        held.push(TcpStream::connect(router).await.expect("it accepts"));
        let request = request(router, Method::GET, "/v1/models", &[("connection", "close")]);
        let request = request.body(span_http::empty_body()).expect("it is valid");
        let answer =
            common::send(&span_http::unpooled_client(Duration::from_secs(1)), request).await;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            break answer;
        }
        assert!(held.len() < 4, "the limit has no effect");
    };
    assert_eq!(refused.outcome().as_deref(), Some("not_run"));
    assert!(!refused.header("retry-after").is_empty());
    assert!(!refused.header("x-request-id").is_empty());
    assert_eq!(refused.json()["error"]["type"], "too_many_connections");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_loses_its_connection() {
    // 20 MB in 5 s: the sockets' buffers are full long before the end.
    let settings = engine::Settings { token_us: 50, ..quick_engine() };
    let engine = engine::bind(any(), settings).await.expect("it binds");
    let mut world = World::new().upstream("stitch-assist", engine.address());
    world.timeouts = Timeouts { write_ms: 200, ..world.timeouts };
    let world = world.start().await;
    let body = chat_body("stuck", 100_000, true).to_string();
    let socket = TcpSocket::new_v4().expect("it opens");
    socket.set_recv_buffer_size(4_096).expect("it is set");
    let mut stream = socket.connect(world.router.http_address()).await.expect("it accepts");
    let head = head("/v1/chat/completions", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await.expect("it takes the request");
    until(|| runs(&engine, "stuck").iter().any(|run| run.cancelled)).await;
    until(|| world.router.in_flight().is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_body_passes_within_the_limit() {
    let upstream = span_http::serve(any(), span_http::Limits::default(), |request, _| async {
        http::Response::new(http_body_util::BodyExt::map_err(
            http::Request::into_body(request),
            Into::into,
        ))
        .map(Body::new)
    });
    let upstream = upstream.await.expect("it binds");
    let world = World::new().upstream("pages", upstream.address()).start().await;
    let body = "y".repeat(8 * 1024 * 1024);
    let request = request(world.router.http_address(), Method::PUT, "/svc/pages/big", &[]);
    let request = request.body(full_body(body.clone())).expect("it is valid");
    let answer = common::send(&world.client, request).await;
    assert_eq!(answer.body.expect("it is whole"), body);
}

/// Mutations of a valid request: cut, with bytes replaced, or with noise.
fn damaged(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let length = valid.len();
    let cut = (0..length).prop_map({
        let valid = valid.clone();
        move |at| valid[..at].to_vec()
    });
    let replaced = vec((0..length, arbitrary::<u8>()), 1..6).prop_map(move |changes| {
        let mut bytes = valid.clone();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        bytes
    });
    prop_oneof![cut, replaced, vec(arbitrary::<u8>(), 0..200)]
}

#[test]
fn damaged_requests_never_stop_the_router() {
    let runtime = tokio::runtime::Runtime::new().expect("it starts");
    let engine = runtime.block_on(engine());
    let mut world = World::new().upstream("stitch-assist", engine.address());
    world.timeouts.header_ms = 100;
    world.timeouts.body_ms = 100;
    let world = runtime.block_on(world.start());
    let router = world.router.http_address();
    let body = chat_body("damaged", 2, true).to_string();
    let valid = format!("{}{body}", head("/v1/chat/completions", body.len())).into_bytes();
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&damaged(valid), |bytes| {
        let answer = runtime.block_on(exchange(router, &bytes, true));
        let stated = answer.is_empty() || answer.starts_with("HTTP/1.");
        prop_assert!(stated, "{answer}");
        Ok(())
    });
    outcome.expect("each damaged request is answered or closed");
    let answer = runtime.block_on(world.chat("after", 3, true));
    common::assert_whole(&answer, "after", 3);
    runtime.block_on(until(|| world.router.in_flight().is_empty()));
}
