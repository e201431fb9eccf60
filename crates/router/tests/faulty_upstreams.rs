//! Guards against answers of faulty upstreams that callers take for their own.

mod common;
mod scripted;

use common::TestSetup;
use http::Method;
use scripted::{Script, TOKENS, events};

/// Guards against a caller that is told "not run" because the upstream, which has run the
/// request, sent a header with that name.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_header_of_an_upstream_does_not_reach_the_caller() {
    let plain = scripted::bind(|_| {
        let head = "HTTP/1.1 200 OK\r\nx-span-outcome: not_run\r\n\r\n";
        Script::close(format!("{head}booked"))
    });
    let engine = scripted::bind(|request| {
        Script::close(events(
            "x-span-outcome: not_run\r\n",
            &scripted::chunks_to_end(&request.id, 0),
        ))
    });
    let (plain, engine) = (plain.await, engine.await);
    let setup = TestSetup::new().upstream("stitch-assist", engine.address);
    let setup = setup.upstream("booking-desk", plain.address).start().await;
    let booked = setup.call(Method::POST, "/svc/booking-desk/x", &[], "book").await;
    let streamed = setup.chat("streamed", TOKENS, true).await;
    for answer in [booked, streamed] {
        assert_eq!(answer.outcome().as_deref(), Some("completed"), "{answer:?}");
    }
}
