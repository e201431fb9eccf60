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
use serde::{Deserialize, Serialize};
use span_member::{MemberChange, MemberUpdate, Router, heartbeat_peers, heartbeat_targets};
use span_types::{FailureDomain, InstanceName, UpstreamName};
use tokio::{net::UdpSocket, task::spawn_local, time::sleep};
use tracing::{info, warn};

use crate::{
    http_client::HttpClient,
    load_summary::{LoadSummary, ServiceLoads},
    metrics::Counter,
    node::Node,
    registry::UpstreamEntry,
    role::Role,
};

/// Interval between heartbeats, in milliseconds; about a third of the time after
/// which a silent router is suspect.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Heartbeat rounds between two contacts with routers that are listed but have not
/// joined yet.
const UNJOINED_CONTACT_ROUNDS: u64 = 4;
/// Largest number of updates about other routers in a heartbeat.
const MAX_UPDATES_PER_HEARTBEAT: usize = 8;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Delay before a newer configuration is fetched from a peer, in milliseconds.
/// Usually the store delivers it earlier.
const CONFIG_FETCH_DELAY_MS: u64 = 100;
/// Time without progress after which a fetch from a peer fails, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Interval between load summaries in a fleet with collectors, in milliseconds.
const SUMMARY_INTERVAL_MS: u64 = 500;

/// A datagram between routers. Encoded by position: variants and fields must not
/// change their order or type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// A router is alive.
    Heartbeat(Heartbeat),
    /// From a router to the collector of its failure domain: the router's load.
    RouterSummary(InstanceName, LoadSummary),
    /// From a collector to the other collectors: the sum of its failure domain.
    DomainSummary(FailureDomain, LoadSummary),
    /// From a collector to the routers of its failure domain: the sum of the
    /// fleet.
    Fleet(FleetUpdate),
}

/// What a collector sends to the routers of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// The collector.
    pub from: Router,
    /// Load of the fleet.
    pub sum: LoadSummary,
    /// Version of the collector's configuration.
    pub config_version: u64,
    /// Hash of the collector's upstream entries.
    pub registry_digest: u64,
    /// Revision of the store that the collector's upstream entries correspond to.
    pub registry_revision: u64,
    /// Time since the store last answered the collector, in milliseconds.
    pub store_age_ms: u64,
}

/// Heartbeat of a router, with its load and what it knows of other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender and its state.
    pub from: MemberUpdate,
    /// Version of the sender's configuration.
    pub config_version: u64,
    /// Load from the sender's callers; empty in a fleet with collectors.
    pub loads: ServiceLoads,
    /// Time since the store last answered the sender, in milliseconds.
    pub store_age_ms: u64,
    /// Whether the sender wants a heartbeat in return.
    pub wants_reply: bool,
    /// What the sender knows of other routers.
    pub updates: Vec<MemberUpdate>,
}

