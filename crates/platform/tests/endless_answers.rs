//! Guards against a platform that answers with bytes without end: a client that keeps them
//! all runs out of memory, and one that reads them for ever never reports the failure.
#![allow(clippy::unwrap_used)]

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

use span_platform::{Condition, Error, PlatformClient, Settings};

const OK: &str = "HTTP/1.1 200 OK\r\n";
const LENGTH: &str = "content-length: 1000000000000\r\n\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = concat!(
    "40\r\n",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "\r\n"
);
/// Largest answer of the platform, which is more than the largest head.
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

struct EndlessPlatform {
    address: SocketAddr,
    open: Arc<AtomicU64>,
    most_written: Arc<AtomicU64>,
}

impl EndlessPlatform {
    /// Answers each request with `start` and then `piece` again and again.
    fn bind(start: &str, piece: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (open, most_written) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let platform = Self { address, open: open.clone(), most_written: most_written.clone() };
        let (start, block) = (start.to_owned(), piece.repeat(BLOCK_BYTES.div_ceil(piece.len())));
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (start, block) = (start.clone(), block.clone());
                let (open, most_written) = (open.clone(), most_written.clone());
                open.fetch_add(1, Ordering::Relaxed);
                thread::spawn(move || {
                    let _ = stream.read(&mut [0; 4096]);
                    let _ = stream.write_all(start.as_bytes());
                    let mut written = start.len() as u64;
                    while stream.write_all(block.as_bytes()).is_ok() {
                        written += block.len() as u64;
                        most_written.fetch_max(written, Ordering::Relaxed);
                    }
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        platform
    }
}

/// Guards against calls of the platform that keep or read an answer without end.
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
        Case { name: "length", start: &[OK, LENGTH], piece: "a" },
        Case { name: "chunks", start: &[OK, CHUNKED], piece: CHUNK },
        Case { name: "chunk extension", start: &[OK, CHUNKED, "1;"], piece: "a" },
        Case { name: "trailers", start: &[OK, CHUNKED, "0\r\n"], piece: "x-a: b\r\n" },
        Case { name: "until close", start: &[OK, "\r\n"], piece: "a" },
    ];
    for case in cases {
        let platform = EndlessPlatform::bind(&case.start.concat(), case.piece);
        let settings = Settings {
            call_timeout_ms: 5_000,
            watch_wait_ms: 50,
            ..Settings::new(platform.address)
        };
        let client = PlatformClient::new(settings);
        let unavailable = |error| matches!(error, Error::Unavailable { .. });
        assert!(unavailable(client.get("key").await.unwrap_err()), "{}", case.name);
        assert!(unavailable(client.instances().await.unwrap_err()), "{}", case.name);
        assert!(unavailable(client.list("k").await.unwrap_err()), "{}", case.name);
        let change = client.wait_for_change("key", 0, 50).await;
        assert!(unavailable(change.unwrap_err()), "{}", case.name);
        let written = client.put("key", "value", Condition::Any).await;
        assert!(matches!(written, Err(Error::EffectUnknown { .. })), "{}", case.name);
        while platform.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let written = platform.most_written.load(Ordering::Relaxed);
        assert!(written <= MAX_ANSWER_BYTES + kernel_bytes(), "{}: {written}", case.name);
    }
}
