//! State of the control thread. All of it is used from one thread; tasks share
//! it and never hold a borrow across an await.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
};

use span_config::Document;
use span_fair::{Allocation, ShardOwner, ShardUpstream, SlotRow};
use span_member::{MemberChange, MembershipView};
use span_types::{InstanceName, Member, MemberState, Revision, ServiceName, ShardId, UpstreamName};
use span_wire::ByteCounts;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use super::{
    AttemptEnd, Counter, Health, Pacer, Rejection, Settings, Verdict,
    admission::{Context, Reply, Service},
    command::{AdmitRequest, Command},
    config::ConfigState,
    counters::Counters,
    exchange::Pace,
    load::LoadState,
    peers::Links,
    settings::budget_bytes_per_s,
    shards,
};

/// The state, shared by the tasks of the control thread.
pub(super) type Shared = Rc<RefCell<Core>>;

/// State of the control thread.
pub(super) struct Core {
    pub settings: Settings,
    pub commands: mpsc::UnboundedSender<Command>,
    started: Instant,
    pub view: MembershipView,
    pub config: ConfigState,
    pub services: BTreeMap<ServiceName, Service>,
    pub shards: BTreeMap<ShardId, Vec<ShardUpstream>>,
    /// Owner of each shard as seen here. Kept, because rendezvous hashing of
    /// 160 shards over 1,900 routers takes milliseconds.
    pub shard_owners: BTreeMap<ShardId, Member>,
    pub owners: BTreeMap<ShardId, ShardOwner>,
    pub health: Health,
    pub load: LoadState,
    pub pacer: Pacer,
    pub counters: Counters,
    pub bytes: ByteCounts,
    pub links: Links,
    /// Routers whose heartbeats are expected here.
    pub monitored: Vec<InstanceName>,
    /// Revisions that members said to have in force.
    pub revisions: HashMap<InstanceName, Revision>,
    /// Heartbeats in a row after which a peer's view differed.
    pub disagreements: HashMap<InstanceName, u32>,
    /// Heartbeats in a row that were left out, by peer.
    pub skipped_beats: HashMap<InstanceName, u32>,
    /// Owners that an exchange is under way with.
    pub exchanging: BTreeSet<InstanceName>,
    /// Pace that owners asked for.
    pub paces: HashMap<InstanceName, Pace>,
    /// A fetch of the configuration from a peer is under way.
    pub fetching: bool,
    /// Something changed that peers should learn before the next heartbeat.
    pub has_news: bool,
    /// Number of answers to callers that asked for addresses.
    pub steered: usize,
}

impl Core {
    pub fn new(
        settings: Settings,
        commands: mpsc::UnboundedSender<Command>,
        publish: watch::Sender<Arc<Document>>,
    ) -> Self {
        Self {
            commands,
            started: Instant::now(),
            view: MembershipView::new(settings.router.clone(), settings.timing),
            config: ConfigState::new(publish),
            services: BTreeMap::new(),
            shards: BTreeMap::new(),
            shard_owners: BTreeMap::new(),
            owners: BTreeMap::new(),
            health: Health::default(),
            load: LoadState::default(),
            pacer: Pacer::new(settings.budget_bytes_per_s.unwrap_or_else(|| budget_bytes_per_s(1))),
            counters: Counters::new(settings.statsd_address),
            bytes: ByteCounts::default(),
            links: Links::default(),
            monitored: Vec::new(),
            revisions: HashMap::new(),
            disagreements: HashMap::new(),
            skipped_beats: HashMap::new(),
            exchanging: BTreeSet::new(),
            paces: HashMap::new(),
            fetching: false,
            has_news: false,
            steered: 0,
            settings,
        }
    }

