//! Starts and stops an intent process.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use span_http::{Client, Limits, Server};
use span_platform::PlatformClient;
use tokio::{sync::Mutex, task::JoinHandle};

use crate::{api, settings::Settings, sweep};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// There are few operators. Further connections are rejected with status 503.
const MAX_CONNECTIONS: usize = 256;

/// The intent process cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// The address cannot be bound.
    #[error("cannot bind the intent address: {0}")]
    Io(#[from] io::Error),
}

/// State that all requests share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) settings: Settings,
    pub(crate) platform: PlatformClient,
    /// HTTP client for routers and engines.
    pub(crate) client: Client,
    /// Name of this process in the order lease. It is different after each start.
    pub(crate) holder: String,
    /// Held while an order runs. Orders of this instance run one after another, because
    /// they have the same holder name and would take the lease from each other.
    pub(crate) order_lock: Mutex<()>,
}

/// A running intent process.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    state: Arc<SharedState>,
    sweeper: JoinHandle<()>,
}

impl Handle {
    /// Address on which the intent API listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting connections and returns when all requests have finished, and the orders
    /// of callers that have left.
    pub async fn shutdown(self) {
        self.sweeper.abort();
        self.server.shutdown().await;
        // The lock is fair, so that orders that wait for it run before.
        drop(self.state.order_lock.lock().await);
    }

    /// Closes all connections and stops.
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
        Arc::new(SharedState { settings, platform, client, holder, order_lock: Mutex::default() });
    let limits = Limits { max_connections: MAX_CONNECTIONS, ..Limits::default() };
    let handler_state = Arc::clone(&state);
    let handler = move |request, _peer| api::handle(Arc::clone(&handler_state), request);
    let server = span_http::serve(address, limits, handler).await?;
    let sweeper = tokio::spawn(sweep::run(Arc::clone(&state)));
    Ok(Handle { server, state, sweeper })
}
