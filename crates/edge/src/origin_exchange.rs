//! Exchange between routers of where streams began.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::IpAddr,
    pin::pin,
    rc::Rc,
};

use futures::{StreamExt, channel::mpsc};
use span_types::InstanceName;
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep_until, timeout_at},
};
use tracing::warn;

use crate::{
    forward::RequestData,
    metrics::{Counter, Timing},
    node::Node,
    origin_confirmation::{MAX_CONFIRMATION_WAIT_MS, OriginConfirmation},
    origin_log::RecordReceipt,
    peers::Packet,
    record_sync::RECORDS_FRESH_MS,
    role::Role,
    stream_origin::{
        ASK_AGAIN_MS, AttemptOrigin, OriginAnswer, OriginInquiry, OriginNotice, OriginSource,
        OriginVerdict, RecordSearch, RequestKey, RouteScope, StreamAttempt, StreamOrigin,
        TOLD_ROUTERS,
    },
    stream_records::RecordedOrigin,
};

/// Largest number of notices in a datagram; they fit into it with long names.
const MAX_NOTICES_PER_PACKET: usize = 300;

type Answers = mpsc::UnboundedReceiver<(InstanceName, OriginAnswer)>;
type AnswerSender = mpsc::UnboundedSender<(InstanceName, OriginAnswer)>;

/// What a router found out about where a stream began.
#[derive(Debug)]
pub(crate) struct OriginFinding {
    pub(crate) verdict: OriginVerdict,
    /// Where streams of the route may have begun.
    pub(crate) candidates: BTreeSet<StreamOrigin>,
    /// Whether any router knows where they may have begun before it started.
    pub(crate) knows_history: bool,
    /// State of the search in the records of the store.
    pub(crate) search: RecordSearch,
}

/// Inquiries that wait for answers, by stream.
#[derive(Debug, Default)]
pub(crate) struct Inquiries {
    senders: RefCell<HashMap<RequestKey, Vec<AnswerSender>>>,
}

/// An inquiry that waits for answers. It ends when this is dropped.
struct OpenInquiry<'a> {
    inquiries: &'a Inquiries,
    request: RequestKey,
    answers: Answers,
}

impl Inquiries {
    fn open(&self, request: RequestKey) -> OpenInquiry<'_> {
        let (sender, answers) = mpsc::unbounded();
        self.senders.borrow_mut().entry(request).or_default().push(sender);
        OpenInquiry { inquiries: self, request, answers }
    }

    fn deliver(&self, from: &InstanceName, request: RequestKey, answer: &OriginAnswer) {
        for sender in self.senders.borrow().get(&request).into_iter().flatten() {
            // Fails if the inquiry has just ended.
            let _ = sender.unbounded_send((from.clone(), answer.clone()));
        }
    }
}

/// Requests for streams that are about to begin, and what others know of them.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    pending: Rc<RefCell<HashMap<RequestKey, Rc<PendingConfirmation>>>>,
}

#[derive(Debug)]
struct PendingConfirmation {
    confirmation: RefCell<OriginConfirmation>,
    changed: Notify,
}

/// What others know of a stream that is about to begin. They tell nothing more once this is
/// dropped.
#[derive(Debug)]
pub(crate) struct OpenConfirmation {
    request: RequestKey,
    pending: Rc<PendingConfirmation>,
    all: Rc<RefCell<HashMap<RequestKey, Rc<PendingConfirmation>>>>,
}

impl Confirmations {
    fn open(&self, request: RequestKey, start: AttemptOrigin) -> OpenConfirmation {
        let confirmation = RefCell::new(OriginConfirmation::new(start));
        let pending = Rc::new(PendingConfirmation { confirmation, changed: Notify::new() });
        self.pending.borrow_mut().insert(request, pending.clone());
        OpenConfirmation { request, pending, all: self.pending.clone() }
    }

    fn update(&self, request: RequestKey, update: impl FnOnce(&mut OriginConfirmation)) {
        if let Some(pending) = self.pending.borrow().get(&request) {
            update(&mut pending.confirmation.borrow_mut());
            pending.changed.notify_one();
        }
    }
}

impl OpenConfirmation {
    /// Whether the caller may get the first event.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.pending.confirmation.borrow().is_confirmed()
    }
}

impl Drop for OpenConfirmation {
    fn drop(&mut self) {
        let mut all = self.all.borrow_mut();
        // A caller may have used the id again.
        if all.get(&self.request).is_some_and(|pending| Rc::ptr_eq(pending, &self.pending)) {
            all.remove(&self.request);
        }
    }
}

