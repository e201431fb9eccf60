//! State of the process and the decisions on it, without I/O.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::IpAddr,
    rc::Rc,
};

use futures::channel::oneshot;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use span_member::{MAX_FULL_MESH_PEERS, MembershipTiming, MembershipView, Router};
use span_types::{InstanceName, Member, MemberState, ServiceName, SoftwareVersion, UpstreamName};
use strum::IntoEnumIterator;
use tracing::info;

use crate::{
    caller_time::CallerTimes,
    cold::{ColdSource, ColdStatement},
    config::Config,
    directory::ConfigReports,
    evacuation::Evacuations,
    lane::Lane,
    load_summary::{
        FleetSummary, LoadSummary, ReceivedSummaries, ServiceLoad, ServiceLoads, Summary,
    },
    metrics::Metrics,
    origin_log::{OriginLog, SentOrigins},
    placement::{
        ChosenUpstream, Placement, PlacementRequest, PreferredVersion, PromptPrefix, ReadyUpstream,
    },
    prompt_crashes::PromptCrashes,
    registry::Registry,
    retry_budget::{RetryBudget, RetryLimit},
    role::{Role, role},
    service_admission::{LaneTicket, ServiceAdmission},
    settings::Settings,
    shares::{DecayingRate, DemandMeter},
    store_source::{ReadOrder, StoreKnowledge, StoreSource},
    stream_history::StreamHistory,
    stream_origin::{
        ASKED_ROUTERS, OriginAnswer, RequestKey, RouteScope, StreamOrigin, StreamOrigins,
        TOLD_ROUTERS, routers_for_stream,
    },
    stream_records::{HistoryRecord, RecordedOrigins},
    upstream_limit::LimitSummary,
    upstream_process::UpstreamProcesses,
};

/// Fraction of the connections that an upstream accepts which the known routers
/// may use; the rest is for routers that join.
const MAX_CONNECTIONS_FRACTION: f64 = 0.8;
/// Time without a heartbeat after which a router is suspect, then dead, and how
/// long a dead router is remembered, in milliseconds. Three heartbeats may be
/// lost.
const MEMBERSHIP_TIMING: MembershipTiming =
    MembershipTiming { suspect_after_ms: 1_300, remove_after_ms: 2_600, forget_after_ms: 60_000 };

/// A request that waits for a slot.
pub(crate) struct WaitingRequest {
    /// Receives the upstream when the request is dispatched. Dropped if the
    /// request is rejected.
    pub(crate) sender: oneshot::Sender<ChosenUpstream>,
    pub(crate) prompt_prefix: Option<PromptPrefix>,
    /// Prompt tokens beyond the prefix.
    pub(crate) prefill_tokens: u64,
    /// When the wait ends.
    pub(crate) until_ms: u64,
    /// The version at which its stream is to begin; none if any will do.
    pub(crate) preferred_version: Option<PreferredVersion>,
}

/// What this router keeps for one service.
pub(crate) struct ServiceState {
    pub(crate) placement: Placement,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission: ServiceAdmission,
    pub(crate) waiting: HashMap<LaneTicket, WaitingRequest>,
    pub(crate) load_meter: LoadMeter,
    /// Upstreams in evacuated failure domains.
    pub(crate) evacuated: BTreeSet<UpstreamName>,
}

/// Measures the load that this router's callers put on a service.
#[derive(Debug, Default)]
pub(crate) struct LoadMeter {
    pub(crate) demand: DemandMeter,
    /// Rate of prompt tokens in long prompts.
    pub(crate) long_prompt_tokens: DecayingRate,
    /// Time limits of callers.
    pub(crate) caller_times: CallerTimes,
}

impl LoadMeter {
    fn load(&mut self, now_ms: u64) -> ServiceLoad {
        ServiceLoad {
            demand: self.demand.demand(now_ms),
            long_tokens_per_s: self.long_prompt_tokens.per_s(now_ms) as u64,
            shortest_limits: self.caller_times.shortest_limits(),
        }
    }
}

