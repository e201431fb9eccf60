//! Peer connections: bytes per message, and invalid input from a peer.

mod common;

use std::rc::Rc;

use span_wire::{
    ByteCounts, CountingStream, RpcConnection, peer_capnp::peer, read_heartbeat, read_reports,
    start_rpc, write_allocation_replies, write_heartbeat, write_reports,
};
use tokio::{
    io::{AsyncWriteExt, DuplexStream, duplex, split},
    task::LocalSet,
};

const PIPE_BYTES: usize = 1 << 20;
const WORKSPACES: u32 = 16;
const UPSTREAMS: u32 = 18;

/// Answers each call with a sample message.
struct SampleServer;

impl peer::Server for SampleServer {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = read_heartbeat(params.get()?.get_beat()?)?;
        write_heartbeat(results.get().init_beat(), &beat);
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let reports = read_reports(params.get()?.get_reports()?)?;
        let round = reports[0].applied_seq as u32;
        let mut allocations = [common::allocation(WORKSPACES, UPSTREAMS, round)];
        allocations[0].standings = common::reply_standings(&reports[0], round);
        write_allocation_replies(results.get().init_allocations(1), &allocations, &reports);
        Ok(())
    }
}

fn connect(stream: DuplexStream, counts: &ByteCounts, is_opener: bool) -> RpcConnection {
    let (read, write) = split(stream);
    let read = CountingStream::new(read, counts.clone(), None);
    let write = CountingStream::new(write, counts.clone(), None);
    start_rpc(read, write, capnp_rpc::new_client(SampleServer), is_opener)
}

async fn send_heartbeat(peer: &peer::Client, revision: u64) {
    let mut request = peer.heartbeat_request();
    write_heartbeat(request.get().init_beat(), &common::heartbeat(revision));
    let answer = request.send().promise.await.expect("answer");
    let beat = answer.get().and_then(|answer| answer.get_beat()).expect("beat");
    assert_eq!(read_heartbeat(beat).expect("valid").revision.0, revision);
}

async fn send_report(peer: &peer::Client, round: u32) {
    let mut request = peer.exchange_request();
    let reports = [common::report(WORKSPACES, UPSTREAMS, round)];
    write_reports(request.get().init_reports(1), &reports);
    request.send().promise.await.expect("answer");
}

/// Number of bytes sent and received for a call. Yields to other tasks first,
/// because the message that releases the answer follows the call.
async fn bytes_of_call(counts: &ByteCounts, call: impl Future<Output = ()>) -> u64 {
    let before = counts.total();
    call.await;
    for _ in 0..16 {
        tokio::task::yield_now().await;
    }
    counts.total() - before
}

/// Bytes of calls, sent plus received.
#[derive(Debug, PartialEq, Eq)]
struct CallBytes {
    first_heartbeat: u64,
    later_heartbeat: u64,
    first_exchange: u64,
    later_exchanges: u64,
}

async fn measure() -> CallBytes {
    let (near, far) = duplex(PIPE_BYTES);
    let counts = ByteCounts::default();
    let near = connect(near, &counts, true);
    let far = connect(far, &ByteCounts::default(), false);
    tokio::task::spawn_local(near.rpc_system);
    tokio::task::spawn_local(far.rpc_system);
    let peer = near.peer;
    let first_heartbeat = bytes_of_call(&counts, send_heartbeat(&peer, 1)).await;
    bytes_of_call(&counts, send_heartbeat(&peer, 2)).await;
    let later_heartbeat = bytes_of_call(&counts, send_heartbeat(&peer, 3)).await;
    let first_exchange = bytes_of_call(&counts, send_report(&peer, 1)).await;
    let mut later_exchanges = 0;
    for round in 2..12 {
        later_exchanges += bytes_of_call(&counts, send_report(&peer, round)).await;
    }
    CallBytes { first_heartbeat, later_heartbeat, first_exchange, later_exchanges }
}

/// Guards against a change of the schema or the compression that makes messages
/// larger unnoticed. The exchange is that of a busy model service: 16 workspaces
/// and 18 upstreams whose numbers all change.
#[tokio::test]
async fn bytes_per_message() {
    let measured = LocalSet::new().run_until(measure()).await;
    let expected = CallBytes {
        first_heartbeat: 494,
        later_heartbeat: 49,
        first_exchange: 784,
        later_exchanges: 2_219,
    };
    assert_eq!(measured, expected);
}

/// Guards against a connection that hangs or panics when the peer sends another
/// protocol or closes the stream early.
#[tokio::test]
async fn invalid_input_ends_connection() {
    let cases: [&[u8]; 4] = [b"", b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0x4b, 0x04, 0x00]];
    for input in cases {
        let (near, mut far) = duplex(PIPE_BYTES);
        let near = connect(near, &ByteCounts::default(), false);
        LocalSet::new()
            .run_until(async move {
                far.write_all(input).await.expect("written");
                far.shutdown().await.expect("closed");
                // Depending on the input, this ends with an error or without.
                let _ = near.rpc_system.await;
            })
            .await;
    }
}

/// Guards against a small compressed message that exhausts memory when it is
/// decompressed: it declares 64 MiB. The sender keeps the stream open, so the
/// connection ends only because the receiver rejects the message.
#[tokio::test]
async fn oversized_message_is_rejected() {
    let (near, far) = duplex(PIPE_BYTES);
    let near = connect(near, &ByteCounts::default(), false);
    let (_, mut far) = span_wire::compress_halves(tokio::io::empty(), far);
    let words: u32 = 8 * 1024 * 1024;
    let mut header = vec![0; 4];
    header.extend(words.to_le_bytes());
    far.write_all(&header).await.expect("written");
    far.flush().await.expect("flushed");
    // Ends without an error: the peer is sent the reason, then disconnected.
    let _ = LocalSet::new().run_until(near.rpc_system).await;
    drop(far);
}
