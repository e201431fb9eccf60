//! Communication with other routers: heartbeats, load summaries, and
//! configurations fetched from peers.
//!
//! Heartbeats and load summaries are single UDP datagrams. A lost one has no
//! lasting effect, and a failed path leaves no connection that must be detected
//! as dead.

use std::{
    cell::Cell,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use span_member::{MemberChange, MemberUpdate, Router};
use span_types::{FailureDomain, InstanceName, Member, ServiceName, SoftwareVersion};
use tokio::{net::UdpSocket, task::spawn_local, time::sleep};
use tracing::{info, warn};

use crate::{
    cold::ColdSource,
    evacuation::EvacuationNews,
    http_client::HttpClient,
    load_summary::{self, LoadSummary, ServiceLoads},
    metrics::Counter,
    node::Node,
    prompt_crashes::SegmentNotice,
    registry::SharedEntry,
    role::Role,
    store::Position,
    store_source::{START_HEARTBEAT_INTERVAL_MS, StoreKnowledge},
    store_sync::MAX_ENTRIES_LAG_MS,
    stream_origin::{
        OriginAnswer, OriginNotice, RequestKey, RouteScope, StreamAttempt, StreamOrigin,
    },
    upstream_limit::LimitSummary,
    version_shares::VersionShares,
};

/// Interval between heartbeats, in milliseconds; about a third of the time after
/// which a silent router is suspect.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Heartbeat rounds between two contacts with routers that are listed but have not
/// joined yet.
const UNJOINED_CONTACT_ROUNDS: u64 = 4;
/// Largest number of updates about other routers in a heartbeat; about as many as
/// fit into one packet of the network. When a whole fleet starts, each router has to
/// hear of every other within seconds.
pub const MAX_UPDATES_PER_HEARTBEAT: usize = 24;
/// Largest number of updates in a heartbeat to a router whose view differs.
const MAX_UPDATES_PER_VIEW: usize = 500;
/// Heartbeat rounds between two comparisons of views. A router compares its view
/// with one other, so a difference that no update in circulation corrects reaches
/// all routers within a few comparisons.
pub const VIEW_COMPARISON_ROUNDS: u64 = 4;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Delay before a router that reads the store fetches a newer configuration from a
/// peer, in milliseconds. Usually the store delivers it earlier.
const CONFIG_FETCH_DELAY_MS: u64 = 100;
/// Time without progress after which a fetch from a peer fails, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// A datagram between routers. Encoded by position: variants and fields must not
/// change their order or type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// A router is alive.
    Heartbeat(Heartbeat),
    /// From a router to the collector of its failure domain: the router's load.
    RouterSummary(SummaryMessage),
    /// From a collector to the other collectors: the sum of its failure domain.
    DomainSummary(FailureDomain, SummaryMessage),
    /// From a collector to the routers of its failure domain: the sum of the
    /// fleet.
    FleetSummary(SummaryMessage),
    /// Tells of streams that the sender began.
    StreamOrigins(Vec<OriginNotice>),
    /// Asks where a stream began.
    OriginQuestion {
        /// The request that began the stream.
        request: RequestKey,
        /// Where it may have begun.
        scope: RouteScope,
        /// Whether the receiver is to search the records of the store for it.
        wants_search: bool,
    },
    /// Answers an [`Packet::OriginQuestion`].
    OriginAnswer {
        /// Name of the sender.
        from: InstanceName,
        /// The request that began the stream.
        request: RequestKey,
        /// What the sender knows of it.
        answer: OriginAnswer,
    },
    /// Tells of prompts that crash upstreams.
    PromptCrashes(Vec<SegmentNotice>),
    /// Tells of the limits on requests per second that upstreams name. Goes the ways of
    /// load summaries, and in a small fleet from each router to all others.
    UpstreamLimits {
        /// Name of the sender.
        from: InstanceName,
        /// Whose reports are summed up.
        scope: SummaryScope,
        /// The limits, and the claims of these routers.
        limits: LimitSummary,
    },
    /// From a router to the collector of its failure domain: streams to record in the store.
    RecordOrigins(Vec<OriginNotice>),
    /// Answers a [`Packet::RecordOrigins`] once the store has the streams.
    OriginsRecorded(Vec<StreamAttempt>),
    /// Answers a [`Packet::StreamOrigins`].
    OriginsLearned {
        /// Name of the sender.
        from: InstanceName,
        /// The attempts that it knows of now.
        streams: Vec<StreamAttempt>,
    },
    /// Tells of the failure domains that the operator has evacuated. Routers of earlier
    /// software ignore it.
    Evacuations(EvacuationNews),
    /// From a router to the collector of its failure domain: asks which of these versions the
    /// history in the store names.
    VersionQuestion(Vec<StreamOrigin>),
    /// Answers a [`Packet::VersionQuestion`] with those that it names.
    RecordedVersions(Vec<StreamOrigin>),
    /// From a router to the collector of its failure domain: asks which versions services had
    /// before it started.
    EarlierVersionQuestion {
        /// Time for which the sender has run, in milliseconds.
        uptime_ms: u64,
        /// The services.
        services: Vec<ServiceName>,
    },
    /// Answers a [`Packet::EarlierVersionQuestion`]: the only version of each service in the history in the
    /// store, which was read since the router started; none if it names several or is incomplete.
    OnlyVersions(Vec<(ServiceName, Option<SoftwareVersion>)>),
    /// Tells which revision of the history in the store a router knows, and which one it and the
    /// routers use for which it keeps records. Routers of earlier software ignore it.
    HistoryUse {
        /// The sender.
        from: Member,
        /// The revision that the sender has read or written last.
        known: Option<u64>,
        /// The revision under which all streams began that are not in the store yet.
        used: Option<u64>,
    },
    /// From a router to the collector of its failure domain: asks for the shares of versions.
    SharesQuestion {
        /// The sender.
        from: Member,
        /// Revision of the history whose shares the sender uses.
        used: Option<u64>,
    },
    /// Answers a [`Packet::SharesQuestion`] with the shares that the history lists.
    VersionShares {
        /// Revision of the history.
        revision: u64,
        /// The shares of the versions of each service.
        shares: Vec<(ServiceName, Vec<VersionShares>)>,
        /// Whether the store takes no records of streams at the moment.
        is_store_away: bool,
    },
}