/// State of the process.
pub(crate) struct State {
    /// Configuration in force; none until the first one is known.
    pub(crate) config: Option<Rc<Config>>,
    pub(crate) registry: Registry,
    /// Failure domains whose upstreams get no requests.
    pub(crate) evacuations: Evacuations,
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    /// Membership as this router sees it.
    pub(crate) view: MembershipView,
    /// Configuration version that each router reported last.
    pub(crate) config_reports: ConfigReports,
    /// Load that each router reported last in its heartbeat; empty loads in a
    /// fleet with collectors.
    pub(crate) router_loads: BTreeMap<Member, ServiceLoads>,
    /// Load summaries that this router received as a collector.
    pub(crate) received_summaries: ReceivedSummaries,
    /// Load of the fleet, as the collector last sent it.
    pub(crate) fleet_summary: FleetSummary,
    /// Limits of upstreams as other routers report them, to this one as a collector or
    /// in a small fleet.
    pub(crate) received_limits: ReceivedSummaries<LimitSummary>,
    /// Limits of upstreams as the fleet reports them; the collector last sent it.
    pub(crate) fleet_limits: FleetSummary<LimitSummary>,
    /// Where streams began.
    pub(crate) stream_origins: StreamOrigins,
    /// Origins of streams that this router writes to the store.
    pub(crate) origin_log: OriginLog,
    /// Streams that this router sent to the one that writes them to the store.
    pub(crate) sent_origins: SentOrigins,
    /// Origins of streams that the store held when it was last read.
    pub(crate) recorded_origins: RecordedOrigins,
    /// Where streams of late may have begun, as the store records it.
    pub(crate) stream_history: StreamHistory,
    /// Time within which a stream may be taken up, in milliseconds: it lasts for the longest
    /// time limit of a route at most, and so does the attempt that takes it up. Falls only
    /// when streams are over that began with longer limits.
    pub(crate) stream_lifetime_ms: u64,
    /// When processes of upstreams started, as far as streams depend on it.
    pub(crate) processes: UpstreamProcesses,
    /// Prompts that crash upstreams.
    pub(crate) prompt_crashes: PromptCrashes,
    /// From where this router gets what the store holds.
    pub(crate) store_source: StoreSource,
    pub(crate) metrics: Metrics,
    pub(crate) rng: SmallRng,
}

pub(crate) fn retry_limit(settings: &Settings) -> RetryLimit {
    let limits = settings.fleet_limits;
    RetryLimit {
        ratio: limits.retry_ratio,
        slack: limits.retry_slack,
        window_ms: limits.retry_window_ms,
    }
}

impl ServiceState {
    /// Dispatches waiting requests of all lanes for which a slot is free.
    pub(crate) fn dispatch(&mut self, now_ms: u64, rng: &mut SmallRng) {
        for lane in Lane::iter() {
            self.dispatch_lane(now_ms, lane, rng);
        }
    }

    /// Rejects the waiting requests whose wait ends before any upstream takes requests
    /// again.
    pub(crate) fn reject_unservable(&mut self, now_ms: u64) {
        let available_in_ms = self.placement.available_in_ms(now_ms).unwrap_or(0);
        let Self { admission, waiting, .. } = self;
        // Dropping the sender rejects the request.
        waiting.retain(|ticket, request| {
            let is_servable = request.until_ms >= now_ms + available_in_ms;
            if !is_servable {
                admission.cancel(*ticket);
            }
            is_servable
        });
    }

    /// Rejects all waiting requests.
    fn reject_waiting(&mut self) {
        // Dropping the senders rejects the requests.
        for (ticket, _) in self.waiting.drain() {
            self.admission.cancel(ticket);
        }
    }

    fn dispatch_lane(&mut self, now_ms: u64, lane: Lane, rng: &mut SmallRng) {
        let Self { placement, admission, waiting, .. } = self;
        while admission.lane(lane).queue_len() > 0 {
            let slots = placement.slot_counts(now_ms, lane);
            let Some(ticket) = admission.dispatch(now_ms, lane, slots) else {
                return;
            };
            let Some(request) = waiting.remove(&ticket) else {
                continue;
            };
            let (prompt_prefix, prefill_tokens) = (request.prompt_prefix, request.prefill_tokens);
            let placement_request = PlacementRequest {
                prompt_prefix,
                prefill_tokens,
                lane,
                excluded: &[],
                continued_version: None,
                preferred_version: request.preferred_version.as_ref(),
            };
            // Without an upstream, the sender is dropped, which rejects the request.
            let Some(chosen) = placement.assign_new(now_ms, placement_request, rng.next_u64())
            else {
                continue;
            };
            // Fails if the caller has left.
            if let Err(ChosenUpstream { upstream, .. }) = request.sender.send(chosen) {
                placement.prefill_ended(&upstream, request.prefill_tokens);
                placement.request_ended(&upstream);
            }
        }
    }
}

