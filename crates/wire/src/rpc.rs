//! Cap'n Proto RPC connection between two routers. Both sides can make calls.

use capnp::{capability::FromClientHook, message::ReaderOptions};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{CountingStream, compress_halves, peer_capnp::peer};

/// Largest message, in words of 8 bytes. A configuration document is at most
/// 1 MB. A peer that declares a larger message is disconnected before memory is
/// allocated for it.
const MAX_MESSAGE_WORDS: usize = 512 * 1024;
/// Deepest nesting of a message. The schema needs fewer than 10 levels.
const MAX_NESTING_LEVELS: i32 = 24;

/// An RPC connection to a peer. It makes progress only while `rpc_system` is
/// polled.
pub struct RpcConnection {
    /// Client for calls to the peer.
    pub peer: peer::Client,
    /// Future that drives the connection; completes when it is closed or fails.
    pub rpc_system: RpcSystem<Side>,
}

/// Starts Cap'n Proto RPC, compressed, over the halves of a stream.
/// `local` answers the peer's calls. `is_opener` tells whether this side opened
/// the stream: that side has the protocol's client role, but both can call.
pub fn start_rpc<R, W>(
    read: CountingStream<R>,
    write: CountingStream<W>,
    local: peer::Client,
    is_opener: bool,
) -> RpcConnection
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let (read, write) = compress_halves(read, write);
    let (side, remote) =
        if is_opener { (Side::Client, Side::Server) } else { (Side::Server, Side::Client) };
    let network = VatNetwork::new(read.compat(), write.compat_write(), side, reader_options());
    let mut rpc_system = RpcSystem::new(Box::new(network), Some(local.clone().client));
    let peer: peer::Client =
        FromClientHook::new(rpc_system.bootstrap::<peer::Client>(remote).into_client_hook());
    RpcConnection { peer, rpc_system }
}

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options.nesting_limit(MAX_NESTING_LEVELS);
    options
}
