//! Guards against spans that are not exported or do not continue the caller's
//! trace.

mod common;

use std::sync::{Arc, Mutex};

use common::{World, any, assert_whole, quick_engine, until};
use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use span_http::{Limits, collect_body, full_body};
use span_router::{settings::Trace, trace};
use span_standin::engine;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_continue_the_callers_trace() {
    let exported = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&exported);
    let collector =
        span_http::serve(any(), Limits::default(), move |request: Request<Incoming>, _| {
            let log = Arc::clone(&log);
            async move {
                let body = collect_body(request.into_body(), 1 << 20).await.expect("it is whole");
                log.lock().expect("no panic").extend_from_slice(&body);
                http::Response::new(full_body(""))
            }
        });
    let collector = collector.await.expect("it binds");
    let url = format!("http://{}/v1/traces", collector.address());
    let telemetry = trace::start(&Trace { otlp_url: Some(url) }).expect("it starts");
    let parents = Arc::new(Mutex::new(HeaderMap::new()));
    let log = Arc::clone(&parents);
    let pages = span_http::serve(any(), Limits::default(), move |request, _| {
        *log.lock().expect("no panic") = request.headers().clone();
        async { http::Response::new(full_body("page")) }
    });
    let pages = pages.await.expect("it binds");
    let engine = engine::bind(any(), quick_engine()).await.expect("it binds");
    let world = World::new().upstream("pages", pages.address());
    let world = world.upstream("stitch-assist", engine.address()).start().await;
    let parent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    world.call(Method::GET, "/svc/pages/x", &[("traceparent", &parent)], "").await;
    assert_whole(&world.chat("traced", 3, true).await, "traced", 3);
    let passed = parents.lock().expect("no panic")["traceparent"].clone();
    let passed = passed.to_str().expect("it is text").to_owned();
    assert!(passed.starts_with(&format!("00-{TRACE_ID}-")) && passed != parent, "{passed}");
    until(|| world.router.in_flight().is_empty()).await;
    tokio::task::spawn_blocking(move || drop(telemetry)).await.expect("it ends");
    let exported = exported.lock().expect("no panic");
    for name in ["caller", "queue", "upstream"] {
        assert!(contains(&exported, name.as_bytes()), "no span {name}");
    }
    let id: Vec<u8> = (0..16)
        .map(|at| u8::from_str_radix(&TRACE_ID[2 * at..2 * at + 2], 16).expect("it is hex"))
        .collect();
    assert!(contains(&exported, &id), "the caller's trace is not continued");
}
