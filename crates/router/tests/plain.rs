//! Guards against calls of plain services that are changed on the way, cut
//! short without notice, or repeated where that is not safe.

mod common;

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
};

use bytes::Bytes;
use common::{World, any, closed, request, until};
use futures::{StreamExt, channel::mpsc};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use span_http::{Body, BodyError, Limits, Server, full_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

async fn bind<F, Fut>(handler: F) -> Server
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = move |request, _peer| handler(request);
    span_http::serve(any(), Limits::default(), handler).await.expect("it binds")
}

/// An upstream that reads the first bytes of a call, counts it and closes.
/// Requests for its load are not calls.
async fn breaking() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind(any()).await.expect("it binds");
    let address = listener.local_addr().expect("it is bound");
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 1024];
            if stream.read(&mut buffer).await.is_ok() && buffer.starts_with(b"POST") {
                counted.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    (address, count)
}

#[tokio::test(flavor = "multi_thread")]
async fn method_headers_query_body_and_status_pass_through() {
    let seen = Arc::new(Mutex::new(None));
    let log = Arc::clone(&seen);
    let upstream = bind(move |request: Request<Incoming>| {
        let log = Arc::clone(&log);
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.expect("it is whole").to_bytes();
            *log.lock().expect("no panic") = Some((head, body.clone()));
            let response = Response::builder()
                .status(StatusCode::IM_A_TEAPOT)
                .header("x-kept", "a")
                .header("x-kept", "b")
                .header("connection", "x-hop")
                .header("x-hop", "1");
            response.body(full_body(body)).expect("it is valid")
        }
    })
    .await;
    let world = World::new().upstream("pages", upstream.address()).start().await;
    let headers = [
        ("x-many", "1"),
        ("x-many", "2"),
        ("connection", "x-secret-hop"),
        ("x-secret-hop", "1"),
        ("keep-alive", "timeout=1"),
        ("proxy-authorization", "x"),
    ];
    let path = "/svc/pages/a%2Fb/c?d=e%20f&g";
    let method = Method::from_bytes(b"PROPFIND").expect("it is a method");
    let answer = world.call(method.clone(), path, &headers, "body").await;
    let (head, body) = seen.lock().expect("no panic").take().expect("it came");
    assert_eq!((head.method, head.uri.to_string()), (method, "/a%2Fb/c?d=e%20f&g".to_owned()));
    assert_eq!(body, "body");
    assert_eq!(head.headers.get_all("x-many").iter().collect::<Vec<_>>(), ["1", "2"]);
    for name in ["x-secret-hop", "keep-alive", "proxy-authorization", "authorization"] {
        assert!(!head.headers.contains_key(name), "{name}");
    }
    assert_eq!(head.headers["x-request-id"], answer.header("x-request-id"));
    assert_eq!((answer.status, answer.text().as_str()), (StatusCode::IM_A_TEAPOT, "body"));
    assert_eq!(answer.headers.get_all("x-kept").iter().collect::<Vec<_>>(), ["a", "b"]);
    assert!(!answer.headers.contains_key("x-hop"));
    assert_eq!(answer.outcome().as_deref(), Some("completed"));
    let head = world.call(Method::HEAD, "/svc/pages/x", &[], "").await;
    assert_eq!(head.outcome().as_deref(), Some("completed"));
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_stream_in_both_directions_and_trailers_are_kept() {
    let upstream = bind(|request: Request<Incoming>| async move {
        // Each frame is answered before the next one is sent.
        let body = request
            .into_body()
            .map_frame(|frame| frame.map_data(|data| Bytes::from([b"echo ", &*data].concat())));
        let mut response = Response::new(body.map_err(Into::into).boxed());
        response.headers_mut().insert("trailer", HeaderValue::from_static("x-sum"));
        response
    })
    .await;
    let world = World::new().upstream("pages", upstream.address()).start().await;
    let (frames, received) = mpsc::unbounded::<Result<Frame<Bytes>, Infallible>>();
    let body = StreamBody::new(received).map_err(|never| match never {});
    let request =
        request(world.router.http_address(), Method::POST, "/svc/pages/", &[("trailer", "x-sum")]);
    let request = request.body(Body::new(body)).expect("it is valid");
    let data = |text: &'static str| Ok(Frame::data(Bytes::from_static(text.as_bytes())));
    frames.unbounded_send(data("1")).expect("it is open");
    let response = world.client.request(request).await.expect("it is answered");
    let mut body = response.into_body();
    for (text, next) in [("echo 1", "2"), ("echo 2", "3"), ("echo 3", "4")] {
        let frame = body.frame().await.expect("more comes").expect("it is whole");
        assert_eq!(frame.into_data().expect("it is data"), text);
        frames.unbounded_send(data(next)).expect("it is open");
    }
    let trailers =
        HeaderMap::from_iter([("x-sum".parse().expect("a name"), "9".parse().expect("a value"))]);
    frames.unbounded_send(Ok(Frame::trailers(trailers))).expect("it is open");
    drop(frames);
    let rest = body.collect().await.expect("it is whole");
    let trailers = rest.trailers().expect("there are trailers");
    assert_eq!(trailers["x-sum"], "9");
    assert_eq!(trailers["x-span-outcome"], "completed");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_not_taken_for_whole() {
    let upstream = bind(|_| async {
        let part: Result<_, BodyError> = Ok(Frame::data(Bytes::from_static(b"part")));
        let parts = futures::stream::iter([part]).chain(futures::stream::once(async {
            tokio::task::yield_now().await;
            Err("the connection breaks".into())
        }));
        Response::new(Body::new(StreamBody::new(parts)))
    })
    .await;
    let world = World::new().upstream("pages", upstream.address()).start().await;
    let answer = world.call(Method::GET, "/svc/pages/", &[], "").await;
    assert!(answer.body.is_none(), "{answer:?}");
    until(|| world.router.in_flight().is_empty()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_what_may_run_again_is_repeated() {
    struct Case {
        name: &'static str,
        service: &'static str,
        headers: &'static [(&'static str, &'static str)],
        outcome: &'static str,
        attempts: u32,
    }
    let cases = [
        Case {
            name: "idempotent service",
            service: "pages",
            headers: &[],
            outcome: "unknown",
            attempts: 2,
        },
        Case {
            name: "non-idempotent service",
            service: "booking-desk",
            headers: &[],
            outcome: "unknown",
            attempts: 1,
        },
        Case {
            name: "the caller forbids it",
            service: "pages",
            headers: &[("x-span-idempotent", "false")],
            outcome: "unknown",
            attempts: 1,
        },
        Case {
            name: "the caller allows it",
            service: "booking-desk",
            headers: &[("x-span-idempotent", "true")],
            outcome: "unknown",
            attempts: 2,
        },
        Case {
            name: "a key asks for one run",
            service: "pages",
            headers: &[("idempotency-key", "order-1")],
            outcome: "unknown",
            attempts: 1,
        },
        Case {
            name: "the caller's statement is not understood",
            service: "pages",
            headers: &[("x-span-idempotent", "maybe")],
            outcome: "not_run",
            attempts: 0,
        },
    ];
    for case in cases {
        // Both break, so that the number of attempts does not depend on which
        // one is chosen first.
        let (first, first_count) = breaking().await;
        let (second, second_count) = breaking().await;
        let world = World::new().upstream(case.service, first);
        let world = world.upstream(case.service, second).start().await;
        let path = format!("/svc/{}/x", case.service);
        let answer = world.call(Method::POST, &path, case.headers, "book").await;
        assert_eq!(answer.outcome().as_deref(), Some(case.outcome), "{}", case.name);
        let counts = [&first_count, &second_count].map(|count| count.load(Ordering::SeqCst));
        assert_eq!(counts.iter().sum::<u32>(), case.attempts, "{}", case.name);
        assert!(counts.iter().all(|count| *count <= 1), "{}: {counts:?}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_is_not_run_or_goes_elsewhere() {
    // Reads the call, since a server that answers before it has the body may
    // close the connection while it is still being sent.
    let good = bind(|request: Request<Incoming>| async {
        let body = request.into_body().collect().await.expect("it is whole").to_bytes();
        Response::new(full_body(body))
    });
    let good = good.await;
    let world = World::new().upstream("booking-desk", closed()).start().await;
    let answer = world.call(Method::POST, "/svc/booking-desk/x", &[], "book").await;
    assert_eq!(answer.outcome().as_deref(), Some("not_run"));
    assert!(!answer.header("retry-after").is_empty());
    let world = World::new().upstream("booking-desk", closed());
    let world = world.upstream("booking-desk", good.address()).start().await;
    // Too large to be kept, so it can only be sent again if none of it was
    // consumed.
    let body = "b".repeat(200_000);
    for _ in 0..10 {
        let answer = world.call(Method::POST, "/svc/booking-desk/x", &[], &body).await;
        assert_eq!(answer.outcome().as_deref(), Some("completed"));
        assert!(answer.text() == body, "the body is not whole");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_call() {
    let gone = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&gone);
    let upstream = bind(move |_| {
        let counted = Arc::clone(&counted);
        let guard = Guard(counted);
        async move {
            let _guard = guard;
            std::future::pending().await
        }
    })
    .await;
    let world = World::new().upstream("pages", upstream.address()).start().await;
    let call = world.call(Method::GET, "/svc/pages/", &[], "");
    tokio::select! {
        _ = call => panic!("it cannot complete"),
        () = until(|| !world.router.in_flight().is_empty()) => {}
    }
    until(|| world.router.in_flight().is_empty()).await;
    until(|| gone.load(Ordering::SeqCst) == 1).await;
}

struct Guard(Arc<AtomicU32>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_sends_half_an_answer_head_has_failed() {
    let listener = TcpListener::bind(any()).await.expect("it binds");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").await;
        }
    });
    let world = World::new().upstream("booking-desk", address).start().await;
    let answer = world.call(Method::POST, "/svc/booking-desk/x", &[], "book").await;
    assert_eq!(answer.outcome().as_deref(), Some("unknown"), "{answer:?}");
}
