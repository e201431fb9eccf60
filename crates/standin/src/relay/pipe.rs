//! Forwards one direction of a relayed connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::{mpsc, watch},
    time::Instant,
};

use super::route::RouteState;

const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of chunks in transit; limits the memory of a connection whose
/// receiver is slow.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug)]
pub(super) enum Direction {
    ToTarget,
    ToClient,
}

/// Lets bytes through in one direction of one connection unless a fault blocks
/// them.
#[derive(Clone, Debug)]
pub(super) struct DirectionGate {
    pub state: watch::Receiver<RouteState>,
    pub connection: u64,
    pub direction: Direction,
}

impl DirectionGate {
    /// Waits until bytes may pass. Never returns on a silenced connection.
    async fn wait_until_open(&mut self) {
        let (connection, direction) = (self.connection, self.direction);
        let is_open = |state: &RouteState| {
            let is_cut = match direction {
                Direction::ToTarget => state.faults.cut_to_target,
                Direction::ToClient => state.faults.cut_to_client,
            };
            !is_cut && connection >= state.silenced_before
        };
        if self.state.wait_for(is_open).await.is_err() {
            // The route was dropped, so the fault stays active.
            std::future::pending::<()>().await;
        }
    }
}

/// Forwards bytes with `delay` until `read` ends or an error occurs.
pub(super) async fn forward(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    delay: Duration,
    gate: DirectionGate,
) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::join!(read_chunks(read, sender, delay), write_chunks(write, receiver, gate));
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, Bytes)>,
    delay: Duration,
) {
    let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        let count = tokio::select! {
            count = read.read_buf(&mut buffer) => count.unwrap_or(0),
            () = sender.closed() => 0,
        };
        if count == 0 {
            return;
        }
        if sender.send((Instant::now() + delay, buffer.split().freeze())).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut gate: DirectionGate,
) {
    while let Some((deliver_at, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(deliver_at).await;
        gate.wait_until_open().await;
        if write.write_all(&chunk).await.is_err() {
            return;
        }
    }
    gate.wait_until_open().await;
    // Fails only if the other side closed first.
    let _ = write.shutdown().await;
}
