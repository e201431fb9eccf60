//! Guards against a broken answer that looks complete to a caller of HTTP/1.0, which
//! knows the end of an answer without a length only by the end of its connection.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Request, Response};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use span_http::{Body, BodyError, Limits, Server, full_body, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const TEXT: &str = "part";

/// How the body of an answer goes on after [`TEXT`].
#[derive(Clone, Copy)]
enum Rest {
    End,
    Error,
    /// Nothing more comes, and the server is dropped meanwhile.
    Nothing,
    /// The body has a length.
    Length,
}

fn answer(rest: Rest) -> Response<Body> {
    let first = Ok(Frame::data(Bytes::from_static(TEXT.as_bytes())));
    let first = stream::iter([first]);
    Response::new(match rest {
        Rest::Length => full_body(TEXT),
        Rest::End => Body::new(StreamBody::new(first)),
        Rest::Error => {
            let error = stream::iter([Err(BodyError::from("broken"))]);
            // The first frame is sent before the error.
            let pause = stream::once(tokio::time::sleep(std::time::Duration::from_millis(50)));
            let pause = pause.filter_map(|()| std::future::ready(None));
            Body::new(StreamBody::new(first.chain(pause).chain(error)))
        }
        Rest::Nothing => Body::new(StreamBody::new(first.chain(stream::pending()))),
    })
}

async fn bind(rest: Rest) -> Server {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = move |_: Request<Incoming>, _| async move { answer(rest) };
    serve(address, Limits::default(), handler).await.expect("bind failed")
}

#[tokio::test]
async fn broken_answer_without_length_resets_the_connection() {
    struct Case {
        name: &'static str,
        rest: Rest,
        is_reset: bool,
    }
    let cases = [
        Case { name: "complete", rest: Rest::End, is_reset: false },
        Case { name: "complete, with a length", rest: Rest::Length, is_reset: false },
        Case { name: "broken", rest: Rest::Error, is_reset: true },
        Case { name: "the server ends first", rest: Rest::Nothing, is_reset: true },
    ];
    for case in cases {
        let server = bind(case.rest).await;
        let mut stream = TcpStream::connect(server.address()).await.expect("cannot connect");
        stream.write_all(b"GET / HTTP/1.0\r\n\r\n").await.expect("cannot send");
        let mut received = Vec::new();
        while !received.ends_with(TEXT.as_bytes()) {
            assert_ne!(stream.read_buf(&mut received).await.expect("no answer"), 0);
        }
        if matches!(case.rest, Rest::Nothing) {
            server.abort();
        }
        let end = stream.read_to_end(&mut received).await;
        assert_eq!(end.is_err(), case.is_reset, "{}: {end:?}", case.name);
    }
}
