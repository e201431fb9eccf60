//! Exchange between routers of which prompts crash upstreams.

use std::{net::IpAddr, rc::Rc, time::Duration};

use rand::seq::IndexedRandom;
use span_types::{InstanceName, UpstreamName};
use tokio::{task::spawn_local, time::sleep};
use tracing::{info, warn};

use crate::{
    metrics::Counter,
    node::Node,
    peers::Packet,
    pool,
    prompt_crashes::{
        CLOSE_MS, COPY_RECEIVERS, MAX_NOTICES, ProbeRank, Progress, SegmentNotice, TICKS_PER_COPY,
    },
    wire_format::{SegmentId, list_segments},
};

impl Node {
    /// Blocks prompt segments and ends blocks, and tells other routers what is new. Called
    /// every [`TICK_INTERVAL_MS`](crate::prompt_crashes::TICK_INTERVAL_MS); `round` counts
    /// the calls.
    pub(crate) fn tick_prompt_crashes(&self, round: u64) {
        let now_ms = self.now_ms();
        let (changes, news, copy) = {
            let mut state = self.state();
            let changes = state.prompt_crashes.tick(now_ms);
            let news = state.prompt_crashes.take_news(now_ms);
            let is_copy_due = round.is_multiple_of(TICKS_PER_COPY);
            let copy = if is_copy_due { state.prompt_crashes.copy(now_ms) } else { Vec::new() };
            (changes, news, copy)
        };
        for change in changes {
            let segment = change.segment;
            if change.is_blocked {
                warn!(
                    %segment,
                    while_answering = change.while_answering,
                    while_waiting = change.while_waiting,
                    "upstreams crash on a prompt segment; requests with it are rejected"
                );
            } else {
                info!(%segment, "requests with a prompt segment are accepted again");
            }
        }
        if news.is_empty() && copy.is_empty() {
            return;
        }
        let others = self.state().other_router_ips();
        self.send_segment_notices(&others, &news);
        let receivers: Vec<IpAddr> =
            others.sample(&mut self.state().rng, COPY_RECEIVERS).copied().collect();
        self.send_segment_notices(&receivers, &copy);
    }

    fn send_segment_notices(&self, receivers: &[IpAddr], notices: &[SegmentNotice]) {
        for part in notices.chunks(MAX_NOTICES) {
            self.outbox.push(receivers.to_vec(), Packet::PromptCrashes(part.to_vec()));
        }
    }

    /// Takes over what another router tells of prompts that crash upstreams.
    pub(crate) fn learn_prompt_crashes(&self, notices: &[SegmentNotice]) {
        let now_ms = self.now_ms();
        self.state().prompt_crashes.learn(now_ms, notices);
    }

    /// The first of these segments with which requests are rejected, and for how long, in
    /// milliseconds.
    pub(crate) fn find_blocked_segment(&self, segments: &[SegmentId]) -> Option<(SegmentId, u64)> {
        let now_ms = self.now_ms();
        self.state().prompt_crashes.find_blocked(now_ms, segments)
    }

    /// Whether a prompt with blocked segments may be sent all the same, to find out whether they
    /// are sound.
    pub(crate) fn may_probe(&self, segments: &[SegmentId]) -> bool {
        let now_ms = self.now_ms();
        let state = self.state();
        let own_name = &state.view.own_update().router.member.instance;
        let live = state.view.live_routers().into_iter();
        let others = live.map(|router| &router.member.instance).filter(|name| *name != own_name);
        let others: Vec<&InstanceName> = others.collect();
        let rank = others.iter().filter(|name| **name < own_name).count();
        let rank = ProbeRank { rank, routers: others.len() + 1 };
        state.prompt_crashes.may_probe(now_ms, segments, rank)
    }

    /// Records that a prompt with blocked segments is sent all the same.
    pub(crate) fn probe_sent(&self, request: &str, segments: &[SegmentId]) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        state.prompt_crashes.probe_sent(now_ms);
        state.metrics.count(Counter::ProbedPrompts);
        drop(state);
        info!(
            request,
            segments = list_segments(segments),
            "a prompt with blocked segments is let through to find out whether they are sound"
        );
    }

    /// Records that such a prompt did not reach an upstream after all.
    pub(crate) fn probe_not_sent(&self) {
        self.state().prompt_crashes.probe_not_sent();
    }

    /// Records that an answer broke off while its prompt may have been the reason.
    pub(crate) fn answer_broke(
        self: &Rc<Self>,
        upstream: &UpstreamName,
        segments: &Rc<[SegmentId]>,
        progress: Progress,
    ) {
        let now_ms = self.now_ms();
        let is_first =
            self.state().prompt_crashes.record_broken(now_ms, upstream, segments, progress);
        if is_first {
            self.check_process(upstream);
        }
    }

    /// Records that an answer ended with its connection, which a crash of the upstream on
    /// its prompt may also have caused. The prompt was sent at `sent_ms`.
    pub(crate) fn answer_closed(
        self: &Rc<Self>,
        upstream: &UpstreamName,
        segments: &Rc<[SegmentId]>,
        progress: Progress,
        sent_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let is_first =
            state.prompt_crashes.record_closed(now_ms, upstream, segments, progress, sent_ms);
        drop(state);
        if is_first {
            self.check_process(upstream);
        }
    }

    /// Finds out whether the process of an upstream has ended. Without this, a router that has
    /// nothing to send there finds out when the entry changes, which takes seconds, and blocks
    /// what crashes upstreams that much later.
    fn check_process(self: &Rc<Self>, upstream: &UpstreamName) {
        let (node, upstream) = (self.clone(), upstream.clone());
        spawn_local(async move {
            sleep(Duration::from_millis(CLOSE_MS)).await;
            let Some(process) = node.process_to_connect(&upstream) else {
                return;
            };
            if !node.connections.has_descriptor(node.settings().resources.max_sockets) {
                return;
            }
            if pool::is_refused(process.entry.address).await {
                node.connection_broke(&upstream);
                node.upstream_process_ended(&upstream);
            }
        });
    }

    /// Records that an upstream has answered on a prompt that was sent at `sent_ms`.
    pub(crate) fn prompt_answered(&self, sent_ms: u64, segments: &[SegmentId]) {
        self.state().prompt_crashes.record_answered(sent_ms, segments);
    }

    /// Records that the process of an upstream has ended: nothing listens at its address,
    /// or another process does.
    pub(crate) fn upstream_process_ended(&self, upstream: &UpstreamName) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        if !state.prompt_crashes.record_ended(now_ms, upstream) {
            return;
        }
        state.metrics.count(Counter::UpstreamProcessesEnded);
        drop(state);
        info!(upstream = upstream.as_str(), "the process of an upstream seems to have ended");
    }
}
