//! A request that waits for a slot or has one. Dropping it releases the slot.

use std::rc::Rc;

use futures::{channel::oneshot, future::LocalBoxFuture};
use span_http::Framing;
use span_types::{ServiceName, SoftwareVersion, UpstreamName};

use super::attempt::RequestData;
use crate::{
    node::Node,
    origin_exchange::OpenConfirmation,
    placement::{ChosenUpstream, PreferredVersion, PromptPrefix},
    pool::Connection,
    prompt_crashes::{ANSWERED_MS, Progress, RISK_MS},
    service_admission::LaneTicket,
    stream_origin::StreamOrigin,
    stream_process::{StreamProcess, UnsettledStream},
    upstream_load::AttemptResult,
    upstream_process::ProcessVersion,
    wire_format::{SegmentId, WorkEstimate},
};

/// Whether it is certain at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Settling {
    /// It is.
    Settled,
    /// It will be once later entries are known.
    Pending,
    /// Nothing will tell.
    Unknown,
}

/// A request that waits for a slot. Dropping it cancels the wait.
pub(crate) struct SlotWait {
    node: Rc<Node>,
    service: ServiceName,
    ticket: LaneTicket,
    receiver: oneshot::Receiver<ChosenUpstream>,
    prefill_tokens: u64,
    versions: RequestVersions,
    dispatched: bool,
}

/// The software versions of upstreams to which a request can go.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestVersions {
    /// The one that began the stream; none before its first event.
    pub(crate) continued: Option<SoftwareVersion>,
    /// The one at which a stream is to begin; none if any will do.
    pub(crate) preferred: Option<PreferredVersion>,
}

impl SlotWait {
    pub(crate) fn new(
        node: &Rc<Node>,
        service: &ServiceName,
        ticket: LaneTicket,
        receiver: oneshot::Receiver<ChosenUpstream>,
        prefill_tokens: u64,
        versions: RequestVersions,
    ) -> Self {
        let (node, service) = (node.clone(), service.clone());
        Self { node, service, ticket, receiver, prefill_tokens, versions, dispatched: false }
    }

    /// Waits until the request is dispatched; none if `until_ms` passes first or
    /// the request's workspace is removed.
    pub(crate) async fn dispatched(mut self, until_ms: u64) -> Option<InFlightRequest> {
        let received = self.node.wait_for(until_ms, &mut self.receiver).await;
        // Dropping `self` cancels the wait.
        let Some(Ok(chosen)) = received else { return None };
        self.dispatched = true;
        Some(InFlightRequest {
            node: self.node.clone(),
            service: self.service.clone(),
            chosen: Some(chosen),
            prefill_tokens: self.prefill_tokens,
            versions: std::mem::take(&mut self.versions),
            attempt: 0,
            confirmation: None,
            sent_prompt: None,
            answering: None,
            is_version_certain: false,
            awaits_version: false,
        })
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        if self.dispatched || self.node.cancel(&self.service, self.ticket) {
            return;
        }
        // The request was dispatched while the caller left.
        if let Ok(Some(ChosenUpstream { upstream, .. })) = self.receiver.try_recv() {
            self.node.prefill_ended(&self.service, &upstream, self.prefill_tokens);
            self.node.attempt_ended(&self.service, &upstream, AttemptResult::Unknown);
            self.node.dispatch(&self.service);
        }
    }
}

/// A request that has a slot at an upstream, except between two attempts.
pub(crate) struct InFlightRequest {
    node: Rc<Node>,
    service: ServiceName,
    chosen: Option<ChosenUpstream>,
    /// Prompt tokens that the upstream has not processed yet.
    prefill_tokens: u64,
    versions: RequestVersions,
    /// Number of attempts at a stream so far.
    attempt: u32,
    /// What others know of the stream that the current attempt begins; none if they need not
    /// know.
    confirmation: Option<OpenConfirmation>,
    /// The prompt, since it was sent to the current upstream.
    sent_prompt: Option<SentPrompt>,
    /// The process that sends, or sent, the events of a stream that may go on elsewhere.
    answering: Option<StreamProcess>,
    /// Whether the version of that process is certain.
    is_version_certain: bool,
    /// Whether the caller has events of a stream that began there, at a version that is not
    /// certain.
    awaits_version: bool,
}

