//! Exchange between routers of where streams began.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::IpAddr,
    rc::Rc,
};

use futures::{StreamExt, channel::mpsc};
use span_types::{InstanceName, ServiceName};
use tokio::time::timeout_at;

use crate::{
    metrics::Counter,
    node::Node,
    peers::Packet,
    stream_origin::{
        ASK_AGAIN_MS, ASKED_ROUTERS, OriginAnswer, OriginInquiry, OriginNotice, OriginSource,
        OriginVerdict, RequestKey, StreamOrigin, TOLD_ROUTERS,
    },
};

/// Largest number of notices in a datagram; they fit into it with long names.
const MAX_NOTICES_PER_PACKET: usize = 300;

type Answers = mpsc::UnboundedReceiver<(InstanceName, OriginAnswer)>;
type AnswerSender = mpsc::UnboundedSender<(InstanceName, OriginAnswer)>;

/// What a router found out about where a stream began.
#[derive(Debug)]
pub(crate) struct OriginFinding {
    pub(crate) verdict: OriginVerdict,
    /// Where streams of the route's services may have begun; empty if the router knew the
    /// stream itself.
    pub(crate) candidates: BTreeSet<StreamOrigin>,
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
    /// Records that a caller gets the first event of a stream that `requests` began or
    /// took up, and tells others of it if they could not find out.
    pub(crate) fn stream_began(&self, requests: &[RequestKey], origin: &StreamOrigin) {
        let now_ms = self.now_ms();
        let notices = {
            let mut state = self.state();
            let lifetime_ms = state.stream_lifetime_ms(&origin.service);
            let is_told = state.origins_may_differ(now_ms, &origin.service);
            let origins = &mut state.stream_origins;
            for request in requests {
                origins.begin(now_ms, *request, origin, lifetime_ms);
            }
            let told = requests.iter().filter(|_| is_told);
            told.filter_map(|request| origins.tell(now_ms, *request)).collect()
        };
        self.send_notices(notices);
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
        self.send_notices(notices);
    }

    fn send_notices(&self, notices: Vec<OriginNotice>) {
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

    /// Takes over what another router tells of streams.
    pub(crate) fn learn_stream_origins(&self, notices: &[OriginNotice]) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        for notice in notices {
            state.stream_origins.learn(now_ms, notice);
        }
    }

    /// Answers a router that asks for a stream of one of `services`.
    pub(crate) fn answer_inquiry(&self, to: IpAddr, request: RequestKey, services: &[ServiceName]) {
        let now_ms = self.now_ms();
        let packet = {
            let state = self.state();
            Packet::OriginAnswer {
                from: state.view.own_update().router.member.instance.clone(),
                request,
                answer: OriginAnswer {
                    origin: state.stream_origins.get(now_ms, request).cloned(),
                    candidates: state.origin_candidates(now_ms, services),
                },
            }
        };
        self.outbox.push(vec![to], packet);
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
    /// routers. Its route streams from `services`.
    pub(crate) async fn find_stream_origin(
        self: &Rc<Self>,
        request: RequestKey,
        services: &[ServiceName],
    ) -> OriginFinding {
        let now_ms = self.now_ms();
        let (mut inquiry, addresses) = {
            let state = self.state();
            if let Some(origin) = state.stream_origins.get(now_ms, request) {
                let verdict = OriginVerdict::Found(origin.clone(), OriginSource::Known);
                return OriginFinding { verdict, candidates: BTreeSet::new() };
            }
            let routers = state.routers_for_stream(request, ASKED_ROUTERS);
            let candidates = state.origin_candidates(now_ms, services);
            let asked = routers.iter().map(|(name, _)| name.clone()).collect();
            let addresses: BTreeMap<InstanceName, IpAddr> = routers.into_iter().collect();
            (OriginInquiry::new(now_ms, asked, candidates), addresses)
        };
        let mut open = self.inquiries.open(request);
        let mut ask_ms = now_ms;
        loop {
            let now_ms = self.now_ms();
            if let Some(verdict) = inquiry.verdict(now_ms) {
                if let OriginVerdict::Found(origin, OriginSource::Asked) = &verdict {
                    let mut state = self.state();
                    let lifetime_ms = state.stream_lifetime_ms(&origin.service);
                    let notice = OriginNotice { request, origin: origin.clone(), lifetime_ms };
                    state.stream_origins.learn(now_ms, &notice);
                }
                return OriginFinding { verdict, candidates: inquiry.candidates().clone() };
            }
            if now_ms >= ask_ms {
                ask_ms = now_ms + ASK_AGAIN_MS;
                let asked = inquiry.awaited().iter();
                let ips = asked.filter_map(|name| addresses.get(name).copied()).collect();
                let services = services.to_vec();
                self.outbox.push(ips, Packet::OriginQuestion { request, services });
                self.count(Counter::OriginQuestions);
            }
            let answer = timeout_at(self.clock.instant(ask_ms), open.answers.next()).await;
            if let Ok(Some((from, answer))) = answer {
                inquiry.record(&from, answer);
            }
        }
    }
}
