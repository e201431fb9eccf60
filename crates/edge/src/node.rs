//! The process: its state, and the operations that its tasks perform on it.

use std::{
    cell::{Cell, RefCell, RefMut},
    future::Future,
    rc::Rc,
    sync::Arc,
};

use futures::channel::oneshot;
use rand::{Rng, RngExt};
use span_member::Router;
use span_types::{FailureDomain, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName};
use tokio::{sync::Notify, time::sleep_until};
use tracing::{info, warn};

use crate::{
    admission::{AdmissionRequest, Rejection},
    clock::Clock,
    cold::ColdSource,
    config::{Config, Route},
    connections::Connections,
    directory,
    drain::DrainPlan,
    load_summary::{self, LoadSummary, ServiceLoad, ServiceLoads},
    metrics::Counter,
    origin_exchange::Confirmations,
    origin_search::Inquiries,
    outbox::Outbox,
    overload::OverloadDetector,
    placement::{ChosenUpstream, PlacementRequest, PreferredVersion, PromptPrefix},
    pool::Pool,
    record_sync::RecordReads,
    registry::{Registry, UpstreamChange},
    service_admission::LaneTicket,
    settings::Settings,
    shares,
    state::{ServiceState, State, WaitingRequest, retry_limit},
    store::Position,
    store_source::StartState,
    upstream_limit::LimitStatement,
    upstream_load::AttemptResult,
    wire_format::{WireFormat, WorkEstimate},
};

