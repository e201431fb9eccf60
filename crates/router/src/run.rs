//! Starts and stops a router.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use span_http::{Limits, Server};
use span_once::RegistryLimits;
use span_platform::PlatformClient;
use span_types::{Incarnation, Member};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{
    MintedIds, control,
    drain::{ANSWER_MARGIN, DrainPlan},
    frontend::{self, Frontend, InFlightRequest},
    settings::Settings,
};

/// The router could not be started.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// An address cannot be bound or a thread cannot be started.
    #[error("cannot bind an address or start a thread: {0}")]
    Io(#[from] io::Error),
}

/// A running router.
pub struct Router {
    server: Server,
    frontend: Arc<Frontend>,
    config_task: JoinHandle<()>,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router").field("member", &self.frontend.member).finish_non_exhaustive()
    }
}

impl Router {
    /// Address on which the router accepts callers.
    pub fn http_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Request ids minted by this router.
    pub fn minted_ids(&self) -> MintedIds {
        self.frontend.minted.clone()
    }

    /// Requests that are waiting or running.
    pub fn in_flight(&self) -> Vec<InFlightRequest> {
        self.frontend.in_flight.list()
    }

    /// Announces that the router is leaving, and starts only requests whose time limit ends
    /// before the router does. Once the lifetime of the last address handed out is over, it
    /// accepts no more connections and waits for the requests in flight. When `force` is ready,
    /// or shortly before the shutdown time limit, the remaining requests are answered with an
    /// error, and returned.
    pub async fn shutdown(self, force: impl Future<Output = ()>) -> Vec<InFlightRequest> {
        let Self { mut server, frontend, config_task } = self;
        let plan = DrainPlan::new(Instant::now(), &frontend.settings.timeouts);
        tracing::info!(in_flight = frontend.in_flight.list().len(), "leaving");
        frontend.leave(plan);
        frontend.control.start_leaving();
        let graceful = async {
            sleep_until(plan.accept_until).await;
            frontend.close();
            server.stop();
            server.stopped().await;
        };
        let forced_end = tokio::select! {
            () = graceful => None,
            () = force => Some(Instant::now() + ANSWER_MARGIN),
            () = sleep_until(plan.answer_by) => Some(plan.end),
        };
        let interrupted = match forced_end {
            Some(end) => interrupt(&frontend, &mut server, end).await,
            None => Vec::new(),
        };
        frontend.claims.flush().await;
        config_task.abort();
        frontend.control.stop();
        for request in &interrupted {
            let InFlightRequest { id, workspace, path } = request;
            tracing::warn!(%id, %workspace, path, "request cut by the shutdown");
        }
        tracing::info!(cut = interrupted.len(), "left");
        interrupted
    }
}

/// Answers the requests in flight with an error and returns them. Waits until `end` for
/// their callers, and for requests that have not been read.
async fn interrupt(frontend: &Frontend, server: &mut Server, end: Instant) -> Vec<InFlightRequest> {
    frontend.close();
    let mut interrupted = frontend.in_flight.list();
    frontend.interrupt();
    server.stop();
    if timeout_at(end, server.stopped()).await.is_err() {
        let open = frontend.in_flight.list();
        let late: Vec<_> =
            open.into_iter().filter(|request| !interrupted.contains(request)).collect();
        interrupted.extend(late);
    }
    interrupted
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
    let frontend = Frontend::new(settings, member, control, minted, platform);
    let server = serve(&frontend, listener)?;
    let config_task = tokio::spawn(apply_config_changes(Arc::clone(&frontend)));
    Ok(Router { server, frontend, config_task })
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

fn serve(frontend: &Arc<Frontend>, listener: TcpListener) -> io::Result<Server> {
    let settings = &frontend.settings;
    let limits = Limits {
        max_header_bytes: settings.limits.header_bytes,
        max_connections: settings.limits.connections,
        header_timeout_ms: settings.timeouts.header_ms,
        write_timeout_ms: settings.timeouts.write_ms,
    };
    let (serving, rejecting) = (Arc::clone(frontend), Arc::clone(frontend));
    let handler = move |request, _peer| frontend::handle(Arc::clone(&serving), request);
    let reject = move || frontend::reject_connection(&rejecting);
    span_http::serve_listener(listener, limits, handler, reject)
}

/// Rebuilds the indexes each time the control thread puts a configuration in
/// force.
async fn apply_config_changes(frontend: Arc<Frontend>) {
    let mut documents = frontend.control.watch_document();
    // The sender is dropped when the control thread ends.
    while documents.changed().await.is_ok() {
        let document = Arc::clone(&documents.borrow_and_update());
        frontend.configure(document);
    }
}
