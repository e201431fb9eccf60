//! Guards against requests that end without an answer while a router process stops.

mod common;

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use common::{
    Answer, RunningSetup, TestSetup, chat_body, fast_engine, loopback, receive, request, wait_until,
};
use futures::{StreamExt, future::join_all, stream};
use http::{Method, Request, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use span_http::{Body, BodyError, Client, empty_body, full_body, pooled_client, unpooled_client};
use span_standin::{
    engine::{self, Engine},
    objects::Faults,
    service::{self, Service},
};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::Child,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rosemaryspan-router");
const BOOK: &str = "/svc/booking-desk/book";
const PAGE: &str = "/svc/pages/page";
const CHAT: &str = "/v1/chat/completions";
/// More tokens than an engine makes before the end of any test.
const ENDLESS_TOKENS: u64 = 100_000;

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Settings of a router with these timeouts, in YAML.
fn settings_text(setup: &RunningSetup, name: &str, timeouts: &str) -> (SocketAddr, String) {
    let (http, peer, platform) =
        (common::unused_address(), common::unused_address(), setup.platform.address());
    let text = format!(
        "instance: {name}\nfailure_domain: hall-atl\nhttp_address: {http}\n\
         peer_address: {peer}\nplatform_address: {platform}\ntimeouts: {{{timeouts}}}\n"
    );
    (http, text)
}

/// Starts of a process until one finds its addresses free.
const MAX_STARTS: u32 = 5;

/// A router process.
struct RouterProcess {
    child: Child,
    address: SocketAddr,
    log: Arc<Mutex<String>>,
}

impl RouterProcess {
    /// Starts a process in addition to the router of `setup`, and waits until it serves.
    async fn start(setup: &RunningSetup, name: &str, timeouts: &str) -> Self {
        let path = file(&format!("{name}.yaml"));
        let mut log = String::new();
        // Another process may take an address between its choice and its use.
        for _ in 0..MAX_STARTS {
            let (address, text) = settings_text(setup, name, timeouts);
            std::fs::write(&path, text).expect("cannot write the file");
            let mut process = Self::spawn(address, &path);
            while matches!(process.child.try_wait(), Ok(None)) {
                let answer = try_call(&setup.client, get(address, "/v1/models")).await;
                // Until it has a configuration, it answers everything with 503.
                if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
                    return process;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            log = process.log();
        }
        panic!("the router does not start: {log}");
    }

    fn spawn(address: SocketAddr, settings: &PathBuf) -> Self {
        let mut program = tokio::process::Command::new(PROGRAM);
        program.kill_on_drop(true).arg("--settings").arg(settings);
        program.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = program.spawn().expect("cannot start the router");
        let log = Arc::new(Mutex::new(String::new()));
        let stderr = child.stderr.take().expect("no log");
        let process_log = Arc::clone(&log);
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let mut log = process_log.lock().unwrap_or_else(PoisonError::into_inner);
                *log += &format!("{line}\n");
            }
        });
        Self { child, address, log }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().expect("the process has ended").to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.expect("cannot run kill").success());
    }

    fn log(&self) -> String {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Tells the process to stop, and waits until it does.
    async fn begin_stop(&self) {
        self.signal("TERM");
        wait_until(|| self.log().contains("leaving")).await;
    }

    async fn wait(&mut self) -> ExitStatus {
        self.child.wait().await.expect("cannot wait for the process")
    }
}

fn get(address: SocketAddr, path: &str) -> Request<Body> {
    request(address, Method::GET, path, &[]).body(empty_body()).expect("invalid request")
}

fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Request<Body> {
    let request = request(address, Method::POST, path, headers);
    request.body(full_body(body.to_owned())).expect("invalid request")
}

fn chat(address: SocketAddr, nonce: &str, stream: bool) -> Request<Body> {
    post(address, CHAT, &[], &chat_body(nonce, ENDLESS_TOKENS, stream).to_string())
}

/// A booking whose body does not end.
fn endless_booking(address: SocketAddr) -> Request<Body> {
    let part = stream::iter([Ok(Frame::data(Bytes::from_static(b"part")))]);
    let body: Body = Body::new(StreamBody::new(
        part.chain(stream::pending::<Result<Frame<Bytes>, BodyError>>()),
    ));
    let request = request(address, Method::POST, BOOK, &[("content-length", "100")]);
    request.body(body).expect("invalid request")
}

