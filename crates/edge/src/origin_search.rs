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
    origin_inquiry::{
        ASK_AGAIN_MS, InquiryRouters, OriginInquiry, OriginSource, OriginVerdict, RecordSearch,
    },
    peers::Packet,
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
    /// Where the stream may have begun without any router having been told.
    pub(crate) untold: BTreeSet<StreamOrigin>,
    /// State of the search in the records of the store.
    pub(crate) search: RecordSearch,
    /// Number of routers that would know the stream if they had been told of it.
    pub(crate) witnesses: usize,
}

/// The routers that are asked for a stream.
struct AskedRouters {
    asked_ms: u64,
    addresses: BTreeMap<InstanceName, IpAddr>,
    /// The one that keeps the records for this router; none if it reads them itself.
    keeper: Option<InstanceName>,
    /// When the records must have been read at the earliest, in milliseconds.
    records_since_ms: u64,
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
    /// Answers a router that asks for a stream. With `wants_search`, or if the answer may lack
    /// something, a collector first searches the records for those that do not read them.
    pub(crate) fn answer_inquiry(
        self: &Rc<Self>,
        to: IpAddr,
        request: RequestKey,
        scope: RouteScope,
        wants_search: bool,
    ) {
        let now_ms = self.now_ms();
        let (own, searches) = {
            let state = self.state();
            let own = state.origin_answer(now_ms, request, &scope);
            let is_collector = matches!(state.role(), Some(Role::Collector { .. }));
            let needs_search = wants_search || state.needs_record_search(now_ms, &own);
            let searches = own.start.is_none() && is_collector && needs_search;
            (own, searches)
        };
        if !searches {
            self.send_answer(to, request, own);
            return;
        }
        let node = self.clone();
        spawn_local(async move {
            let has_searched = node.read_records(now_ms).await;
            // The shares that were read with the records, for a stream that has none.
            node.send_shares(vec![to]);
            let answer = {
                let state = node.state();
                let mut answer = state.origin_answer(node.now_ms(), request, &scope);
                if let RecordedOrigin::At(start) = state.recorded_origins.get(request) {
                    answer.start.get_or_insert(start);
                }
                OriginAnswer { has_searched, ..answer }
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
    /// routers and from the store. If the caller does not name it (`is_named`), `request` is
    /// the one that takes it up.
    pub(crate) async fn find_stream_origin(
        self: &Rc<Self>,
        request: RequestKey,
        is_named: bool,
        scope: &RouteScope,
    ) -> OriginFinding {
        let now_ms = self.now_ms();
        let (mut inquiry, asked) = match self.open_inquiry(request, is_named, scope) {
            Ok(opened) => opened,
            Err(finding) => return finding,
        };
        let mut open = self.inquiries.open(request);
        let mut read = pin!(self.read_records(asked.records_since_ms));
        let mut ask_ms = now_ms;
        loop {
            let now_ms = self.now_ms();
            if let Some(verdict) = inquiry.verdict(now_ms) {
                return self.end_inquiry(request, &inquiry, verdict);
            }
            // The one that keeps the records for this router searches them if it lives.
            let may_search = asked.keeper.is_none() || now_ms >= asked.asked_ms + ASK_AGAIN_MS;
            if may_search && inquiry.wants_search(now_ms) {
                inquiry.search_started();
            }
            if now_ms >= ask_ms {
                ask_ms = now_ms + ASK_AGAIN_MS;
                self.ask_routers(request, scope, &asked, &inquiry);
            }
            let wake_ms = inquiry.next_change_ms().filter(|at_ms| *at_ms > now_ms);
            let wake_ms = wake_ms.map_or(ask_ms, |at_ms| at_ms.min(ask_ms));
            tokio::select! {
                Some((from, answer)) = open.answers.next() => {
                    let now_ms = self.now_ms();
                    if answer.has_searched && asked.keeper.is_some() {
                        let origin = self.state().unrecorded_origin(now_ms, request, scope, true);
                        inquiry.set_unrecorded(origin);
                    }
                    inquiry.record(now_ms, &from, answer);
                }
                has_read = &mut read, if inquiry.search() == RecordSearch::Pending => {
                    let now_ms = self.now_ms();
                    let state = self.state();
                    // What an earlier read found holds while the store does not answer.
                    let recorded = state.recorded_origins.get(request);
                    let is_known = has_read || recorded != RecordedOrigin::None;
                    let recorded = is_known.then_some(recorded);
                    let own = state.origin_answer(now_ms, request, scope);
                    inquiry.record_search(now_ms, recorded, own);
                    if has_read {
                        let origin = state.unrecorded_origin(now_ms, request, scope, false);
                        inquiry.set_unrecorded(origin);
                    }
                }
                () = sleep_until(self.clock.instant(wake_ms)) => {}
            }
        }
    }

    /// Begins an inquiry. Returns the finding if this router knows without one.
    fn open_inquiry(
        &self,
        request: RequestKey,
        is_named: bool,
        scope: &RouteScope,
    ) -> Result<(OriginInquiry, AskedRouters), OriginFinding> {
        let now_ms = self.now_ms();
        let state = self.state();
        let own = state.origin_answer(now_ms, request, scope);
        if let Some(start) = state.stream_origins.get_settled(now_ms, request) {
            return Err(OriginFinding {
                verdict: OriginVerdict::Found(start.clone(), OriginSource::Known),
                candidates: own.candidates,
                untold: own.untold,
                knows_history: own.knows_history,
                search: RecordSearch::NotStarted,
                witnesses: 0,
            });
        }
        let routers = state.routers_to_ask(request);
        let keeper = state.record_keeper().map(|keeper| keeper.member.instance);
        let needs_search =
            own.start.is_none() && keeper.is_none() && state.needs_record_search(now_ms, &own);
        let search = if needs_search { RecordSearch::Pending } else { RecordSearch::NotStarted };
        let inquiry_routers = InquiryRouters {
            own: state.view.own_update().router.member.instance.clone(),
            ranked: state.ranked_routers(request),
            asked: routers.iter().map(|(name, _)| name.clone()).collect(),
            is_named,
        };
        let asked = AskedRouters {
            asked_ms: now_ms,
            addresses: routers.into_iter().collect(),
            keeper,
            records_since_ms: now_ms,
        };
        Ok((OriginInquiry::new(now_ms, inquiry_routers, own, search), asked))
    }

    /// Asks the routers that have not answered.
    fn ask_routers(
        &self,
        request: RequestKey,
        scope: &RouteScope,
        asked: &AskedRouters,
        inquiry: &OriginInquiry,
    ) {
        let (mut ips, mut keeper_ips) = (Vec::new(), Vec::new());
        for name in inquiry.awaited() {
            let Some(ip) = asked.addresses.get(name) else { continue };
            let is_keeper = asked.keeper.as_ref() == Some(name);
            if is_keeper { keeper_ips.push(*ip) } else { ips.push(*ip) }
        }
        for (ips, wants_search) in [(ips, false), (keeper_ips, true)] {
            if !ips.is_empty() {
                let scope = scope.clone();
                self.outbox.push(ips, Packet::OriginQuestion { request, scope, wants_search });
                self.count(Counter::OriginQuestions);
            }
        }
    }

    fn end_inquiry(
        &self,
        request: RequestKey,
        inquiry: &OriginInquiry,
        verdict: OriginVerdict,
    ) -> OriginFinding {
        if let OriginVerdict::Found(start, OriginSource::Asked | OriginSource::Recorded) = &verdict
        {
            let now_ms = self.now_ms();
            let mut state = self.state();
            let lifetime_ms = state.stream_lifetime_ms;
            let notice = OriginNotice { request, start: start.clone(), lifetime_ms };
            state.stream_origins.learn(now_ms, &notice);
        }
        OriginFinding {
            verdict,
            candidates: inquiry.candidates().clone(),
            untold: inquiry.untold().clone(),
            knows_history: inquiry.knows_history(),
            search: inquiry.search(),
            witnesses: inquiry.witness_count(),
        }
    }
}
