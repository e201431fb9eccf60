//! Guards small calls to the store and to other routers.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body::Frame;
use http_body_util::StreamBody;
use span_edge::http_client::{CallError, read_body};

/// A router with 0.12 of a core that was busy with callers took more than a
/// second for a configuration of 400 KB, gave up each time and kept the old one
/// (CONFIG on magnolia-fit-grown, trouble-2 --seed 355356803341).
#[tokio::test(start_paused = true)]
async fn a_body_may_take_long_while_it_makes_progress() {
    struct Case {
        name: &'static str,
        pieces: usize,
        pause_ms: u64,
        read: Result<usize, CallError>,
    }
    let cases = [
        Case { name: "at once", pieces: 3, pause_ms: 0, read: Ok(300) },
        Case { name: "slow", pieces: 10, pause_ms: 900, read: Ok(1_000) },
        Case {
            name: "stands still",
            pieces: 10,
            pause_ms: 1_100,
            read: Err(CallError::TimedOut(1_000)),
        },
    ];
    for case in cases {
        let pieces = stream::iter(0..case.pieces).then(|_| async {
            tokio::time::sleep(Duration::from_millis(case.pause_ms)).await;
            Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; 100])))
        });
        let body = StreamBody::new(Box::pin(pieces));
        let read = read_body(body, 1_000).await.map(|body| body.len());
        assert_eq!(read, case.read, "{}", case.name);
    }
}