impl State {
    pub(crate) fn new(own_router: Router, seed: u64, is_first_start: bool) -> Self {
        let Member { instance, incarnation } = &own_router.member;
        let origin_log = OriginLog::new(format!("{instance}.{}", incarnation.0));
        Self {
            config: None,
            registry: Registry::default(),
            evacuations: Evacuations::default(),
            services: HashMap::new(),
            view: MembershipView::new(own_router, MEMBERSHIP_TIMING),
            config_reports: ConfigReports::default(),
            router_loads: BTreeMap::new(),
            received_summaries: ReceivedSummaries::default(),
            fleet_summary: FleetSummary::default(),
            received_limits: ReceivedSummaries::default(),
            fleet_limits: FleetSummary::default(),
            stream_origins: StreamOrigins::new(is_first_start),
            origin_log,
            sent_origins: SentOrigins::default(),
            recorded_origins: RecordedOrigins::default(),
            stream_history: StreamHistory::default(),
            stream_lifetime_ms: 0,
            processes: UpstreamProcesses::default(),
            prompt_crashes: PromptCrashes::default(),
            store_source: StoreSource::default(),
            metrics: Metrics::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Number of live routers, including this one.
    pub(crate) fn live_router_count(&self) -> usize {
        self.view.live_routers().len()
    }

    /// Number of upstreams that are known to name a limit on requests per second.
    pub(crate) fn limited_upstream_count(&self) -> usize {
        self.services.values().map(|service| service.placement.limited_count()).sum()
    }

    /// Number of upstreams that count as slow against others of their service.
    pub(crate) fn slow_upstream_count(&self) -> usize {
        self.services.values().map(|service| service.placement.slow_count()).sum()
    }

    /// Prompt tokens that a typical engine processes per millisecond: the fewest of all
    /// services with streams; 0 without such a service.
    pub(crate) fn prefill_tokens_per_ms(&self) -> u64 {
        let placements = self.services.values().map(|service| &service.placement);
        let rates = placements.filter(|placement| placement.is_engine());
        let rates = rates.map(|placement| placement.prefill_tokens_per_ms() as u64);
        rates.min().unwrap_or(0)
    }

    /// Load from this router's callers, for services with demand.
    pub(crate) fn own_loads(&mut self, now_ms: u64) -> ServiceLoads {
        let services = self.services.iter_mut();
        let loads = services.map(|(name, service)| (name.clone(), service.load_meter.load(now_ms)));
        loads.filter(|(_, load)| !load.demand.is_empty()).collect()
    }

    /// Load of the whole fleet, as far as it is known; `own` is this router's.
    pub(crate) fn fleet_load(&self, now_ms: u64, own: &ServiceLoads) -> LoadSummary {
        let summary = self.fleet_summary.get(now_ms).filter(|_| self.has_collectors());
        if let Some((_, sum)) = summary {
            return sum.clone();
        }
        let mut sum = LoadSummary { routers: 1, loads: own.clone(), ..LoadSummary::default() };
        let live: Vec<&Member> =
            self.view.live_routers().into_iter().map(|router| &router.member).collect();
        for (_, loads) in self.router_loads.iter().filter(|(member, _)| live.contains(member)) {
            sum.add(&LoadSummary { routers: 1, loads: loads.clone(), ..LoadSummary::default() }, 0);
        }
        sum
    }

    /// What this router reports about the limits of upstreams.
    pub(crate) fn own_limits(&self, now_ms: u64) -> LimitSummary {
        let mut sum = LimitSummary::default();
        for service in self.services.values() {
            sum.add(&service.placement.limit_summary(now_ms), 0);
        }
        sum
    }

    /// What the whole fleet reports about the limits of upstreams, as far as it is known.
    pub(crate) fn fleet_limits(&mut self, now_ms: u64) -> LimitSummary {
        if let Some((at_ms, sum)) = self.fleet_limits.get(now_ms) {
            return sum.aged(now_ms.saturating_sub(at_ms));
        }
        let own = self.own_limits(now_ms);
        self.received_limits.fleet_sum(now_ms, &own)
    }

    /// Role of this router in the exchange of load summaries; none in a fleet
    /// without collectors.
    pub(crate) fn role(&self) -> Option<Role> {
        if self.has_collectors() { role(&self.view) } else { None }
    }

    /// Place of this router in the order in which routers read the store.
    pub(crate) fn read_order(&self) -> ReadOrder {
        self.role().map_or(ReadOrder::Always, |role| role.read_order())
    }

    /// What this router knows of the store.
    pub(crate) fn store_knowledge(&self, now_ms: u64) -> StoreKnowledge {
        StoreKnowledge {
            config_version: self.config.as_ref().map_or(0, |config| config.version),
            registry_position: self.registry.position(),
            registry_digest: self.registry.digest(),
            store_age_ms: self.store_source.store_age_ms(now_ms),
        }
    }

    /// Where streams of `services` may have begun, as far as this router knows.
    pub(crate) fn origin_candidates<'a>(
        &self,
        now_ms: u64,
        services: impl IntoIterator<Item = &'a ServiceName>,
    ) -> BTreeSet<StreamOrigin> {
        let candidates = services.into_iter().flat_map(|service| {
            self.stream_origins.candidates(now_ms, service, self.stream_lifetime_ms)
        });
        candidates.collect()
    }

    /// Services at which a stream may have begun, as far as this router knows.
    fn recent_services(&self, now_ms: u64, scope: &RouteScope) -> BTreeSet<ServiceName> {
        let lifetime_ms = self.stream_lifetime_ms;
        let lately = self.stream_origins.route_services(now_ms, &scope.route, lifetime_ms);
        lately.chain(&scope.services).cloned().collect()
    }

    /// Brings the lifetime of streams in line with the configuration.
    pub(crate) fn refresh_stream_lifetime(&mut self, now_ms: u64) {
        if let Some(config) = &self.config {
            self.stream_origins.set_lifetime(now_ms, 2 * config.longest_stream_ms());
        }
        self.stream_lifetime_ms = self.stream_origins.lifetime_ms(now_ms);
    }

    /// What this router knows of the stream that `request` began.
    pub(crate) fn origin_answer(
        &self,
        now_ms: u64,
        request: RequestKey,
        scope: &RouteScope,
    ) -> OriginAnswer {
        let (origins, lifetime_ms) = (&self.stream_origins, self.stream_lifetime_ms);
        let services = self.recent_services(now_ms, scope);
        // A dead router that may have been told of the stream must be remembered for as long.
        let remembers_the_dead = lifetime_ms <= MEMBERSHIP_TIMING.forget_after_ms;
        OriginAnswer {
            start: origins.get(now_ms, request).cloned(),
            candidates: self.origin_candidates(now_ms, &services),
            untold: services
                .iter()
                .flat_map(|service| origins.untold(now_ms, service, lifetime_ms))
                .collect(),
            knows_history: origins.knows_history(now_ms, lifetime_ms)
                && services
                    .iter()
                    .all(|service| origins.knows_versions(now_ms, service, lifetime_ms)),
            is_witness: remembers_the_dead && origins.is_witness(now_ms, &services, lifetime_ms),
            has_searched: false,
        }
    }

    /// The record of where streams may have begun that has to be written; none if the one in
    /// the store agrees with what this router knows.
    pub(crate) fn due_history(&mut self, now_ms: u64) -> Option<HistoryRecord> {
        // Without a configuration, neither routes nor lifetimes are known.
        self.config.as_ref()?;
        let lifetime_ms = self.stream_lifetime_ms;
        let mut wanted = self.stream_origins.history(now_ms, lifetime_ms);
        let streaming: BTreeSet<&ServiceName> = wanted.routes.values().flatten().collect();
        wanted.versions.retain(|service, _| streaming.contains(service));
        let knows_history = self.stream_origins.knows_history(now_ms, lifetime_ms);
        self.stream_history.due(now_ms, &wanted, knows_history)
    }

    /// The router that keeps the records in the store for this one; none if it does so
    /// itself. In a large fleet only collectors do, as the store's rate does not grow with
    /// the fleet.
    pub(crate) fn record_keeper(&self) -> Option<Router> {
        let Some(Role::Member { collector_ip, .. }) = self.role() else {
            return None;
        };
        let mut live = self.view.live_routers().into_iter();
        live.find(|router| router.peer_address.ip() == collector_ip).cloned()
    }

    /// Whether this router removes the records that dead routers have left.
    pub(crate) fn sweeps_records(&self) -> bool {
        match self.role() {
            Some(Role::Collector { rank, .. }) => rank == 0,
            Some(Role::Member { .. }) => false,
            None => {
                let live = self.view.live_routers().into_iter();
                let first = live.map(|router| &router.member.instance).min();
                first.is_none_or(|first| *first == self.view.own_update().router.member.instance)
            }
        }
    }

    /// Whether a stream of `service` that another router takes up may have begun
    /// elsewhere than at the only version that the service has.
    pub(crate) fn origins_may_differ(&self, now_ms: u64, service: &ServiceName) -> bool {
        let (origins, lifetime_ms) = (&self.stream_origins, self.stream_lifetime_ms);
        // Members of a large fleet do not read the history.
        origins.may_differ(now_ms, service, lifetime_ms)
            || (!origins.knows_versions(now_ms, service, lifetime_ms)
                && self.record_keeper().is_none())
    }

    /// Whether a router that starts now would learn that streams may begin at `origin`.
    pub(crate) fn is_in_history(&self, now_ms: u64, origin: &StreamOrigin) -> bool {
        if self.record_keeper().is_some() {
            // Members of a large fleet leave the history to their collector.
            return self.stream_history.is_confirmed(origin);
        }
        if self.stream_history.is_known() {
            return self.stream_history.tells_of(origin);
        }
        // This router has started, or the store was restored, while the store does not answer.
        let lifetime_ms = self.stream_lifetime_ms;
        !self.stream_origins.may_differ(now_ms, &origin.service, lifetime_ms)
    }

    /// Whether the stream of `request` may begin at `origin` before it is recorded there.
    pub(crate) fn may_begin_unrecorded(&self, request: RequestKey, origin: &StreamOrigin) -> bool {
        let has_collector = self.record_keeper().is_some();
        self.stream_history.may_begin_unrecorded(has_collector, request, origin)
    }

    /// The version at which the stream of `request` is to begin, so that it need not be recorded
    /// first; none if any will do.
    pub(crate) fn preferred_version(
        &self,
        service: &ServiceName,
        request: RequestKey,
    ) -> Option<PreferredVersion> {
        let has_collector = self.record_keeper().is_some();
        let version = self.stream_history.version_for(has_collector, service, request)?.clone();
        let is_store_away = self.is_record_store_away();
        Some(PreferredVersion { version, is_required: is_store_away })
    }

    /// Whether streams are not recorded at the moment, or only after a while.
    pub(crate) fn is_record_store_away(&self) -> bool {
        let has_collector = self.record_keeper().is_some();
        self.stream_history.is_store_away(has_collector)
            || (!has_collector && self.processes.is_store_away())
    }

    /// Brings the placement of all services in line with whether streams are recorded. Returns
    /// whether that changes anything.
    pub(crate) fn sync_required_versions(&mut self) -> bool {
        let (has_collector, is_away) =
            (self.record_keeper().is_some(), self.is_record_store_away());
        let mut has_changed = false;
        for (name, service) in &mut self.services {
            let has_shares = self.stream_history.has_shares(has_collector, name);
            has_changed |= service.placement.set_requires_versions(is_away && has_shares);
        }
        has_changed
    }

    /// Where the stream of `request` began if the store has no record of it; none if that is not
    /// certain. `has_collector` says whether the collector has read the history for this router,
    /// which reads it itself otherwise.
    pub(crate) fn unrecorded_origin(
        &self,
        now_ms: u64,
        request: RequestKey,
        scope: &RouteScope,
        has_collector: bool,
    ) -> Option<StreamOrigin> {
        let services = self.recent_services(now_ms, scope);
        let service = services.first().filter(|_| services.len() == 1)?;
        let version = self.stream_history.unrecorded_version(has_collector, service, request)?;
        Some(StreamOrigin { service: service.clone(), software_version: version.clone() })
    }

    /// Whether streams of a service may have begun at several versions.
    pub(crate) fn has_several_versions(&self, now_ms: u64) -> bool {
        let (origins, lifetime_ms) = (&self.stream_origins, self.stream_lifetime_ms);
        let mut services = self.services.keys();
        services.any(|service| origins.candidates(now_ms, service, lifetime_ms).len() > 1)
    }

    /// Brings what the history needs for the shares of versions in line with the upstreams and
    /// routers, if a service has several.
    pub(crate) fn refresh_history_fleet(&mut self, now_ms: u64) {
        if !self.has_several_versions(now_ms) {
            return;
        }
        let slots = self.services.keys().map(|service| {
            let mut slots: BTreeMap<SoftwareVersion, u32> = BTreeMap::new();
            for (_, entry) in self.registry.ready(service) {
                *slots.entry(entry.software_version.clone()).or_default() += entry.slots;
            }
            (service.clone(), slots)
        });
        self.stream_history.set_slots(slots.collect());
        let own_domain = self.view.own_update().router.failure_domain.clone();
        let statuses = self.view.member_statuses().into_iter();
        let others: Vec<Router> = statuses.map(|status| status.update.router).collect();
        let members = |is_wanted: &dyn Fn(&Router) -> bool| -> BTreeSet<Member> {
            let wanted = others.iter().filter(|router| is_wanted(router));
            wanted.map(|router| router.member.clone()).collect()
        };
        let (fleet, kept_for) = match self.role() {
            Some(Role::Collector { other_collectors, .. }) => {
                let kept_for = members(&|router| router.failure_domain == own_domain);
                let collectors =
                    members(&|router| other_collectors.contains(&router.peer_address.ip()));
                (kept_for.union(&collectors).cloned().collect(), kept_for)
            }
            Some(Role::Member { .. }) | None => (members(&|_| true), BTreeSet::new()),
        };
        let lifetime_ms = self.stream_lifetime_ms;
        let remembers_the_dead = lifetime_ms <= MEMBERSHIP_TIMING.forget_after_ms;
        let is_old = now_ms >= lifetime_ms || self.stream_origins.had_nothing_before();
        self.stream_history.set_fleet(fleet, kept_for, remembers_the_dead && is_old);
    }

    /// Versions of which a member of a large fleet has to ask its collector whether the history
    /// names them: those of services that have several.
    pub(crate) fn unconfirmed_versions(&mut self, now_ms: u64) -> Vec<StreamOrigin> {
        let (origins, lifetime_ms) = (&self.stream_origins, self.stream_lifetime_ms);
        let candidates = |service: &ServiceName| origins.candidates(now_ms, service, lifetime_ms);
        self.stream_history.retain_confirmed(|origin| candidates(&origin.service).contains(origin));
        let services = self.services.keys();
        let differing = services.filter(|name| origins.may_differ(now_ms, name, lifetime_ms));
        let versions = differing.flat_map(candidates);
        versions.filter(|origin| !self.stream_history.is_confirmed(origin)).collect()
    }

    /// Services of which a member of a large fleet has to ask its collector which versions they had
    /// before it started: those that have several now.
    pub(crate) fn services_with_unknown_earlier_versions(&self, now_ms: u64) -> Vec<ServiceName> {
        let (origins, lifetime_ms) = (&self.stream_origins, self.stream_lifetime_ms);
        let is_unknown = |name: &&ServiceName| {
            origins.may_differ(now_ms, name, lifetime_ms)
                && !origins.knows_versions_before_start(name)
        };
        self.services.keys().filter(is_unknown).cloned().collect()
    }

    /// Those of `versions` that a collector can say the history names. One that has no upstream
    /// may be about to leave it.
    pub(crate) fn recorded_versions(&self, versions: Vec<StreamOrigin>) -> Vec<StreamOrigin> {
        if self.record_keeper().is_some() {
            return Vec::new();
        }
        let is_recorded = |origin: &StreamOrigin| {
            let present = self.registry.software_versions(&origin.service);
            present.contains(&origin.software_version) && self.stream_history.tells_of(origin)
        };
        versions.into_iter().filter(is_recorded).collect()
    }

    /// Keeps new streams from versions that the history lacks while others serve.
    pub(crate) fn sync_recorded_versions(&mut self) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        let has_keeper = self.record_keeper().is_some();
        for name in names {
            let present = self.registry.software_versions(&name);
            let unrecorded = present.iter().filter(|version| {
                let origin =
                    StreamOrigin { service: name.clone(), software_version: (*version).clone() };
                match has_keeper {
                    true => !self.stream_history.is_confirmed(&origin),
                    false => self.stream_history.rules_out(&origin),
                }
            });
            let mut unrecorded: BTreeSet<SoftwareVersion> = unrecorded.cloned().collect();
            if unrecorded.len() == present.len() {
                unrecorded.clear();
            }
            let Some(service) = self.services.get_mut(&name) else { continue };
            if service.placement.set_unrecorded(&unrecorded) {
                let versions: Vec<&str> = unrecorded.iter().map(SoftwareVersion::as_str).collect();
                info!(
                    service = name.as_str(),
                    versions = versions.join(", "),
                    "versions that the store has not recorded get no new requests while others \
                     serve"
                );
            }
        }
    }

