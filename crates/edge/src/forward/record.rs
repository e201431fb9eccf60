//! The log line and the counts of one request.

use std::{rc::Rc, sync::Arc};

use span_types::UpstreamName;
use tracing::info;

use crate::{
    admission::Rejection,
    metrics::{Counter, Timing},
    node::Node,
};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// The answer of an upstream was passed on whole.
    Answered,
    /// The failure of an upstream was passed on.
    UpstreamFailure,
    /// It did not run.
    Refused,
    /// The configuration does not allow it.
    Denied,
    /// It may have run, and the answer is lost or late.
    Failed,
    /// The caller left.
    Abandoned,
}

/// What the log says about a request. Written once, when it is dropped.
pub(crate) struct Record {
    node: Rc<Node>,
    arrived_ms: u64,
    pub(crate) id: String,
    pub(crate) route: Option<Arc<str>>,
    pub(crate) workspace: Option<String>,
    pub(crate) upstream: Option<String>,
    pub(crate) config_version: u64,
    pub(crate) attempts: u32,
    /// Requests at the upstream when it was chosen, and the age of the report
    /// that says so.
    load: Option<(u32, Option<u64>)>,
    /// What decided a rejection.
    pub(crate) rejection: Option<Rejection>,
    /// Advice that a refused caller was given.
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) queued_ms: Option<u64>,
    pub(crate) first_byte_ms: Option<u64>,
    /// Longest pause between two events of a stream.
    pub(crate) longest_pause_ms: Option<u64>,
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<String>,
}

impl Record {
    pub(crate) fn new(node: &Rc<Node>, arrived_ms: u64) -> Self {
        node.open_requests.set(node.open_requests.get() + 1);
        node.count(Counter::Requests);
        Self {
            node: node.clone(),
            arrived_ms,
            id: String::new(),
            route: None,
            workspace: None,
            upstream: None,
            config_version: 0,
            attempts: 0,
            load: None,
            rejection: None,
            retry_after_ms: None,
            queued_ms: None,
            first_byte_ms: None,
            longest_pause_ms: None,
            status: 0,
            outcome: Outcome::Abandoned,
            reason: None,
        }
    }

    /// Notes how the request ends, unless that is known already.
    pub(crate) fn end(&mut self, status: u16, outcome: Outcome, reason: impl Into<Option<String>>) {
        self.status = status;
        self.outcome = outcome;
        self.reason = reason.into();
    }

    /// Notes an attempt at an upstream.
    pub(crate) fn sent_to(&mut self, upstream: &UpstreamName, load: Option<(u32, Option<u64>)>) {
        self.upstream = Some(upstream.to_string());
        self.load = load;
        self.attempts += 1;
    }

    /// Notes the start of the answer.
    pub(crate) fn answer_started(&mut self) {
        let first_byte_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        self.first_byte_ms = Some(first_byte_ms);
        self.node.state().metrics.time(Timing::FirstByteMs, first_byte_ms);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        let node = &self.node;
        node.open_requests.set(node.open_requests.get().saturating_sub(1));
        let whole_ms = node.now_ms().saturating_sub(self.arrived_ms);
        {
            let mut state = node.state();
            state.metrics.time(Timing::WholeMs, whole_ms);
            state.metrics.count(match self.outcome {
                Outcome::Answered | Outcome::UpstreamFailure => Counter::Answered,
                Outcome::Refused => Counter::Refused,
                Outcome::Denied => Counter::Denied,
                Outcome::Failed => Counter::Failed,
                Outcome::Abandoned => Counter::Abandoned,
            });
        }
        info!(
            request = self.id,
            route = self.route.as_deref(),
            workspace = self.workspace,
            upstream = self.upstream,
            version = self.config_version,
            attempts = self.attempts,
            upstream_requests = self.load.map(|(requests, _)| requests),
            report_age_ms = self.load.and_then(|(_, age_ms)| age_ms),
            free = self.rejection.map(|rejection| rejection.slots.free),
            taken = self.rejection.map(|rejection| rejection.slots.in_use),
            slots = self.rejection.map(|rejection| rejection.slots.total),
            wait_ms = self.rejection.map(|rejection| rejection.wait_ms),
            limit_per_s = self.rejection.and_then(|rejection| rejection.limit_per_s),
            retry_after_ms = self.retry_after_ms,
            queued_ms = self.queued_ms,
            first_byte_ms = self.first_byte_ms,
            longest_pause_ms = self.longest_pause_ms,
            whole_ms,
            status = self.status,
            outcome = <&'static str>::from(self.outcome),
            reason = self.reason,
            "request"
        );
    }
}
