//! Search for where a stream began, at other routers and in the records of the store.

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

use crate::{
    metrics::Counter,
    node::Node,
    origin_inquiry::{ASK_AGAIN_MS, OriginInquiry, OriginSource, OriginVerdict, RecordSearch},
    peers::Packet,
    record_sync::RECORDS_FRESH_MS,
    role::Role,
    stream_origin::{OriginAnswer, OriginNotice, RequestKey, RouteScope, StreamOrigin},
    stream_records::RecordedOrigin,
};

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
