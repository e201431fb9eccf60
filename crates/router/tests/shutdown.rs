//! Guards against a graceful shutdown that interrupts requests, and against a
//! forced one that does not report which requests it interrupts.

mod common;

use common::{TestSetup, assert_complete, executions, fast_engine, loopback, wait_until};
use futures::future::{join_all, pending, ready};
use http::Method;
use span_standin::{engine, service};

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
