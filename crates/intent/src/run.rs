//! Starts and stops an intent process.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use span_http::{Client, Limits, Server};
use span_platform::PlatformClient;
use tokio::{sync::Mutex, task::JoinHandle};

use crate::{api, settings::Settings, sweep};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Operators are few; further connections are refused with status 503.
const MAX_CONNECTIONS: usize = 256;

/// The process could not be started.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// The address cannot be bound.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// Shared by all requests.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) platform: PlatformClient,
    /// For routers and engines.
    pub(crate) client: Client,
    /// Names this process in the order lease; differs after each start.
    pub(crate) holder: String,
    /// Orders of this instance run one after another, because they would
    /// otherwise take the lease from each other.
    pub(crate) order_turn: Mutex<()>,
}

/// A running intent process.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    sweeper: JoinHandle<()>,
}

impl Handle {
    /// Address for operators.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting, finishes what is in flight, then returns.
    pub async fn shutdown(self) {
        self.sweeper.abort();
        self.server.shutdown().await;
    }

    /// Drops all connections and stops.
    pub fn abort(self) {
        self.sweeper.abort();
        self.server.abort();
    }
}

/// Starts an intent process.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, SpawnError> {
    let platform = PlatformClient::new(span_platform::Settings {
        call_timeout_ms: settings.platform_timeout_ms,
        ..span_platform::Settings::new(settings.platform_address)
    });
    let address = settings.intent_address;
    let client = span_http::pooled_client(CONNECT_TIMEOUT);
    let holder = format!("{}@{:x}", settings.instance, rand::random::<u64>());
    let state =
        Arc::new(State { settings, platform, client, holder, order_turn: Mutex::default() });
    let limits = Limits { max_connections: MAX_CONNECTIONS, ..Limits::default() };
    let swept = Arc::clone(&state);
    let handler = move |request, _peer| api::handle(Arc::clone(&state), request);
    let server = span_http::serve(address, limits, handler).await?;
    let sweeper = tokio::spawn(sweep::run(swept));
    Ok(Handle { server, sweeper })
}
