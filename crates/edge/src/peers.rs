//! Heartbeats between routers, and configurations fetched from them.
//!
//! A heartbeat is one datagram: a lost one costs nothing, and a path that goes
//! silent leaves no connection behind that has to be noticed.

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

/// Interval between heartbeats, in milliseconds; a third of the time after
/// which a silent router is suspect.
const HEARTBEAT_MS: u64 = 400;
/// Heartbeats between two contacts with routers that are listed but silent.
const STRANGER_INTERVAL: u64 = 4;
/// Statements about other routers in a heartbeat.
const MAX_UPDATES: usize = 8;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Time in which the store is given the chance to bring a configuration that
/// a peer has, in milliseconds.
const FETCH_DELAY_MS: u64 = 100;
/// Time to fetch a configuration from a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 1_000;

/// Interval between statements in a large fleet, in milliseconds.
const STATEMENT_MS: u64 = 500;
/// What routers tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// A router is alive.
    Heartbeat(Heartbeat),
    /// A router states its load to the collector of its failure domain.
    Router(InstanceName, LoadSummary),
    /// A collector states the sum of its failure domain to the others.
    Domain(FailureDomain, LoadSummary),
    /// A collector returns the sum of the fleet.
    Fleet(FleetNews),
}

/// What a collector tells the routers of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetNews {
    /// The collector.
    pub from: Router,
    /// Sum of the fleet.
    pub sum: LoadSummary,
    /// Version of the configuration that the collector has.
    pub config_version: u64,
    /// Hash of the entries of upstreams that the collector has.
    pub registry_digest: u64,
    /// Revision of the store at which it has them.
    pub registry_revision: u64,
    /// Time since the store last answered the collector, in milliseconds.
    pub store_age_ms: u64,
}

/// A router's statement about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender about itself.
    pub from: MemberUpdate,
    /// Version of the configuration that the sender has.
    pub config_version: u64,
    /// What the sender's callers ask for.
    pub loads: ServiceLoads,
    /// Time since the store last answered the sender, in milliseconds.
    pub store_age_ms: u64,
    /// Whether the sender wants a heartbeat in return.
    pub wants_answer: bool,
    /// What the sender knows of others.
    pub updates: Vec<MemberUpdate>,
}

/// Answer of a collector that is asked for upstreams: the revision of the store
/// and the entries at it.
pub(crate) type UpstreamsAnswer = (u64, Vec<(UpstreamName, UpstreamEntry)>);

/// Running heartbeats.
pub(crate) struct Peers {
    node: Rc<Node>,
    socket: UdpSocket,
    fetching: Cell<bool>,
    fetching_upstreams: Cell<bool>,
}

