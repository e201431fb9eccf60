//! Tests of the relay with a client and an echo server.

use std::{net::SocketAddr, time::Duration};

use span_standin::relay::{self, Faults, Relay, RouteSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
const ROUTE_NAME: &str = "route";
/// Time without an answer after which a test considers a connection silent. No
/// test requires an answer to arrive within this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK_ANY_PORT).await.expect("bind");
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

async fn start_relay(delay_us: u64) -> (Relay, SocketAddr) {
    let relay = relay::bind(LOOPBACK_ANY_PORT.parse().expect("address")).await.expect("bind");
    let settings = RouteSettings {
        name: ROUTE_NAME.into(),
        listen: LOOPBACK_ANY_PORT.parse().expect("address"),
        target: start_echo_server().await,
        delay_us,
    };
    let address = relay.add_route(settings).await.expect("route");
    (relay, address)
}

async fn ping(stream: &mut TcpStream) -> Option<[u8; 4]> {
    let mut answer = [0; 4];
    stream.write_all(b"ping").await.ok()?;
    let read = timeout(SILENCE_TIMEOUT, stream.read_exact(&mut answer)).await;
    read.ok()?.ok()?;
    Some(answer)
}

/// Guards against a relay that reorders or loses bytes, or does not delay them.
#[tokio::test]
async fn bytes_arrive_complete_and_delayed() {
    let (_relay, address) = start_relay(5_000).await;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let sent: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();
    let started = tokio::time::Instant::now();
    let (mut read, mut write) = stream.split();
    let mut received = vec![0; sent.len()];
    let (written, read_result) =
        tokio::join!(write.write_all(&sent), read.read_exact(&mut received));
    written.expect("write");
    read_result.expect("read");
    assert_eq!(received, sent);
    // Only a lower bound: the relay sets the delay, but the machine may add to it.
    assert!(started.elapsed() >= Duration::from_millis(10));
}

/// Guards against cuts that let bytes through or lose them, in each direction and
/// in both.
#[tokio::test]
async fn cut_direction_delivers_bytes_after_the_cut_ends() {
    let cases = [
        Faults { cut_to_target: true, ..Faults::default() },
        Faults { cut_to_client: true, ..Faults::default() },
        Faults { cut_to_target: true, cut_to_client: true, ..Faults::default() },
    ];
    for faults in cases {
        let (relay, address) = start_relay(0).await;
        let mut stream = TcpStream::connect(address).await.expect("connect");
        assert!(relay.set_faults(ROUTE_NAME, faults));
        assert_eq!(ping(&mut stream).await, None, "{faults:?}");
        assert!(relay.set_faults(ROUTE_NAME, Faults::default()));
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.expect("read after the cut ended");
        assert_eq!(&answer, b"ping", "{faults:?}");
    }
}

/// Guards against silence that ends or that also affects new connections.
#[tokio::test]
async fn silence_is_permanent_and_spares_new_connections() {
    let (relay, address) = start_relay(0).await;
    let mut old = TcpStream::connect(address).await.expect("connect");
    old.write_all(b"ping").await.expect("write");
    old.read_exact(&mut [0; 4]).await.expect("read");
    relay.set_faults(ROUTE_NAME, Faults { silence_open: true, ..Faults::default() });
    relay.set_faults(ROUTE_NAME, Faults::default());
    assert_eq!(ping(&mut old).await, None);
    let mut new = TcpStream::connect(address).await.expect("connect");
    new.write_all(b"pong").await.expect("write");
    let mut answer = [0; 4];
    new.read_exact(&mut answer).await.expect("read");
    assert_eq!(&answer, b"pong");
}

/// Guards against open connections that survive `close_open`, and against new
/// connections that fail without `refuse_new`.
#[tokio::test]
async fn close_open_and_refuse_new_are_independent() {
    let (relay, address) = start_relay(0).await;
    let mut open = TcpStream::connect(address).await.expect("connect");
    open.write_all(b"ping").await.expect("write");
    open.read_exact(&mut [0; 4]).await.expect("read");
    relay.set_faults(ROUTE_NAME, Faults { close_open: true, ..Faults::default() });
    assert!(open.read_exact(&mut [0; 1]).await.is_err());
    let mut new = TcpStream::connect(address).await.expect("connect");
    new.write_all(b"pong").await.expect("write");
    new.read_exact(&mut [0; 4]).await.expect("read");
    relay.set_faults(ROUTE_NAME, Faults { refuse_new: true, ..Faults::default() });
    let mut refused = TcpStream::connect(address).await.expect("connect");
    assert!(refused.read_exact(&mut [0; 1]).await.is_err());
}
