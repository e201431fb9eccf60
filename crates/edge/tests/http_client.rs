//! Tests of calls to the store and to other routers.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body::Frame;
use http_body_util::StreamBody;
use span_edge::http_client::{CallError, read_body};

/// A busy router with 0.12 of a core needed more than a second to read a
/// configuration of 400 KB. Each fetch timed out, and the router kept the old
/// configuration (scenario trouble-2 of magnolia-fit-grown, seed 355356803341).
#[tokio::test(start_paused = true)]
async fn body_may_take_long_while_it_makes_progress() {
    struct Case {
        name: &'static str,
        chunks: usize,
        pause_ms: u64,
        read: Result<usize, CallError>,
    }
    let cases = [
        Case { name: "without pauses", chunks: 3, pause_ms: 0, read: Ok(300) },
        Case { name: "slow", chunks: 10, pause_ms: 900, read: Ok(1_000) },
        Case {
            name: "stalled",
            chunks: 10,
            pause_ms: 1_100,
            read: Err(CallError::TimedOut(1_000)),
        },
    ];
    for case in cases {
        let chunks = stream::iter(0..case.chunks).then(|_| async {
            tokio::time::sleep(Duration::from_millis(case.pause_ms)).await;
            Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; 100])))
        });
        let body = StreamBody::new(Box::pin(chunks));
        let read = read_body(body, 1_000).await.map(|body| body.len());
        assert_eq!(read, case.read, "{}", case.name);
    }
}