/// A prompt that was sent to an upstream which has not answered it for [`ANSWERED_MS`] yet.
struct SentPrompt {
    shared_segments: Rc<[SegmentId]>,
    sent_ms: u64,
    /// When the head of the answer arrived.
    began_ms: Option<u64>,
    /// When the first bytes of its body arrived.
    first_bytes_ms: Option<u64>,
}

impl SentPrompt {
    /// How far the upstream is, if its crash at `now_ms` may be due to the prompt.
    fn progress(&self, now_ms: u64) -> Option<Progress> {
        let begin_ms = self.first_bytes_ms.or(self.began_ms);
        if begin_ms.is_some_and(|begin_ms| now_ms < begin_ms + RISK_MS) {
            return Some(Progress::Answering);
        }
        let has_answered =
            self.first_bytes_ms.is_some_and(|first_ms| now_ms >= first_ms + ANSWERED_MS);
        (!has_answered).then_some(Progress::Waiting)
    }
}

impl InFlightRequest {
    /// Records that the prompt is sent to the current upstream.
    pub(crate) fn prompt_sent(&mut self, shared_segments: &Rc<[SegmentId]>) {
        let shared_segments = shared_segments.clone();
        let sent_ms = self.node.now_ms();
        self.sent_prompt =
            Some(SentPrompt { shared_segments, sent_ms, began_ms: None, first_bytes_ms: None });
    }

    /// Records the arrival of the head of the answer.
    pub(crate) fn answer_begins(&mut self) {
        let now_ms = self.node.now_ms();
        if let Some(prompt) = &mut self.sent_prompt {
            prompt.began_ms = Some(now_ms);
        }
    }

    /// Records the connection on which the events of a stream arrive.
    pub(crate) fn stream_arrives_on(&mut self, connection: &Connection) {
        let process = connection.process.clone().zip(self.upstream().cloned());
        let last_bytes_ms = self.node.now_ms();
        self.answering = process.map(|(connection, upstream)| StreamProcess {
            upstream,
            connection,
            last_bytes_ms,
        });
        self.is_version_certain = false;
    }

