//! TCP relay that can drop the bytes of a connection without closing it.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Which connections a relay forwards.
#[derive(Clone, Copy, Debug, Default)]
struct RelayMode {
    /// Connections of earlier generations drop all bytes.
    generation: u64,
    /// Whether all connections drop all bytes.
    partitioned: bool,
}

/// Forwards connections to one router.
pub struct Relay {
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind failed");
        let address = listener.local_addr().expect("bind failed");
        let (mode, modes) = watch::channel(RelayMode::default());
        tokio::spawn(accept(listener, target, modes));
        Self { address, mode }
    }

    /// Drops all bytes of the open connections; new ones work.
    pub fn silence_open_connections(&self) {
        self.mode.send_modify(|mode| mode.generation += 1);
    }

    /// Drops the bytes of all connections, or lets new ones work again.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.mode
            .send_modify(|mode| *mode = RelayMode { generation: mode.generation + 1, partitioned });
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, modes: watch::Receiver<RelayMode>) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(target).await else { continue };
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let generation = modes.borrow().generation;
        tokio::spawn(copy(client_read, server_write, generation, modes.clone()));
        tokio::spawn(copy(server_read, client_write, generation, modes.clone()));
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    generation: u64,
    modes: watch::Receiver<RelayMode>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let mode = *modes.borrow();
        let passes = !mode.partitioned && mode.generation == generation;
        if passes && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
