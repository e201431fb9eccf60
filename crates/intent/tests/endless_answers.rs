//! Guards against engines and routers that answer an intent process with bytes without end.
#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use span_intent::{
    IntentError,
    order::{LoadRate, OrderExecutor, OrderTarget},
};
use span_platform::{Instance, PlatformClient, Settings};
use support::Fleet;

const OK: &str = "HTTP/1.1 200 OK\r\n";
const LENGTH: &str = "content-length: 1000000000000\r\n\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "10\r\naaaaaaaaaaaaaaaa\r\n";
/// Largest list of an engine's orders, which is more than the largest head and status.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes that the kernel takes on a connection without a reader.
fn kernel_bytes() -> u64 {
    let largest = |name: &str| {
        let sizes = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}")).unwrap();
        sizes.split_whitespace().last().unwrap().parse::<u64>().unwrap()
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
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
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

/// Guards against calls of engines and routers that keep or read an answer without end.
#[tokio::test(flavor = "multi_thread")]
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
        Case { name: "length", start: &[OK, LENGTH], piece: "1" },
        Case { name: "chunks", start: &[OK, CHUNKED], piece: CHUNK },
        Case { name: "until close", start: &[OK, "\r\n"], piece: "1" },
    ];
    for case in cases {
        let server = EndlessServer::bind(&case.start.concat(), case.piece);
        let fleet = Fleet::start(1).await;
        let platform = PlatformClient::new(Settings::new(fleet.platform.address()));
        let executor = OrderExecutor {
            platform: platform.clone(),
            client: span_http::pooled_client(Duration::from_secs(1)),
            holder: "h".to_owned(),
            load_rate: LoadRate { per_minute: 6 },
            timeout: Duration::from_secs(10),
        };
        let target =
            OrderTarget { upstream: "e".into(), address: server.address, checks_fencing: true };
        let listed = executor.executed_fencing(&target, "x").await;
        assert!(matches!(listed, Err(IntentError::OrderNotRun(_))), "{}: {listed:?}", case.name);
        let router = Instance {
            name: "r1".into(),
            http_address: server.address,
            peer_address: server.address,
            failure_domain: "a".into(),
            leaving: false,
        };
        platform.register(&router).await.unwrap();
        let (status, body) = fleet.get(0, "/v1/status").await;
        assert_eq!(status, 200, "{}: {body}", case.name);
        assert!(body["routers"][0]["revision"].is_null(), "{}: {body}", case.name);
        assert!(body["routers"][0]["reason"].is_string(), "{}: {body}", case.name);
        while server.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let written = server.most_written.load(Ordering::Relaxed);
        assert!(written <= MAX_ANSWER_BYTES + kernel_bytes(), "{}: {written}", case.name);
    }
}