/// Answer to a request for upstream entries: the revision of the store that they
/// correspond to, and the entries.
pub(crate) type UpstreamsAnswer = (u64, Vec<(UpstreamName, UpstreamEntry)>);

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
            sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        }
    }

    fn run_heartbeat_round(&self, round: u64) {
        let now_ms = self.node.now_ms();
        let (targets, changes) = {
            let mut state = self.node.state();
            let own_name = state.view.own_update().router.member.instance.clone();
            let nearly_suspect = state.view.nearly_suspect(now_ms);
            let live = state.view.live_routers();
            let monitored: Vec<InstanceName> =
                heartbeat_peers(&own_name, &live).into_iter().collect();
            let mut names = heartbeat_targets(&own_name, &live);
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
            (targets, state.view.check_timeouts(now_ms, &monitored))
        };
        self.apply_changes(&changes);
        self.node.divide_capacity();
        for (name, ip) in targets {
            self.send_heartbeat(ip, name.as_ref(), true);
        }
    }

    /// Exchanges load summaries until the process ends. Does nothing in a fleet
    /// without collectors.
    pub(crate) async fn exchange_summaries(self: Rc<Self>) {
        loop {
            // Changes that the routers of the failure domain wait for are sent
            // at once.
            let trigger = self.node.summary_trigger.notified();
            let _ = tokio::time::timeout(Duration::from_millis(SUMMARY_INTERVAL_MS), trigger).await;
            let role = self.node.state().role();
            let Some(role) = role else {
                continue;
            };
            let own_summary = self.node.load_summary();
            match role {
                Role::Member { collector } => self.send_summary(collector, own_summary),
                Role::Collector { domain, members, other_collectors } => {
                    self.send_sums(own_summary, domain, members, other_collectors);
                }
            }
        }
    }

    fn send_summary(&self, collector: IpAddr, own_summary: LoadSummary) {
        let own_name = self.node.state().view.own_update().router.member.instance.clone();
        self.send_packet(collector, &Packet::RouterSummary(own_name, own_summary));
    }

    /// As the collector, sends the sum of the failure domain to the other
    /// collectors and the sum of the fleet to the domain's routers.
    fn send_sums(
        &self,
        own_summary: LoadSummary,
        domain: FailureDomain,
        members: Vec<IpAddr>,
        other_collectors: Vec<IpAddr>,
    ) {
        let now_ms = self.node.now_ms();
        let update = {
            let mut state = self.node.state();
            let sum = state.received_summaries.fleet_sum(now_ms, &own_summary);
            state.fleet_summary.set(now_ms, sum.clone());
            FleetUpdate {
                from: state.view.own_update().router.clone(),
                sum,
                config_version: state.config.as_ref().map_or(0, |config| config.version),
                registry_digest: state.registry.digest(),
                registry_revision: state.registry.revision(),
                store_age_ms: now_ms.saturating_sub(state.store_answered_ms),
            }
        };
        let domain_sum = self.node.state().received_summaries.domain_sum(now_ms, &own_summary);
        let packet = Packet::DomainSummary(domain, domain_sum);
        other_collectors.into_iter().for_each(|ip| self.send_packet(ip, &packet));
        let packet = Packet::Fleet(update);
        members.into_iter().for_each(|ip| self.send_packet(ip, &packet));
        self.node.divide_capacity();
    }

    fn receive_fleet_update(self: &Rc<Self>, update: FleetUpdate) {
        let now_ms = self.node.now_ms();
        let (version, upstreams_differ) = {
            let mut state = self.node.state();
            state.fleet_summary.set(now_ms, update.sum);
            state.registry.store_served_others(now_ms.saturating_sub(update.store_age_ms));
            state.collector_status.record_message(now_ms, update.store_age_ms);
            let version = state.config.as_ref().map_or(0, |config| config.version);
            let is_newer = update.registry_revision > state.registry.revision();
            (version, is_newer && update.registry_digest != state.registry.digest())
        };
        self.node.divide_capacity();
        if update.config_version > version {
            self.node
                .state()
                .config_versions
                .insert(update.from.member.clone(), update.config_version);
            self.schedule_config_fetch(update.from.clone());
        }
        let watches_store = self.node.watches_upstreams();
        if !watches_store && upstreams_differ && !self.fetching_upstreams.replace(true) {
            let peers = self.clone();
            spawn_local(async move {
                if let Err(cause) = peers.fetch_upstreams(&update.from).await {
                    warn!(
                        router = %update.from.member,
                        cause,
                        "cannot fetch upstream entries from the collector; reading them from the \
                         store"
                    );
                    peers.node.state().collector_status.record_upstreams_fetch_failure();
                }
                peers.fetching_upstreams.set(false);
            });
        }
    }

    /// Fetches the collector's upstream entries and applies them, unless this
    /// router watches the store by then. The error is the cause, for logs.
    async fn fetch_upstreams(&self, collector: &Router) -> Result<(), String> {
        let client = HttpClient::new(collector.peer_address);
        let call = client.call(Request::get("/upstreams"), Bytes::new(), FETCH_TIMEOUT_MS);
        let (status, body) = call.await.map_err(|error| error.to_string())?;
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let (revision, entries): UpstreamsAnswer =
            postcard::from_bytes(&body).map_err(|error| format!("cannot decode: {error}"))?;
        if !self.node.watches_upstreams() {
            let now_ms = self.node.now_ms();
            let changes = self.node.state().registry.replace_if_newer(now_ms, revision, entries);
            self.node.apply_upstream_changes(&changes);
        }
        Ok(())
    }

    fn send_packet(&self, ip: IpAddr, packet: &Packet) {
        let address = SocketAddr::new(ip, self.node.settings().addresses.heartbeats.port());
        match postcard::to_stdvec(packet) {
            // A datagram that the socket does not accept counts as lost.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, address)),
            Err(error) => warn!(%error, "cannot encode a datagram; not sent"),
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
            self.send_heartbeat(ip, Some(&name), false);
        }
    }

    /// Sends a heartbeat to `ip`; `peer` is the router there, if known.
    fn send_heartbeat(&self, ip: IpAddr, peer: Option<&InstanceName>, wants_reply: bool) {
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
            let updates = match peer {
                Some(peer) => state.view.next_updates(peer, MAX_UPDATES_PER_HEARTBEAT),
                None => {
                    state.view.all_updates().into_iter().take(MAX_UPDATES_PER_HEARTBEAT).collect()
                }
            };
            Heartbeat {
                from: state.view.own_update().clone(),
                config_version: state.config.as_ref().map_or(0, |config| config.version),
                loads,
                store_age_ms: now_ms.saturating_sub(state.store_answered_ms),
                wants_reply,
                updates,
            }
        };
        self.send_packet(ip, &Packet::Heartbeat(heartbeat));
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
                    Ok(Packet::RouterSummary(name, summary)) => {
                        let now_ms = self.node.now_ms();
                        self.node.state().received_summaries.set_router(now_ms, name, summary);
                    }
                    Ok(Packet::DomainSummary(domain, summary)) => {
                        let now_ms = self.node.now_ms();
                        self.node.state().received_summaries.set_domain(now_ms, domain, summary);
                    }
                    Ok(Packet::Fleet(update)) => self.receive_fleet_update(update),
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
        let changes: Vec<MemberChange> = {
            let mut state = self.node.state();
            if member.instance == state.view.own_update().router.member.instance {
                return;
            }
            state
                .config_versions
                .retain(|other, _| other.instance != member.instance || *other == member);
            state.config_versions.insert(member.clone(), heartbeat.config_version);
            state.registry.store_served_others(now_ms.saturating_sub(heartbeat.store_age_ms));
            state.router_loads.retain(|other, _| other.instance != member.instance);
            state.router_loads.insert(member.clone(), heartbeat.loads);
            let direct = state.view.apply_direct_update(now_ms, heartbeat.from);
            let relayed = heartbeat.updates.into_iter();
            let relayed: Vec<MemberChange> = relayed
                .filter_map(|update| state.view.apply_relayed_update(now_ms, update))
                .collect();
            direct.into_iter().chain(relayed).collect()
        };
        self.apply_changes(&changes);
        if heartbeat.wants_reply {
            self.send_heartbeat(ip, Some(&member.instance), false);
        }
        if heartbeat.config_version > self.node.config_version() {
            self.schedule_config_fetch(sender);
        }
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

    /// Fetches a newer configuration from a peer after a delay, unless the store
    /// delivers it first. Does nothing while another fetch is running.
    fn schedule_config_fetch(self: &Rc<Self>, peer: Router) {
        if self.fetching_config.replace(true) {
            return;
        }
        let peers = self.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(CONFIG_FETCH_DELAY_MS)).await;
            let (version, newest) = {
                let state = peers.node.state();
                let version = state.config.as_ref().map_or(0, |config| config.version);
                (version, state.config_versions.get(&peer.member).copied().unwrap_or(0))
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
            Ok((status, document)) if status.is_success() => document,
            Ok((status, _)) => {
                warn!(
                    router = %peer.member,
                    %status,
                    "cannot fetch the configuration from a peer; reading it from the store"
                );
                self.node.state().collector_status.record_config_fetch_failure();
                return;
            }
            Err(error) => {
                warn!(
                    router = %peer.member,
                    %error,
                    "cannot fetch the configuration from a peer; reading it from the store"
                );
                self.node.state().collector_status.record_config_fetch_failure();
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