fn notice(stream: StreamAttempt, origin: &StreamOrigin, lifetime_ms: u64) -> OriginNotice {
    let StreamAttempt { request, attempt } = stream;
    let start = AttemptOrigin { origin: origin.clone(), attempt };
    OriginNotice { request, start, lifetime_ms }
}

impl Drop for OpenInquiry<'_> {
    fn drop(&mut self) {
        self.answers.close();
        let mut senders = self.inquiries.senders.borrow_mut();
        if let Some(open) = senders.get_mut(&self.request) {
            open.retain(|sender| !sender.is_closed());
            if open.is_empty() {
                senders.remove(&self.request);
            }
        }
    }
}

impl Node {
    /// Has the origin recorded of a stream that an attempt at a request is about to begin or
    /// take up, if streams may begin elsewhere, or an earlier attempt is recorded. The first
    /// event mostly comes after the next batch, so that few streams are lost if all routers
    /// die. `confirmation` is that of the earlier attempt.
    pub(crate) fn stream_sent(
        &self,
        data: &RequestData,
        attempt: u32,
        origin: &StreamOrigin,
        confirmation: Option<OpenConfirmation>,
    ) -> Option<OpenConfirmation> {
        let now_ms = self.now_ms();
        let (is_needed, lifetime_ms) = {
            let state = self.state();
            (state.origins_may_differ(now_ms, &origin.service), state.stream_lifetime_ms)
        };
        if !is_needed && confirmation.is_none() {
            return None;
        }
        let start = AttemptOrigin { origin: origin.clone(), attempt };
        let confirmation = match confirmation {
            Some(confirmation) => {
                confirmation.pending.confirmation.borrow_mut().start_attempt(start);
                confirmation
            }
            None => self.confirmations.open(data.own_attempt(attempt).request, start),
        };
        let streams = data.stream_attempts(attempt);
        let notices = streams.iter().map(|stream| notice(*stream, origin, lifetime_ms));
        self.record_origins(&notices.collect::<Vec<_>>());
        Some(confirmation)
    }

    /// Waits until the caller may get the first event of a stream. Returns false if others
    /// could not be told in time where it began.
    pub(crate) async fn await_confirmation(self: Rc<Self>, confirmation: OpenConfirmation) -> bool {
        let started_ms = self.now_ms();
        let until = self.clock.instant(started_ms + MAX_CONFIRMATION_WAIT_MS);
        let confirmed = async {
            while !confirmation.is_confirmed() {
                confirmation.pending.changed.notified().await;
            }
        };
        let is_confirmed = timeout_at(until, confirmed).await.is_ok();
        let waited_ms = self.now_ms().saturating_sub(started_ms);
        self.state().metrics.time(Timing::OriginConfirmationMs, waited_ms);
        is_confirmed
    }

    /// Records that the store has the records of streams.
    pub(crate) fn origins_recorded(&self, streams: &[StreamAttempt]) {
        for stream in streams {
            self.confirmations.update(stream.request, |known| known.recorded(*stream));
        }
    }

    /// Tells those that had streams recorded that the store has them.
    pub(crate) fn send_receipts(&self, receipts: &[RecordReceipt]) {
        let mut by_router: BTreeMap<IpAddr, Vec<StreamAttempt>> = BTreeMap::new();
        let mut own = Vec::new();
        for receipt in receipts {
            match receipt.router {
                Some(ip) => by_router.entry(ip).or_default().push(receipt.stream),
                None => own.push(receipt.stream),
            }
        }
        self.origins_recorded(&own);
        for (ip, streams) in by_router {
            for part in streams.chunks(MAX_NOTICES_PER_PACKET) {
                self.outbox.push(vec![ip], Packet::OriginsRecorded(part.to_vec()));
            }
        }
    }

    /// Records that a caller gets the first event of a stream that a request began or took up,
    /// and tells others of it if they could not find out. `is_recorded` says whether the
    /// origin was recorded before.
    pub(crate) fn stream_began(
        &self,
        streams: &[StreamAttempt],
        origin: &StreamOrigin,
        is_recorded: bool,
    ) {
        let now_ms = self.now_ms();
        let notices: Vec<OriginNotice> = {
            let mut state = self.state();
            let lifetime_ms = state.stream_lifetime_ms;
            let is_told = state.origins_may_differ(now_ms, &origin.service);
            let origins = &mut state.stream_origins;
            for StreamAttempt { request, attempt } in streams {
                let start = AttemptOrigin { origin: origin.clone(), attempt: *attempt };
                origins.begin(now_ms, *request, &start, lifetime_ms);
            }
            let told = streams.iter().filter(|_| is_told);
            told.filter_map(|stream| origins.tell(now_ms, stream.request)).collect()
        };
        self.tell_routers(&notices);
        if !is_recorded {
            self.record_origins(&notices);
        }
    }

