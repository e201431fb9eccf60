//! Guards against answers of faulty upstreams that callers take for their own.

mod common;
mod scripted;

use std::{
    collections::BTreeSet,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use common::{Answer, TestSetup, chat_body};
use http::Method;
use scripted::{
    DONE, Received, Script, TOKENS, answer, chunks, completion, events, offset_header, resumed,
};

const JSON: &str = "application/json";
const ERROR: &str = r#"{"error":{"message":"the engine is full"}}"#;

/// The text of an answer, streamed or not.
fn text(answer: &Answer, stream: bool) -> String {
    if stream {
        return common::parse_stream(answer).0;
    }
    answer.json()["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}

/// Guards against an upstream that writes an earlier answer once more on a kept connection.
/// The next caller got it, and was told to try again although its request was running.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_an_earlier_answer_is_not_the_answer_to_the_next_request() {
    struct Case {
        name: &'static str,
        copy: fn(earlier: &str) -> String,
        stream: bool,
        /// The engine reads the request from the first connection after it was asked for
        /// the answer on another one.
        reads_late: bool,
    }
    let full = |_: &str| answer("503 Service Unavailable", JSON, "", ERROR);
    let named = |earlier: &str| {
        answer("503 Service Unavailable", JSON, &format!("x-request-id: {earlier}\r\n"), ERROR)
    };
    let limited = |_: &str| answer("429 Too Many Requests", JSON, "retry-after: 1\r\n", ERROR);
    let outcome = |_: &str| answer("409 Conflict", JSON, "x-span-outcome: not_run\r\n", ERROR);
    let whole = |earlier: &str| answer("200 OK", JSON, "", &completion(earlier));
    let streamed = |earlier: &str| {
        let events = scripted::chunks_to_end(earlier, 0);
        answer("200 OK", "text/event-stream", "x-of: the earlier request\r\n", &events)
    };
    let cases = [
        Case { name: "error", copy: full, stream: false, reads_late: false },
        Case { name: "error, read late", copy: full, stream: false, reads_late: true },
        Case { name: "error, streamed", copy: full, stream: true, reads_late: false },
        Case {
            name: "error that names the earlier request",
            copy: named,
            stream: false,
            reads_late: false,
        },
        Case { name: "limit", copy: limited, stream: false, reads_late: false },
        Case { name: "outcome, streamed", copy: outcome, stream: true, reads_late: false },
        Case { name: "completion", copy: whole, stream: false, reads_late: false },
        Case { name: "completion, streamed", copy: whole, stream: true, reads_late: false },
        Case { name: "stream", copy: streamed, stream: true, reads_late: false },
    ];
    for Case { name, copy, stream, reads_late } in cases {
        let first = OnceLock::new();
        let engine = scripted::bind(move |request| match request.offset {
            Some(_) if reads_late && request.earlier == 1 => {
                Script::keep(answer("410 Gone", JSON, "", ERROR))
            }
            None if reads_late && request.earlier == 2 => {
                Script::keep(answer("409 Conflict", JSON, "", ERROR))
            }
            Some(offset) => Script::keep(resumed(&request.id, offset, stream)),
            None if first.set(request.id.clone()).is_ok() => {
                Script::keep(resumed(&request.id, 0, stream))
            }
            None => Script::keep(copy(first.get().map_or("", String::as_str))),
        });
        let engine = engine.await;
        let setup = TestSetup::new().upstream("stitch-assist", engine.address).start().await;
        setup.chat("earlier", TOKENS, stream).await;
        let next = setup.chat("next", TOKENS, stream).await;
        let id = next.header("x-request-id");
        let requests = engine.received();
        let sent = requests.iter().find(|request| request.id == id).expect("no request arrived");
        assert!(requests[0].connection == sent.connection, "{name}: the connection was not kept");
        assert_eq!(text(&next, stream), scripted::whole_text(), "{name}: {next:?}");
        assert_eq!(next.outcome().as_deref(), Some("completed"), "{name}");
        assert!(!next.headers.contains_key("x-of"), "{name}: {:?}", next.headers);
        assert_eq!(engine.sends(id), 1 + usize::from(reads_late), "{name}: runs");
    }
}

/// Guards against errors of an engine that are taken for late copies and do not reach the
/// caller. An error that names no request is asked for again on a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn error_of_an_engine_reaches_its_caller() {
    for (names_request, runs) in [(true, 1), (false, 2)] {
        for stream in [true, false] {
            let engine = scripted::bind(move |request| {
                let name = format!("x-request-id: {}\r\n", request.id);
                let name = if names_request { name.as_str() } else { "" };
                let status = if request.offset.is_some() { "410 Gone" } else { "400 Bad Request" };
                Script::keep(answer(status, JSON, name, ERROR))
            });
            let engine = engine.await;
            let setup = TestSetup::new().upstream("stitch-assist", engine.address).start().await;
            for _ in 0..2 {
                let answer = setup.chat("rejected", TOKENS, stream).await;
                let case = format!("named {names_request}, streamed {stream}: {answer:?}");
                assert_eq!(
                    (answer.status.as_u16(), answer.text().as_str()),
                    (400, ERROR),
                    "{case}"
                );
                assert_eq!(engine.sends(answer.header("x-request-id")), runs, "{case}");
            }
        }
    }
}

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

/// Guards against an answer that looks whole to its caller although the upstream stopped inside
/// its head and closed: what is left of the head names neither a length nor chunks.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_inside_its_head_is_never_passed_on_as_whole() {
    const CUT_INTERVAL_BYTES: usize = 11;
    /// A router tries until the deadline to get the rest of an answer.
    const DEADLINE_MS: u64 = 500;
    struct Case {
        name: &'static str,
        answer: fn(&Received) -> String,
        call: Call,
    }
    enum Call {
        Chat { stream: bool },
        Plain,
    }
    let cases = [
        Case {
            name: "completion",
            answer: |request| resumed(&request.id, request.offset.unwrap_or(0), false),
            call: Call::Chat { stream: false },
        },
        Case {
            name: "stream",
            answer: |request| resumed(&request.id, request.offset.unwrap_or(0), true),
            call: Call::Chat { stream: true },
        },
        Case {
            name: "stream that ends with its connection",
            answer: |request| {
                let offset = request.offset.unwrap_or(0);
                events(&offset_header(offset), &scripted::chunks_to_end(&request.id, offset))
            },
            call: Call::Chat { stream: true },
        },
        Case { name: "plain", answer: |_| answer("200 OK", JSON, "", "{}"), call: Call::Plain },
    ];
    let run = |case: Case| async move {
        let cut = Arc::new(AtomicU32::new(0));
        let (cut_at, format) = (cut.clone(), case.answer);
        let engine = scripted::bind(move |request| {
            let whole = format(request);
            let head_len = whole.find("\r\n\r\n").expect("the answer has a head");
            let len = (cut_at.load(Ordering::SeqCst) as usize).min(head_len + 3);
            Script::close(&whole[..len])
        });
        let engine = engine.await;
        let service = match case.call {
            Call::Chat { .. } => "stitch-assist",
            Call::Plain => "booking-desk",
        };
        let setup = TestSetup { deadline_ms: DEADLINE_MS, ..TestSetup::new() };
        let setup = setup.upstream(service, engine.address).start().await;
        // The heads have less than 130 bytes, so the last cuts are just before their end.
        for len in (0..130).step_by(CUT_INTERVAL_BYTES) {
            cut.store(u32::try_from(len).expect("small"), Ordering::SeqCst);
            let answer = match case.call {
                Call::Chat { stream } => setup.chat("cut", TOKENS, stream).await,
                Call::Plain => setup.call(Method::POST, "/svc/booking-desk/x", &[], "b").await,
            };
            let is_whole = answer.outcome().as_deref() == Some("completed");
            assert!(!is_whole, "{} cut at {len}: {answer:?}", case.name);
            let is_success = answer.status.is_success() && answer.body.is_some();
            let says_unknown = answer.outcome().as_deref() == Some("unknown");
            assert!(!is_success || says_unknown, "{} cut at {len}: {answer:?}", case.name);
        }
        assert!(!engine.received().is_empty(), "{}", case.name);
    };
    futures::future::join_all(cases.into_iter().map(run)).await;
}