    /// Services of whose streams others have to be told: all of them, or those whose
    /// origins may differ.
    pub(crate) fn services_with_origins(&self, now_ms: u64, all: bool) -> BTreeSet<ServiceName> {
        let services = self.services.keys();
        let differing = services.filter(|service| all || self.origins_may_differ(now_ms, service));
        differing.cloned().collect()
    }

    /// Other live routers that are to know of a stream, with their addresses.
    pub(crate) fn routers_for_stream(
        &self,
        request: RequestKey,
        count: usize,
    ) -> Vec<(InstanceName, IpAddr)> {
        let own_name = &self.view.own_update().router.member.instance;
        let live = self.view.live_routers();
        let others: BTreeMap<&InstanceName, IpAddr> = live
            .into_iter()
            .map(|router| (&router.member.instance, router.peer_address.ip()))
            .filter(|(name, _)| *name != own_name)
            .collect();
        let chosen = routers_for_stream(others.keys().copied(), request, count).into_iter();
        chosen.filter_map(|name| Some((name.clone(), *others.get(name)?))).collect()
    }

    /// All known routers in the order of a stream, including this one and dead ones.
    pub(crate) fn ranked_routers(&self, request: RequestKey) -> Vec<InstanceName> {
        let own_name = self.view.own_update().router.member.instance.clone();
        let others = self.view.member_statuses().into_iter();
        let mut names: Vec<InstanceName> =
            others.map(|status| status.update.router.member.instance).collect();
        names.push(own_name);
        routers_for_stream(&names, request, names.len()).into_iter().cloned().collect()
    }

