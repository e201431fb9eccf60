//! Guards against request spans that are not exported or do not belong to the
//! caller's trace.

mod common;

use std::sync::{Arc, Mutex};

use common::{TestSetup, assert_complete, fast_engine, loopback, wait_until};
use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use span_http::{Limits, collect_body, full_body};
use span_router::{settings::Trace, trace};
use span_standin::engine;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    bytes.windows(needle.len()).any(|window| window == needle)
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_continue_trace_of_caller() {
    let exported = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&exported);
    let collector =
        span_http::serve(loopback(), Limits::default(), move |request: Request<Incoming>, _| {
            let log = Arc::clone(&log);
            async move {
                let body =
                    collect_body(request.into_body(), 1 << 20).await.expect("incomplete body");
                log.lock().expect("a task panicked").extend_from_slice(&body);
                http::Response::new(full_body(""))
            }
        });
    let collector = collector.await.expect("bind failed");
    let url = format!("http://{}/v1/traces", collector.address());
    let telemetry = trace::start(&Trace { otlp_url: Some(url) }).expect("start failed");
    let received = Arc::new(Mutex::new(HeaderMap::new()));
    let log = Arc::clone(&received);
    let pages = span_http::serve(loopback(), Limits::default(), move |request, _| {
        *log.lock().expect("a task panicked") = request.headers().clone();
        async { http::Response::new(full_body("page")) }
    });
    let pages = pages.await.expect("bind failed");
    let engine = engine::bind(loopback(), fast_engine()).await.expect("bind failed");
    let setup = TestSetup::new().upstream("pages", pages.address());
    let setup = setup.upstream("stitch-assist", engine.address()).start().await;
    let parent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    setup.call(Method::GET, "/svc/pages/x", &[("traceparent", &parent)], "").await;
    assert_complete(&setup.chat("traced", 3, true).await, "traced", 3);
    let forwarded = received.lock().expect("a task panicked")["traceparent"].clone();
    let forwarded = forwarded.to_str().expect("not text").to_owned();
    assert!(
        forwarded.starts_with(&format!("00-{TRACE_ID}-")) && forwarded != parent,
        "{forwarded}"
    );
    wait_until(|| setup.router.in_flight().is_empty()).await;
    tokio::task::spawn_blocking(move || drop(telemetry)).await.expect("the task failed");
    let exported = exported.lock().expect("a task panicked");
    for name in ["caller", "queue", "upstream"] {
        assert!(contains(&exported, name.as_bytes()), "no span {name}");
    }
    let id: Vec<u8> = (0..16)
        .map(|at| u8::from_str_radix(&TRACE_ID[2 * at..2 * at + 2], 16).expect("not hexadecimal"))
        .collect();
    assert!(contains(&exported, &id), "the spans do not have the caller's trace id");
}
