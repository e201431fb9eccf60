//! Guards against a graceful shutdown that interrupts requests, and against a
//! forced one that does not report which requests it interrupts.

mod common;

use std::net::SocketAddr;

use common::{
    TestSetup, WORKSPACE_KEY, assert_complete, executions, fast_engine, loopback, wait_until,
};
use futures::future::{join_all, pending, ready};
use http::Method;
use span_standin::{engine, service};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufStream},
    net::TcpStream,
};

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_all_requests() {
    let settings = engine::Settings { slots: 2, token_us: 5_000, ..fast_engine() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let booking =
        service::bind(loopback(), service::Settings { call_ms: 200, ..Default::default() });
    let booking = booking.await.expect("bind failed");
    let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
    setup = setup.upstream("booking-desk", booking.address());
    // Requests that arrive while callers have the address cached are served or
    // rejected as not run.
    setup.timeouts.address_lifetime_ms = 100;
    let setup = setup.start().await;
    let common::RunningSetup { router, client, .. } = setup;
    let address = router.http_address();
    let chats = (0..8).map(|number| {
        let client = client.clone();
        tokio::spawn(async move {
            let nonce = format!("n{number}");
            let body = common::chat_body(&nonce, 40, true).to_string();
            let path = "/v1/chat/completions";
            let answer = common::call(&client, address, Method::POST, path, &[], &body).await;
            assert_complete(&answer, &nonce, 40);
        })
    });
    let chats: Vec<_> = chats.collect();
    let plain_call = tokio::spawn(async move {
        let path = "/svc/booking-desk/x";
        let answer = common::call(&client, address, Method::POST, path, &[], "book").await;
        assert_eq!(answer.outcome().as_deref(), Some("completed"));
    });
    wait_until(|| router.in_flight().len() == 9).await;
    let interrupted = router.shutdown(pending()).await;
    assert_eq!(interrupted, []);
    for ended in join_all(chats).await {
        ended.expect("the task failed");
    }
    plain_call.await.expect("the task failed");
}

/// Sends requests on one connection after the other until none can be opened. Returns the
/// number of requests, and of those that got no answer.
async fn send_until_refused(address: SocketAddr) -> (u32, u32) {
    let head = format!(
        "GET /svc/pages/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n\r\n"
    );
    let (mut sent, mut unanswered) = (0, 0);
    while let Ok(stream) = TcpStream::connect(address).await {
        let mut stream = BufStream::new(stream);
        loop {
            sent += 1;
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.flush().await;
            match read_answer(&mut stream).await {
                None => {
                    unanswered += 1;
                    break;
                }
                Some(closes) if closes => break,
                Some(_) => {}
            }
        }
    }
    (sent, unanswered)
}

/// Reads one answer with a length; returns whether it announces that the connection closes.
async fn read_answer(stream: &mut BufStream<TcpStream>) -> Option<bool> {
    let (mut length, mut closes) = (0, false);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok().filter(|bytes| *bytes > 0)?;
        match line.trim_end().split_once(": ") {
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(("connection", value)) => closes = value == "close",
            None if line == "\r\n" => break,
            _ => {}
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(closes)
}

/// Guards against requests that get no answer because the router closes the connection they
/// were sent on, while callers use open connections until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_during_the_shutdown_are_answered() {
    let pages = service::bind(loopback(), service::Settings { call_ms: 2, ..Default::default() });
    let pages = pages.await.expect("bind failed");
    let mut setup = TestSetup::new().upstream("pages", pages.address());
    setup.timeouts.address_lifetime_ms = 100;
    let common::RunningSetup { router, .. } = setup.start().await;
    let callers: Vec<_> =
        (0..16).map(|_| tokio::spawn(send_until_refused(router.http_address()))).collect();
    assert_eq!(router.shutdown(pending()).await, []);
    let mut total = (0, 0);
    for caller in callers {
        let (sent, unanswered) = caller.await.expect("the task failed");
        total = (total.0 + sent, total.1 + unanswered);
    }
    assert!(total.0 > 100, "only {} requests", total.0);
    assert_eq!(total.1, 0, "of {} requests", total.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn forced_shutdown_lists_interrupted_requests() {
    struct Case {
        name: &'static str,
        signal: bool,
    }
    let cases =
        [Case { name: "second signal", signal: true }, Case { name: "deadline", signal: false }];
    for case in cases {
        let settings = engine::Settings { token_us: 20_000, ..fast_engine() };
        let engine = engine::bind(loopback(), settings).await.expect("bind failed");
        let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
        if !case.signal {
            setup.timeouts.shutdown_ms = 50;
        }
        let common::RunningSetup { router, client, .. } = setup.start().await;
        let address = router.http_address();
        let call = tokio::spawn(async move {
            let body = common::chat_body("interrupted", 10_000, true).to_string();
            let path = "/v1/chat/completions";
            common::call(&client, address, Method::POST, path, &[], &body).await
        });
        wait_until(|| !executions(&engine, "interrupted").is_empty()).await;
        let interrupted = if case.signal {
            router.shutdown(ready(())).await
        } else {
            router.shutdown(pending()).await
        };
        assert_eq!(interrupted.len(), 1, "{}", case.name);
        assert_eq!(interrupted[0].workspace.as_str(), "shop", "{}", case.name);
        assert_eq!(interrupted[0].path, "/v1/chat/completions", "{}", case.name);
        call.abort();
    }
}
