//! The control thread owns the control state: membership, configuration, queues
//! and slots. Traffic threads send it commands.

mod admission;
mod command;
mod config;
mod counters;
mod event_loop;
mod exchange;
mod health;
mod heartbeat;
mod load_poll;
mod minted_query;
mod ownership;
mod pacer;
mod peers;
mod platform_sync;
mod server;
mod settings;
mod shards;
mod snapshot;
mod state;
mod status;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use span_config::Document;
use span_fair::Ticket;
use span_member::Router;
use span_types::{Incarnation, Member, RequestId, ServiceName, UpstreamName, WorkspaceName};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
};

use self::state::ControlState;
use command::Command;
pub use command::{
    AdmitRequest, AttemptResult, MintedState, Rejection, RouterAddress, RouterAddresses,
};
pub use counters::Counter;
pub use health::{Availability, Health};
pub use load_poll::PollState;
pub use pacer::Pacer;
pub use settings::{MintedLookup, Settings, default_budget_bytes_per_s};
pub use status::{MemberStatus, ServiceStatus, Status};

/// Handle of the traffic threads to the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    document: watch::Receiver<Arc<Document>>,
    peer_address: SocketAddr,
}

/// A slot for one request at one upstream; dropping the permit frees the slot.
#[derive(Debug)]
pub struct Permit {
    /// Upstream that the slot belongs to.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    service: ServiceName,
    ticket: Ticket,
    cost: Arc<AtomicU64>,
    result: AttemptResult,
    commands: mpsc::UnboundedSender<Command>,
}

impl Permit {
    /// Adds cost that the upstream has produced, in cost units. The next report
    /// to the shard owner includes it.
    pub fn add_cost(&mut self, cost: u64) {
        self.cost.fetch_add(cost, Ordering::Relaxed);
    }

    /// Sets the result of the attempt, which is [`AttemptResult::Abandoned`] by
    /// default.
    pub fn set_result(&mut self, result: AttemptResult) {
        self.result = result;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Fails only if the control thread has ended; it ends only when the router
        // stops.
        let _ = self.commands.send(Command::Finish {
            service: self.service.clone(),
            ticket: self.ticket,
            cost: self.cost.load(Ordering::Relaxed),
            result: self.result,
        });
    }
}

impl Handle {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the request gets no slot; it has not run.
    pub async fn admit(&self, request: AdmitRequest) -> Result<Permit, Rejection> {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.send(Command::Admit { request, reply });
        sent.map_err(|_| Rejection::ShuttingDown)?;
        answer.await.unwrap_or(Err(Rejection::ShuttingDown))
    }

    /// Router addresses for a caller of `workspace`; none if the control thread
    /// has ended.
    pub async fn addresses(&self, workspace: WorkspaceName) -> RouterAddresses {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Addresses { workspace, reply });
        answer.await.unwrap_or(RouterAddresses { addresses: Vec::new(), lifetime_ms: 0 })
    }

    /// Asks the router that minted `id` about its state.
    pub async fn query_minted_state(&self, id: RequestId) -> MintedState {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::QueryMintedState { id, reply });
        answer.await.unwrap_or(MintedState::Unknown)
    }

    /// Announces to peers and callers that this router is leaving, and hands
    /// over its shards. Waiting and running requests continue, and callers that
    /// have cached the address are still served.
    pub fn start_leaving(&self) {
        let _ = self.commands.send(Command::StartLeaving);
    }

    /// Receives the configuration in force and its later changes.
    pub fn watch_document(&self) -> watch::Receiver<Arc<Document>> {
        self.document.clone()
    }

    /// Advertised address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// A snapshot of the control state; `None` if the thread has ended.
    pub async fn status(&self) -> Option<Status> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Status(reply));
        answer.await.ok()
    }

    /// The counters as text, one per line, for `/metrics`.
    pub async fn metrics(&self) -> String {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Metrics(reply));
        answer.await.unwrap_or_default()
    }

    /// Ends the control thread and closes its connections. Waiting requests are
    /// rejected.
    pub fn stop(&self) {
        let _ = self.commands.send(Command::Stop);
    }

    /// Replaces the configuration. Has no effect once a revision was received
    /// from the platform or a peer, since a configuration never reverts.
    pub fn configure(&self, document: Arc<Document>) {
        let _ = self.commands.send(Command::Configure(document));
    }
}

/// Starts the control thread of a router without peers or platform. The
/// configuration comes from [`Handle::configure`].
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn spawn() -> io::Result<Handle> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    start(Settings::new(Router {
        member: Member { instance: "standalone".into(), incarnation: Incarnation(1) },
        http_address: loopback,
        peer_address: loopback,
        failure_domain: "standalone".into(),
        processor_millicores: 0,
    }))
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the peer address cannot be bound or the thread cannot be started.
pub fn start(mut settings: Settings) -> io::Result<Handle> {
    let listen_address = settings.listen_address.unwrap_or(settings.router.peer_address);
    let listener = std::net::TcpListener::bind(listen_address)?;
    listener.set_nonblocking(true)?;
    if settings.listen_address.is_none() {
        settings.router.peer_address = listener.local_addr()?;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let (document_sender, document) = watch::channel(Arc::default());
    let peer_address = settings.router.peer_address;
    let handle = Handle { commands: commands.clone(), document, peer_address };
    thread::Builder::new().name("control".into()).spawn(move || {
        let control = ControlState::new(settings, commands, document_sender);
        LocalSet::new().block_on(&runtime, event_loop::run(control, listener, command_receiver));
    })?;
    Ok(handle)
}
