//! Requests in arrival order per service, each to the least used upstream.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use span_config::Document;
use span_types::{ServiceName, UpstreamName};
use tokio::sync::{mpsc, oneshot};

use super::{
    AdmitRequest, AttemptEnd, EntryAddresses, MintedState, Permit, Rejection, command::Command,
};

type Reply = oneshot::Sender<Result<Permit, Rejection>>;

/// State of the control thread.
pub(super) struct State {
    commands: mpsc::UnboundedSender<Command>,
    document: Arc<Document>,
    waiting: HashMap<ServiceName, VecDeque<(AdmitRequest, Reply)>>,
    in_flight: HashMap<UpstreamName, u32>,
    leaving: bool,
}

impl State {
    pub(super) fn new(commands: mpsc::UnboundedSender<Command>) -> Self {
        Self {
            commands,
            document: Arc::default(),
            waiting: HashMap::new(),
            in_flight: HashMap::new(),
            leaving: false,
        }
    }

    pub(super) fn handle(&mut self, command: Command) {
        match command {
            Command::Admit { reply, .. } if self.leaving => {
                let _ = reply.send(Err(Rejection::ShuttingDown));
            }
            Command::Admit { request, reply } => {
                let service = request.service.clone();
                self.waiting.entry(service.clone()).or_default().push_back((request, reply));
                self.dispatch(&service);
            }
            Command::Finish { service, workspace, upstream, cost, end } => {
                tracing::trace!(%workspace, cost, ?end, "request finished");
                if let Some(in_flight) = self.in_flight.get_mut(&upstream) {
                    *in_flight -= 1;
                }
                self.dispatch(&service);
            }
            Command::Addresses { reply, .. } => {
                let _ = reply.send(EntryAddresses { addresses: Vec::new(), lifetime_ms: 0 });
            }
            Command::AskMinted { reply, .. } => {
                let _ = reply.send(MintedState::Unknown);
            }
            Command::Leave => self.leaving = true,
            Command::Configure(document) => {
                self.document = document;
                for service in self.waiting.keys().cloned().collect::<Vec<_>>() {
                    self.dispatch(&service);
                }
            }
        }
    }

    fn dispatch(&mut self, service: &ServiceName) {
        let Some(waiting) = self.waiting.get_mut(service) else {
            return;
        };
        let document = Arc::clone(&self.document);
        while let Some((request, reply)) = waiting.pop_front() {
            let all = document.upstreams.iter().filter(|(_, up)| up.service == *service);
            let Some((name, upstream)) = all.min_by_key(|(name, _)| {
                let avoided = request.avoid.contains(name);
                (avoided, self.in_flight.get(*name).copied().unwrap_or(0))
            }) else {
                let _ = reply.send(Err(Rejection::NoUpstream));
                continue;
            };
            let in_flight = self.in_flight.entry(name.clone()).or_default();
            if *in_flight >= upstream.max_concurrency {
                waiting.push_front((request, reply));
                return;
            }
            *in_flight += 1;
            let permit = Permit {
                upstream: name.clone(),
                address: upstream.address,
                service: service.clone(),
                workspace: request.workspace,
                cost: 0,
                end: AttemptEnd::default(),
                commands: self.commands.clone(),
            };
            // A caller that is gone drops the permit, which frees the slot.
            let _ = reply.send(Ok(permit));
        }
    }
}