/// The answer to a request; `None` if the connection ends without a complete one.
async fn try_call(client: &Client, request: Request<Body>) -> Option<Answer> {
    let answer = receive(client.request(request).await.ok()?).await;
    answer.body.is_some().then_some(answer)
}

/// Status and outcome of an answer.
fn summary(answer: &Option<Answer>) -> (u16, String) {
    match answer {
        Some(answer) => (answer.status.as_u16(), answer.outcome().unwrap_or_default()),
        None => (0, "no answer".to_owned()),
    }
}

async fn slow_engine() -> Engine {
    let settings = engine::Settings { token_us: 20_000, ..fast_engine() };
    engine::bind(loopback(), settings).await.expect("bind failed")
}

async fn service_with(call_ms: u64) -> Service {
    let settings = service::Settings { call_ms, ..service::Settings::default() };
    service::bind(loopback(), settings).await.expect("bind failed")
}

async fn start_setup(engine: &Engine, booking: &Service, pages: &Service) -> RunningSetup {
    let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
    setup.deadline_ms = 60_000;
    setup.max_concurrency = 1;
    let setup = setup.upstream("booking-desk", booking.address());
    setup.upstream("pages", pages.address()).start().await
}

/// Guards against a leaving router that starts requests which it cannot finish, and cuts them
/// at its end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_would_outlive_the_router_are_rejected() {
    struct Case {
        name: &'static str,
        timeouts: &'static str,
        call_ms: u64,
        /// Status and outcome of calls of services, and of completions.
        calls: (u16, &'static str),
        chats: (u16, &'static str),
    }
    let cases = [
        Case {
            name: "too-long",
            timeouts: "address_lifetime_ms: 1000, shutdown_ms: 4000, answer_ms: 60000",
            call_ms: 60_000,
            calls: (503, "not_run"),
            chats: (503, "not_run"),
        },
        Case {
            name: "in-time",
            timeouts: "address_lifetime_ms: 1000, shutdown_ms: 6000, answer_ms: 2000",
            call_ms: 20,
            calls: (200, "completed"),
            chats: (200, "completed"),
        },
    ];
    for case in cases {
        let engine = match case.call_ms {
            20 => engine::bind(loopback(), fast_engine()).await.expect("bind failed"),
            _ => slow_engine().await,
        };
        let (booking, pages) = (service_with(case.call_ms).await, service_with(case.call_ms).await);
        let mut setup = TestSetup::new().upstream("stitch-assist", engine.address());
        setup = setup.upstream("booking-desk", booking.address());
        let setup = setup.upstream("pages", pages.address()).start().await;
        let mut router = RouterProcess::start(&setup, case.name, case.timeouts).await;
        let address = router.address;
        let tokens = if case.call_ms == 20 { 5 } else { ENDLESS_TOKENS };
        let requests = || {
            let chat =
                |stream| post(address, CHAT, &[], &chat_body("late", tokens, stream).to_string());
            [post(address, BOOK, &[], "book"), get(address, PAGE), chat(false), chat(true)]
        };
        // One client per request, so that each has a kept connection of its own.
        let kept: Vec<Client> =
            requests().iter().map(|_| pooled_client(Duration::from_secs(1))).collect();
        for client in &kept {
            let answer = try_call(client, get(address, "/v1/models")).await.expect("no answer");
            assert_eq!(answer.status, StatusCode::OK);
        }
        router.begin_stop().await;
        let fresh = unpooled_client(Duration::from_secs(1));
        let kept = requests().into_iter().zip(&kept);
        let calls = kept.map(|(request, client)| try_call(client, request));
        let calls = calls.chain(requests().into_iter().map(|request| try_call(&fresh, request)));
        let answers = join_all(calls).await;
        let of = |(status, outcome): (u16, &str)| (status, outcome.to_owned());
        let (call, chat) = (of(case.calls), of(case.chats));
        let expected = [&call, &call, &chat, &chat, &call, &call, &chat, &chat];
        let summaries: Vec<_> = answers.iter().map(summary).collect();
        assert_eq!(summaries.iter().collect::<Vec<_>>(), expected, "{}", case.name);
        if case.call_ms != 20 {
            let ran = engine.ledger().executions().len()
                + booking.ledger().executions().len()
                + pages.ledger().executions().len();
            assert_eq!(ran, 0, "{}", case.name);
            let answers = answers.iter().flatten();
            assert!(answers.clone().all(|answer| !answer.header("retry-after").is_empty()));
        }
        assert!(router.wait().await.success(), "{}: {}", case.name, router.log());
    }
}

/// Guards against requests that are open at the end of a router and get no answer, or none
/// that tells whether they may have run.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_open_at_the_end_are_answered() {
    struct Case {
        name: &'static str,
        timeouts: &'static str,
        signals: u32,
    }
    let cases = [
        Case {
            name: "time-limit",
            timeouts: "address_lifetime_ms: 0, shutdown_ms: 3000",
            signals: 1,
        },
        Case { name: "second-signal", timeouts: "address_lifetime_ms: 0", signals: 2 },
    ];
    for case in cases {
        let engine = slow_engine().await;
        let (booking, pages) = (service_with(60_000).await, service_with(60_000).await);
        let setup = start_setup(&engine, &booking, &pages).await;
        let mut router = RouterProcess::start(&setup, case.name, case.timeouts).await;
        let address = router.address;
        let send = |request| {
            let client = unpooled_client(Duration::from_secs(1));
            tokio::spawn(async move { try_call(&client, request).await })
        };
        let booked = send(post(address, BOOK, &[], "book"));
        let page = send(get(address, PAGE));
        let ran = |service: &Service| service.ledger().executions().len();
        wait_until(|| ran(&booking) == 1 && ran(&pages) == 1).await;
        let waiting = send(post(address, BOOK, &[("idempotency-key", case.name)], "book"));
        let body = send(endless_booking(address));
        let streamed = send(chat(address, "streamed", true));
        let produces =
            || engine.ledger().executions().iter().any(|execution| execution.output_cost > 0);
        wait_until(produces).await;
        let answers = [booked, page, waiting, body, streamed];
        router.begin_stop().await;
        if case.signals == 2 {
            // The listener is closed, so that the first signal was handled.
            wait_until(|| std::net::TcpStream::connect(address).is_err()).await;
            router.signal("TERM");
        }
        let answers = join_all(answers).await;
        let answers = answers.into_iter().map(|answer| answer.expect("the task failed"));
        let answers: Vec<_> = answers.map(|answer| summary(&answer)).collect();
        let expected = [
            (504, "unknown".to_owned()),
            (504, "unknown".to_owned()),
            (503, "not_run".to_owned()),
            (503, "not_run".to_owned()),
            (200, "unknown".to_owned()),
        ];
        assert_eq!(answers, expected, "{}", case.name);
        let status = router.wait().await;
        assert_eq!(status.code(), Some(1), "{}: {}", case.name, router.log());
        assert_eq!((ran(&booking), ran(&pages)), (1, 1), "{}", case.name);
    }
}

