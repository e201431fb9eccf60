//! Guards against a stop of the server that closes connections whose requests wait to be read.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use http::{Request, Response};
use hyper::body::Incoming;
use span_http::{Limits, full_body, serve};

const CONNECTIONS: usize = 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const ANSWER: &[u8] = b"served";
/// Longer than a stopping server waits for requests on idle connections.
const STARVED: Duration = Duration::from_millis(700);

/// Sends a request and reads until its answer is complete or the connection ends. Returns
/// whether it is complete.
fn is_answered(mut stream: &TcpStream, request: &[u8]) -> bool {
    let _ = stream.write_all(request);
    reads_answer(stream)
}

fn reads_answer(mut stream: &TcpStream) -> bool {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    while !received.ends_with(ANSWER) {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
        }
    }
    true
}

/// A runtime of one thread that gets no processor time while a server on it stops.
struct StarvedServer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    starves: mpsc::Receiver<()>,
    go_on: mpsc::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl StarvedServer {
    fn start() -> Self {
        let (stop, stopped) = mpsc::channel();
        let (starve, starves) = mpsc::channel();
        let (go_on, goes_on) = mpsc::channel();
        let (bound, address) = mpsc::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("no runtime").block_on(async move {
                let handler = |_: Request<Incoming>, _| async { Response::new(full_body(ANSWER)) };
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                let server = serve(address, Limits::default(), handler).await;
                let server = server.expect("bind failed");
                bound.send(server.address()).expect("the test has ended");
                while stopped.try_recv().is_err() {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                let shutdown = tokio::spawn(server.shutdown());
                // All connections learn of the stop.
                tokio::time::sleep(Duration::from_millis(50)).await;
                starve.send(()).expect("the test has ended");
                goes_on.recv().expect("the test has ended");
                shutdown.await.expect("the server panicked");
            });
        });
        let address = address.recv().expect("no address");
        Self { address, stop, starves, go_on, thread }
    }
}

/// Guards against requests that wait in the kernel and get no answer, because the time that
/// a stopping server waits for them has passed while its thread had no processor time.
#[test]
fn requests_that_wait_as_the_server_stops_are_answered() {
    struct Case {
        name: &'static str,
        /// Whether an earlier request was sent on each connection.
        is_kept: bool,
        /// Length of the part of the request that is sent before the server is starved.
        sent_before: usize,
        /// Length of the part that is sent when it goes on.
        sent_after: usize,
    }
    let cases = [
        Case { name: "unused", is_kept: false, sent_before: 0, sent_after: 0 },
        Case { name: "kept", is_kept: true, sent_before: 0, sent_after: 0 },
        Case { name: "begun, unused", is_kept: false, sent_before: 5, sent_after: 0 },
        Case { name: "begun, kept", is_kept: true, sent_before: 5, sent_after: 0 },
        Case { name: "late end, kept", is_kept: true, sent_before: 5, sent_after: 5 },
    ];
    for case in cases {
        let server = StarvedServer::start();
        let connect = |_| TcpStream::connect(server.address).expect("cannot connect");
        let streams: Vec<TcpStream> = (0..CONNECTIONS).map(connect).collect();
        for stream in &streams {
            assert!(!case.is_kept || is_answered(stream, REQUEST), "{}", case.name);
        }
        let (begin, rest) = REQUEST.split_at(case.sent_before);
        let (middle, end) = rest.split_at(rest.len() - case.sent_after);
        let send = |part: &[u8]| {
            for mut stream in &streams {
                let _ = stream.write_all(part);
            }
        };
        send(begin);
        server.stop.send(()).expect("the server has ended");
        server.starves.recv().expect("the server has ended");
        send(middle);
        thread::sleep(STARVED);
        server.go_on.send(()).expect("the server has ended");
        if !end.is_empty() {
            // The server reads the part that has arrived.
            thread::sleep(Duration::from_millis(50));
            send(end);
        }
        let unanswered = streams.iter().filter(|stream| !reads_answer(stream)).count();
        assert_eq!(unanswered, 0, "{}", case.name);
        server.thread.join().expect("the server panicked");
    }
}

/// Guards against a stop that waits for connections without a request.
#[test]
fn idle_connections_do_not_hold_up_the_stop() {
    for is_kept in [false, true] {
        let server = StarvedServer::start();
        let stream = TcpStream::connect(server.address).expect("cannot connect");
        assert!(!is_kept || is_answered(&stream, REQUEST));
        server.stop.send(()).expect("the server has ended");
        server.go_on.send(()).expect("the server has ended");
        server.thread.join().expect("the server panicked");
        assert!(!is_answered(&stream, REQUEST));
    }
}
