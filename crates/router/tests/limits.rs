//! Guards against malformed, oversized, truncated or slow requests that stop the
//! router or hold resources without a limit.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    TestSetup, WORKSPACE_KEY, chat_body, executions, fast_engine, loopback, request, wait_until,
};
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

async fn start_engine() -> Engine {
    engine::bind(loopback(), fast_engine()).await.expect("bind failed")
}

/// Sends bytes and returns the answer up to the end of the connection.
async fn exchange(router: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(router).await.expect("connect failed");
    // Fails if the router answered and closed before it read everything.
    let _ = stream.write_all(bytes).await;
    if close {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn request_head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_and_slow_requests_are_rejected() {
    struct Case {
        name: &'static str,
        bytes: String,
        status: &'static str,
        kind: &'static str,
    }
    let chat = "/v1/chat/completions";
    let chunked = format!(
        "POST {chat} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n1000\r\n{}\r\n0\r\n\r\n",
        "x".repeat(0x1000)
    );
    let long = format!("GET / HTTP/1.1\r\nx-long: {}\r\n\r\n", "x".repeat(20_000));
    let cases = [
        Case {
            name: "length",
            bytes: request_head(chat, 4_000),
            status: "413",
            kind: "body_too_large",
        },
        Case {
            name: "length of a plain call",
            bytes: request_head("/svc/pages/", 4_000),
            status: "413",
            kind: "body_too_large",
        },
        Case { name: "chunks", bytes: chunked, status: "413", kind: "body_too_large" },
        Case { name: "slow", bytes: request_head(chat, 100), status: "408", kind: "body_too_slow" },
        Case {
            name: "slow plain call",
            bytes: request_head("/svc/pages/", 100),
            status: "408",
            kind: "body_too_slow",
        },
        Case { name: "head", bytes: long, status: "431", kind: "" },
        Case { name: "no HTTP", bytes: "\u{1}\u{2}\r\n\r\n".into(), status: "400", kind: "" },
    ];
    let engine = start_engine().await;
    let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
    setup = setup.upstream("pages", engine.address());
    setup.limits = Limits { body_bytes: 1_000, header_bytes: 8_192, ..Limits::default() };
    setup.timeouts.header_ms = 300;
    let setup = setup.start().await;
    let router = setup.router.http_address();
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
    assert!(engine.ledger().executions().is_empty(), "a request was dispatched");
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_above_limit_is_rejected() {
    let mut setup = TestSetup::new();
    setup.limits.connections = 3;
    let setup = setup.start().await;
    let router = setup.router.http_address();
    let mut held = Vec::new();
    let rejected = loop {
        held.push(TcpStream::connect(router).await.expect("connect failed"));
        let request = request(router, Method::GET, "/v1/models", &[("connection", "close")]);
        let request = request.body(span_http::empty_body()).expect("invalid request");
        let answer =
            common::send(&span_http::unpooled_client(Duration::from_secs(1)), request).await;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            break answer;
        }
        assert!(held.len() < 4, "the limit has no effect");
    };
    assert_eq!(rejected.outcome().as_deref(), Some("not_run"));
    assert!(!rejected.header("retry-after").is_empty());
    assert!(!rejected.header("x-request-id").is_empty());
    assert_eq!(rejected.json()["error"]["type"], "too_many_connections");
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_reader_is_disconnected() {
    // The answer has 20 MB in 5 s, so the socket buffers fill long before its end.
    let settings = engine::Settings { token_us: 50, ..fast_engine() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
    setup.timeouts = Timeouts { write_ms: 200, ..setup.timeouts };
    let setup = setup.start().await;
    let body = chat_body("stuck", 100_000, true).to_string();
    let socket = TcpSocket::new_v4().expect("cannot open a socket");
    socket.set_recv_buffer_size(4_096).expect("cannot set the buffer size");
    let mut stream = socket.connect(setup.router.http_address()).await.expect("connect failed");
    let head = request_head("/v1/chat/completions", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await.expect("cannot send the request");
    wait_until(|| executions(&engine, "stuck").iter().any(|run| run.cancelled)).await;
    wait_until(|| setup.router.in_flight().is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_body_within_limit_is_proxied() {
    let upstream = span_http::serve(loopback(), span_http::Limits::default(), |request, _| async {
        http::Response::new(http_body_util::BodyExt::map_err(
            http::Request::into_body(request),
            Into::into,
        ))
        .map(Body::new)
    });
    let upstream = upstream.await.expect("bind failed");
    let setup = TestSetup::new().upstream("pages", upstream.address()).start().await;
    let body = "y".repeat(8 * 1024 * 1024);
    let request = request(setup.router.http_address(), Method::PUT, "/svc/pages/big", &[]);
    let request = request.body(full_body(body.clone())).expect("invalid request");
    let answer = common::send(&setup.client, request).await;
    assert_eq!(answer.body.expect("incomplete body"), body);
}

/// Mutations of a valid request: truncated, with bytes replaced, or random bytes.
fn malformed(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let length = valid.len();
    let truncated = (0..length).prop_map({
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
    prop_oneof![truncated, replaced, vec(arbitrary::<u8>(), 0..200)]
}

#[test]
fn malformed_requests_do_not_stop_the_router() {
    let runtime = tokio::runtime::Runtime::new().expect("start failed");
    let engine = runtime.block_on(start_engine());
    let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
    setup.timeouts.header_ms = 100;
    setup.timeouts.body_ms = 100;
    let setup = runtime.block_on(setup.start());
    let router = setup.router.http_address();
    let body = chat_body("damaged", 2, true).to_string();
    let valid = format!("{}{body}", request_head("/v1/chat/completions", body.len())).into_bytes();
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&malformed(valid), |bytes| {
        let answer = runtime.block_on(exchange(router, &bytes, true));
        let answered = answer.is_empty() || answer.starts_with("HTTP/1.");
        prop_assert!(answered, "{answer}");
        Ok(())
    });
    result.expect("a malformed request got no valid answer");
    let answer = runtime.block_on(setup.chat("after", 3, true));
    common::assert_complete(&answer, "after", 3);
    runtime.block_on(wait_until(|| setup.router.in_flight().is_empty()));
}
