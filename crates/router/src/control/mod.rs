//! Control thread: owns all control state; traffic talks to it by messages.

mod command;
mod queue;

use std::{net::SocketAddr, sync::Arc, thread};

use span_config::Document;
use span_types::{ServiceName, UpstreamName, WorkspaceName};
use tokio::sync::{mpsc, oneshot};

use command::Command;
pub use command::{AdmitRequest, Rejection};

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
    commands: mpsc::UnboundedSender<Command>,
}

impl Permit {
    /// Adds cost that the upstream has produced, in cost units.
    pub fn add_cost(&mut self, cost: u64) {
        self.cost += cost;
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
    let handle = Handle {
        commands: commands.clone(),
    };
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let mut state = queue::State::new(commands);
            let mut received = received;
            while let Some(command) = received.blocking_recv() {
                state.handle(command);
            }
        })?;
    Ok(handle)
}
