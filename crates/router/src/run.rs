//! Starts and stops a router.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use span_http::{Limits, Server};
use span_once::RegistryLimits;
use span_platform::PlatformClient;
use span_types::{Incarnation, Member};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{
    MintedIds, control,
    front::{self, Front, InFlightRequest},
    settings::Settings,
};

/// Time in which a leaving router's peers may still hand out its address, and
/// callers' requests may still be on their way: without it, requests that were
/// sent at the end of the address lifetime met a closed connection.
const LEAVING_SPREAD_MS: u64 = 1_000;

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
    pub fn in_flight(&self) -> Vec<InFlightRequest> {
        self.front.in_flight.list()
    }

    /// Announces that the router is leaving, refuses connections once the
    /// lifetime of the last address handed out is over, and finishes what waits and runs. When `hurry`
    /// is ready or the deadline passes, what is left is ended; those requests
    /// are returned.
    pub async fn shutdown(self, hurry: impl Future<Output = ()>) -> Vec<InFlightRequest> {
        let timeouts = self.front.settings.timeouts.clone();
        tracing::info!(in_flight = self.front.in_flight.list().len(), "leaving");
        self.front.control.start_leaving();
        let Self { server, front, follower } = self;
        let drain = async {
            let handed_out_ms = timeouts.address_lifetime_ms + LEAVING_SPREAD_MS;
            tokio::time::sleep(Duration::from_millis(handed_out_ms)).await;
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
        front.control.stop();
        for request in &cut {
            let InFlightRequest { id, workspace, path } = request;
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
    let listener = TcpListener::bind(listen_address(&settings)).await?;
    let minted = MintedIds::new(member.clone(), registry_limits(&settings));
    let http_address = match settings.http_listen_address {
        Some(_) => settings.http_address,
        None => listener.local_addr()?,
    };
    let control =
        control::start(control_settings(&settings, &member, http_address, minted.clone()))?;
    let platform = PlatformClient::new(span_platform::Settings {
        call_timeout_ms: settings.timeouts.platform_ms,
        connect_timeout_ms: settings.timeouts.connect_ms,
        ..span_platform::Settings::new(settings.platform_address)
    });
    let front = Front::new(settings, member, control, minted, platform);
    let server = serve(&front, listener)?;
    let follower = tokio::spawn(follow(Arc::clone(&front)));
    Ok(Router { server, front, follower })
}

fn listen_address(settings: &Settings) -> SocketAddr {
    settings.http_listen_address.unwrap_or(settings.http_address)
}

fn registry_limits(settings: &Settings) -> RegistryLimits {
    RegistryLimits { max_entries: settings.limits.remembered_ids, ..RegistryLimits::default() }
}

fn control_settings(
    settings: &Settings,
    member: &Member,
    http_address: SocketAddr,
    minted: MintedIds,
) -> control::Settings {
    let router = span_member::Router {
        member: member.clone(),
        http_address,
        peer_address: settings.peer_address,
        failure_domain: settings.failure_domain.clone(),
        processor_millicores: 0,
    };
    control::Settings {
        listen_address: settings.peer_listen_address,
        platform_address: Some(settings.platform_address),
        policy: settings.policy,
        statsd_address: settings.statsd_address,
        budget_bytes_per_s: settings.control_budget_bytes_per_s,
        minted: Arc::new(move |id| minted.state(id)),
        ..control::Settings::new(router)
    }
}

fn serve(front: &Arc<Front>, listener: TcpListener) -> io::Result<Server> {
    let settings = &front.settings;
    let limits = Limits {
        max_header_bytes: settings.limits.header_bytes,
        max_connections: settings.limits.connections,
        header_timeout_ms: settings.timeouts.header_ms,
        write_timeout_ms: settings.timeouts.write_ms,
    };
    let (serving, refusing) = (Arc::clone(front), Arc::clone(front));
    let handler = move |request, _peer| front::handle(Arc::clone(&serving), request);
    let refuse = move || front::refuse_connection(&refusing);
    span_http::serve_listener(listener, limits, handler, refuse)
}

/// Rebuilds the indexes whenever the control thread puts a configuration in
/// force.
async fn follow(front: Arc<Front>) {
    let mut documents = front.control.watch_document();
    // The sender lives as long as the control thread.
    while documents.changed().await.is_ok() {
        let document = Arc::clone(&documents.borrow_and_update());
        front.configure(document);
    }
}
