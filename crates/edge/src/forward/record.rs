//! The log line and the metrics of one request.

use std::{rc::Rc, sync::Arc};

use span_http::Framing;
use span_types::{SoftwareVersion, UpstreamName};
use tracing::info;

use crate::{
    admission::Rejection,
    metrics::{Counter, Timing},
    node::Node,
    upstream_load::LoadReport,
    wire_format::{SegmentId, list_segments},
};

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// The complete answer of an upstream was forwarded.
    Answered,
    /// The error answer of an upstream was forwarded.
    UpstreamFailure,
    /// The request was rejected; it did not run.
    Refused,
    /// The configuration does not allow the request.
    Denied,
    /// The request may have run, and the answer is lost or late.
    Failed,
    /// The caller closed its connection.
    Abandoned,
    /// The process ended before the answer did.
    Cut,
}

/// What the log says about a request. Writes the log line when dropped.
pub(crate) struct RequestRecord {
    node: Rc<Node>,
    arrived_ms: u64,
    pub(crate) id: String,
    pub(crate) route: Option<Arc<str>>,
    pub(crate) workspace: Option<String>,
    /// Upstream of the last attempt.
    pub(crate) upstream: Option<String>,
    /// Version of the software of that upstream.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// Request that began the stream which this one takes up.
    pub(crate) takes_up: Option<String>,
    /// Last event that the caller stated to have.
    pub(crate) last_event: Option<String>,
    pub(crate) config_version: u64,
    /// Segments of the prompt that other prompts may share.
    pub(crate) shared_segments: Rc<[SegmentId]>,
    /// Segment of the prompt because of which the request was rejected.
    pub(crate) blocked_segment: Option<SegmentId>,
    pub(crate) attempts: u32,
    /// Time for which the caller probably waited before this attempt, in milliseconds.
    pub(crate) spent_ms: u64,
    /// Expected cost, in cost units.
    pub(crate) cost: Option<u64>,
    /// Estimated requests at the upstream when it was chosen, and the age of its
    /// load report in milliseconds.
    upstream_load: Option<(u32, Option<u64>)>,
    /// Load that the upstream reported with its answer.
    pub(crate) reported_load: Option<LoadReport>,
    /// Limit in requests per second that the upstream named with its answer.
    pub(crate) limit_per_s: Option<f64>,
    /// Present if admission control rejected the request.
    pub(crate) rejection: Option<Rejection>,
    /// Retry advice that the caller got with a rejection.
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) queued_ms: Option<u64>,
    pub(crate) first_byte_ms: Option<u64>,
    /// How the end of the upstream's answer is marked.
    pub(crate) framing: Option<Framing>,
    /// Whether the upstream's answer, a stream, ended inside an event.
    pub(crate) ended_inside_event: Option<bool>,
    /// Longest gap between two events of a stream.
    pub(crate) longest_gap_ms: Option<u64>,
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) reason: Option<String>,
}

impl RequestRecord {
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
            software_version: None,
            takes_up: None,
            last_event: None,
            config_version: 0,
            shared_segments: Rc::default(),
            blocked_segment: None,
            attempts: 0,
            spent_ms: 0,
            cost: None,
            upstream_load: None,
            reported_load: None,
            limit_per_s: None,
            rejection: None,
            retry_after_ms: None,
            queued_ms: None,
            first_byte_ms: None,
            framing: None,
            ended_inside_event: None,
            longest_gap_ms: None,
            status: 0,
            outcome: Outcome::Abandoned,
            reason: None,
        }
    }

    /// Records how the request ends.
    pub(crate) fn end(&mut self, status: u16, outcome: Outcome, reason: impl Into<Option<String>>) {
        self.status = status;
        self.outcome = outcome;
        self.reason = reason.into();
    }

    /// Records the start of an attempt at an upstream.
    pub(crate) fn attempt_started(
        &mut self,
        upstream: &UpstreamName,
        upstream_load: Option<(u32, Option<u64>)>,
    ) {
        self.upstream_load = upstream_load;
        self.continued_at(upstream);
    }

    /// Records a further attempt at an upstream.
    pub(crate) fn continued_at(&mut self, upstream: &UpstreamName) {
        self.upstream = Some(upstream.to_string());
        self.software_version = self.node.software_version(upstream);
        self.attempts += 1;
    }

    /// Records the start of the answer to the caller.
    pub(crate) fn answer_started(&mut self) {
        let first_byte_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        self.first_byte_ms = Some(first_byte_ms);
        self.node.state().metrics.time(Timing::FirstByteMs, first_byte_ms);
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.node.has_ended.get() && self.outcome == Outcome::Abandoned {
            self.outcome = Outcome::Cut;
        }
        let node = &self.node;
        node.open_requests.set(node.open_requests.get().saturating_sub(1));
        let total_ms = node.now_ms().saturating_sub(self.arrived_ms);
        {
            let mut state = node.state();
            state.metrics.time(Timing::WholeMs, total_ms);
            state.metrics.count(match self.outcome {
                Outcome::Answered | Outcome::UpstreamFailure => Counter::Answered,
                Outcome::Refused => Counter::Refused,
                Outcome::Denied => Counter::Denied,
                Outcome::Failed => Counter::Failed,
                Outcome::Abandoned => Counter::Abandoned,
                Outcome::Cut => Counter::Cut,
            });
        }
        // Only failures need them, and they are long.
        let lists_segments = self.outcome == Outcome::Failed && !self.shared_segments.is_empty();
        let segments = lists_segments.then(|| list_segments(&self.shared_segments));
        info!(
            request = self.id,
            route = self.route.as_deref(),
            workspace = self.workspace,
            upstream = self.upstream,
            software_version = self.software_version.as_ref().map(SoftwareVersion::as_str),
            takes_up = self.takes_up,
            last_event = self.last_event,
            version = self.config_version,
            segments,
            blocked_segment = self.blocked_segment.map(|segment| segment.to_string()),
            attempts = self.attempts,
            spent_ms = (self.spent_ms > 0).then_some(self.spent_ms),
            cost = self.cost,
            upstream_requests = self.upstream_load.map(|(requests, _)| requests),
            report_age_ms = self.upstream_load.and_then(|(_, age_ms)| age_ms),
            upstream_running = self.reported_load.map(|load| load.running),
            upstream_waiting = self.reported_load.map(|load| load.waiting),
            upstream_work_time_percent = self.reported_load.and_then(|load| load.work_time_percent),
            upstream_limit_per_s = self.limit_per_s,
            free = self.rejection.map(|rejection| rejection.slots.free),
            taken = self.rejection.map(|rejection| rejection.slots.in_use),
            slots = self.rejection.map(|rejection| rejection.slots.total),
            slots_limited = self.rejection.map(|rejection| rejection.slots.is_limited),
            free_in_ms = self.rejection.map(|rejection| rejection.slots.free_in_ms),
            wait_ms = self.rejection.map(|rejection| rejection.expected_wait_ms),
            limit_per_s = self.rejection.and_then(|rejection| rejection.limit_per_s),
            retry_after_ms = self.retry_after_ms,
            queued_ms = self.queued_ms,
            first_byte_ms = self.first_byte_ms,
            longest_pause_ms = self.longest_gap_ms,
            framing = self.framing.map(<&'static str>::from),
            ended_inside_event = self.ended_inside_event,
            whole_ms = total_ms,
            status = self.status,
            outcome = <&'static str>::from(self.outcome),
            reason = self.reason,
            "request"
        );
    }
}