    /// Addresses of the other routers that are told of a stream: its holders that live, and
    /// further ones in the place of the others.
    pub(crate) fn routers_to_tell(&self, request: RequestKey) -> BTreeSet<IpAddr> {
        let routers = self.routers_for_stream(request, TOLD_ROUTERS);
        routers.into_iter().map(|(_, ip)| ip).collect()
    }

    /// The other routers that hold where a stream began: the first ones in its order, also
    /// those that have died.
    pub(crate) fn holders(&self, request: RequestKey) -> BTreeSet<InstanceName> {
        let own_name = &self.view.own_update().router.member.instance;
        let ranked = self.ranked_routers(request).into_iter();
        ranked.filter(|name| name != own_name).take(TOLD_ROUTERS).collect()
    }

    /// Other routers that are asked where a stream began, with their addresses: those that
    /// may have been told, and the one that keeps the records for this one.
    pub(crate) fn routers_to_ask(&self, request: RequestKey) -> Vec<(InstanceName, IpAddr)> {
        let mut routers = self.routers_for_stream(request, ASKED_ROUTERS);
        if let Some(keeper) = self.record_keeper() {
            let keeper = (keeper.member.instance, keeper.peer_address.ip());
            if !routers.contains(&keeper) {
                routers.push(keeper);
            }
        }
        routers
    }