/// Routers that a summary covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SummaryScope {
    /// The sender.
    Router,
    /// All routers of the sender's failure domain.
    Domain(FailureDomain),
    /// All routers.
    Fleet,
}

/// A load summary with what its sender knows of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SummaryMessage {
    /// The sender.
    pub from: Router,
    /// Load of the sender, of its failure domain or of the fleet.
    pub summary: LoadSummary,
    /// What the sender knows of the store.
    pub store: StoreKnowledge,
}

/// Heartbeat of a router, with its load and what it knows of other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender and its state.
    pub from: MemberUpdate,
    /// What the sender knows of the store.
    pub store: StoreKnowledge,
    /// Load from the sender's callers; empty in a fleet with collectors.
    pub loads: ServiceLoads,
    /// Whether the sender wants a heartbeat in return.
    pub wants_reply: bool,
    /// Hash of the sender's view, if the receiver is to compare it with its own.
    pub view_hash: Option<u64>,
    /// What the sender knows of other routers.
    pub updates: Vec<MemberUpdate>,
}

/// Answer to a request for upstream entries: the position of the store that they
/// correspond to, and the entries.
pub(crate) type UpstreamsAnswer = (Position, Vec<SharedEntry>);

/// Sends and receives datagrams, and fetches newer configurations and upstream
/// entries from peers.
pub(crate) struct Peers {
    node: Rc<Node>,
    socket: UdpSocket,
    fetching_config: Cell<bool>,
    fetching_upstreams: Cell<bool>,
}

impl Peers {
    /// Binds the UDP socket.
    pub(crate) async fn bind(node: Rc<Node>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(node.settings().addresses.heartbeats).await?;
        Ok(Rc::new(Self {
            node,
            socket,
            fetching_config: Cell::new(false),
            fetching_upstreams: Cell::new(false),
        }))
    }