    /// Forgets a stream whose caller has all of it.
    pub(crate) fn stream_ended(&self, streams: &[StreamAttempt]) {
        let mut state = self.state();
        for stream in streams {
            state.stream_origins.end(stream.request);
        }
    }

    /// Tells others of the streams that they can no longer place without. With
    /// `routes_changed`, these are all: a route may have moved to another service.
    pub(crate) fn tell_stream_origins(&self, routes_changed: bool) {
        let now_ms = self.now_ms();
        let notices = {
            let mut state = self.state();
            let services = state.services_with_origins(now_ms, routes_changed);
            state.stream_origins.tell_all(now_ms, |service| services.contains(service))
        };
        self.send_notices(notices);
    }

    /// Passes on to others what this router knows of streams, before it ends.
    pub(crate) fn hand_over_stream_origins(&self) {
        let now_ms = self.now_ms();
        let notices = {
            let mut state = self.state();
            let services = state.services_with_origins(now_ms, false);
            state.stream_origins.hand_over(now_ms, |service| services.contains(service))
        };
        self.tell_routers(&notices);
    }

    /// Tells others of streams, and has them recorded in the store.
    fn send_notices(&self, notices: Vec<OriginNotice>) {
        self.tell_routers(&notices);
        self.record_origins(&notices);
    }

    fn tell_routers(&self, notices: &[OriginNotice]) {
        let mut by_router: BTreeMap<IpAddr, Vec<OriginNotice>> = BTreeMap::new();
        for notice in notices {
            let routers = self.state().routers_for_stream(notice.request, TOLD_ROUTERS);
            for (_, ip) in routers {
                by_router.entry(ip).or_default().push(notice.clone());
            }
        }
        for (ip, notices) in by_router {
            for part in notices.chunks(MAX_NOTICES_PER_PACKET) {
                self.outbox.push(vec![ip], Packet::StreamOrigins(part.to_vec()));
            }
        }
    }

    /// Has streams recorded in the store, if need be by the collector.
    fn record_origins(&self, notices: &[OriginNotice]) {
        if notices.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let keeper = self.state().record_keeper();
        let Some(keeper) = keeper else {
            self.log_origins(None, notices);
            return;
        };
        self.state().sent_origins.push(now_ms, notices);
        for part in notices.chunks(MAX_NOTICES_PER_PACKET) {
            let receivers = vec![keeper.peer_address.ip()];
            self.outbox.push(receivers, Packet::RecordOrigins(part.to_vec()));
        }
    }

    /// Adds streams of `router`, none for this one, to those that this router writes to the
    /// store.
    pub(crate) fn log_origins(&self, router: Option<IpAddr>, notices: &[OriginNotice]) {
        let now_ms = self.now_ms();
        if let Err(dropped) = self.state().origin_log.record(now_ms, router, notices) {
            warn!(dropped, "the log of streams is full; some will not be recorded");
        }
    }

    /// Has streams recorded again that a collector may not have written which has died.
    pub(crate) fn resend_origins(&self) {
        let now_ms = self.now_ms();
        let notices = {
            let mut state = self.state();
            let keeper = state.record_keeper().map(|keeper| keeper.member);
            state.sent_origins.set_keeper(now_ms, keeper)
        };
        self.record_origins(&notices);
    }

