//! Guards against upstreams and routers that send bytes without end: a router that keeps them
//! all runs out of memory, and one that reads them for ever does not answer its caller.

mod common;
mod endless;
mod scripted;

use std::{path::PathBuf, process::Stdio, sync::atomic::Ordering, time::Duration};

use common::{Answer, RunningSetup, TestSetup, chat_body, loopback, wait_until};
use endless::EndlessUpstream;
use futures::future::join_all;
use http::Method;
use scripted::completion;
use span_router::settings::Settings;
use span_standin::service;
use tokio::io::AsyncWriteExt;

const CHAT: &str = "/v1/chat/completions";
const BOOK: &str = "/svc/booking-desk/book";
const OK: &str = "HTTP/1.1 200 OK\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\n";
const LENGTH: &str = "content-length: 1000000000000\r\n\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\n";
const CHUNK: &str = "10\r\naaaaaaaaaaaaaaaa\r\n";
const MEBIBYTE: u64 = 1024 * 1024;
/// Largest head of an answer that the HTTP client buffers.
const MAX_HEAD_BYTES: u64 = 512 * 1024;
/// Largest event of a stream.
const MAX_EVENT_BYTES: u64 = MEBIBYTE;
/// Limit that the tests set for answers that are not streamed.
const MAX_ANSWER_BYTES: u64 = 4 * MEBIBYTE;

#[derive(Clone, Copy, PartialEq)]
enum Request {
    /// A completion in one document.
    Json,
    /// A streamed completion.
    Stream,
    /// A call of a plain service.
    Plain,
}

impl Request {
    async fn send(self, setup: &RunningSetup) -> Answer {
        match self {
            Self::Json | Self::Stream => {
                let body = chat_body("n", 5, self == Self::Stream).to_string();
                setup.call(Method::POST, CHAT, &[], &body).await
            }
            Self::Plain => setup.call(Method::POST, BOOK, &[], "book").await,
        }
    }
}

async fn start(upstream: &EndlessUpstream, answer_ms: u64) -> RunningSetup {
    let mut setup = TestSetup::new().upstream("stitch-assist", upstream.address);
    setup = setup.upstream("booking-desk", upstream.address);
    setup.timeouts.answer_ms = answer_ms;
    // A retry waits so long for the upstream, which is given up.
    setup.deadline_ms = 1_000;
    setup.limits.buffered_answer_bytes = MAX_ANSWER_BYTES as usize;
    setup.start().await
}

/// Guards against a caller that waits, memory that fills and an upstream that is read from
/// for ever, when the bytes of an answer have no end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_is_given_up() {
    use Request::{Json, Plain, Stream};
    struct Case {
        name: &'static str,
        request: Request,
        start: &'static [&'static str],
        /// Bytes that follow again and again.
        piece: &'static str,
        /// What the router may keep of one answer; `None` if the parser skips the bytes, so that
        /// only a time limit ends the answer.
        limit_bytes: Option<u64>,
        kind: &'static str,
    }
    let head = |name, request, start, piece| Case {
        name,
        request,
        start,
        piece,
        limit_bytes: Some(MAX_HEAD_BYTES),
        kind: "upstream_failed",
    };
    let json = |name, start, piece| Case {
        limit_bytes: Some(MAX_ANSWER_BYTES),
        ..head(name, Json, start, piece)
    };
    let event = |name, start, piece| Case {
        limit_bytes: Some(MAX_EVENT_BYTES),
        ..head(name, Stream, start, piece)
    };
    let skipped = |name, request, start, piece| Case {
        limit_bytes: None,
        kind: "upstream_silent",
        ..head(name, request, start, piece)
    };
    let cases = [
        head("no answer", Json, &[], "?"),
        head("no answer, plain", Plain, &[], "?"),
        head("lines", Json, &[], "?\r\n"),
        head("headers", Json, &[OK], "x-a: b\r\n"),
        head("headers, stream", Stream, &[OK], "x-a: b\r\n"),
        head("headers, plain", Plain, &[OK], "x-a: b\r\n"),
        head("header", Json, &[OK, "x-a: "], "b"),
        head("header, plain", Plain, &[OK, "x-a: "], "b"),
        skipped("chunk length", Json, &[OK, CHUNKED], "0"),
        skipped("interim answers", Stream, &[], "HTTP/1.1 100 Continue\r\n\r\n"),
        head("chunk extension", Json, &[OK, CHUNKED, "1;"], "a"),
        head("trailers", Json, &[OK, CHUNKED, "0\r\n"], "x-a: b\r\n"),
        json("length", &[OK, LENGTH], "a"),
        json("chunks", &[OK, CHUNKED], CHUNK),
        json("until close", &[OK, "\r\n"], "a"),
        json("error", &[FAILED, "\r\n"], "a"),
        event("event", &[OK, EVENTS, "\r\n"], "a"),
        event("event with a length", &[OK, EVENTS, LENGTH], "a"),
        event("event in small chunks", &[OK, EVENTS, CHUNKED], CHUNK),
    ];
    for case in cases {
        let upstream = EndlessUpstream::bind(case.start.concat(), case.piece).await;
        // Only skipped bytes are read until then.
        let answer_ms = if case.limit_bytes.is_none() { 1_000 } else { 60_000 };
        let setup = start(&upstream, answer_ms).await;
        let answer = case.request.send(&setup).await;
        assert_eq!(answer.outcome().as_deref(), Some("unknown"), "{}: {answer:?}", case.name);
        assert!(answer.text().contains(case.kind), "{}: {}", case.name, answer.text());
        wait_until(|| upstream.open.load(Ordering::Relaxed) == 0).await;
        let written = upstream.most_written.load(Ordering::Relaxed);
        let bound = case.limit_bytes.map(|limit_bytes| limit_bytes + endless::kernel_bytes());
        assert!(bound.is_none_or(|bound| written <= bound), "{}: {written} bytes", case.name);
    }
}

