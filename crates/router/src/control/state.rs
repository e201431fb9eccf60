//! State of the control thread. Only that thread uses it: its tasks share the
//! state and never hold a borrow across an await point.

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
    AttemptResult, Availability, Counter, Health, Pacer, Rejection, Settings,
    admission::{DispatchContext, Reply, ServiceState},
    command::{AdmitRequest, Command},
    config::ConfigState,
    counters::Counters,
    exchange::ReportPacing,
    load_poll::LoadPoller,
    peers::PeerConnections,
    settings::default_budget_bytes_per_s,
    shards,
};

/// State shared by the tasks of the control thread.
pub(super) type SharedState = Rc<RefCell<ControlState>>;

/// State of the control thread.
pub(super) struct ControlState {
    pub settings: Settings,
    pub commands: mpsc::UnboundedSender<Command>,
    started: Instant,
    pub view: MembershipView,
    pub config: ConfigState,
    pub services: BTreeMap<ServiceName, ServiceState>,
    pub shards: BTreeMap<ShardId, Vec<ShardUpstream>>,
    /// Owner of each shard according to the local membership view. Cached,
    /// because rendezvous hashing of 160 shards over 1,900 routers takes
    /// milliseconds.
    pub shard_owners: BTreeMap<ShardId, Member>,
    /// Allocation state of the shards that this router owns.
    pub owned_shards: BTreeMap<ShardId, ShardOwner>,
    pub health: Health,
    pub load: LoadPoller,
    pub pacer: Pacer,
    pub counters: Counters,
    /// Bytes of all peer connections.
    pub peer_bytes: ByteCounts,
    pub connections: PeerConnections,
    /// Peers that send heartbeats to this router; silence makes them suspect.
    pub monitored_peers: Vec<InstanceName>,
    /// Configuration revisions in force at peers, from their heartbeats.
    pub peer_revisions: HashMap<InstanceName, Revision>,
    /// Consecutive heartbeats after which a peer's membership view differed
    /// from the local one.
    pub view_mismatches: HashMap<InstanceName, u32>,
    /// Consecutive heartbeats that were skipped, by peer.
    pub skipped_heartbeats: HashMap<InstanceName, u32>,
    /// Shard owners with a running exchange.
    pub exchanges_in_progress: BTreeSet<InstanceName>,
    /// Report times and periods, by shard owner.
    pub report_pacing: HashMap<InstanceName, ReportPacing>,
    /// Whether a fetch of the configuration from a peer is running.
    pub fetching_config: bool,
    /// Whether a change should reach peers before the next regular heartbeat.
    pub has_urgent_update: bool,
    /// Number of answers with router addresses; rotates their order.
    pub address_answers: usize,
}

