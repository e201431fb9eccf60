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
use tokio::{task::spawn_local, time::sleep_until};
use tracing::warn;

use crate::{
    metrics::Counter,
    node::Node,
    peers::Packet,
    record_sync::RECORDS_FRESH_MS,
    role::Role,
    stream_origin::{
        ASK_AGAIN_MS, OriginAnswer, OriginInquiry, OriginNotice, OriginSource, OriginVerdict,
        RecordSearch, RequestKey, RouteScope, StreamOrigin, TOLD_ROUTERS,
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
    /// Has the origin recorded of a stream that `requests` are about to begin or take up, if
    /// streams may begin elsewhere. Its first event mostly comes after the next batch, so
    /// that few streams are lost if all routers die. Returns whether that was needed.
    pub(crate) fn record_sent_stream(
        &self,
        requests: &[RequestKey],
        origin: &StreamOrigin,
    ) -> bool {
        let now_ms = self.now_ms();
        let (is_needed, lifetime_ms) = {
            let state = self.state();
            (state.origins_may_differ(now_ms, &origin.service), state.stream_lifetime_ms)
        };
        if is_needed {
            let notice = |request: &RequestKey| OriginNotice {
                request: *request,
                origin: origin.clone(),
                lifetime_ms,
            };
            self.record_origins(&requests.iter().map(notice).collect::<Vec<_>>());
        }
        is_needed
    }

    /// Records that a caller gets the first event of a stream that `requests` began or
    /// took up, and tells others of it if they could not find out. `is_recorded` says whether
    /// the origin was recorded before.
    pub(crate) fn stream_began(
        &self,
        requests: &[RequestKey],
        origin: &StreamOrigin,
        is_recorded: bool,
    ) {
        let now_ms = self.now_ms();
        let notices: Vec<OriginNotice> = {
            let mut state = self.state();
            let lifetime_ms = state.stream_lifetime_ms;
            let is_told = state.origins_may_differ(now_ms, &origin.service);
            let origins = &mut state.stream_origins;
            for request in requests {
                origins.begin(now_ms, *request, origin, lifetime_ms);
            }
            let told = requests.iter().filter(|_| is_told);
            told.filter_map(|request| origins.tell(now_ms, *request)).collect()
        };
        self.tell_routers(&notices);
        if !is_recorded {
            self.record_origins(&notices);
        }
    }

    /// Forgets a stream whose caller has all of it.
    pub(crate) fn stream_ended(&self, requests: &[RequestKey]) {
        let mut state = self.state();
        for request in requests {
            state.stream_origins.end(*request);
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
            self.log_origins(notices);
            return;
        };
        self.state().sent_origins.push(now_ms, notices);
        for part in notices.chunks(MAX_NOTICES_PER_PACKET) {
            let receivers = vec![keeper.peer_address.ip()];
            self.outbox.push(receivers, Packet::RecordOrigins(part.to_vec()));
        }
    }

    /// Adds streams to those that this router writes to the store.
    pub(crate) fn log_origins(&self, notices: &[OriginNotice]) {
        let now_ms = self.now_ms();
        if let Err(dropped) = self.state().origin_log.record(now_ms, notices) {
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
            let service = &notice.origin.service;
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
        if own.origin.is_some() || !is_collector || !needs_search {
            self.send_answer(to, request, own);
            return;
        }
        let node = self.clone();
        spawn_local(async move {
            node.read_records(now_ms.saturating_sub(RECORDS_FRESH_MS)).await;
            let answer = {
                let state = node.state();
                let mut answer = state.origin_answer(node.now_ms(), request, &scope);
                if let RecordedOrigin::At(origin) = state.recorded_origins.get(request) {
                    answer.origin.get_or_insert(origin);
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
            if let Some(origin) = own.origin {
                return OriginFinding {
                    verdict: OriginVerdict::Found(origin, OriginSource::Known),
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
                if let OriginVerdict::Found(origin, OriginSource::Asked | OriginSource::Recorded) =
                    &verdict
                {
                    let mut state = self.state();
                    let lifetime_ms = state.stream_lifetime_ms;
                    let notice = OriginNotice { request, origin: origin.clone(), lifetime_ms };
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