/// Guards against streams that broke off and go on with anything but the next event of the
/// same answer, such as the text of an error, its head, events that the caller has, or an
/// early end.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_goes_on_with_its_next_event_or_ends_as_unknown() {
    const SENT: u64 = 3;
    struct Case {
        name: &'static str,
        /// Bytes of the first connection after the chunks.
        tail: fn(id: &str) -> String,
        /// First answer to a resumption; the next one is proper.
        resumed: fn(id: &str) -> String,
        outcome: &'static str,
    }
    let proper = |id: &str| resumed(id, SENT, true);
    let busy = |_: &str| answer("503 Service Unavailable", JSON, "", ERROR);
    let page = |_: &str| {
        answer("200 OK", "text/plain", &offset_header(SENT), "engine full\n\ndata: x\n\n")
    };
    let text_event = |_: &str| events(&offset_header(SENT), "data: the engine is full\n\n");
    let head_in_stream = |_: &str| {
        let head = "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\r\nfull\n\n";
        events(&offset_header(SENT), head)
    };
    let from_start = |id: &str| resumed(id, 0, true);
    let unconfirmed = |id: &str| events("", &scripted::chunks_to_end(id, 0));
    let done = |_: &str| events(&offset_header(SENT), DONE);
    let early_done = |_: &str| DONE.to_owned();
    let nothing = |_: &str| String::new();
    let head = |_: &str| "HTTP/1.1 503 Service Unavailable\r\nserver: x\r\n\r\n".to_owned();
    let text = |_: &str| "full\n\n".to_owned();
    let text_data = |_: &str| "data: full\n\n".to_owned();
    let longer_id = |id: &str| chunks(&format!("{id}0"), 0, 1);
    let case = |name, tail, resumed, outcome| Case { name, tail, resumed, outcome };
    let cases = [
        case("proper", nothing, proper as fn(&str) -> String, "completed"),
        case("error", nothing, busy, "completed"),
        case("another content type", nothing, page, "completed"),
        case("text in an event", nothing, text_event, "completed"),
        case("head in the stream", nothing, head_in_stream, "completed"),
        case("head after the chunks", head, proper, "completed"),
        case("text after the chunks", text, proper, "completed"),
        case("text in an event after the chunks", text_data, proper, "completed"),
        case("chunk of a request whose id is longer", longer_id, proper, "completed"),
        case("from the start again", nothing, from_start, "unknown"),
        case("offset not confirmed", nothing, unconfirmed, "unknown"),
        case("ends at once", nothing, done, "completed"),
        case("ends early after the chunks", early_done, proper, "completed"),
    ];
    for Case { name, tail, resumed: first_resumed, outcome } in cases {
        let resumptions = AtomicU32::new(0);
        let engine = scripted::bind(move |request| match request.offset {
            None => Script::close(events("", &(chunks(&request.id, 0, SENT) + &tail(&request.id)))),
            Some(_) => match resumptions.fetch_add(1, Ordering::SeqCst) {
                0 => Script::close(first_resumed(&request.id)),
                _ => Script::close(proper(&request.id)),
            },
        });
        let engine = engine.await;
        let setup = TestSetup::new().upstream("stitch-assist", engine.address).start().await;
        let streamed = setup.chat(name, TOKENS, true).await;
        let raw = streamed.text();
        assert_eq!(streamed.outcome().as_deref(), Some(outcome), "{name}: {raw}");
        assert!(!raw.contains("full") && !raw.contains("HTTP/1.1"), "{name}: {raw}");
        let is_complete = outcome == "completed";
        let id = streamed.header("x-request-id");
        let expected = chunks(id, 0, if is_complete { TOKENS + 1 } else { SENT });
        let received: String =
            raw.split_inclusive("\n\n").filter(|event| event.contains("\"choices\"")).collect();
        assert_eq!(received, expected, "{name}");
        assert_eq!(raw.contains(DONE), is_complete, "{name}: {raw}");
    }
}

