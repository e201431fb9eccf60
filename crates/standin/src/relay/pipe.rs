//! One direction of one relayed connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    sync::{mpsc, watch},
    time::Instant,
};

use super::route::State;

const READ_BYTES: usize = 16 * 1024;
/// Chunks on the way; bounds the memory of a connection whose reader is slow.
const MAX_CHUNKS: usize = 256;

/// Direction of the bytes.
#[derive(Clone, Copy, Debug)]
pub(super) enum Direction {
    ToTarget,
    ToClient,
}

/// Tells whether one direction of one connection passes bytes.
#[derive(Clone, Debug)]
pub(super) struct Switch {
    pub state: watch::Receiver<State>,
    pub number: u64,
    pub direction: Direction,
}

impl Switch {
    /// Waits until bytes pass; for ever on a silenced connection.
    async fn open(&mut self) {
        let (number, direction) = (self.number, self.direction);
        let passes = |state: &State| {
            let cut = match direction {
                Direction::ToTarget => state.faults.cut_to_target,
                Direction::ToClient => state.faults.cut_to_client,
            };
            !cut && number >= state.silent_below
        };
        if self.state.wait_for(passes).await.is_err() {
            // The route is gone; its connections stay as they are.
            std::future::pending::<()>().await;
        }
    }
}

/// Passes bytes on after `delay` until the reader's end or an error.
pub(super) async fn pass(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    delay: Duration,
    switch: Switch,
) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    tokio::join!(read_chunks(read, sender, delay), write_chunks(write, receiver, switch));
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<(Instant, Bytes)>,
    delay: Duration,
) {
    let mut buffer = BytesMut::with_capacity(READ_BYTES);
    loop {
        buffer.reserve(READ_BYTES);
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
    mut switch: Switch,
) {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        switch.open().await;
        if write.write_all(&chunk).await.is_err() {
            return;
        }
    }
    switch.open().await;
    // Fails only if the other side closed first.
    let _ = write.shutdown().await;
}
