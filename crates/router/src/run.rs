//! Starts and stops a router.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use http::Request;
use span_config::Document;
use span_http::{Client, Limits, Server, read_json};
use span_types::{Incarnation, Member};
use tokio::task::JoinHandle;

use crate::{
    MintedIds, control,
    front::{self, CutRequest, Front},
    settings::Settings,
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// The router could not be started.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// An address cannot be bound or a thread cannot be started.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// A running router.
pub struct Router {
    server: Server,
    front: Arc<Front>,
    follower: JoinHandle<()>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").field("member", &self.front.member).finish_non_exhaustive()
    }
}

impl Router {
    /// Address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ids minted here, for the control thread's answers to peers.
    pub fn minted_ids(&self) -> MintedIds {
        self.front.minted.clone()
    }

    /// Requests that wait or run.
    pub fn in_flight(&self) -> Vec<CutRequest> {
        self.front.in_flight.list()
    }

    /// Announces that the router is leaving, refuses connections once the
    /// address lifetime is over, and finishes what waits and runs. When `hurry`
    /// is ready or the deadline passes, what is left is ended; those requests
    /// are returned.
    pub async fn shutdown(self, hurry: impl Future<Output = ()>) -> Vec<CutRequest> {
        let timeouts = self.front.settings.timeouts.clone();
        tracing::info!(in_flight = self.front.in_flight.list().len(), "leaving");
        self.front.control.leave();
        let Self { server, front, follower } = self;
        let drain = async {
            tokio::time::sleep(Duration::from_millis(timeouts.address_lifetime_ms)).await;
            front.close();
            server.shutdown().await;
        };
        let deadline = tokio::time::sleep(Duration::from_millis(timeouts.shutdown_ms));
        let cut = tokio::select! {
            () = drain => Vec::new(),
            () = hurry => front.in_flight.list(),
            () = deadline => front.in_flight.list(),
        };
        follower.abort();
        for request in &cut {
            let CutRequest { id, workspace, path } = request;
            tracing::warn!(%id, %workspace, path, "request cut by the shutdown");
        }
        tracing::info!(cut = cut.len(), "left");
        cut
    }
}

/// Starts a router.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub async fn spawn(settings: Settings) -> Result<Router, SpawnError> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(incarnation.as_micros()).unwrap_or(u64::MAX));
    let member = Member { instance: settings.instance.clone(), incarnation };
    let front = Front::new(settings, member, control::spawn()?);
    let server = bind(&front).await?;
    let follower = tokio::spawn(follow(Arc::clone(&front)));
    Ok(Router { server, front, follower })
}

async fn bind(front: &Arc<Front>) -> io::Result<Server> {
    let settings = &front.settings;
    let limits = Limits {
        header_bytes: settings.limits.header_bytes,
        connections: settings.limits.connections,
        header_timeout_ms: settings.timeouts.header_ms,
        write_timeout_ms: settings.timeouts.write_ms,
    };
    let (serving, refusing) = (Arc::clone(front), Arc::clone(front));
    let handler = move |request, _peer| front::handle(Arc::clone(&serving), request);
    let refuse = move || front::refuse_connection(&refusing);
    span_http::bind_with(settings.http_address, limits, handler, refuse).await
}

async fn follow(front: Arc<Front>) {
    let mut current = Arc::<Document>::default();
    loop {
        let fetched = fetch(&front.client, front.settings.platform_address).await;
        if let Some(document) = fetched.filter(|document| *document != *current) {
            current = Arc::new(document);
            front.configure(Arc::clone(&current));
            front.control.configure(Arc::clone(&current));
            tracing::info!(workspaces = current.workspaces.len(), "configuration in force");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn fetch(client: &Client, platform: SocketAddr) -> Option<Document> {
    let uri = format!("http://{platform}/objects/config/current");
    let request = Request::get(uri).body(span_http::empty()).ok()?;
    let answer = client.request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    read_json(answer.into_body(), MAX_DOCUMENT_BYTES).await.ok()
}