/// Guards against the text of an error in a stream that broke off before its first event and
/// is run again, and against such a stream that ends as complete.
#[tokio::test(flavor = "multi_thread")]
async fn lost_stream_that_the_next_upstream_rejects_ends_as_unknown() {
    let page = answer("200 OK", "text/plain", "", "full\n\ndata: [DONE]\n\n");
    let cases = [
        ("error", answer("503 Service Unavailable", JSON, "", ERROR)),
        ("another content type", page),
        ("end of a stream", events("", DONE)),
    ];
    for (name, second) in cases {
        let first = Arc::new(OnceLock::new());
        let script = move |request: &Received| {
            if request.offset.is_some() {
                return Script::close(answer("410 Gone", JSON, "", ERROR));
            }
            let is_first = first.set(()).is_ok();
            Script::close(if is_first { events("", "") } else { second.clone() })
        };
        let engines = [scripted::bind(script.clone()).await, scripted::bind(script).await];
        let setup = TestSetup::new().upstream("stitch-assist", engines[0].address);
        let setup = setup.upstream("stitch-assist", engines[1].address).start().await;
        let lost = setup.chat(name, TOKENS, true).await;
        assert_eq!(lost.outcome().as_deref(), Some("unknown"), "{name}: {lost:?}");
        let text = lost.text();
        assert!(!text.contains("full") && !text.contains(DONE), "{name}: {text}");
        assert!(engines.iter().all(|engine| !engine.received().is_empty()), "{name}: no retry");
    }
}

