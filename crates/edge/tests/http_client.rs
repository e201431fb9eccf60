//! Tests of calls to the store and to other routers.

use std::{
    convert::Infallible,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::Request;
use http_body::Frame;
use http_body_util::StreamBody;
use span_edge::http_client::{CallError, HttpClient, read_body};

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

/// Guards against a call that never ends because its answer always makes some progress. No
/// further configuration was fetched from other routers until then.
#[tokio::test(start_paused = true)]
async fn body_that_trickles_without_end_is_given_up() {
    let chunks = stream::repeat(()).then(|()| async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; 100])))
    });
    let read = read_body(StreamBody::new(Box::pin(chunks)), 1_000).await;
    assert_eq!(read.err(), Some(CallError::TooLong(60_000)));
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const LENGTH: &str = "content-length: 1000000000000\r\n\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "10\r\naaaaaaaaaaaaaaaa\r\n";
/// Largest answer of the store or another router, which is more than the largest head.
const MAX_ANSWER_BYTES: u64 = 8 << 20;
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes that the kernel takes on a connection without a reader.
fn kernel_bytes() -> u64 {
    let largest = |name: &str| {
        let sizes = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}")).expect("no file");
        let size = sizes.split_whitespace().last().and_then(|size| size.parse::<u64>().ok());
        size.expect("no number")
    };
    largest("tcp_rmem") + largest("tcp_wmem") + BLOCK_BYTES as u64
}

/// A server that answers each request with `start` and then `piece` again and again.
struct EndlessServer {
    address: SocketAddr,
    open: Arc<AtomicU64>,
    most_written: Arc<AtomicU64>,
}

impl EndlessServer {
    fn bind(start: &str, piece: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind failed");
        let address = listener.local_addr().expect("no local address");
        let (open, most_written) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let server = Self { address, open: open.clone(), most_written: most_written.clone() };
        let (start, block) = (start.to_owned(), piece.repeat(BLOCK_BYTES.div_ceil(piece.len())));
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                open.fetch_add(1, Ordering::Relaxed);
                let _ = stream.read(&mut [0; 4096]);
                let _ = stream.write_all(start.as_bytes());
                let mut written = start.len() as u64;
                while stream.write_all(block.as_bytes()).is_ok() {
                    written += block.len() as u64;
                    most_written.fetch_max(written, Ordering::Relaxed);
                }
                open.fetch_sub(1, Ordering::Relaxed);
            }
        });
        server
    }
}

/// Guards against calls of the store or of another router that keep or read an answer
/// without end.
#[tokio::test]
async fn endless_answer_is_given_up() {
    struct Case {
        name: &'static str,
        start: &'static [&'static str],
        piece: &'static str,
    }
    let cases = [
        Case { name: "no answer", start: &[], piece: "?" },
        Case { name: "headers", start: &[OK], piece: "x-a: b\r\n" },
        Case { name: "header", start: &[OK, "x-a: "], piece: "b" },
        Case { name: "length", start: &[OK, LENGTH], piece: "a" },
        Case { name: "chunks", start: &[OK, CHUNKED], piece: CHUNK },
        Case { name: "chunk extension", start: &[OK, CHUNKED, "1;"], piece: "a" },
        Case { name: "trailers", start: &[OK, CHUNKED, "0\r\n"], piece: "x-a: b\r\n" },
        Case { name: "until close", start: &[OK, "\r\n"], piece: "a" },
    ];
    let calls = async {
        for case in cases {
            let server = EndlessServer::bind(&case.start.concat(), case.piece);
            let client = HttpClient::new(server.address);
            let called = client.call(Request::get("/config"), Bytes::new(), 10_000).await;
            assert!(matches!(called, Err(CallError::Failed(_))), "{}: {called:?}", case.name);
            while server.open.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let written = server.most_written.load(Ordering::Relaxed);
            assert!(written <= MAX_ANSWER_BYTES + kernel_bytes(), "{}: {written}", case.name);
        }
    };
    tokio::task::LocalSet::new().run_until(calls).await;
}