    /// Whether the records of the store may tell more about a stream than `own`, what this
    /// router knows of it. A router that has run for the lifetime of streams has seen all
    /// versions itself.
    pub(crate) fn needs_record_search(&self, now_ms: u64, own: &OriginAnswer) -> bool {
        let uptime_ms = now_ms;
        own.candidates.len() != 1 || !own.knows_history || uptime_ms < self.stream_lifetime_ms
    }

    /// Addresses of the other live routers.
    pub(crate) fn other_router_ips(&self) -> Vec<IpAddr> {
        let own_name = &self.view.own_update().router.member.instance;
        let live = self.view.live_routers().into_iter();
        let others = live.filter(|router| router.member.instance != *own_name);
        others.map(|router| router.peer_address.ip()).collect()
    }

    /// Whether the fleet is so large that collectors aggregate its load, since
    /// not every router exchanges heartbeats with every other.
    pub(crate) fn has_collectors(&self) -> bool {
        self.live_router_count() > MAX_FULL_MESH_PEERS + 1
    }

    /// Number of routers that may be sending requests. Includes dead ones, which
    /// may only be partitioned from this router.
    pub(crate) fn known_router_count(&self) -> usize {
        let is_dead = |status: &span_member::MemberStatus| status.update.state == MemberState::Dead;
        self.live_router_count()
            + self.view.member_statuses().iter().filter(|status| is_dead(status)).count()
    }