/// Guards against a plain call or one that may run once that shares a connection, on which a
/// late copy of an earlier answer could be taken for its own.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_cannot_be_verified_use_their_own_connections() {
    let upstream = || {
        scripted::bind(|request| Script::keep(answer("200 OK", JSON, "", &completion(&request.id))))
    };
    let (plain, engine) = (upstream().await, upstream().await);
    let setup = TestSetup::new().upstream("pages", plain.address);
    let setup = setup.upstream("stitch-assist", engine.address).start().await;
    let chat = chat_body("booked", TOKENS, false).to_string();
    for _ in 0..3 {
        setup.call(Method::POST, "/svc/pages/x", &[], "read").await;
        let headers = [("x-span-idempotent", "false")];
        setup.call(Method::POST, "/v1/chat/completions", &headers, &chat).await;
    }
    for upstream in [plain, engine] {
        let requests = upstream.received();
        let connections: BTreeSet<_> = requests.iter().map(|request| request.connection).collect();
        assert_eq!(connections.len(), 3, "{requests:?}");
    }
}

/// Guards against requests that are run again at another upstream, or given up, because the
/// first one was silent for a while.
#[tokio::test(flavor = "multi_thread")]
async fn silent_engine_keeps_its_request() {
    const SILENT_RESUMPTIONS: usize = 3;
    const SILENCE_MS: u64 = 60_000;
    struct Case {
        name: &'static str,
        stream: bool,
        /// Chunks before the silence; without any, there is no head either.
        sent: u64,
    }
    let cases = [
        Case { name: "before the stream", stream: true, sent: 0 },
        Case { name: "in the stream", stream: true, sent: 2 },
        Case { name: "before the completion", stream: false, sent: 0 },
    ];
    for Case { name, stream, sent } in cases {
        let script = move |request: &Received| match request.offset {
            Some(offset) if request.earlier > SILENT_RESUMPTIONS => {
                Script::keep(resumed(&request.id, offset, stream))
            }
            None if sent > 0 => {
                let begun = events("", &chunks(&request.id, 0, sent));
                Script { parts: vec![(0, begun), (SILENCE_MS, String::new())], closes: true }
            }
            _ => Script { parts: vec![(SILENCE_MS, String::new())], closes: true },
        };
        let engines = [scripted::bind(script).await, scripted::bind(script).await];
        let setup = TestSetup::new().upstream("stitch-assist", engines[0].address);
        let setup = setup.upstream("stitch-assist", engines[1].address).start().await;
        let answer = setup.chat(name, TOKENS, stream).await;
        assert_eq!(answer.outcome().as_deref(), Some("completed"), "{name}: {answer:?}");
        assert_eq!(text(&answer, stream), scripted::whole_text(), "{name}");
        let id = answer.header("x-request-id");
        let sends: usize = engines.iter().map(|engine| engine.sends(id)).sum();
        assert_eq!(sends, 1, "{name}: runs");
    }
}