impl Peers {
    /// Binds the socket for heartbeats.
    pub(crate) async fn bind(node: Rc<Node>) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(node.settings().addresses.heartbeats).await?;
        Ok(Rc::new(Self {
            node,
            socket,
            fetching: Cell::new(false),
            fetching_upstreams: Cell::new(false),
        }))
    }

    /// Sends heartbeats until the process ends.
    pub(crate) async fn send_all(self: Rc<Self>) {
        for round in 0u64.. {
            self.beat(round);
            sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        }
    }

    fn beat(&self, round: u64) {
        let now_ms = self.node.now_ms();
        let (targets, changes) = {
            let mut state = self.node.state();
            let me = state.view.own_update().router.member.instance.clone();
            let silent = state.view.nearly_suspect(now_ms);
            let live = state.view.live_routers();
            let monitored: Vec<InstanceName> = heartbeat_peers(&me, &live).into_iter().collect();
            let mut names = heartbeat_targets(&me, &live);
            names.extend(
                silent.into_iter().filter(|name| !names.contains(name)).collect::<Vec<_>>(),
            );
            let known: Vec<IpAddr> = live.iter().map(|router| router.peer_address.ip()).collect();
            let mut targets: Vec<(Option<InstanceName>, IpAddr)> = names
                .into_iter()
                .filter_map(|name| {
                    let router = live.iter().find(|router| router.member.instance == name)?;
                    Some((Some(name), router.peer_address.ip()))
                })
                .collect();
            if round.is_multiple_of(STRANGER_INTERVAL) || known.len() <= 1 {
                let strangers = state.view.unjoined_instances();
                targets.extend(strangers.iter().map(|router| (None, router.peer_address.ip())));
                let settings = self.node.settings();
                let seeds = settings.seeds.iter().map(SocketAddr::ip);
                targets.extend(seeds.filter(|ip| !known.contains(ip)).map(|ip| (None, ip)));
            }
            (targets, state.view.check_timeouts(now_ms, &monitored))
        };
        self.note(&changes);
        self.node.divide();
        for (name, ip) in targets {
            self.send(ip, name.as_ref(), true);
        }
    }

    /// Exchanges statements of load until the process ends; only in a large
    /// fleet.
    pub(crate) async fn state_all(self: Rc<Self>) {
        loop {
            // News for the routers of the failure domain must not wait.
            let news = self.node.news.notified();
            let _ = tokio::time::timeout(Duration::from_millis(STATEMENT_MS), news).await;
            let role = self.node.state().role();
            let Some(role) = role else {
                continue;
            };
            let own = self.node.load_summary();
            match role {
                Role::Member { collector } => self.state_to(collector, own),
                Role::Collector { domain, members, others } => {
                    self.collect(own, domain, members, others);
                }
            }
        }
    }

    fn state_to(&self, collector: IpAddr, own: LoadSummary) {
        let me = self.node.state().view.own_update().router.member.instance.clone();
        self.send_packet(collector, &Packet::Router(me, own));
    }

    fn collect(
        &self,
        own: LoadSummary,
        domain: FailureDomain,
        members: Vec<IpAddr>,
        others: Vec<IpAddr>,
    ) {
        let now_ms = self.node.now_ms();
        let news = {
            let mut state = self.node.state();
            let sum = state.collected.fleet_sum(now_ms, &own);
            state.fleet_sum.set(now_ms, sum.clone());
            FleetNews {
                from: state.view.own_update().router.clone(),
                sum,
                config_version: state.config.as_ref().map_or(0, |config| config.version),
                registry_digest: state.registry.digest(),
                registry_revision: state.registry.revision(),
                store_age_ms: now_ms.saturating_sub(state.store_answered_ms),
            }
        };
        let domain_sum = self.node.state().collected.domain_sum(now_ms, &own);
        let packet = Packet::Domain(domain, domain_sum);
        others.into_iter().for_each(|ip| self.send_packet(ip, &packet));
        let packet = Packet::Fleet(news);
        members.into_iter().for_each(|ip| self.send_packet(ip, &packet));
        self.node.divide();
    }

    fn receive_news(self: &Rc<Self>, news: FleetNews) {
        let now_ms = self.node.now_ms();
        let (version, upstreams_differ) = {
            let mut state = self.node.state();
            state.fleet_sum.set(now_ms, news.sum);
            state.registry.store_served_others(now_ms.saturating_sub(news.store_age_ms));
            state.reliance.heard(now_ms, news.store_age_ms);
            let version = state.config.as_ref().map_or(0, |config| config.version);
            let newer = news.registry_revision > state.registry.revision();
            (version, newer && news.registry_digest != state.registry.digest())
        };
        self.node.divide();
        if news.config_version > version {
            self.node.state().versions.insert(news.from.member.clone(), news.config_version);
            self.fetch_soon(news.from.clone());
        }
        let follows = self.node.follows_upstreams();
        if !follows && upstreams_differ && !self.fetching_upstreams.replace(true) {
            let peers = self.clone();
            spawn_local(async move {
                if let Err(cause) = peers.fetch_upstreams(&news.from).await {
                    warn!(router = %news.from.member, cause, "the collector gave no upstreams");
                    peers.node.state().reliance.upstreams_not_fetched();
                }
                peers.fetching_upstreams.set(false);
            });
        }
    }

    /// Takes the entries of upstreams that the collector has; the error says
    /// why there are none.
    async fn fetch_upstreams(&self, collector: &Router) -> Result<(), String> {
        let caller = HttpClient::new(collector.peer_address);
        let call = caller.call(Request::get("/upstreams"), Bytes::new(), FETCH_TIMEOUT_MS);
        let (status, body) = call.await.map_err(|error| error.to_string())?;
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let (revision, entries): UpstreamsAnswer =
            postcard::from_bytes(&body).map_err(|error| format!("unreadable: {error}"))?;
        if !self.node.follows_upstreams() {
            let now_ms = self.node.now_ms();
            let changes = self.node.state().registry.replace_newer(now_ms, revision, entries);
            self.node.apply_changes(&changes);
        }
        Ok(())
    }

    fn send_packet(&self, ip: IpAddr, packet: &Packet) {
        let address = SocketAddr::new(ip, self.node.settings().addresses.heartbeats.port());
        match postcard::to_stdvec(packet) {
            // A datagram that the link does not take counts as lost.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, address)),
            Err(error) => warn!(%error, "a packet cannot be encoded"),
        }
    }

    /// Tells all live routers what this one says of itself; for news that
    /// must not wait, such as leaving.
    pub(crate) fn tell_all(&self) {
        let live: Vec<(InstanceName, IpAddr)> = {
            let state = self.node.state();
            let me = &state.view.own_update().router.member.instance;
            let others = state
                .view
                .live_routers()
                .into_iter()
                .filter(|router| router.member.instance != *me);
            others
                .map(|router| (router.member.instance.clone(), router.peer_address.ip()))
                .collect()
        };
        for (name, ip) in live {
            self.send(ip, Some(&name), false);
        }
    }

    fn send(&self, ip: IpAddr, peer: Option<&InstanceName>, wants_answer: bool) {
        let address = SocketAddr::new(ip, self.node.settings().addresses.heartbeats.port());
        if address == self.node.settings().addresses.heartbeats {
            return;
        }
        let large = self.node.state().is_large();
        let loads = if large { ServiceLoads::new() } else { self.node.loads() };
        let now_ms = self.node.now_ms();
        let heartbeat = {
            let mut state = self.node.state();
            state.metrics.count(Counter::Heartbeats);
            let updates = match peer {
                Some(peer) => state.view.next_updates(peer, MAX_UPDATES),
                None => state.view.all_updates().into_iter().take(MAX_UPDATES).collect(),
            };
            Heartbeat {
                from: state.view.own_update().clone(),
                config_version: state.config.as_ref().map_or(0, |config| config.version),
                loads,
                store_age_ms: now_ms.saturating_sub(state.store_answered_ms),
                wants_answer,
                updates,
            }
        };
        self.send_packet(ip, &Packet::Heartbeat(heartbeat));
    }

    /// Receives heartbeats until the process ends.
    pub(crate) async fn receive_all(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match postcard::from_bytes(&buffer[..length]) {
                    Ok(Packet::Heartbeat(heartbeat)) => self.receive(heartbeat, from.ip()),
                    Ok(Packet::Router(name, summary)) => {
                        let now_ms = self.node.now_ms();
                        self.node.state().collected.router(now_ms, name, summary);
                    }
                    Ok(Packet::Domain(domain, summary)) => {
                        let now_ms = self.node.now_ms();
                        self.node.state().collected.domain(now_ms, domain, summary);
                    }
                    Ok(Packet::Fleet(news)) => self.receive_news(news),
                    Err(error) => warn!(%error, %from, "a datagram cannot be read"),
                },
                // An earlier datagram was refused at its destination.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    fn receive(self: &Rc<Self>, heartbeat: Heartbeat, ip: IpAddr) {
        let now_ms = self.node.now_ms();
        let member = heartbeat.from.router.member.clone();
        let sender = heartbeat.from.router.clone();
        let changes: Vec<MemberChange> = {
            let mut state = self.node.state();
            if member.instance == state.view.own_update().router.member.instance {
                return;
            }
            state.versions.retain(|other, _| other.instance != member.instance || *other == member);
            state.versions.insert(member.clone(), heartbeat.config_version);
            state.registry.store_served_others(now_ms.saturating_sub(heartbeat.store_age_ms));
            state.loads.retain(|other, _| other.instance != member.instance);
            state.loads.insert(member.clone(), heartbeat.loads);
            let heard = state.view.apply_direct_update(now_ms, heartbeat.from);
            let learned = heartbeat.updates.into_iter();
            let learned: Vec<MemberChange> = learned
                .filter_map(|update| state.view.apply_relayed_update(now_ms, update))
                .collect();
            heard.into_iter().chain(learned).collect()
        };
        self.note(&changes);
        if heartbeat.wants_answer {
            self.send(ip, Some(&member.instance), false);
        }
        if heartbeat.config_version > self.node.config_version() {
            self.fetch_soon(sender);
        }
    }

    fn note(&self, changes: &[MemberChange]) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let from = change.from.map(|state| state.to_string());
            info!(router = %change.member, from, to = %change.to, "router changed");
        }
        self.node.fleet_changed();
    }

    /// Fetches the configuration from a peer that has a newer one, unless the
    /// store brings it first.
    fn fetch_soon(self: &Rc<Self>, peer: Router) {
        if self.fetching.replace(true) {
            return;
        }
        let peers = self.clone();
        spawn_local(async move {
            sleep(Duration::from_millis(FETCH_DELAY_MS)).await;
            let (version, newest) = {
                let state = peers.node.state();
                let version = state.config.as_ref().map_or(0, |config| config.version);
                (version, state.versions.get(&peer.member).copied().unwrap_or(0))
            };
            if newest > version {
                peers.fetch(&peer, version).await;
            }
            peers.fetching.set(false);
        });
    }

    async fn fetch(&self, peer: &Router, version: u64) {
        let request = Request::get(format!("/config?newer={version}"));
        let caller = HttpClient::new(peer.peer_address);
        let document = match caller.call(request, Bytes::new(), FETCH_TIMEOUT_MS).await {
            Ok((status, document)) if status.is_success() => document,
            Ok((status, _)) => {
                warn!(router = %peer.member, %status, "a peer gave no configuration");
                self.node.state().reliance.config_not_fetched();
                return;
            }
            Err(error) => {
                warn!(router = %peer.member, %error, "a peer gave no configuration");
                self.node.state().reliance.config_not_fetched();
                return;
            }
        };
        if document.is_empty() {
            return;
        }
        match (self.node.wire_format.decode_config)(&document) {
            Ok(config) => drop(self.node.apply_config(config, "peer")),
            Err(error) => {
                warn!(router = %peer.member, error, "a peer's configuration is unreadable")
            }
        }
    }
}