    /// Sends heartbeats until the process ends.
    pub(crate) async fn send_heartbeats(self: Rc<Self>) {
        for round in 0u64.. {
            self.run_heartbeat_round(round);
            let interval_ms = if self.node.awaits_peers() {
                START_HEARTBEAT_INTERVAL_MS
            } else {
                HEARTBEAT_INTERVAL_MS
            };
            sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    fn run_heartbeat_round(&self, round: u64) {
        let now_ms = self.node.now_ms();
        let (targets, view_hash, changes) = {
            let mut state = self.node.state();
            let nearly_suspect = state.view.nearly_suspect(now_ms);
            let live = state.view.live_routers();
            let plan = state.view.heartbeat_plan();
            let (mut names, monitored) = (plan.targets, plan.expected);
            names.extend(
                nearly_suspect.into_iter().filter(|name| !names.contains(name)).collect::<Vec<_>>(),
            );
            let live_ips: Vec<IpAddr> =
                live.iter().map(|router| router.peer_address.ip()).collect();
            let mut targets: Vec<(Option<InstanceName>, IpAddr)> = names
                .into_iter()
                .filter_map(|name| {
                    let router = live.iter().find(|router| router.member.instance == name)?;
                    Some((Some(name), router.peer_address.ip()))
                })
                .collect();
            if round.is_multiple_of(UNJOINED_CONTACT_ROUNDS) || live_ips.len() <= 1 {
                let unjoined = state.view.unjoined_instances();
                targets.extend(unjoined.iter().map(|router| (None, router.peer_address.ip())));
                let settings = self.node.settings();
                let seeds = settings.seeds.iter().map(SocketAddr::ip);
                targets.extend(seeds.filter(|ip| !live_ips.contains(ip)).map(|ip| (None, ip)));
            }
            // A router that knows no other one compares its view with each that it
            // contacts.
            let compared = if live_ips.len() <= 1 {
                targets.len()
            } else {
                usize::from(round.is_multiple_of(VIEW_COMPARISON_ROUNDS))
            };
            let first = state.rng.random_range(0..targets.len().max(1));
            targets.rotate_left(first);
            let view_hash = (compared > 0).then(|| (state.view.view_hash(), compared));
            (targets, view_hash, state.view.check_timeouts(now_ms, &monitored))
        };
        self.apply_changes(&changes);
        self.node.divide_capacity();
        for (index, (name, ip)) in targets.into_iter().enumerate() {
            let compares = view_hash.filter(|(_, compared)| index < *compared);
            self.send_heartbeat(ip, name.as_ref(), compares.map(|(hash, _)| hash), true);
        }
        self.node.share_evacuations();
    }

    /// Exchanges load summaries until the process ends. Does nothing in a fleet
    /// without collectors.
    pub(crate) async fn exchange_summaries(self: Rc<Self>) {
        let interval = Duration::from_millis(load_summary::BUSY_INTERVAL_MS);
        for round in 0u64.. {
            // Changes that the routers of the failure domain wait for are sent
            // at once.
            let trigger = self.node.summary_trigger.notified();
            let is_triggered = tokio::time::timeout(interval, trigger).await.is_ok();
            let to_all = is_triggered || round.is_multiple_of(load_summary::IDLE_INTERVALS);
            let role = self.node.state().role();
            let Some(role) = role else {
                self.send_limits_to_all();
                continue;
            };
            let own_summary = self.node.load_summary();
            match role {
                Role::Member { collector_ip, .. } => {
                    if to_all || !own_summary.loads.is_empty() {
                        let message = self.summary_message(own_summary);
                        self.send_packet(&[collector_ip], &Packet::RouterSummary(message));
                        let limits = self.own_limits();
                        self.send_limits(&[collector_ip], SummaryScope::Router, limits);
                    }
                }
                Role::Collector { domain, members, other_collectors, .. } => {
                    let busy = self.node.state().received_summaries.busy_routers();
                    let members: Vec<IpAddr> = members
                        .into_iter()
                        .filter(|(name, _)| to_all || busy.contains(name))
                        .map(|(_, ip)| ip)
                        .collect();
                    self.send_sums(own_summary, domain, &members, &other_collectors);
                }
            }
        }
    }

    fn summary_message(&self, summary: LoadSummary) -> SummaryMessage {
        let now_ms = self.node.now_ms();
        let state = self.node.state();
        let from = state.view.own_update().router.clone();
        SummaryMessage { from, summary, store: state.store_knowledge(now_ms) }
    }

    /// As the collector, sends the sum of the failure domain to the other
    /// collectors and the sum of the fleet to the domain's routers.
    fn send_sums(
        &self,
        own_summary: LoadSummary,
        domain: FailureDomain,
        members: &[IpAddr],
        other_collectors: &[IpAddr],
    ) {
        let now_ms = self.node.now_ms();
        let (domain_sum, fleet_sum) = {
            let mut state = self.node.state();
            let fleet_sum = state.received_summaries.fleet_sum(now_ms, &own_summary);
            state.fleet_summary.set(now_ms, fleet_sum.clone());
            (state.received_summaries.domain_sum(now_ms, &own_summary), fleet_sum)
        };
        let packet = Packet::DomainSummary(domain.clone(), self.summary_message(domain_sum));
        self.send_packet(other_collectors, &packet);
        let packet = Packet::FleetSummary(self.summary_message(fleet_sum));
        self.send_packet(members, &packet);
        let (domain_limits, fleet_limits) = {
            let mut state = self.node.state();
            let own_limits = state.own_limits(now_ms);
            let domain_limits = state.received_limits.domain_sum(now_ms, &own_limits);
            (domain_limits, state.received_limits.fleet_sum(now_ms, &own_limits))
        };
        self.send_limits(other_collectors, SummaryScope::Domain(domain), domain_limits);
        self.send_limits(members, SummaryScope::Fleet, fleet_limits);
        self.node.divide_capacity();
    }

    fn own_limits(&self) -> LimitSummary {
        let now_ms = self.node.now_ms();
        self.node.state().own_limits(now_ms)
    }

    /// Tells all other routers of a small fleet of the limits that upstreams name.
    fn send_limits_to_all(&self) {
        let others = self.node.state().other_router_ips();
        self.send_limits(&others, SummaryScope::Router, self.own_limits());
    }

    fn send_limits(&self, receivers: &[IpAddr], scope: SummaryScope, limits: LimitSummary) {
        if limits.is_empty() {
            return;
        }
        let from = self.node.state().view.own_update().router.member.instance.clone();
        self.send_packet(receivers, &Packet::UpstreamLimits { from, scope, limits });
    }

    fn receive_limits(&self, from: InstanceName, scope: SummaryScope, limits: LimitSummary) {
        let now_ms = self.node.now_ms();
        let mut state = self.node.state();
        // A collector divides capacity when it sends its sums.
        let divides = scope == SummaryScope::Fleet || !state.has_collectors();
        match scope {
            SummaryScope::Router => state.received_limits.set_router(now_ms, from, limits),
            SummaryScope::Domain(domain) => {
                state.received_limits.set_domain(now_ms, domain, limits);
            }
            SummaryScope::Fleet => state.fleet_limits.set(now_ms, limits),
        }
        drop(state);
        if divides {
            self.node.divide_capacity();
        }
    }

    fn receive_fleet_summary(self: &Rc<Self>, message: SummaryMessage) {
        let now_ms = self.node.now_ms();
        self.node.state().fleet_summary.set(now_ms, message.summary);
        self.node.divide_capacity();
        self.receive_store_knowledge(message.from, message.store, true);
    }

    /// Takes over what another router knows of the store, as far as it is newer.
    /// `is_collector` says whether that is the collector of this failure domain.
    fn receive_store_knowledge(
        self: &Rc<Self>,
        from: Router,
        reported: StoreKnowledge,
        is_collector: bool,
    ) {
        let now_ms = self.node.now_ms();
        let interval_ms = self.node.settings().entry_renewal_interval_ms;
        let (has_older_config, wants_entries) = {
            let mut state = self.node.state();
            state.registry.store_served_others(now_ms.saturating_sub(reported.store_age_ms));
            state.store_source.record_peer_report(now_ms, reported.store_age_ms, is_collector);
            state.config_reports.record(now_ms, &from.member, reported.config_version);
            let own = state.store_knowledge(now_ms);
            let is_same = reported.registry_digest == own.registry_digest;
            if is_same && own.registry_position > Position::default() {
                state.registry.confirm(now_ms, reported.registry_position, interval_ms);
                let age_ms = reported.store_age_ms + MAX_ENTRIES_LAG_MS;
                let era = reported.registry_position.era;
                state.processes.record_entries(now_ms, now_ms.saturating_sub(age_ms), era);
            }
            let has_older_entries = reported.registry_position > own.registry_position && !is_same;
            let wants_entries = has_older_entries && {
                let order = state.read_order();
                state.store_source.accepts_peer_entries(now_ms, order)
            };
            (reported.config_version > own.config_version, wants_entries)
        };
        if has_older_config {
            self.schedule_config_fetch(from.clone());
        }
        if wants_entries && !self.fetching_upstreams.replace(true) {
            let peers = self.clone();
            spawn_local(async move {
                if let Err(cause) = peers.fetch_upstreams(&from).await {
                    warn!(
                        router = %from.member,
                        cause,
                        "cannot fetch upstream entries from a router; reading them from the store"
                    );
                    peers.node.state().store_source.record_upstreams_fetch_failure();
                }
                peers.fetching_upstreams.set(false);
            });
        }
    }

    /// Fetches another router's upstream entries and applies them if they are newer
    /// by then. The error is the cause, for logs.
    async fn fetch_upstreams(&self, from: &Router) -> Result<(), String> {
        let client = HttpClient::new(from.peer_address);
        let call = client.call(Request::get("/upstream-entries"), Bytes::new(), FETCH_TIMEOUT_MS);
        let answer = call.await.map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()));
        }
        let (position, entries): UpstreamsAnswer = postcard::from_bytes(answer.body())
            .map_err(|error| format!("cannot decode: {error}"))?;
        let interval_ms = self.node.settings().entry_renewal_interval_ms;
        self.node.replace_entries(position, ColdSource::Router, |registry, now_ms| {
            registry.replace_if_newer(now_ms, position, entries, interval_ms)
        });
        Ok(())
    }

    fn send_packet(&self, ips: &[IpAddr], packet: &Packet) {
        let port = self.node.settings().addresses.heartbeats.port();
        match postcard::to_stdvec(packet) {
            // A datagram that the socket does not accept counts as lost.
            Ok(bytes) => ips.iter().for_each(|ip| {
                drop(self.socket.try_send_to(&bytes, SocketAddr::new(*ip, port)));
            }),
            Err(error) => warn!(%error, "cannot encode a datagram; not sent"),
        }
    }

    /// Sends the datagrams in the outbox until the process ends.
    pub(crate) async fn send_outbox(self: Rc<Self>) {
        loop {
            for (ips, packet) in self.node.outbox.take().await {
                self.send_packet(&ips, &packet);
            }
        }
    }

    /// Sends a heartbeat to all live routers at once, for changes that must not
    /// wait for the next round, such as leaving.
    pub(crate) fn send_heartbeat_to_all(&self) {
        let live: Vec<(InstanceName, IpAddr)> = {
            let state = self.node.state();
            let own_name = &state.view.own_update().router.member.instance;
            let others = state
                .view
                .live_routers()
                .into_iter()
                .filter(|router| router.member.instance != *own_name);
            others
                .map(|router| (router.member.instance.clone(), router.peer_address.ip()))
                .collect()
        };
        for (name, ip) in live {
            self.send_heartbeat(ip, Some(&name), None, false);
        }
    }

    /// Sends a heartbeat to `ip`; `peer` is the router there, if known.
    fn send_heartbeat(
        &self,
        ip: IpAddr,
        peer: Option<&InstanceName>,
        view_hash: Option<u64>,
        wants_reply: bool,
    ) {
        let updates = {
            let mut state = self.node.state();
            match peer {
                Some(peer) => state.view.next_updates(peer, MAX_UPDATES_PER_HEARTBEAT),
                None => {
                    let all = state.view.all_updates().into_iter();
                    all.take(MAX_UPDATES_PER_HEARTBEAT).collect()
                }
            }
        };
        self.send_heartbeat_with(ip, view_hash, wants_reply, updates);
    }

    /// Sends all updates to a router whose view differs.
    fn send_all_updates(&self, ip: IpAddr) {
        let updates = {
            let mut state = self.node.state();
            let mut all = state.view.all_updates();
            // In a fleet larger than a datagram, each one carries another part.
            let first = state.rng.random_range(0..all.len().max(1));
            all.rotate_left(first);
            all.truncate(MAX_UPDATES_PER_VIEW);
            all
        };
        self.send_heartbeat_with(ip, None, false, updates);
    }

    fn send_heartbeat_with(
        &self,
        ip: IpAddr,
        view_hash: Option<u64>,
        wants_reply: bool,
        updates: Vec<MemberUpdate>,
    ) {
        let address = SocketAddr::new(ip, self.node.settings().addresses.heartbeats.port());
        if address == self.node.settings().addresses.heartbeats {
            return;
        }
        let has_collectors = self.node.state().has_collectors();
        let loads = if has_collectors { ServiceLoads::new() } else { self.node.own_loads() };
        let now_ms = self.node.now_ms();
        let heartbeat = {
            let mut state = self.node.state();
            state.metrics.count(Counter::Heartbeats);
            Heartbeat {
                from: state.view.own_update().clone(),
                store: state.store_knowledge(now_ms),
                loads,
                wants_reply,
                view_hash,
                updates,
            }
        };
        self.send_packet(&[ip], &Packet::Heartbeat(heartbeat));
    }

    /// Receives datagrams until the process ends.
    pub(crate) async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                    Ok(Packet::Heartbeat(heartbeat)) => {
                        self.receive_heartbeat(heartbeat, from.ip())
                    }
                    Ok(Packet::RouterSummary(message)) => {
                        let now_ms = self.node.now_ms();
                        let name = message.from.member.instance.clone();
                        let SummaryMessage { from, summary, store } = message;
                        self.node.state().received_summaries.set_router(now_ms, name, summary);
                        self.receive_store_knowledge(from, store, false);
                    }
                    Ok(Packet::DomainSummary(domain, message)) => {
                        let now_ms = self.node.now_ms();
                        let SummaryMessage { from, summary, store } = message;
                        self.node.state().received_summaries.set_domain(now_ms, domain, summary);
                        self.receive_store_knowledge(from, store, false);
                    }
                    Ok(Packet::FleetSummary(message)) => self.receive_fleet_summary(message),
                    Ok(Packet::StreamOrigins(notices)) => {
                        self.node.learn_stream_origins(from.ip(), &notices);
                    }
                    Ok(Packet::OriginQuestion { request, scope, wants_search }) => {
                        self.node.answer_inquiry(from.ip(), request, scope, wants_search);
                    }
                    Ok(Packet::OriginAnswer { from, request, answer }) => {
                        self.node.inquiry_answered(&from, request, &answer);
                    }
                    Ok(Packet::PromptCrashes(notices)) => self.node.learn_prompt_crashes(&notices),
                    Ok(Packet::UpstreamLimits { from, scope, limits }) => {
                        self.receive_limits(from, scope, limits);
                    }
                    Ok(Packet::RecordOrigins(notices)) => {
                        self.node.log_origins(Some(from.ip()), &notices);
                    }
                    Ok(Packet::OriginsRecorded(streams)) => self.node.origins_recorded(&streams),
                    Ok(Packet::OriginsLearned { from, streams }) => {
                        self.node.origins_learned(&from, &streams);
                    }
                    Ok(Packet::Evacuations(news)) => {
                        self.node.learn_evacuations(from.ip(), news);
                    }
                    Ok(Packet::VersionQuestion(versions)) => {
                        self.node.answer_version_question(from.ip(), versions);
                    }
                    Ok(Packet::RecordedVersions(versions)) => self.node.versions_recorded(versions),
                    Ok(Packet::EarlierVersionQuestion { uptime_ms, services }) => {
                        self.node.answer_versions_before_start(from.ip(), uptime_ms, services);
                    }
                    Ok(Packet::OnlyVersions(versions)) => {
                        self.node.learn_versions_before_start(versions)
                    }
                    Ok(Packet::HistoryUse { from, known, used }) => {
                        self.node.learn_history_use(&from, known, used);
                    }
                    Ok(Packet::SharesQuestion { from: member, used }) => {
                        self.node.answer_shares_question(from.ip(), &member, used);
                    }
                    Ok(Packet::VersionShares { revision, shares, is_store_away }) => {
                        let shares = shares.into_iter().collect();
                        self.node.learn_version_shares(revision, shares, is_store_away);
                    }
                    Err(error) => warn!(%error, %from, "cannot decode a datagram; ignored"),
                },
                // Reports that the destination rejected an earlier datagram.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    fn receive_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat, ip: IpAddr) {
        let now_ms = self.node.now_ms();
        let member = heartbeat.from.router.member.clone();
        let sender = heartbeat.from.router.clone();
        let (views_differ, changes): (bool, Vec<MemberChange>) = {
            let mut state = self.node.state();
            if member.instance == state.view.own_update().router.member.instance {
                return;
            }
            state.router_loads.retain(|other, _| other.instance != member.instance);
            state.router_loads.insert(member.clone(), heartbeat.loads);
            let direct = state.view.apply_direct_update(now_ms, heartbeat.from);
            let relayed = heartbeat.updates.into_iter();
            let relayed: Vec<MemberChange> = relayed
                .filter_map(|update| state.view.apply_relayed_update(now_ms, update))
                .collect();
            let views_differ =
                heartbeat.view_hash.is_some_and(|hash| hash != state.view.view_hash());
            (views_differ, direct.into_iter().chain(relayed).collect())
        };
        self.apply_changes(&changes);
        if views_differ {
            self.send_all_updates(ip);
        } else if heartbeat.wants_reply {
            self.send_heartbeat(ip, Some(&member.instance), None, false);
        }
        self.receive_store_knowledge(sender, heartbeat.store, false);
    }

    /// Logs changes of the membership and applies them to the services.
    fn apply_changes(&self, changes: &[MemberChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let from = change.from.map(|state| state.to_string());
            info!(router = %change.member, from, to = %change.to, "router changed");
        }
        self.node.membership_changed();
    }

    /// Fetches a newer configuration from a peer, unless the store delivers it first.
    /// Does nothing while another fetch is running.
    fn schedule_config_fetch(self: &Rc<Self>, peer: Router) {
        if self.fetching_config.replace(true) {
            return;
        }
        let peers = self.clone();
        spawn_local(async move {
            if peers.node.reads_config() {
                sleep(Duration::from_millis(CONFIG_FETCH_DELAY_MS)).await;
            }
            let (version, newest) = {
                let state = peers.node.state();
                let version = state.config.as_ref().map_or(0, |config| config.version);
                (version, state.config_reports.version(&peer.member))
            };
            if newest > version {
                peers.fetch_config(&peer, version).await;
            }
            peers.fetching_config.set(false);
        });
    }

    async fn fetch_config(&self, peer: &Router, version: u64) {
        let request = Request::get(format!("/config?newer={version}"));
        let client = HttpClient::new(peer.peer_address);
        let document = match client.call(request, Bytes::new(), FETCH_TIMEOUT_MS).await {
            Ok(answer) if answer.status().is_success() => answer.into_body(),
            Ok(answer) => {
                warn!(
                    router = %peer.member,
                    status = %answer.status(),
                    "cannot fetch the configuration from a peer; reading it from the store"
                );
                self.node.state().store_source.record_config_fetch_failure();
                return;
            }
            Err(error) => {
                warn!(
                    router = %peer.member,
                    %error,
                    "cannot fetch the configuration from a peer; reading it from the store"
                );
                self.node.state().store_source.record_config_fetch_failure();
                return;
            }
        };
        if document.is_empty() {
            return;
        }
        match (self.node.wire_format.decode_config)(&document) {
            Ok(config) => drop(self.node.apply_config(config, "peer")),
            Err(error) => {
                warn!(
                    router = %peer.member,
                    error,
                    "cannot decode the configuration of a peer; the old one stays in force"
                )
            }
        }
    }
}
