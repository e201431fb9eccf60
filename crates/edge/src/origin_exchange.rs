//! What routers tell each other, and have recorded in the store, of where streams began.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    rc::Rc,
    time::Duration,
};

use span_types::{InstanceName, Member, ServiceName, SoftwareVersion};
use tokio::{
    sync::Notify,
    time::{timeout, timeout_at},
};
use tracing::{info, warn};

use crate::{
    forward::RequestData,
    metrics::Timing,
    node::Node,
    origin_confirmation::{MAX_CONFIRMATION_WAIT_MS, OriginConfirmation},
    origin_inquiry::ASK_AGAIN_MS,
    origin_log::RecordReceipt,
    peers::Packet,
    role::Role,
    stream_history::ListedShares,
    stream_origin::{AttemptOrigin, OriginNotice, RequestKey, StreamAttempt, StreamOrigin},
};

/// Largest number of notices in a datagram; they fit into it with long names.
const MAX_NOTICES_PER_PACKET: usize = 300;

/// Largest number of versions in a datagram; they fit into it with long names.
const MAX_VERSIONS_PER_PACKET: usize = 100;

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
    fn open(&self, request: RequestKey, confirmation: OriginConfirmation) -> OpenConfirmation {
        let confirmation = RefCell::new(confirmation);
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

    fn notify_all(&self) {
        for pending in self.pending.borrow().values() {
            pending.changed.notify_one();
        }
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

impl Node {
    /// Tells others of a stream that an attempt at a request is about to begin or take up, and
    /// has it recorded, if streams may begin elsewhere, or others know of an earlier attempt.
    /// The first event mostly comes after they have answered, and after the next batch.
    /// `confirmation` is that of the earlier attempt.
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
            let may_differ = state.origins_may_differ(now_ms, &origin.service)
                || state.stream_history.rules_out(origin);
            (may_differ, state.stream_lifetime_ms)
        };
        if !is_needed && confirmation.is_none() {
            return None;
        }
        let start = AttemptOrigin { origin: origin.clone(), attempt };
        let request = data.own_attempt(attempt).request;
        let holders = self.state().holders(request);
        let confirmation = match confirmation {
            Some(confirmation) => {
                let mut known = confirmation.pending.confirmation.borrow_mut();
                known.start_attempt(now_ms, start, holders);
                drop(known);
                confirmation
            }
            None => {
                self.confirmations.open(request, OriginConfirmation::new(now_ms, start, holders))
            }
        };
        let streams = data.stream_attempts(attempt);
        let notices = streams.iter().map(|stream| notice(*stream, origin, lifetime_ms));
        self.send_notices(notices.collect());
        Some(confirmation)
    }

    /// Whether the caller may get the first event of a stream.
    pub(crate) fn is_confirmed(&self, confirmation: &OpenConfirmation) -> bool {
        let now_ms = self.now_ms();
        let known = confirmation.pending.confirmation.borrow();
        let state = self.state();
        let origin = &known.start().origin;
        let is_in_history = state.is_in_history(now_ms, origin);
        let may_be_unrecorded = state.may_begin_unrecorded(confirmation.request, origin);
        known.is_confirmed(now_ms, is_in_history, may_be_unrecorded)
    }

    /// Asks the collector of a member of a large fleet which versions the history names.
    pub(crate) fn ask_recorded_versions(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let Some(keeper) = state.record_keeper() else { return };
        let versions = state.unconfirmed_versions(now_ms);
        drop(state);
        for part in versions.chunks(MAX_VERSIONS_PER_PACKET) {
            let receivers = vec![keeper.peer_address.ip()];
            self.outbox.push(receivers, Packet::VersionQuestion(part.to_vec()));
        }
    }

    /// Tells the routers that read the history which revision of it this one uses, and the members
    /// for which it keeps the records. One that has an older one reads it again.
    pub(crate) fn tell_history_use(&self) {
        let state = self.state();
        let history = &state.stream_history;
        let has_shares = history.listed_shares().is_some_and(|shares| !shares.is_empty());
        if state.record_keeper().is_some() || !has_shares {
            return;
        }
        let receivers = match state.role() {
            Some(Role::Collector { other_collectors, .. }) => other_collectors,
            Some(Role::Member { .. }) | None => state.other_router_ips(),
        };
        let packet = Packet::HistoryUse {
            from: state.view.own_update().router.member.clone(),
            known: history.revision(),
            used: history.kept_revision(),
        };
        drop(state);
        self.outbox.push(receivers, packet);
    }

    /// Takes over which revision of the history another router uses.
    pub(crate) fn learn_history_use(&self, from: &Member, known: Option<u64>, used: Option<u64>) {
        let mut state = self.state();
        if let Some(revision) = used {
            state.stream_history.record_use(from, revision);
        }
        if known > state.stream_history.revision() {
            state.stream_history.invalidate();
            drop(state);
            self.records_changed.notify_one();
        }
    }

    /// Asks the collector of a member of a large fleet for the shares of versions, and tells it
    /// which ones this router uses.
    pub(crate) fn ask_version_shares(&self) {
        let now_ms = self.now_ms();
        let state = self.state();
        let Some(keeper) = state.record_keeper() else { return };
        if !state.has_several_versions(now_ms) {
            return;
        }
        let packet = Packet::SharesQuestion {
            from: state.view.own_update().router.member.clone(),
            used: state.stream_history.collector_revision(),
        };
        drop(state);
        self.outbox.push(vec![keeper.peer_address.ip()], packet);
    }

    /// Tells a member of a large fleet the shares of versions in the history.
    pub(crate) fn answer_shares_question(&self, to: IpAddr, from: &Member, used: Option<u64>) {
        let mut state = self.state();
        if state.record_keeper().is_some() {
            return;
        }
        if let Some(revision) = used {
            state.stream_history.record_use(from, revision);
        }
        drop(state);
        self.send_shares(vec![to]);
    }

    /// Sends the shares of versions in the history, if it was read.
    pub(crate) fn send_shares(&self, to: Vec<IpAddr>) {
        let packet = {
            let state = self.state();
            let history = &state.stream_history;
            let (Some(revision), Some(shares)) = (history.revision(), history.listed_shares())
            else {
                return;
            };
            Packet::VersionShares {
                revision,
                shares: shares.clone().into_iter().collect(),
                is_store_away: state.is_record_store_away(),
            }
        };
        self.outbox.push(to, packet);
    }

    /// Applies a change of whether the store takes records of streams, also at the members for
    /// which this router keeps them.
    pub(crate) fn store_takes_streams_changed(&self) {
        let members = {
            let mut state = self.state();
            if !state.sync_required_versions() {
                return;
            }
            match state.role() {
                Some(Role::Collector { members, .. }) => members,
                Some(Role::Member { .. }) | None => return,
            }
        };
        self.send_shares(members.into_iter().map(|(_, ip)| ip).collect());
    }

    /// Takes over the shares of versions, as the collector says.
    pub(crate) fn learn_version_shares(
        &self,
        revision: u64,
        shares: ListedShares,
        is_store_away: bool,
    ) {
        let mut state = self.state();
        state.stream_history.set_collector_shares(revision, shares, is_store_away);
        state.sync_required_versions();
        drop(state);
        self.confirmations.notify_all();
    }

    /// Asks the collector of a member of a large fleet which versions services with several had
    /// before it started. If there was one, streams from then that nobody knows began there.
    pub(crate) fn ask_versions_before_start(&self) {
        let uptime_ms = self.now_ms();
        let (keeper, services) = {
            let state = self.state();
            let Some(keeper) = state.record_keeper() else { return };
            (keeper, state.services_with_unknown_earlier_versions(uptime_ms))
        };
        for part in services.chunks(MAX_VERSIONS_PER_PACKET) {
            let receivers = vec![keeper.peer_address.ip()];
            self.outbox.push(
                receivers,
                Packet::EarlierVersionQuestion { uptime_ms, services: part.to_vec() },
            );
        }
    }

    /// Tells a member of a large fleet, which has run for `uptime_ms`, which of `services` had only
    /// one version until it started. If the history was not read since, has it read: the member
    /// asks again.
    pub(crate) fn answer_versions_before_start(
        &self,
        to: IpAddr,
        uptime_ms: u64,
        services: Vec<ServiceName>,
    ) {
        let started_ms = self.now_ms().checked_sub(uptime_ms);
        if !self.has_read_records_since(started_ms) {
            return;
        }
        let versions = {
            let state = self.state();
            if state.record_keeper().is_some() {
                return;
            }
            let only_version = |service: ServiceName| {
                let version = state.stream_history.only_version(&service).cloned();
                (service, version)
            };
            services.into_iter().map(only_version).collect()
        };
        self.outbox.push(vec![to], Packet::OnlyVersions(versions));
    }

    /// Takes over which versions services had before this process, as the collector says.
    pub(crate) fn learn_versions_before_start(
        &self,
        versions: Vec<(ServiceName, Option<SoftwareVersion>)>,
    ) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        for (service, version) in versions {
            info!(
                service = service.as_str(),
                version = version.as_ref().map(SoftwareVersion::as_str),
                "the collector says where streams from before the start began"
            );
            state.stream_origins.set_only_version_before_start(now_ms, &service, version);
        }
    }

    /// Tells a member of a large fleet which of `versions` the history names.
    pub(crate) fn answer_version_question(&self, to: IpAddr, versions: Vec<StreamOrigin>) {
        let recorded = self.state().recorded_versions(versions);
        if !recorded.is_empty() {
            self.outbox.push(vec![to], Packet::RecordedVersions(recorded));
        }
    }

    /// Takes over which versions the history names, as the collector says.
    pub(crate) fn versions_recorded(&self, versions: Vec<StreamOrigin>) {
        self.state().stream_history.confirm(versions);
        self.history_written();
    }

    /// Lets streams begin that waited for the history in the store.
    pub(crate) fn history_written(&self) {
        self.state().sync_recorded_versions();
        self.confirmations.notify_all();
    }

    /// Waits until the caller may get the first event of a stream. Returns false if others
    /// could not be told in time where it began.
    pub(crate) async fn await_confirmation(self: Rc<Self>, confirmation: OpenConfirmation) -> bool {
        let started_ms = self.now_ms();
        let until = self.clock.instant(started_ms + MAX_CONFIRMATION_WAIT_MS);
        let confirmed = async {
            while !self.is_confirmed(&confirmation) {
                self.tell_silent_holders(&confirmation);
                let again = Duration::from_millis(ASK_AGAIN_MS);
                let _ = timeout(again, confirmation.pending.changed.notified()).await;
            }
        };
        let is_confirmed = timeout_at(until, confirmed).await.is_ok();
        let waited_ms = self.now_ms().saturating_sub(started_ms);
        self.state().metrics.time(Timing::OriginConfirmationMs, waited_ms);
        is_confirmed
    }

    /// Tells the holders of a stream again that have not answered: a datagram may be lost.
    fn tell_silent_holders(&self, confirmation: &OpenConfirmation) {
        let known = confirmation.pending.confirmation.borrow();
        let lifetime_ms = self.state().stream_lifetime_ms;
        let start = known.start();
        let stream = StreamAttempt { request: confirmation.request, attempt: start.attempt };
        let packet = Packet::StreamOrigins(vec![notice(stream, &start.origin, lifetime_ms)]);
        let silent = known.silent().iter();
        let ips: Vec<IpAddr> = {
            let state = self.state();
            silent.filter_map(|name| Some(state.view.router(name)?.peer_address.ip())).collect()
        };
        self.outbox.push(ips, packet);
    }

    /// Records that another router knows of streams.
    pub(crate) fn origins_learned(&self, from: &InstanceName, streams: &[StreamAttempt]) {
        for stream in streams {
            self.confirmations.update(stream.request, |known| known.acknowledged(from, *stream));
        }
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
    /// and tells others of it if they could not find out. `is_told` says whether they were told
    /// when the request was sent.
    pub(crate) fn stream_began(
        &self,
        streams: &[StreamAttempt],
        origin: &StreamOrigin,
        is_told: bool,
    ) {
        let now_ms = self.now_ms();
        let notices: Vec<OriginNotice> = {
            let mut state = self.state();
            let lifetime_ms = state.stream_lifetime_ms;
            let may_differ = state.origins_may_differ(now_ms, &origin.service);
            let origins = &mut state.stream_origins;
            for StreamAttempt { request, attempt } in streams {
                let start = AttemptOrigin { origin: origin.clone(), attempt: *attempt };
                if is_told {
                    origins.begin_told(now_ms, *request, &start, lifetime_ms);
                } else {
                    origins.begin(now_ms, *request, &start, lifetime_ms);
                }
            }
            let untold = streams.iter().filter(|_| may_differ);
            untold.filter_map(|stream| origins.tell(now_ms, stream.request)).collect()
        };
        self.send_notices(notices);
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
    pub(crate) fn send_notices(&self, notices: Vec<OriginNotice>) {
        self.tell_routers(&notices);
        self.record_origins(&notices);
    }

    fn tell_routers(&self, notices: &[OriginNotice]) {
        let mut by_router: BTreeMap<IpAddr, Vec<OriginNotice>> = BTreeMap::new();
        for notice in notices {
            for ip in self.state().routers_to_tell(notice.request) {
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

    /// Takes over what the router at `from` tells of streams, and tells it so. They may have
    /// begun at a version of which this router knows no upstream yet; others have to be told of
    /// its own then.
    pub(crate) fn learn_stream_origins(&self, from: IpAddr, notices: &[OriginNotice]) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let mut differs_now = false;
        for notice in notices {
            let service = &notice.start.origin.service;
            let differed = state.origins_may_differ(now_ms, service);
            state.stream_origins.learn(now_ms, notice);
            differs_now |= !differed && state.origins_may_differ(now_ms, service);
        }
        let own_name = state.view.own_update().router.member.instance.clone();
        drop(state);
        let streams = notices.iter().map(OriginNotice::stream_attempt).collect();
        self.outbox.push(vec![from], Packet::OriginsLearned { from: own_name, streams });
        if differs_now {
            self.tell_stream_origins(false);
        }
    }
}