    /// Milliseconds since the thread started.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn member(&self) -> &Member {
        &self.settings.router.member
    }

    pub fn instance(&self) -> &InstanceName {
        &self.settings.router.member.instance
    }

    /// Admits a request; its reply gets the permit or the reason against it.
    pub fn admit(&mut self, request: AdmitRequest, reply: Reply) {
        let now_ms = self.now_ms();
        let usable = self.shards.iter().any(|(shard, upstreams)| {
            shard.service == request.service && upstreams.iter().any(|row| !row.leaving)
        });
        let service = request.service.clone();
        let Some(state) = self.services.get_mut(&service).filter(|_| usable) else {
            let _ = reply.send(Err(Rejection::NoUpstream));
            return;
        };
        if !state.admit(now_ms, request, reply) {
            self.counters.increment(Counter::Rejected);
        }
        self.pump(&service);
    }

    /// Starts the requests of a service that a slot is free for.
    pub fn pump(&mut self, service: &ServiceName) {
        let now_ms = self.now_ms();
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let mut context = Context {
            now_ms,
            document: self.config.document(),
            health: &mut self.health,
            commands: &self.commands,
        };
        let pumped = state.pump(&mut context);
        self.counters.add(Counter::Admitted, pumped.admitted);
        self.counters.add(Counter::Rejected, pumped.rejected);
    }

    pub fn pump_all(&mut self) {
        for service in self.services.keys().cloned().collect::<Vec<_>>() {
            self.pump(&service);
        }
    }

    /// Frees the slot of a permit and notes how its upstream did.
    pub fn finish(
        &mut self,
        service: &ServiceName,
        ticket: span_fair::Ticket,
        cost: u64,
        end: AttemptEnd,
    ) {
        let now_ms = self.now_ms();
        let state = self.services.get_mut(service);
        let Some(finished) = state.and_then(|state| state.finish(now_ms, ticket, cost, end)) else {
            return;
        };
        self.counters.add(Counter::SettledCost, cost);
        self.note_end(now_ms, &finished.upstream, finished.end);
        self.pump(service);
    }

    fn note_end(&mut self, now_ms: u64, upstream: &UpstreamName, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered => {
                if self.health.answered(upstream) {
                    tracing::info!(%upstream, "upstream recovered");
                    self.refix();
                }
            }
            AttemptEnd::Failed | AttemptEnd::Silent => {
                let silent = end == AttemptEnd::Silent;
                let counter =
                    if silent { Counter::UpstreamSilences } else { Counter::UpstreamFailures };
                self.counters.increment(counter);
                if self.health.failed(now_ms, upstream, silent) {
                    tracing::warn!(%upstream, %silent, "upstream gets no work but probes");
                    self.refix();
                }
            }
            AttemptEnd::Abandoned => self.health.abandoned(upstream),
        }
    }

    /// Takes an allocation from a shard owner.
    pub fn apply(&mut self, allocation: Allocation) {
        let now_ms = self.now_ms();
        let service = allocation.shard.service.clone();
        let (health, document) = (&self.health, self.config.document());
        let usable = |row: &SlotRow| usable(health, document, now_ms, row);
        if let Some(state) = self.services.get_mut(&service) {
            state.apply(now_ms, allocation, usable);
        }
        self.pump(&service);
    }

    /// Sets the fixed slots of the policies that have no shard owners.
    pub fn refix(&mut self) {
        if self.settings.policy == span_fair::DispatchPolicy::Fleet {
            return;
        }
        let now_ms = self.now_ms();
        let live = self.view.live_routers();
        let (health, document) = (&self.health, self.config.document());
        let usable = |row: &SlotRow| usable(health, document, now_ms, row);
        for (shard, upstreams) in &self.shards {
            let me = &self.settings.router.member.instance;
            let slots = shards::fixed_slots(upstreams, &live, me);
            if let Some(state) = self.services.get_mut(&shard.service) {
                state.fix(now_ms, shard, slots, usable);
            }
        }
    }

    /// Follows changes of the live view.
    pub fn follow_changes(&mut self, changes: impl IntoIterator<Item = MemberChange>) {
        let changes: Vec<MemberChange> = changes.into_iter().collect();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            let from = change.from.map(|state| state.to_string());
            tracing::info!(member = %change.member, from, to = %change.to, "member changed");
            if change.to == MemberState::Dead {
                self.forget(&change.member);
            }
        }
        self.has_news = true;
        self.follow_view();
    }

    fn forget(&mut self, member: &Member) {
        let now_ms = self.now_ms();
        self.counters.increment(Counter::MembersLost);
        self.links.remove(&member.instance);
        self.revisions.remove(&member.instance);
        self.paces.remove(&member.instance);
        self.skipped_beats.remove(&member.instance);
        for owner in self.owners.values_mut() {
            owner.remove_router(now_ms, member);
        }
    }

    /// Recomputes what depends on who is live.
    pub fn follow_view(&mut self) {
        let live = self.view.live_routers();
        let me = self.instance();
        self.monitored = span_member::heartbeat_peers(me, &live).into_iter().collect();
        self.follow_ownership();
        self.refix();
    }
}

/// Slots of an allocation that may be used in view of the upstream's health.
fn usable(health: &Health, document: &Document, now_ms: u64, row: &SlotRow) -> u32 {
    let takes_work = document.upstreams.get(&row.upstream).is_some_and(|row| !row.leaving);
    match health.verdict(now_ms, &row.upstream) {
        _ if !takes_work => 0,
        Verdict::Usable => row.held,
        Verdict::Probing => row.held.min(1),
        Verdict::Blocked => 0,
    }
}
