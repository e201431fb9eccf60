//! A capnp-rpc connection between two routers, usable from both sides.

use capnp::{capability::FromClientHook, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{CountingStream, compress_halves, peer_capnp::peer};

/// Largest message, in words of 8 bytes. A configuration document is at most
/// 1 MB; a peer that declares more is disconnected before memory is taken.
const MAX_MESSAGE_WORDS: usize = 512 * 1024;
/// Deepest nesting; the schema needs fewer than 10 levels.
const MAX_NESTING: i32 = 24;

/// A connection to another router. It works while `rpc_system` is polled.
pub struct RpcConnection {
    /// Calls the other router.
    pub peer: peer::Client,
    /// Carries the connection; ends when it closes or fails.
    pub rpc_system: RpcSystem<Side>,
}

/// Starts capnp-rpc over the halves of a stream. `local` answers the other
/// router's calls. The side that opened the stream is the client; both sides
/// can call.
pub fn start_rpc<R, W>(
    read: CountingStream<R>,
    write: CountingStream<W>,
    local: peer::Client,
    opened: bool,
) -> RpcConnection
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let (read, write) = compress_halves(read, write);
    let (side, remote) =
        if opened { (Side::Client, Side::Server) } else { (Side::Server, Side::Client) };
    let network = VatNetwork::new(read.compat(), write.compat_write(), side, reader_options());
    let mut rpc_system = RpcSystem::new(Box::new(network), Some(local.clone().client));
    let peer: peer::Client =
        FromClientHook::new(rpc_system.bootstrap::<peer::Client>(remote).into_client_hook());
    RpcConnection { peer, rpc_system }
}

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options.nesting_limit(MAX_NESTING);
    options
}
