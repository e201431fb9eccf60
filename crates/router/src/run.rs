//! Starts and stops a router.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use span_config::{CURRENT_KEY, Current};
use span_http::{Limits, Server};
use span_platform::Platform;
use span_types::{Incarnation, Member};
use tokio::task::JoinHandle;

use crate::{
    MintedIds, control,
    front::{self, CutRequest, Front},
    settings::Settings,
};

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
    let platform = Platform::new(span_platform::Settings {
        call_timeout_ms: settings.timeouts.platform_ms,
        connect_timeout_ms: settings.timeouts.connect_ms,
        ..span_platform::Settings::new(settings.platform_address)
    });
    let front = Front::new(settings, member, control::spawn()?, &platform);
    let server = bind(&front).await?;
    let follower = tokio::spawn(follow(Arc::clone(&front), platform));
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

/// Follows the accepted configuration. Only a higher revision replaces the one
/// in force, so that a late read never takes a change back.
async fn follow(front: Arc<Front>, platform: Platform) {
    let mut watch = platform.watch(CURRENT_KEY, 0);
    loop {
        let object = watch.next().await;
        match Current::decode(object.version, &object.value) {
            Ok(current) => configure(&front, current),
            Err(error) => tracing::warn!(version = object.version, %error, "configuration refused"),
        }
    }
}

fn configure(front: &Front, current: Current) {
    let revision = current.revision;
    let document = Arc::new(current.stored.document);
    front.configure(Arc::clone(&document));
    front.control.configure(document);
    tracing::info!(%revision, "configuration in force");
}