    /// Brings the services and workspaces in line with the configuration.
    pub(crate) fn sync_config(&mut self, now_ms: u64, settings: &Settings) {
        let Some(config) = self.config.clone() else {
            return;
        };
        self.refresh_stream_lifetime(now_ms);
        self.stream_origins.set_routes(now_ms, &config.resumable_routes());
        let route_ids = config.route_ids();
        let limit = retry_limit(settings);
        for name in config.services.keys() {
            self.services.entry(name.clone()).or_insert_with(|| ServiceState {
                placement: Placement::default(),
                retry_budget: RetryBudget::new(limit, now_ms),
                admission: ServiceAdmission::default(),
                waiting: HashMap::new(),
                load_meter: LoadMeter::default(),
                evacuated: BTreeSet::new(),
            });
        }
        for service in self.services.values_mut() {
            service.load_meter.caller_times.retain_routes(|route| route_ids.contains(route));
            for ticket in service.admission.retain_workspaces(&config.workspaces) {
                // Dropping the sender rejects the request.
                service.waiting.remove(&ticket);
            }
        }
        self.sync_cold_terms(now_ms, settings);
        self.sync_upstreams(now_ms);
    }

    /// Brings the placement of all services in line with the registry.
    pub(crate) fn sync_upstreams(&mut self, now_ms: u64) {
        for (name, service) in &mut self.services {
            let versions = self.registry.software_versions(name);
            self.stream_origins.set_versions(now_ms, name, &versions);
            let open = self.evacuations.open_upstreams(now_ms, &self.registry, name);
            let open: Vec<ReadyUpstream<'_>> = open.collect();
            let placement = &mut service.placement;
            let new: Vec<&UpstreamName> = open
                .iter()
                .map(|upstream| upstream.name)
                .filter(|name| !placement.contains(name))
                .collect();
            placement.set_upstreams(open.iter().copied());
            placement.apply_limits(now_ms);
            let start_ms = placement.cold_terms().map_or(0, |terms| terms.start_ms);
            for name in new {
                let stated_ms = self.registry.get(name).map_or(0, |entry| entry.cold_remaining_ms);
                // What was said of it meanwhile has not been followed.
                let (remaining_ms, source) = if service.evacuated.contains(name) {
                    (stated_ms.max(start_ms), ColdSource::TakenBack)
                } else {
                    (stated_ms, ColdSource::Entry)
                };
                placement.record_cold(
                    now_ms,
                    name,
                    ColdStatement::new(now_ms, remaining_ms, source),
                );
            }
            let evacuated = self.registry.ready(name);
            let evacuated =
                evacuated.filter(|(_, entry)| self.evacuations.is_evacuated(&entry.failure_domain));
            service.evacuated = evacuated.map(|(name, _)| name.clone()).collect();
            if self.evacuations.covers_service(&self.registry, name) {
                service.reject_waiting();
            }
        }
        self.sync_recorded_versions();
        self.sync_fleet();
    }

    /// Brings the placement of all services in line with the number of routers.
    pub(crate) fn sync_fleet(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let own_name = self.view.own_update().router.member.instance.clone();
        // Dead routers may only be partitioned, with their connections still open.
        let (live, known) = (self.live_router_count(), self.known_router_count());
        let live_fraction = live as f64 / known as f64;
        for (name, service) in &mut self.services {
            let Some(service_config) = config.services.get(name) else {
                continue;
            };
            let accepted = f64::from(service_config.max_connections);
            let max_connections = accepted * MAX_CONNECTIONS_FRACTION * live_fraction;
            service.placement.set_fleet(&own_name, live, max_connections);
            service.placement.set_reach(live_fraction);
            service.placement.set_gap_target(config.gap_target_ms(name));
        }
    }
}