/// Guards against stalled answers that never end because the engine sends a byte now and
/// then, and against answers that are cut because they take longer than the silence timeout
/// although bytes arrive all the time.
#[tokio::test(flavor = "multi_thread")]
async fn only_stalled_answers_are_given_up() {
    const INTERVAL_MS: u64 = 100;
    /// Far longer than the timeout after which a stalled answer is given up.
    const TEST_TIMEOUT: Duration = Duration::from_secs(20);
    struct Case {
        name: &'static str,
        stream: bool,
        /// Pieces of the answer, written at intervals.
        pieces: fn(id: &str) -> Vec<String>,
        outcome: &'static str,
    }
    let comments = |_: &str| vec![": waiting\n\n".to_owned(); 600];
    let bytes = |id: &str| {
        let first = chunks(id, 0, 1);
        std::iter::once(first).chain("data: ".repeat(100).chars().map(String::from)).collect()
    };
    let slow = |id: &str| {
        let piece =
            |n| [": waiting\n\n".to_owned(), ": waiting\n\n".to_owned(), chunks(id, n, n + 1)];
        (0..=TOKENS).flat_map(piece).chain([DONE.to_owned()]).collect()
    };
    let spaces = |_: &str| vec![" ".to_owned(); 600];
    let slow_json = |id: &str| {
        let text = completion(id);
        text.as_bytes().chunks(8).map(|piece| String::from_utf8_lossy(piece).into()).collect()
    };
    let cases = [
        Case { name: "comments", stream: true, pieces: comments, outcome: "unknown" },
        Case { name: "bytes", stream: true, pieces: bytes, outcome: "unknown" },
        Case { name: "slow stream", stream: true, pieces: slow, outcome: "completed" },
        Case { name: "spaces", stream: false, pieces: spaces, outcome: "unknown" },
        Case { name: "slow completion", stream: false, pieces: slow_json, outcome: "completed" },
    ];
    for Case { name, stream, pieces, outcome } in cases {
        let engine = scripted::bind(move |request| {
            if request.offset.is_some() {
                return Script::close(answer("410 Gone", JSON, "", ERROR));
            }
            let content_type = if stream { "text/event-stream" } else { JSON };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n");
            let pieces = pieces(&request.id).into_iter().map(|piece| (INTERVAL_MS, piece));
            Script { parts: std::iter::once((0, head)).chain(pieces).collect(), closes: true }
        });
        let engine = engine.await;
        let mut setup = TestSetup::new().upstream("stitch-assist", engine.address);
        setup.timeouts.silence_ms = 600;
        setup.timeouts.answer_ms = 2_000;
        let setup = setup.start().await;
        let headers = [("x-span-idempotent", "false")];
        let body = chat_body(name, TOKENS, stream).to_string();
        let call = setup.call(Method::POST, "/v1/chat/completions", &headers, &body);
        let answer = tokio::time::timeout(TEST_TIMEOUT, call).await;
        let answer = answer.unwrap_or_else(|_| panic!("{name}: the answer never ended"));
        assert_eq!(answer.outcome().as_deref(), Some(outcome), "{name}: {answer:?}");
    }
}