impl ControlState {
    pub fn new(
        settings: Settings,
        commands: mpsc::UnboundedSender<Command>,
        document_sender: watch::Sender<Arc<Document>>,
    ) -> Self {
        Self {
            commands,
            started: Instant::now(),
            view: MembershipView::new(settings.router.clone(), settings.timing),
            config: ConfigState::new(document_sender),
            services: BTreeMap::new(),
            shards: BTreeMap::new(),
            shard_owners: BTreeMap::new(),
            owned_shards: BTreeMap::new(),
            health: Health::default(),
            load: LoadPoller::default(),
            pacer: Pacer::new(
                settings.budget_bytes_per_s.unwrap_or_else(|| default_budget_bytes_per_s(1)),
            ),
            counters: Counters::new(settings.statsd_address),
            peer_bytes: ByteCounts::default(),
            connections: PeerConnections::default(),
            monitored_peers: Vec::new(),
            peer_revisions: HashMap::new(),
            view_mismatches: HashMap::new(),
            skipped_heartbeats: HashMap::new(),
            exchanges_in_progress: BTreeSet::new(),
            report_pacing: HashMap::new(),
            fetching_config: false,
            has_urgent_update: false,
            address_answers: 0,
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

    /// Queues a request; `reply` receives the permit or the rejection.
    pub fn admit(&mut self, request: AdmitRequest, reply: Reply) {
        let now_ms = self.now_ms();
        let has_upstream = self.shards.iter().any(|(shard, upstreams)| {
            shard.service == request.service && upstreams.iter().any(|row| !row.leaving)
        });
        let service = request.service.clone();
        let Some(state) = self.services.get_mut(&service).filter(|_| has_upstream) else {
            let _ = reply.send(Err(Rejection::NoUpstream));
            return;
        };
        if !state.admit(now_ms, request, reply) {
            self.counters.increment(Counter::Rejected);
        }
        self.dispatch(&service);
    }

    /// Rejects expired requests of a service, and starts waiting ones while slots
    /// are free.
    pub fn dispatch(&mut self, service: &ServiceName) {
        let now_ms = self.now_ms();
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        let mut context = DispatchContext {
            now_ms,
            document: self.config.document(),
            health: &mut self.health,
            commands: &self.commands,
        };
        let counts = state.dispatch_waiting(&mut context);
        self.counters.add(Counter::Admitted, counts.admitted);
        self.counters.add(Counter::Rejected, counts.rejected);
    }

    pub fn dispatch_all(&mut self) {
        for service in self.services.keys().cloned().collect::<Vec<_>>() {
            self.dispatch(&service);
        }
    }

    /// Frees the slot of a permit and records the result in the upstream's
    /// health.
    pub fn finish(
        &mut self,
        service: &ServiceName,
        ticket: span_fair::Ticket,
        cost: u64,
        result: AttemptResult,
    ) {
        let now_ms = self.now_ms();
        let state = self.services.get_mut(service);
        let Some(finished) = state.and_then(|state| state.finish(now_ms, ticket, cost, result))
        else {
            return;
        };
        self.counters.add(Counter::SettledCost, cost);
        self.record_result(now_ms, &finished.upstream, finished.result);
        self.dispatch(service);
    }

    fn record_result(&mut self, now_ms: u64, upstream: &UpstreamName, result: AttemptResult) {
        match result {
            AttemptResult::Answered => {
                if self.health.record_answer(now_ms, upstream) {
                    tracing::info!(%upstream, "upstream recovered");
                    self.update_fixed_slots();
                }
            }
            AttemptResult::Paused { pause_ms } => {
                if self.health.record_pause(now_ms, upstream, pause_ms) {
                    tracing::info!(%upstream, pause_ms, "upstream asks for a pause");
                    self.update_fixed_slots();
                }
            }
            AttemptResult::Failed | AttemptResult::Silent => {
                let silent = result == AttemptResult::Silent;
                let counter =
                    if silent { Counter::UpstreamSilences } else { Counter::UpstreamFailures };
                self.counters.increment(counter);
                if self.health.record_failure(now_ms, upstream, silent) {
                    tracing::warn!(%upstream, %silent, "upstream gets no work but probes");
                    self.update_fixed_slots();
                }
            }
            AttemptResult::Abandoned => self.health.record_abandoned(upstream),
        }
    }

    /// Applies an allocation from a shard owner.
    pub fn apply_allocation(&mut self, allocation: Allocation) {
        let now_ms = self.now_ms();
        let service = allocation.shard.service.clone();
        let (health, document) = (&self.health, self.config.document());
        let usable = |row: &SlotRow| usable_slots(health, document, now_ms, row);
        if let Some(state) = self.services.get_mut(&service) {
            state.apply_allocation(now_ms, allocation, usable);
        }
        self.dispatch(&service);
    }

    /// Sets the fixed slots of the policies that have no shard owners.
    pub fn update_fixed_slots(&mut self) {
        if self.settings.policy == span_fair::DispatchPolicy::Fleet {
            return;
        }
        let now_ms = self.now_ms();
        let live = self.view.live_routers();
        let (health, document) = (&self.health, self.config.document());
        let usable = |row: &SlotRow| usable_slots(health, document, now_ms, row);
        for (shard, upstreams) in &self.shards {
            let own_instance = &self.settings.router.member.instance;
            let slots = shards::fixed_slots(upstreams, &live, own_instance);
            if let Some(state) = self.services.get_mut(&shard.service) {
                state.apply_fixed_slots(now_ms, shard, slots, usable);
            }
        }
    }

    /// Handles changes of the membership view.
    pub fn apply_membership_changes(&mut self, changes: impl IntoIterator<Item = MemberChange>) {
        let changes: Vec<MemberChange> = changes.into_iter().collect();
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            let from = change.from.map(|state| state.to_string());
            tracing::info!(member = %change.member, from, to = %change.to, "member changed");
            if change.to == MemberState::Dead {
                self.remove_member(&change.member);
            }
        }
        self.has_urgent_update = true;
        self.update_membership();
    }

    fn remove_member(&mut self, member: &Member) {
        let now_ms = self.now_ms();
        self.counters.increment(Counter::MembersLost);
        self.connections.remove(&member.instance);
        self.peer_revisions.remove(&member.instance);
        self.report_pacing.remove(&member.instance);
        self.skipped_heartbeats.remove(&member.instance);
        for owner in self.owned_shards.values_mut() {
            owner.remove_router(now_ms, member);
        }
    }

    /// Recomputes what depends on the set of live members.
    pub fn update_membership(&mut self) {
        let live = self.view.live_routers();
        let own_instance = self.instance();
        self.monitored_peers =
            span_member::heartbeat_peers(own_instance, &live).into_iter().collect();
        self.update_ownership();
        self.update_fixed_slots();
    }
}

/// Number of allocated slots that may be used, given the upstream's health.
fn usable_slots(health: &Health, document: &Document, now_ms: u64, row: &SlotRow) -> u32 {
    let accepts_work = document.upstreams.get(&row.upstream).is_some_and(|row| !row.leaving);
    match health.availability(now_ms, &row.upstream) {
        _ if !accepts_work => 0,
        Availability::Usable => row.held,
        Availability::Probing => row.held.min(1),
        Availability::Blocked => 0,
    }
}
