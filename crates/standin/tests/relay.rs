//! The relay as a client and a target see it.

use std::{net::SocketAddr, time::Duration};

use span_standin::relay::{self, Faults, Relay, RouteSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

const LOCAL: &str = "127.0.0.1:0";
const ROUTE: &str = "route";
/// Time after which a test takes a connection for silent. It bounds how long a
/// test waits for nothing; arrival is never required within it.
const QUIET: Duration = Duration::from_millis(200);

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind(LOCAL).await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn relayed(delay_us: u64) -> (Relay, SocketAddr) {
    let relay = relay::bind(LOCAL.parse().expect("address")).await.expect("bind");
    let settings = RouteSettings {
        name: ROUTE.into(),
        listen: LOCAL.parse().expect("address"),
        target: echo().await,
        delay_us,
    };
    let address = relay.add_route(settings).await.expect("route");
    (relay, address)
}

async fn ask(stream: &mut TcpStream) -> Option<[u8; 4]> {
    let mut answer = [0; 4];
    stream.write_all(b"ping").await.ok()?;
    let read = timeout(QUIET, stream.read_exact(&mut answer)).await;
    read.ok()?.ok()?;
    Some(answer)
}

/// Guards against a relay that reorders, loses or does not delay bytes.
#[tokio::test]
async fn bytes_arrive_whole_and_no_earlier_than_the_delay() {
    let (_relay, address) = relayed(5_000).await;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let sent: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();
    let started = tokio::time::Instant::now();
    let (mut read, mut write) = stream.split();
    let mut received = vec![0; sent.len()];
    let (written, got) = tokio::join!(write.write_all(&sent), read.read_exact(&mut received));
    written.expect("write");
    got.expect("read");
    assert_eq!(received, sent);
    // A lower bound only: the delay is a property of the relay, not of the machine.
    assert!(started.elapsed() >= Duration::from_millis(10));
}

/// Guards against cuts that leak bytes or that lose them for good, in each
/// direction alone and in both.
#[tokio::test]
async fn a_cut_holds_bytes_back_until_it_heals() {
    let cases = [
        Faults { cut_to_target: true, ..Faults::default() },
        Faults { cut_to_client: true, ..Faults::default() },
        Faults { cut_to_target: true, cut_to_client: true, ..Faults::default() },
    ];
    for faults in cases {
        let (relay, address) = relayed(0).await;
        let mut stream = TcpStream::connect(address).await.expect("connect");
        assert!(relay.set_faults(ROUTE, faults));
        assert_eq!(ask(&mut stream).await, None, "{faults:?}");
        assert!(relay.set_faults(ROUTE, Faults::default()));
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.expect("read after the cut healed");
        assert_eq!(&answer, b"ping", "{faults:?}");
    }
}

/// Guards against silence that ends or that reaches new connections.
#[tokio::test]
async fn silence_stays_and_concerns_open_connections_only() {
    let (relay, address) = relayed(0).await;
    let mut old = TcpStream::connect(address).await.expect("connect");
    old.write_all(b"ping").await.expect("write");
    old.read_exact(&mut [0; 4]).await.expect("read");
    relay.set_faults(ROUTE, Faults { silence_open: true, ..Faults::default() });
    relay.set_faults(ROUTE, Faults::default());
    assert_eq!(ask(&mut old).await, None);
    let mut new = TcpStream::connect(address).await.expect("connect");
    new.write_all(b"pong").await.expect("write");
    let mut answer = [0; 4];
    new.read_exact(&mut answer).await.expect("read");
    assert_eq!(&answer, b"pong");
}

/// Guards against closing too little (open connections survive) or too much
/// (new connections fail without `refuse_new`).
#[tokio::test]
async fn closing_and_refusing_are_separate() {
    let (relay, address) = relayed(0).await;
    let mut open = TcpStream::connect(address).await.expect("connect");
    open.write_all(b"ping").await.expect("write");
    open.read_exact(&mut [0; 4]).await.expect("read");
    relay.set_faults(ROUTE, Faults { close_open: true, ..Faults::default() });
    assert!(open.read_exact(&mut [0; 1]).await.is_err());
    let mut new = TcpStream::connect(address).await.expect("connect");
    new.write_all(b"pong").await.expect("write");
    new.read_exact(&mut [0; 4]).await.expect("read");
    relay.set_faults(ROUTE, Faults { refuse_new: true, ..Faults::default() });
    let mut refused = TcpStream::connect(address).await.expect("connect");
    assert!(refused.read_exact(&mut [0; 1]).await.is_err());
}