/// Guards against a completion without a stream that is cut at the end of a router.
#[tokio::test(flavor = "multi_thread")]
async fn completion_that_is_open_at_the_end_is_answered() {
    let engine = slow_engine().await;
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let timeouts = "address_lifetime_ms: 0, shutdown_ms: 2500";
    let mut router = RouterProcess::start(&setup, "completion", timeouts).await;
    let client = unpooled_client(Duration::from_secs(1));
    let request = chat(router.address, "completion", false);
    let call = tokio::spawn(async move { try_call(&client, request).await });
    wait_until(|| !engine.ledger().executions().is_empty()).await;
    router.begin_stop().await;
    let answer = call.await.expect("the task failed");
    assert_eq!(summary(&answer), (504, "unknown".to_owned()));
    assert_eq!(router.wait().await.code(), Some(1), "{}", router.log());
}

/// Guards against a claim on a key whose outcome is not stored when its router ends: a
/// repetition then got "may have run" for a request that had completed, or had not run.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_of_a_claimed_key_is_stored_before_the_end() {
    struct Case {
        name: &'static str,
        shutdown_ms: u64,
        call_ms: u64,
        /// Status and outcome of the request, and of its repetition at another router.
        first: (u16, &'static str),
        repeated: (u16, &'static str),
    }
    let cases = [
        Case {
            name: "claim-completed",
            shutdown_ms: 300_000,
            call_ms: 3_000,
            first: (200, "completed"),
            repeated: (409, "completed"),
        },
        Case {
            name: "claim-released",
            shutdown_ms: 4_000,
            call_ms: 5_000,
            first: (503, "not_run"),
            repeated: (200, "completed"),
        },
    ];
    for case in cases {
        let (engine, booking) = (slow_engine().await, service_with(case.call_ms).await);
        let setup = start_setup(&engine, &booking, &booking).await;
        let timeouts = format!("address_lifetime_ms: 0, shutdown_ms: {}", case.shutdown_ms);
        let mut router = RouterProcess::start(&setup, case.name, &timeouts).await;
        let send = |key: &'static str| {
            let client = unpooled_client(Duration::from_secs(1));
            let headers = [("idempotency-key", key), ("x-nonce", key)];
            let request = post(router.address, BOOK, &headers, "book");
            tokio::spawn(async move { try_call(&client, request).await })
        };
        let runs =
            |key: &str| booking.ledger().executions().iter().filter(|row| row.nonce == key).count();
        if case.first.0 == 503 {
            // Takes the only slot.
            send("occupant");
            wait_until(|| runs("occupant") == 1).await;
        }
        let call = send(case.name);
        let claims = || setup.platform.edit(|store| store.counters.writes);
        let before = claims();
        match case.first.0 {
            503 => wait_until(|| claims() > before).await,
            _ => wait_until(|| runs(case.name) == 1).await,
        }
        router.signal("TERM");
        setup.platform.set_faults(Faults { delay_ms: 300, ..Faults::default() });
        let answer = call.await.expect("the task failed");
        let of = |(status, outcome): (u16, &str)| (status, outcome.to_owned());
        assert_eq!(summary(&answer), of(case.first), "{}", case.name);
        router.wait().await;
        setup.platform.set_faults(Faults::default());
        let headers = [("idempotency-key", case.name), ("x-nonce", case.name)];
        let repeated = post(setup.router.http_address(), BOOK, &headers, "book");
        let repeated = try_call(&setup.client, repeated).await;
        assert_eq!(summary(&repeated), of(case.repeated), "{}: {repeated:?}", case.name);
        assert_eq!(runs(case.name), 1, "{}", case.name);
    }
}