/// Guards against a router that runs out of memory when many answers have no end.
#[tokio::test(flavor = "multi_thread")]
async fn memory_for_endless_answers_is_bounded() {
    const CALLS: usize = 24;
    const MAX_MEMORY_BYTES: u64 = 256 * MEBIBYTE;
    struct Case {
        name: &'static str,
        start: &'static [&'static str],
        piece: &'static str,
    }
    let cases = [
        Case { name: "until-close", start: &[OK, "\r\n"], piece: "a" },
        Case { name: "small-chunks", start: &[OK, CHUNKED], piece: "1\r\na\r\n" },
    ];
    for case in cases {
        let upstream = EndlessUpstream::bind(case.start.concat(), case.piece).await;
        let mut setup = TestSetup::new().upstream("stitch-assist", upstream.address);
        // A retry waits so long for the upstream, which is given up.
        setup.deadline_ms = 1_000;
        let setup = setup.start().await;
        let (http, peer, platform) =
            (common::unused_address(), common::unused_address(), setup.platform.address());
        let text = format!(
            "instance: r2\nfailure_domain: hall-atl\nhttp_address: {http}\npeer_address: {peer}\n\
         platform_address: {platform}\nlimits: {{buffered_answer_bytes: 16777216}}\n\
         timeouts: {{address_lifetime_ms: 0, answer_ms: 10000}}\n"
        );
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("endless-{}.yaml", case.name));
        std::fs::write(&path, text).expect("cannot write the file");
        let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_rosemaryspan-router"));
        program.kill_on_drop(true).arg("--settings").arg(path);
        let child = program.stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        let mut child = child.expect("cannot start the router");
        let models = || common::request(http, Method::GET, "/v1/models", &[]);
        while setup
            .client
            .request(models().body(span_http::empty_body()).expect("invalid request"))
            .await
            .is_err()
        {
            assert!(matches!(child.try_wait(), Ok(None)), "the router has ended");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let body = chat_body("n", 5, false).to_string();
        let call = || common::call(&setup.client, http, Method::POST, CHAT, &[], &body);
        for answer in join_all((0..CALLS).map(|_| call())).await {
            assert_ne!(answer.outcome().as_deref(), Some("completed"), "{answer:?}");
        }
        let status = format!("/proc/{}/status", child.id().expect("the router has ended"));
        let status = std::fs::read_to_string(status).expect("the router has ended");
        let peak =
            status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split(' ').rev().nth(1));
        let peak_bytes = peak.expect("no peak").parse::<u64>().expect("no number") * 1024;
        assert!(peak_bytes <= MAX_MEMORY_BYTES, "{}: {peak_bytes} bytes", case.name);
        upstream.answer_properly(|id| {
            scripted::answer("200 OK", "application/json", "", &completion(id))
        });
        loop {
            // The upstream is tried again after some time.
            let answer = call().await;
            if answer.status == http::StatusCode::OK {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Guards against load reports without end that fill the memory of the shard's owner or keep
/// it from serving.
#[tokio::test(flavor = "multi_thread")]
async fn endless_load_report_is_given_up() {
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
    let booking = service::bind(loopback(), service::Settings::default());
    let booking = booking.await.expect("bind failed");
    for case in cases {
        let upstream = EndlessUpstream::bind_with_loads(case.start.concat(), case.piece).await;
        let mut setup = TestSetup::new().upstream("stitch-assist", upstream.address);
        setup = setup.upstream("booking-desk", booking.address());
        let setup = setup.start().await;
        wait_until(|| upstream.closed.load(Ordering::Relaxed) > 0).await;
        let written = upstream.most_written.load(Ordering::Relaxed);
        assert!(written <= MAX_HEAD_BYTES + endless::kernel_bytes(), "{}: {written}", case.name);
        let answer = setup.call(Method::POST, BOOK, &[], "book").await;
        assert_eq!(answer.outcome().as_deref(), Some("completed"), "{}", case.name);
    }
}

/// Guards against a peer whose bytes have no end and are no messages.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_of_a_peer_end_its_connection() {
    let booking = service::bind(loopback(), service::Settings::default());
    let booking = booking.await.expect("bind failed");
    let setup = TestSetup::new().upstream("booking-desk", booking.address()).start().await;
    let peer = common::unused_address();
    let settings = Settings { instance: "r2".into(), peer_address: peer, ..setup.settings.clone() };
    let router = common::spawn(&settings).await;
    // A deflate stream of one stored block after the other, whose content is a message of
    // 0x7fffffff words, and bytes that are no deflate stream.
    let huge = [&[0, 8, 0, 0xf7, 0xff][..], &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f]].concat();
    for (name, piece) in [("no deflate stream", vec![0xff; 4096]), ("huge message", huge)] {
        let mut stream = tokio::net::TcpStream::connect(peer).await.expect("cannot connect");
        let mut written = 0;
        while stream.write_all(&piece).await.is_ok() {
            written += piece.len() as u64;
            assert!(written <= 4 * MEBIBYTE + endless::kernel_bytes(), "{name}");
        }
        let address = router.http_address();
        let answer = common::call(&setup.client, address, Method::POST, BOOK, &[], "book").await;
        assert_eq!(answer.outcome().as_deref(), Some("completed"), "{name}");
    }
}