    /// Takes over what another router tells of streams. They may have begun at a version of
    /// which this router knows no upstream yet; others have to be told of its own then.
    pub(crate) fn learn_stream_origins(&self, notices: &[OriginNotice]) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let mut differs_now = false;
        for notice in notices {
            let service = &notice.start.origin.service;
            let differed = state.origins_may_differ(now_ms, service);
            state.stream_origins.learn(now_ms, notice);
            differs_now |= !differed && state.origins_may_differ(now_ms, service);
        }
        drop(state);
        if differs_now {
            self.tell_stream_origins(false);
        }
    }

    /// Answers a router that asks for a stream. A collector first searches the records for
    /// those that do not read them.
    pub(crate) fn answer_inquiry(
        self: &Rc<Self>,
        to: IpAddr,
        request: RequestKey,
        scope: RouteScope,
    ) {
        let now_ms = self.now_ms();
        let (own, is_collector, needs_search) = {
            let state = self.state();
            let own = state.origin_answer(now_ms, request, &scope);
            let is_collector = matches!(state.role(), Some(Role::Collector { .. }));
            let needs_search = state.needs_record_search(now_ms, &own);
            (own, is_collector, needs_search)
        };
        if own.start.is_some() || !is_collector || !needs_search {
            self.send_answer(to, request, own);
            return;
        }
        let node = self.clone();
        spawn_local(async move {
            node.read_records(now_ms.saturating_sub(RECORDS_FRESH_MS)).await;
            let answer = {
                let state = node.state();
                let mut answer = state.origin_answer(node.now_ms(), request, &scope);
                if let RecordedOrigin::At(start) = state.recorded_origins.get(request) {
                    answer.start.get_or_insert(start);
                }
                answer
            };
            node.send_answer(to, request, answer);
        });
    }

    fn send_answer(&self, to: IpAddr, request: RequestKey, answer: OriginAnswer) {
        let from = self.state().view.own_update().router.member.instance.clone();
        self.outbox.push(vec![to], Packet::OriginAnswer { from, request, answer });
    }

    /// Passes the answer of another router on to the inquiries that wait for it.
    pub(crate) fn inquiry_answered(
        &self,
        from: &InstanceName,
        request: RequestKey,
        answer: &OriginAnswer,
    ) {
        self.inquiries.deliver(from, request, answer);
    }

    /// Finds out where the stream that `request` began can go on, if need be from other
    /// routers.
    pub(crate) async fn find_stream_origin(
        self: &Rc<Self>,
        request: RequestKey,
        scope: &RouteScope,
    ) -> OriginFinding {
        let now_ms = self.now_ms();
        let (mut inquiry, addresses) = {
            let state = self.state();
            let own = state.origin_answer(now_ms, request, scope);
            if let Some(start) = own.start {
                return OriginFinding {
                    verdict: OriginVerdict::Found(start, OriginSource::Known),
                    candidates: own.candidates,
                    knows_history: own.knows_history,
                    search: RecordSearch::NotNeeded,
                };
            }
            let routers = state.routers_to_ask(request);
            let asked = routers.iter().map(|(name, _)| name.clone()).collect();
            let addresses: BTreeMap<InstanceName, IpAddr> = routers.into_iter().collect();
            let recorded = state.recorded_origins.get(request);
            let search = if recorded == RecordedOrigin::None
                && state.record_keeper().is_none()
                && state.needs_record_search(now_ms, &own)
            {
                RecordSearch::Pending
            } else {
                RecordSearch::NotNeeded
            };
            let mut inquiry = OriginInquiry::new(now_ms, asked, own.clone(), search);
            if recorded != RecordedOrigin::None {
                inquiry.record_search(now_ms, Some(recorded), own);
            }
            (inquiry, addresses)
        };
        let mut open = self.inquiries.open(request);
        let mut read = pin!(self.read_records(now_ms.saturating_sub(RECORDS_FRESH_MS)));
        let mut ask_ms = now_ms;
        loop {
            let now_ms = self.now_ms();
            if let Some(verdict) = inquiry.verdict(now_ms) {
                if let OriginVerdict::Found(start, OriginSource::Asked | OriginSource::Recorded) =
                    &verdict
                {
                    let mut state = self.state();
                    let lifetime_ms = state.stream_lifetime_ms;
                    let notice = OriginNotice { request, start: start.clone(), lifetime_ms };
                    state.stream_origins.learn(now_ms, &notice);
                }
                return OriginFinding {
                    verdict,
                    candidates: inquiry.candidates().clone(),
                    knows_history: inquiry.knows_history(),
                    search: inquiry.search(),
                };
            }
            if now_ms >= ask_ms {
                ask_ms = now_ms + ASK_AGAIN_MS;
                let asked = inquiry.awaited().iter();
                let ips: Vec<IpAddr> =
                    asked.filter_map(|name| addresses.get(name).copied()).collect();
                if !ips.is_empty() {
                    let scope = scope.clone();
                    self.outbox.push(ips, Packet::OriginQuestion { request, scope });
                    self.count(Counter::OriginQuestions);
                }
            }
            let wake_ms = inquiry.next_change_ms().map_or(ask_ms, |at_ms| at_ms.min(ask_ms));
            tokio::select! {
                Some((from, answer)) = open.answers.next() => {
                    inquiry.record(self.now_ms(), &from, answer);
                }
                has_read = &mut read, if inquiry.search() == RecordSearch::Pending => {
                    let now_ms = self.now_ms();
                    let state = self.state();
                    let recorded = has_read.then(|| state.recorded_origins.get(request));
                    let own = state.origin_answer(now_ms, request, scope);
                    inquiry.record_search(now_ms, recorded, own);
                }
                () = sleep_until(self.clock.instant(wake_ms)) => {}
            }
        }
    }
}
