//! A request's place and upstream, given back when it ends however it ends.

use std::rc::Rc;

use futures::channel::oneshot;
use span_types::{ServiceName, UpstreamName};

use crate::{
    node::Node, placement::Chosen, state::Place, upstream_load::AttemptResult,
    wire_format::WorkEstimate,
};

/// A request that waits for a place. Dropping it gives up the wait.
pub(crate) struct Wait {
    node: Rc<Node>,
    service: ServiceName,
    place: Place,
    start: oneshot::Receiver<Chosen>,
    own_tokens: u64,
    done: bool,
}

impl Wait {
    pub(crate) fn new(
        node: &Rc<Node>,
        service: &ServiceName,
        place: Place,
        start: oneshot::Receiver<Chosen>,
        own_tokens: u64,
    ) -> Self {
        let (node, service) = (node.clone(), service.clone());
        Self { node, service, place, start, own_tokens, done: false }
    }

    /// Waits until the request starts; `None` if `until_ms` passes first or
    /// the workspace is gone.
    pub(crate) async fn started(mut self, until_ms: u64) -> Option<Flight> {
        let until = self.node.clock.instant(until_ms);
        let start = tokio::time::timeout_at(until, &mut self.start).await;
        let chosen = match start {
            Ok(Ok(chosen)) => chosen,
            // The wait is given up when this is dropped.
            Ok(Err(_)) | Err(_) => return None,
        };
        self.done = true;
        Some(Flight {
            node: self.node.clone(),
            service: self.service.clone(),
            chosen: Some(chosen),
            unread_tokens: self.own_tokens,
        })
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if self.done || self.node.cancel(&self.service, self.place) {
            return;
        }
        // It started while the caller left.
        if let Ok(Some(Chosen { upstream, .. })) = self.start.try_recv() {
            self.node.read(&self.service, &upstream, self.own_tokens);
            self.node.ended(&self.service, &upstream, AttemptResult::Unknown);
            self.node.pump(&self.service);
        }
    }
}

/// A request that has a place and, most of the time, an upstream.
pub(crate) struct Flight {
    node: Rc<Node>,
    service: ServiceName,
    chosen: Option<Chosen>,
    /// Prompt tokens that the upstream has still to read.
    unread_tokens: u64,
}

impl Flight {
    /// Notes that the upstream has read the prompt, or never will.
    pub(crate) fn read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(chosen) = self.chosen.as_ref().filter(|_| tokens > 0) {
            self.node.read(&self.service, &chosen.upstream, tokens);
        }
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(crate) fn upstream(&self) -> Option<&UpstreamName> {
        self.chosen.as_ref().map(|chosen| &chosen.upstream)
    }

    /// Requests at the upstream when it was chosen, and the age of the report
    /// that says so, in milliseconds.
    pub(crate) fn load(&self) -> Option<(u32, Option<u64>)> {
        self.chosen.as_ref().map(|chosen| (chosen.requests, chosen.report_age_ms))
    }

    /// Another upstream that is likely to hold the shared part of the prompt.
    pub(crate) fn holder(&self) -> Option<&UpstreamName> {
        self.chosen.as_ref().and_then(|chosen| chosen.holder.as_ref())
    }

    /// Ends the attempt at the present upstream.
    pub(crate) fn judge(&mut self, result: AttemptResult) {
        self.read();
        if let Some(chosen) = self.chosen.take() {
            self.node.ended(&self.service, &chosen.upstream, result);
        }
    }

    /// Goes on at another upstream, if there is one.
    pub(crate) fn move_on(
        &mut self,
        work: &WorkEstimate,
        avoid: &[UpstreamName],
    ) -> Option<UpstreamName> {
        self.judge(AttemptResult::Unknown);
        self.chosen = self.node.choose_again(&self.service, work, avoid);
        self.unread_tokens = work.own_tokens();
        self.upstream().cloned()
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.judge(AttemptResult::Unknown);
        self.node.pump(&self.service);
    }
}
