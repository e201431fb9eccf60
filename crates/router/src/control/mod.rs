//! Control thread: owns all control state; traffic talks to it by messages.

mod command;
mod queue;

use std::{net::SocketAddr, sync::Arc, thread};

use span_config::Document;
use span_types::{RequestId, ServiceName, UpstreamName, WorkspaceName};
use tokio::sync::{mpsc, oneshot};

use command::Command;
pub use command::{AdmitRequest, AttemptEnd, EntryAddress, EntryAddresses, MintedState, Rejection};

/// Connection of the traffic threads to the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
}

/// The right to run one request on one upstream; dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    /// Upstream to use.
    pub upstream: UpstreamName,
    /// Where the upstream listens.
    pub address: SocketAddr,
    service: ServiceName,
    workspace: WorkspaceName,
    cost: u64,
    end: AttemptEnd,
    commands: mpsc::UnboundedSender<Command>,
}

impl Permit {
    /// Adds cost that the upstream has produced, in cost units.
    pub fn add_cost(&mut self, cost: u64) {
        self.cost += cost;
    }

    /// States how the attempt ended; without it, the upstream answered.
    pub fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // The control thread only ends with the process.
        let _ = self.commands.send(Command::Finish {
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            upstream: self.upstream.clone(),
            cost: self.cost,
            end: self.end,
        });
    }
}

impl Handle {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the request was given up on; it has not run.
    pub async fn admit(&self, request: AdmitRequest) -> Result<Permit, Rejection> {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.send(Command::Admit { request, reply });
        sent.map_err(|_| Rejection::ShuttingDown)?;
        answer.await.unwrap_or(Err(Rejection::ShuttingDown))
    }

    /// Addresses that a caller of `workspace` may use.
    pub async fn addresses(&self, workspace: WorkspaceName) -> EntryAddresses {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Addresses { workspace, reply });
        answer.await.unwrap_or(EntryAddresses { addresses: Vec::new(), lifetime_ms: 0 })
    }

    /// Asks the router that minted `id` what became of it.
    pub async fn ask_minted(&self, id: RequestId) -> MintedState {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::AskMinted { id, reply });
        answer.await.unwrap_or(MintedState::Unknown)
    }

    /// Announces to peers and callers that this router is leaving. Requests
    /// that wait or run go on.
    pub fn leave(&self) {
        let _ = self.commands.send(Command::Leave);
    }

    /// Replaces the configuration.
    pub fn configure(&self, document: Arc<Document>) {
        let _ = self.commands.send(Command::Configure(document));
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn spawn() -> std::io::Result<Handle> {
    let (commands, received) = mpsc::unbounded_channel();
    let handle = Handle { commands: commands.clone() };
    thread::Builder::new().name("control".into()).spawn(move || {
        let mut state = queue::State::new(commands);
        let mut received = received;
        while let Some(command) = received.blocking_recv() {
            state.handle(command);
        }
    })?;
    Ok(handle)
}