/// Guards against SIGHUP, with which operators let processes read their settings again, as
/// the end of the process and of all its requests.
#[tokio::test(flavor = "multi_thread")]
async fn hangup_does_not_end_the_process() {
    let pages = service_with(20).await;
    let setup = TestSetup::new().upstream("pages", pages.address()).start().await;
    let mut router = RouterProcess::start(&setup, "hangup", "address_lifetime_ms: 0").await;
    router.signal("HUP");
    let mut has_ended = || matches!(router.child.try_wait(), Ok(Some(_)));
    let log = Arc::clone(&router.log);
    let log = || log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    wait_until(|| has_ended() || log().contains("SIGHUP")).await;
    assert!(!has_ended(), "{}", log());
    let answer = try_call(&setup.client, get(router.address, PAGE)).await;
    assert_eq!(summary(&answer), (200, "completed".to_owned()));
    router.signal("TERM");
    assert!(router.wait().await.success(), "{}", router.log());
}

/// Guards against a process that a signal ends at once while it starts, when it may already
/// have taken requests.
#[tokio::test(flavor = "multi_thread")]
async fn signal_at_the_start_is_handled() {
    let setup = TestSetup::new().start().await;
    let (address, text) = settings_text(&setup, "early", "address_lifetime_ms: 0");
    let path = file("early.fifo");
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().expect("cannot run mkfifo").success());
    let mut router = RouterProcess::spawn(address, &path);
    // Waits until the process reads its settings.
    let open = {
        let path = path.clone();
        tokio::task::spawn_blocking(move || std::fs::File::options().write(true).open(path))
    };
    let mut settings = open.await.expect("the task failed").expect("cannot open the settings");
    router.signal("TERM");
    let written = tokio::task::spawn_blocking(move || {
        std::io::Write::write_all(&mut settings, text.as_bytes())
    });
    // Fails if the process has ended.
    let _ = written.await.expect("the task failed");
    let status = router.wait().await;
    assert!(status.success(), "{status}: {}", router.log());
}