    /// Waits until it is certain that events fit to those that the caller has; none if it is, or
    /// if the caller has none. The wait ends with false if they do not, or may not.
    pub(crate) fn verify_version(&mut self) -> Option<LocalBoxFuture<'static, bool>> {
        let (version, process) = (self.versions.continued.clone()?, self.answering.clone()?);
        let found = self.node.process_version(&process);
        self.is_version_certain = found.is_certain();
        if found == ProcessVersion::Certain(version.clone()) {
            return None;
        }
        let node = self.node.clone();
        Some(Box::pin(async move { node.await_version(&process, &version).await }))
    }

    /// Records the arrival of bytes of the answer.
    pub(crate) fn answer_arrives(&mut self, now_ms: u64) {
        if let Some(process) = &mut self.answering {
            process.last_bytes_ms = now_ms;
            if self.is_version_certain {
                self.node.process_sends(now_ms, &process.upstream, &process.connection);
            }
        }
        if let Some(prompt) = &mut self.sent_prompt {
            let first_ms = *prompt.first_bytes_ms.get_or_insert(now_ms);
            if now_ms >= first_ms + ANSWERED_MS {
                self.prompt_answered();
            }
        }
    }

    fn prompt_answered(&mut self) {
        if let Some(prompt) = self.sent_prompt.take() {
            self.node.prompt_answered(prompt.sent_ms, &prompt.shared_segments);
        }
    }

    /// Time from sending the prompt to the head of the answer, in milliseconds.
    fn head_took_ms(&self) -> Option<u64> {
        let prompt = self.sent_prompt.as_ref()?;
        Some(prompt.began_ms?.saturating_sub(prompt.sent_ms))
    }

    /// Records that a plain answer has arrived whole.
    pub(crate) fn plain_answer_ended(&self) {
        if let (Some(chosen), Some(took_ms)) = (&self.chosen, self.head_took_ms()) {
            self.node.record_work(&self.service, &chosen.upstream, None, took_ms);
        }
    }

    /// Records the end of a successful answer.
    pub(crate) fn answer_succeeded(&mut self, framing: Framing) {
        let now_ms = self.node.now_ms();
        let progress = self.sent_prompt.as_ref().and_then(|prompt| prompt.progress(now_ms));
        let Some(progress) = progress.filter(|_| framing == Framing::UntilClose) else {
            return self.prompt_answered();
        };
        if let (Some(prompt), Some(chosen)) = (self.sent_prompt.take(), &self.chosen) {
            let SentPrompt { shared_segments, sent_ms, .. } = prompt;
            self.node.answer_closed(&chosen.upstream, &shared_segments, progress, sent_ms);
        }
    }

    /// Records that the connection to the upstream broke.
    pub(crate) fn connection_broke(&mut self) {
        let now_ms = self.node.now_ms();
        if let Some(chosen) = &self.chosen {
            self.node.connection_broke(&chosen.upstream);
        }
        if let (Some(prompt), Some(chosen)) = (self.sent_prompt.take(), &self.chosen)
            && let Some(progress) = prompt.progress(now_ms)
        {
            self.node.answer_broke(&chosen.upstream, &prompt.shared_segments, progress);
        }
    }

    /// Records that the caller gets events of the current upstream: only upstreams of
    /// its software version can continue them. Returns where the stream began.
    pub(crate) fn stream_began(&mut self, data: &RequestData) -> Option<StreamOrigin> {
        let mut origin = self.origin()?;
        if let (None, Some(process)) = (&self.versions.continued, &self.answering) {
            let found = self.node.process_version(process);
            self.is_version_certain = found.is_certain();
            self.awaits_version = !found.is_certain();
            if *found.version() != origin.software_version {
                origin.software_version = found.version().clone();
                self.attempt += 1;
                let confirmation = self.confirmation.take();
                self.confirmation =
                    self.node.stream_sent(data, self.attempt, &origin, confirmation);
            }
        }
        self.versions.continued = Some(origin.software_version.clone());
        Some(origin)
    }

    /// Looks again at which version a stream began, and tells others if it is another one than
    /// they were told. `is_broken` says whether its process sends no more.
    pub(crate) fn settle_version(&mut self, data: &RequestData, is_broken: bool) -> Settling {
        let Some(process) = self.answering.as_ref().filter(|_| self.awaits_version) else {
            return Settling::Settled;
        };
        let version = match self.node.process_version(process) {
            ProcessVersion::Certain(version) => version,
            ProcessVersion::Likely(version) if is_broken => version,
            ProcessVersion::Assumed(_) | ProcessVersion::Likely(_) => return Settling::Pending,
            ProcessVersion::Ambiguous(_) => return Settling::Unknown,
        };
        self.is_version_certain = !is_broken;
        self.awaits_version = false;
        if self.versions.continued.as_ref() != Some(&version) {
            self.attempt += 1;
            let (service, software_version) = (self.service.clone(), version.clone());
            let origin = StreamOrigin { service, software_version };
            self.node.stream_moved(data, self.attempt, &origin);
            self.versions.continued = Some(version);
        }
        Settling::Settled
    }

    /// Records that the caller has a whole stream.
    pub(crate) fn stream_completed(&mut self) {
        self.awaits_version = false;
    }

    /// Records that this router does not go on with a stream, which its caller may take up.
    pub(crate) fn stream_interrupted(&mut self, data: &Rc<RequestData>) {
        let awaits_version = std::mem::take(&mut self.awaits_version);
        if let (true, Some(process), Some(told_version)) =
            (awaits_version, self.answering.take(), self.versions.continued.clone())
        {
            let service = self.service.clone();
            let stream = UnsettledStream { service, process, told_version };
            self.node.settle_stream(data, self.attempt, stream);
        }
    }

    /// Where a stream begins whose first event comes from the current upstream.
    fn origin(&self) -> Option<StreamOrigin> {
        let software_version = self.chosen.as_ref()?.software_version.clone();
        Some(StreamOrigin { service: self.service.clone(), software_version })
    }

    /// Tells others of the stream that a further attempt at a request is about to begin at the
    /// current upstream, and has it recorded, if that is needed.
    pub(crate) fn tell_origin(&mut self, data: &RequestData) {
        self.attempt += 1;
        if let Some(origin) = self.origin() {
            let confirmation = self.confirmation.take();
            self.confirmation = self.node.stream_sent(data, self.attempt, &origin, confirmation);
        }
    }

    /// Number of attempts at a stream so far.
    pub(crate) fn attempt(&self) -> u32 {
        self.attempt
    }

    /// What others know of the stream that the current attempt begins; none if they need not
    /// know.
    pub(crate) fn take_confirmation(&mut self) -> Option<OpenConfirmation> {
        self.confirmation.take()
    }

    /// Records that the upstream has processed the prompt, or never will.
    pub(crate) fn prefill_ended(&mut self) {
        let tokens = std::mem::take(&mut self.prefill_tokens);
        if let Some(chosen) = self.chosen.as_ref().filter(|_| tokens > 0) {
            self.node.prefill_ended(&self.service, &chosen.upstream, tokens);
        }
    }

    /// Records that the upstream has processed the prompt and caches its prefix.
    pub(crate) fn prompt_read(&mut self, prefix: Option<PromptPrefix>) {
        let tokens = self.prefill_tokens;
        if let (Some(chosen), Some(took_ms)) = (&self.chosen, self.head_took_ms())
            && tokens > 0
        {
            self.node.record_work(&self.service, &chosen.upstream, Some(tokens), took_ms);
        }
        if let (Some(chosen), Some(prefix)) = (&self.chosen, prefix) {
            self.node.prefix_read(&self.service, &chosen.upstream, prefix);
        }
        self.prefill_ended();
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(crate) fn upstream(&self) -> Option<&UpstreamName> {
        self.chosen.as_ref().map(|chosen| &chosen.upstream)
    }

    /// Estimated requests at the upstream when it was chosen, and the age of its
    /// load report in milliseconds.
    pub(crate) fn upstream_load(&self) -> Option<(u32, Option<u64>)> {
        self.chosen.as_ref().map(|chosen| (chosen.requests, chosen.report_age_ms))
    }

    /// Another upstream that probably caches the prompt prefix.
    pub(crate) fn copy_source(&self) -> Option<&UpstreamName> {
        self.chosen.as_ref().and_then(|chosen| chosen.copy_source.as_ref())
    }

    /// Ends the attempt at the current upstream.
    pub(crate) fn end_attempt(&mut self, result: AttemptResult) {
        self.prefill_ended();
        self.sent_prompt = None;
        if let Some(chosen) = self.chosen.take() {
            self.node.attempt_ended(&self.service, &chosen.upstream, result);
        }
    }

    /// Time until an upstream that is not `excluded` may continue the stream, in
    /// milliseconds; none if there is no such upstream, or if no event has reached the
    /// caller yet.
    pub(crate) fn can_continue_in_ms(&self, excluded: &[UpstreamName]) -> Option<u64> {
        let version = self.versions.continued.as_ref()?;
        self.node.can_continue_in_ms(&self.service, version, excluded)
    }

    /// Chooses the upstream for the next attempt; none if no upstream is left.
    pub(crate) fn choose_next(
        &mut self,
        work: &WorkEstimate,
        excluded: &[UpstreamName],
    ) -> Option<UpstreamName> {
        self.end_attempt(AttemptResult::Unknown);
        let RequestVersions { continued, preferred } = &self.versions;
        let (continued, preferred) = (continued.as_ref(), preferred.as_ref());
        self.chosen =
            self.node.choose_next_upstream(&self.service, work, excluded, continued, preferred);
        self.prefill_tokens = work.unshared_tokens();
        self.upstream().cloned()
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.end_attempt(AttemptResult::Unknown);
        self.node.dispatch(&self.service);
    }
}