/// The process. All its tasks share it and run on one thread.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    pub(crate) wire_format: WireFormat,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    /// The planned stop; none while the process is not told to stop.
    pub(crate) drain_plan: Cell<Option<DrainPlan>>,
    /// Times of the last two runs of the periodic tasks, the earlier one first, in milliseconds.
    ticks_ms: Cell<(u64, u64)>,
    /// Whether open requests have to be answered now, since the process ends.
    answers_are_due: Cell<bool>,
    /// Notified when that happens.
    answers_become_due: Notify,
    pub(crate) overload: RefCell<OverloadDetector>,
    /// Open connections of callers.
    pub(crate) caller_connections: Rc<Cell<usize>>,
    /// Requests whose answer has not ended.
    pub(crate) open_requests: Cell<usize>,
    /// Whether the process ends now, so that open requests get no answer.
    pub(crate) has_ended: Cell<bool>,
    /// Fields of the settings file whose new values wait for a restart.
    pub(crate) settings_awaiting_restart: Cell<usize>,
    /// Accepted connections and the memory budget.
    pub(crate) connections: Rc<Connections>,
    /// Wakes the sender of load summaries after a change that the failure
    /// domain's routers wait for.
    pub(crate) summary_trigger: Notify,
    /// Datagrams to other routers that wait to be sent.
    pub(crate) outbox: Outbox,
    /// Inquiries for streams that wait for the answers of other routers.
    pub(crate) inquiries: Inquiries,
    /// Requests for streams that are about to begin, and what others know of them.
    pub(crate) confirmations: Confirmations,
    /// Demand for what the store holds about streams.
    pub(crate) record_reads: RecordReads,
    /// Wakes the writer of records about streams after a change of the upstreams or of the
    /// configuration.
    pub(crate) records_changed: Notify,
    /// Wakes the reader of upstream entries that are wanted at once.
    pub(crate) entries_wanted: Notify,
    state: RefCell<State>,
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSlot {
    /// No upstream of the service takes requests.
    NoUpstream,
    /// The request was rejected by admission control.
    Rejected(Rejection),
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        wire_format: WireFormat,
        own_router: Router,
        seed: u64,
    ) -> Rc<Self> {
        let is_first_start = settings.is_first_start;
        let mut state = State::new(own_router, seed, is_first_start);
        state.evacuations.set_enabled(settings.fleet_limits.evacuation_ms.is_some());
        let connections = Rc::new(Connections::new(settings.resources.memory_bytes));
        let overload = OverloadDetector::new(settings.resources.processor_millicores);
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            wire_format,
            clock: Clock::start(),
            pool: Pool::default(),
            drain_plan: Cell::new(None),
            ticks_ms: Cell::new((0, 0)),
            answers_are_due: Cell::new(false),
            answers_become_due: Notify::new(),
            overload: RefCell::new(overload),
            caller_connections: Rc::default(),
            open_requests: Cell::new(0),
            has_ended: Cell::new(false),
            settings_awaiting_restart: Cell::new(0),
            connections,
            summary_trigger: Notify::new(),
            outbox: Outbox::default(),
            inquiries: Inquiries::default(),
            confirmations: Confirmations::default(),
            record_reads: RecordReads::default(),
            records_changed: Notify::new(),
            entries_wanted: Notify::new(),
            state: RefCell::new(state),
        })
    }

    /// Borrows the state. The borrow must end before the task yields.
    pub(crate) fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Applies settings that were read again. Returns the names of the fields that differ from
    /// those in use and take a restart to apply; their old values stay in use as a whole.
    pub(crate) fn apply_settings(&self, settings: Settings) -> Vec<&'static str> {
        let old = self.settings();
        let waiting = old.fields_needing_restart_for(&settings);
        self.settings_awaiting_restart.set(waiting.len());
        let settings = Settings {
            instance: old.instance.clone(),
            failure_domain: old.failure_domain.clone(),
            addresses: old.addresses,
            resources: old.resources,
            ..settings
        };
        let limit = retry_limit(&settings);
        let has_evacuations = settings.fleet_limits.evacuation_ms.is_some();
        *self.settings.borrow_mut() = Rc::new(settings);
        let now_ms = self.now_ms();
        let mut state = self.state();
        for service in state.services.values_mut() {
            service.retry_budget.set_limit(limit);
        }
        if has_evacuations != state.evacuations.is_enabled() {
            state.evacuations.set_enabled(has_evacuations);
            state.sync_upstreams(now_ms);
        }
        state.sync_cold_terms(self.now_ms(), &self.settings());
        waiting
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn count(&self, counter: Counter) {
        self.state().metrics.count(counter);
    }

    pub(crate) fn config(&self) -> Option<Rc<Config>> {
        self.state().config.clone()
    }

    /// Version of the configuration in force; 0 without one.
    pub(crate) fn config_version(&self) -> u64 {
        self.state().config.as_ref().map_or(0, |config| config.version)
    }

    /// Random number, uniform in 0 to 1.
    pub(crate) fn random_fraction(&self) -> f64 {
        self.state().rng.random()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.drain_plan.get().is_some()
    }

    /// Records a run of the periodic tasks.
    pub(crate) fn record_tick(&self, now_ms: u64) {
        self.ticks_ms.set((self.ticks_ms.get().1, now_ms));
    }

    /// Earliest time at which a signal can have come that is handled now. A process that stood
    /// still handles it late, and may have run its periodic tasks once before.
    pub(crate) fn earliest_signal_ms(&self) -> u64 {
        self.ticks_ms.get().0
    }

    /// Whether the process ends now, so that open requests have to be answered.
    pub(crate) fn answers_are_due(&self) -> bool {
        self.answers_are_due.get()
    }

    /// Ends the waits of all open requests.
    pub(crate) fn answer_open_requests(&self) {
        self.answers_are_due.set(true);
        self.answers_become_due.notify_waiters();
    }

    /// Waits for what a request needs, at most until `until_ms` or until the process ends. None
    /// if that comes first.
    pub(crate) async fn wait_for<F: Future>(&self, until_ms: u64, future: F) -> Option<F::Output> {
        let answers_become_due = self.answers_become_due.notified();
        if self.answers_are_due() {
            return None;
        }
        tokio::select! {
            biased;
            output = future => Some(output),
            () = sleep_until(self.clock.instant(until_ms)) => None,
            () = answers_become_due => None,
        }
    }

    /// Puts a configuration in force if it is newer than the current one.
    /// Returns whether it was.
    pub(crate) fn apply_config(&self, config: Config, source: &'static str) -> bool {
        let version = config.version;
        if version <= self.config_version() {
            return false;
        }
        let config = Rc::new(config);
        let mut state = self.state();
        state.metrics.count(Counter::ConfigsApplied);
        state.config = Some(config.clone());
        let now_ms = self.now_ms();
        state.sync_config(now_ms, &self.settings());
        let routers = state.live_router_count();
        drop(state);
        self.tell_stream_origins(true);
        self.records_changed.notify_one();
        self.summary_trigger.notify_one();
        info!(version, source, routers, "configuration in force");
        true
    }

    /// Applies changes of the registry to connections and services.
    pub(crate) fn apply_upstream_changes(&self, changes: &[UpstreamChange]) {
        if changes.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut state = self.state();
        for change in changes {
            match change {
                UpstreamChange::Started(name) => {
                    self.pool.close(name);
                    state.prompt_crashes.record_started(now_ms, name);
                    state.processes.record_started(now_ms, name);
                    for service in state.services.values_mut() {
                        service.placement.reset(name);
                    }
                }
                UpstreamChange::Removed(name) => {
                    self.pool.close(name);
                    state.prompt_crashes.record_removed(now_ms, name);
                    state.processes.record_removed(name);
                }
                UpstreamChange::Leaving(_) => {}
            }
        }
        state.sync_upstreams(now_ms);
        let known = state.registry.len();
        drop(state);
        self.tell_stream_origins(false);
        self.records_changed.notify_one();
        self.summary_trigger.notify_one();
        for change in changes {
            let (name, kind) = match change {
                UpstreamChange::Started(name) => (name, "started"),
                UpstreamChange::Leaving(name) => (name, "draining"),
                UpstreamChange::Removed(name) => (name, "gone"),
            };
            let version = self.software_version(name);
            info!(
                upstream = name.as_str(),
                change = kind,
                software_version = version.as_ref().map(SoftwareVersion::as_str),
                known,
                "upstream changed"
            );
        }
        self.dispatch_all();
    }

    /// Replaces the upstream entries by a list that `replace` takes over, which
    /// corresponds to `position`. `cold_source` says where the list comes from.
    pub(crate) fn replace_entries(
        &self,
        position: Position,
        cold_source: ColdSource,
        replace: impl FnOnce(&mut Registry, u64) -> Vec<UpstreamChange>,
    ) {
        let now_ms = self.now_ms();
        let source = if cold_source == ColdSource::Entry { "store" } else { "peer" };
        let mut state = self.state();
        let (era, known) = (state.registry.era(), state.registry.len());
        let old_position = state.registry.position();
        let changes = replace(&mut state.registry, now_ms);
        let new_era = state.registry.era();
        if state.registry.position() != old_position {
            state.record_listed_cold(now_ms, cold_source);
        }
        drop(state);
        if new_era > era && known > 0 {
            let revision = position.revision;
            warn!(era, new_era, revision, source, known, "the store was restored from a copy");
        }
        self.apply_upstream_changes(&changes);
    }

    /// Version of the software of an upstream; none if the upstream is unknown.
    pub(crate) fn software_version(&self, upstream: &UpstreamName) -> Option<SoftwareVersion> {
        self.state().registry.get(upstream).map(|entry| entry.software_version.clone())
    }

    /// Sends no further requests to an upstream that stated in an answer that it is
    /// leaving.
    pub(crate) fn upstream_states_leaving(&self, upstream: &UpstreamName) {
        let now_ms = self.now_ms();
        let change = self.state().registry.mark_leaving(now_ms, upstream);
        if let Some(change) = change {
            info!(upstream = upstream.as_str(), "upstream states in an answer that it is leaving");
            self.apply_upstream_changes(&[change]);
        }
    }

    /// Sends no requests for `pause_ms` to an upstream that asked for that when it
    /// turned one away.
    pub(crate) fn upstream_requests_pause(&self, upstream: &UpstreamName, pause_ms: u64) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let draw = state.rng.random();
        let service = state.registry.get(upstream).map(|entry| entry.service.clone());
        if let Some(service) = service.and_then(|service| state.services.get_mut(&service)) {
            service.placement.record_pause(now_ms, upstream, pause_ms, draw);
            service.reject_unservable(now_ms);
        }
        drop(state);
        info!(upstream = upstream.as_str(), pause_ms, "upstream asks for a pause");
    }

    /// Records that an upstream named a limit on requests per second in its answer to a
    /// request that was sent at `sent_ms`, or none.
    pub(crate) fn upstream_states_limit(
        &self,
        upstream: &UpstreamName,
        per_s: Option<f64>,
        sent_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        if per_s.is_some() {
            state.metrics.count(Counter::LimitedAnswers);
        }
        let service = state.registry.get(upstream).map(|entry| entry.service.clone());
        let Some(service) = service.and_then(|service| state.services.get_mut(&service)) else {
            return;
        };
        let statement = LimitStatement { per_s, sent_ms, received_ms: now_ms };
        let is_notable = service.placement.record_limit(now_ms, upstream, statement);
        let own_per_s = service.placement.sent_per_s(now_ms, upstream);
        drop(state);
        if !is_notable {
            return;
        }
        match per_s {
            Some(limit_per_s) => info!(
                upstream = upstream.as_str(),
                limit_per_s, own_per_s, "upstream names a limit on requests"
            ),
            None => info!(
                upstream = upstream.as_str(),
                own_per_s, "upstream names no limit on requests any more"
            ),
        }
    }

    /// Records that an upstream has accepted a request.
    pub(crate) fn upstream_accepted(&self, upstream: &UpstreamName) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let service = state.registry.get(upstream).map(|entry| entry.service.clone());
        if let Some(service) = service.and_then(|service| state.services.get_mut(&service)) {
            service.placement.record_accepted(now_ms, upstream);
        }
    }

    /// Time until an upstream of the service takes requests, in milliseconds; none if
    /// that is not known.
    pub(crate) fn available_in_ms(&self, service: &ServiceName) -> Option<u64> {
        let now_ms = self.now_ms();
        self.state().services.get(service)?.placement.available_in_ms(now_ms)
    }

    /// Time until an upstream that is not `excluded` can continue a stream of `version`, in
    /// milliseconds: 0 if one can now, none if there is no such upstream.
    pub(crate) fn can_continue_in_ms(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        excluded: &[UpstreamName],
    ) -> Option<u64> {
        let now_ms = self.now_ms();
        let state = self.state();
        state.services.get(service)?.placement.can_continue_in_ms(now_ms, version, excluded)
    }

    /// Applies a change of the routers in the fleet.
    pub(crate) fn membership_changed(&self) {
        self.state().sync_fleet();
    }

    /// Enqueues a request of `service` for a slot. The receiver gets the upstream
    /// when the request is dispatched. One that takes up a stream of
    /// `continued_version` gets an upstream of that version at once, if need be one
    /// without a free slot, as a stream does that this router continues. One that begins a stream
    /// goes to the preferred version if that can be.
    pub(crate) fn enqueue(
        &self,
        service: &ServiceName,
        request: &AdmissionRequest,
        work: &WorkEstimate,
        continued_version: Option<&SoftwareVersion>,
        preferred_version: Option<PreferredVersion>,
    ) -> Result<(LaneTicket, oneshot::Receiver<ChosenUpstream>), NoSlot> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let State { services, rng, metrics, .. } = &mut *state;
        let service_state = services.get_mut(service).ok_or(NoSlot::NoUpstream)?;
        let ServiceState { placement, retry_budget, admission, waiting, load_meter, .. } =
            service_state;
        retry_budget.record_request(now_ms);
        load_meter.demand.add(now_ms, &request.workspace, request.cost);
        if placement.usable_slots(now_ms, continued_version) == 0 {
            return Err(NoSlot::NoUpstream);
        }
        let prefill_tokens = work.unshared_tokens();
        if placement.is_long(prefill_tokens) {
            load_meter.long_prompt_tokens.add(now_ms, prefill_tokens);
        }
        let lane = placement.lane(prefill_tokens);
        let slots = placement.slot_counts(now_ms, lane);
        if slots.free == 0 && placement.is_held_back(now_ms) {
            metrics.count(Counter::ColdHeldBack);
        }
        let (sender, receiver) = oneshot::channel();
        let prompt_prefix = work.prompt_prefix;
        if continued_version.is_some() {
            let placement_request = PlacementRequest {
                prompt_prefix,
                prefill_tokens,
                lane,
                excluded: &[],
                continued_version,
                preferred_version: None,
            };
            let ticket =
                admission.admit_now(now_ms, lane, slots, request).map_err(NoSlot::Rejected)?;
            let draw = rng.next_u64();
            let chosen = placement.assign(now_ms, placement_request, draw, false);
            let chosen = chosen.or_else(|| placement.assign(now_ms, placement_request, draw, true));
            // The receiver is not dropped yet.
            let _ = sender.send(chosen.ok_or(NoSlot::NoUpstream)?);
            return Ok((ticket, receiver));
        }
        let ticket = admission.enqueue(now_ms, lane, slots, request).map_err(NoSlot::Rejected)?;
        let until_ms = now_ms + request.max_wait_ms;
        let request =
            WaitingRequest { sender, prompt_prefix, prefill_tokens, until_ms, preferred_version };
        waiting.insert(ticket, request);
        drop(state);
        self.dispatch(service);
        Ok((ticket, receiver))
    }

    /// Time for which a caller that states to have `remaining_ms` left has probably waited
    /// before this attempt, in milliseconds; 0 for what may be a first attempt.
    pub(crate) fn time_spent_before(
        &self,
        service: &ServiceName,
        route: &Route,
        workspace: Option<&WorkspaceName>,
        remaining_ms: Option<u64>,
    ) -> u64 {
        let (Some(workspace), Some(remaining_ms)) = (workspace, remaining_ms) else {
            return 0;
        };
        let now_ms = self.now_ms();
        let mut state = self.state();
        let Some(service) = state.services.get_mut(service) else {
            return 0;
        };
        // A longer time does not help a caller.
        let remaining_ms = remaining_ms.min(route.timeout_ms);
        service.load_meter.caller_times.record(now_ms, &route.id(), workspace, remaining_ms)
    }

    /// Removes a waiting request. Returns false if it has been dispatched.
    pub(crate) fn cancel(&self, service: &ServiceName, ticket: LaneTicket) -> bool {
        let mut state = self.state();
        let Some(service) = state.services.get_mut(service) else {
            return false;
        };
        service.waiting.remove(&ticket);
        service.admission.cancel(ticket)
    }

    /// Load from this router's callers.
    pub(crate) fn own_loads(&self) -> ServiceLoads {
        let now_ms = self.now_ms();
        self.state().own_loads(now_ms)
    }

    /// Load summary of this router for the collector of its failure domain.
    pub(crate) fn load_summary(&self) -> LoadSummary {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let loads = state.own_loads(now_ms);
        let services = state.services.values();
        let upstreams = services.flat_map(|service| service.placement.reported_loads(now_ms));
        let upstreams = upstreams.collect();
        let services = state.services.values_mut();
        let in_flight = services.flat_map(|service| service.placement.report_in_flight()).collect();
        LoadSummary { routers: 1, loads, upstreams, in_flight }
    }

    /// Divides capacity among routers and workspaces, and engines between long
    /// and short prompts, by the load that all routers report.
    pub(crate) fn divide_capacity(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let routers = state.live_router_count();
        let own_loads = state.own_loads(now_ms);
        let fleet = state.fleet_load(now_ms, &own_loads);
        let taken_ms = state.fleet_summary.get(now_ms).map(|(received_ms, _)| {
            received_ms.saturating_sub(load_summary::MEAN_IN_FLIGHT_AGE_MS)
        });
        let fleet_limits = state.fleet_limits(now_ms);
        let mut changed_limits = Vec::new();
        let mut changed_speeds = Vec::new();
        let State { services, config, .. } = &mut *state;
        let reporting_routers = fleet.routers.max(1) as usize;
        let scale = routers.max(reporting_routers) as f64 / reporting_routers as f64;
        let no_load = ServiceLoad::default();
        for (name, service) in services {
            let fleet_load = fleet.loads.get(name).unwrap_or(&no_load);
            let own_load = own_loads.get(name).unwrap_or(&no_load);
            let long_tokens_per_s = (fleet_load.long_tokens_per_s as f64 * scale) as u64;
            service.load_meter.caller_times.set_fleet_limits(&fleet_load.shortest_limits);
            service.placement.merge_reported_loads(now_ms, &fleet.upstreams);
            changed_speeds.extend(service.placement.refresh_speeds(now_ms));
            service.placement.set_long_prompt_rate(now_ms, long_tokens_per_s);
            if let Some(taken_ms) = taken_ms {
                service.placement.merge_in_flight(taken_ms, &fleet.in_flight);
            }
            let config = config.as_ref().filter(|config| config.is_engine(name));
            let capacity = config.and_then(|config| config.capacity_per_s);
            let mean_cost = |lane| service.admission.lane(lane).mean_cost(now_ms);
            let capacity =
                capacity.map(|capacity| service.placement.limited_capacity(capacity, mean_cost));
            let shares = shares::divide_capacity(
                &own_load.demand,
                &fleet_load.demand,
                reporting_routers,
                routers,
                capacity,
            );
            service.placement.set_capacity_fraction(shares.capacity_fraction);
            changed_limits.extend(service.placement.merge_limits(now_ms, &fleet_limits));
            service.admission.set_limits(now_ms, &shares.limits);
        }
        drop(state);
        for (upstream, limit_per_s) in changed_limits {
            let upstream = upstream.as_str();
            info!(upstream, limit_per_s, "other routers report the limit of an upstream");
        }
        for (upstream, speed) in changed_speeds {
            info!(
                upstream = upstream.as_str(),
                slowness = speed.lasting,
                spread = speed.spread,
                age_ms = speed.age_ms,
                "upstream changes its speed"
            );
        }
    }

    /// Chooses a further upstream for a request that has a slot, if need be one
    /// without a free slot. A stream that began at `continued_version` gets only an
    /// upstream of that version, one that has not begun the preferred one if that can be.
    pub(crate) fn choose_next_upstream(
        &self,
        service: &ServiceName,
        work: &WorkEstimate,
        excluded: &[UpstreamName],
        continued_version: Option<&SoftwareVersion>,
        preferred_version: Option<&PreferredVersion>,
    ) -> Option<ChosenUpstream> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let draw = state.rng.next_u64();
        let service = state.services.get_mut(service)?;
        let prefill_tokens = work.unshared_tokens();
        let lane = service.placement.lane(prefill_tokens);
        let request = PlacementRequest {
            prompt_prefix: work.prompt_prefix,
            prefill_tokens,
            lane,
            excluded,
            continued_version,
            preferred_version: preferred_version.filter(|_| continued_version.is_none()),
        };
        let chosen = service.placement.assign_new(now_ms, request, draw);
        chosen.or_else(|| service.placement.assign(now_ms, request, draw, true))
    }

    /// Takes a retry from the service's budget. Returns false if the fleet's
    /// limit does not allow it.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let routers = state.known_router_count();
        let allowed = state
            .services
            .get_mut(service)
            .is_some_and(|service| service.retry_budget.try_retry(now_ms, routers));
        let counter = if allowed { Counter::Repeated } else { Counter::RepeatsDenied };
        state.metrics.count(counter);
        allowed
    }

    /// Records the end of an attempt at an upstream.
    pub(crate) fn attempt_ended(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        result: AttemptResult,
    ) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let Some(service_state) = state.services.get_mut(service) else {
            return;
        };
        service_state.placement.request_ended(upstream);
        let avoided = service_state.placement.record_result(now_ms, upstream, result);
        match result {
            AttemptResult::Failed => state.metrics.count(Counter::UpstreamFailures),
            AttemptResult::Full | AttemptResult::Replaced => {
                state.metrics.count(Counter::UpstreamRefusals)
            }
            AttemptResult::Good | AttemptResult::Unknown => {}
        }
        drop(state);
        if result == AttemptResult::Replaced {
            self.upstream_process_ended(upstream);
        }
        if avoided {
            info!(upstream = upstream.as_str(), verdict = %result, "upstream avoided");
        }
    }

    /// Records the gap between two events of a stream, in milliseconds.
    pub(crate) fn record_event_gap(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        gap_ms: u64,
    ) {
        let now_ms = self.now_ms();
        if let Some(service) = self.state().services.get_mut(service) {
            service.placement.record_event_gap(now_ms, upstream, gap_ms);
        }
    }

    /// Records how long an upstream took to the first event of a stream with `tokens` of
    /// its prompt to process, or without tokens, to a plain answer.
    pub(crate) fn record_work(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        tokens: Option<u64>,
        took_ms: u64,
    ) {
        let now_ms = self.now_ms();
        if let Some(service) = self.state().services.get_mut(service) {
            match tokens {
                Some(tokens) => {
                    service.placement.record_prefill(now_ms, upstream, tokens, took_ms);
                }
                None => service.placement.record_answer(now_ms, upstream, took_ms),
            }
        }
    }

    /// Records that an upstream has processed `tokens` of a prompt, or never
    /// will.
    pub(crate) fn prefill_ended(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        tokens: u64,
    ) {
        if let Some(service) = self.state().services.get_mut(service) {
            service.placement.prefill_ended(upstream, tokens);
        }
        self.dispatch(service);
    }

    /// Records that an upstream has read a prompt prefix.
    pub(crate) fn prefix_read(
        &self,
        service: &ServiceName,
        upstream: &UpstreamName,
        prefix: PromptPrefix,
    ) {
        let now_ms = self.now_ms();
        if let Some(service) = self.state().services.get_mut(service) {
            service.placement.record_prefix_read(now_ms, upstream, prefix);
        }
    }

    /// Dispatches the waiting requests of a service for which a slot is free.
    pub(crate) fn dispatch(&self, service: &ServiceName) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let state = &mut *state;
        if let Some(service) = state.services.get_mut(service) {
            service.dispatch(now_ms, &mut state.rng);
        }
    }

    /// As [`Node::dispatch`], for all services. Slots also become free without the
    /// end of a request, such as at the end of a backoff.
    pub(crate) fn dispatch_all(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let state = &mut *state;
        for service in state.services.values_mut() {
            service.dispatch(now_ms, &mut state.rng);
        }
    }

    /// Whether this router reads the upstream entries from the store.
    pub(crate) fn reads_upstreams(&self) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let order = state.read_order();
        !self.start_state(&state).awaits_peers(now_ms)
            && state.store_source.reads_upstreams(now_ms, order)
    }

    /// Whether this router reads the configuration from the store.
    pub(crate) fn reads_config(&self) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let order = state.read_order();
        !self.start_state(&state).awaits_peers(now_ms)
            && state.store_source.reads_config(now_ms, order)
    }

    /// Whether this process has just started and waits for other routers to provide
    /// what the store holds.
    pub(crate) fn awaits_peers(&self) -> bool {
        let now_ms = self.now_ms();
        self.start_state(&self.state()).awaits_peers(now_ms)
    }

    fn start_state(&self, state: &State) -> StartState {
        let settings = self.settings();
        let own_ip = settings.addresses.peers.ip();
        StartState {
            is_seed: settings.seeds.iter().any(|seed| seed.ip() == own_ip),
            has_other_seeds: settings.seeds.iter().any(|seed| seed.ip() != own_ip),
            is_complete: state.config.is_some() && !state.registry.is_empty(),
        }
    }

    /// Marks the process as leaving, for callers and peers.
    pub(crate) fn leave(&self, plan: DrainPlan) {
        self.drain_plan.set(Some(plan));
        self.state().view.leave();
    }

    /// Addresses of the routers that a caller in `caller_domain` may use.
    pub(crate) fn directory_addresses(
        &self,
        caller_domain: Option<&FailureDomain>,
    ) -> Vec<Arc<str>> {
        let now_ms = self.now_ms();
        let state = self.state();
        let own_member = &state.view.own_update().router.member;
        let mut usable = state.view.routers_for_callers();
        usable.retain(|router| {
            let member = &router.member;
            let changed_ms = state.view.last_changed_ms(&member.instance);
            member == own_member || state.config_reports.has_config(now_ms, member, changed_ms)
        });
        let chosen = directory::choose_routers(usable, caller_domain).into_iter();
        chosen.map(|router| router.http_address.to_string().into()).collect()
    }
}
