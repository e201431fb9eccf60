//! Peer streams: bytes per message, and peers that send rubbish.

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
struct Sample;

impl peer::Server for Sample {
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
        allocations[0].standings = common::answered(&reports[0], round);
        write_allocation_replies(results.get().init_allocations(1), &allocations, &reports);
        Ok(())
    }
}

fn link(stream: DuplexStream, counts: &ByteCounts, opened: bool) -> RpcConnection {
    let (read, write) = split(stream);
    let read = CountingStream::new(read, counts.clone(), None);
    let write = CountingStream::new(write, counts.clone(), None);
    start_rpc(read, write, capnp_rpc::new_client(Sample), opened)
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

/// Bytes that a call has cost, sent plus received. The release of the answer
/// follows the call, so other tasks run first.
async fn cost_of(counts: &ByteCounts, call: impl Future<Output = ()>) -> u64 {
    let before = counts.total();
    call.await;
    for _ in 0..16 {
        tokio::task::yield_now().await;
    }
    counts.total() - before
}

#[derive(Debug, PartialEq, Eq)]
struct Costs {
    first_heartbeat: u64,
    later_heartbeat: u64,
    first_exchange: u64,
    later_exchanges: u64,
}

async fn measure() -> Costs {
    let (near, far) = duplex(PIPE_BYTES);
    let counts = ByteCounts::default();
    let near = link(near, &counts, true);
    let far = link(far, &ByteCounts::default(), false);
    tokio::task::spawn_local(near.rpc_system);
    tokio::task::spawn_local(far.rpc_system);
    let peer = near.peer;
    let first_heartbeat = cost_of(&counts, send_heartbeat(&peer, 1)).await;
    cost_of(&counts, send_heartbeat(&peer, 2)).await;
    let later_heartbeat = cost_of(&counts, send_heartbeat(&peer, 3)).await;
    let first_exchange = cost_of(&counts, send_report(&peer, 1)).await;
    let mut later_exchanges = 0;
    for round in 2..12 {
        later_exchanges += cost_of(&counts, send_report(&peer, round)).await;
    }
    Costs { first_heartbeat, later_heartbeat, first_exchange, later_exchanges }
}

/// Guards against a change of schema or stream that makes messages larger
/// unnoticed. The exchange is one of a full model service: 16 workspaces and
/// 18 upstreams, of which all numbers change.
#[tokio::test]
async fn bytes_per_message() {
    let costs = LocalSet::new().run_until(measure()).await;
    let expected = Costs {
        first_heartbeat: 494,
        later_heartbeat: 49,
        first_exchange: 784,
        later_exchanges: 2_219,
    };
    assert_eq!(costs, expected);
}

/// Guards against a connection that hangs, or stops the process, when the
/// other side sends something else or breaks off.
#[tokio::test]
async fn rubbish_ends_the_connection() {
    let cases: [&[u8]; 4] = [b"", b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0x4b, 0x04, 0x00]];
    for rubbish in cases {
        let (near, mut far) = duplex(PIPE_BYTES);
        let near = link(near, &ByteCounts::default(), false);
        LocalSet::new()
            .run_until(async move {
                far.write_all(rubbish).await.expect("written");
                far.shutdown().await.expect("closed");
                // The result is an error or an end, depending on the bytes.
                let _ = near.rpc_system.await;
            })
            .await;
    }
}

/// Guards against a small compressed message that takes all memory when it is
/// inflated: 64 MiB are declared as one message. The sender keeps the stream
/// open, so the connection only ends because the receiver refuses.
#[tokio::test]
async fn oversized_message_is_refused() {
    let (near, far) = duplex(PIPE_BYTES);
    let near = link(near, &ByteCounts::default(), false);
    let (_, mut far) = span_wire::compress_halves(tokio::io::empty(), far);
    let words: u32 = 8 * 1024 * 1024;
    let mut head = vec![0; 4];
    head.extend(words.to_le_bytes());
    far.write_all(&head).await.expect("written");
    far.flush().await.expect("flushed");
    // Ends without an error: the peer is told why, then disconnected.
    let _ = LocalSet::new().run_until(near.rpc_system).await;
    drop(far);
}
