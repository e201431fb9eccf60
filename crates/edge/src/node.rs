//! The process: its state as the tasks that feed it use it.

use std::{
    cell::{Cell, RefCell, RefMut},
    rc::Rc,
    sync::Arc,
};

use futures::channel::oneshot;
use rand::{Rng, RngExt};
use span_member::Router;
use span_types::{Member, ServiceName, UpstreamName};
use tokio::sync::Notify;
use tracing::info;

use crate::{
    admission::{Ask, Rejection},
    clock::Clock,
    config::Config,
    directory,
    load_summary::{LoadSummary, ServiceLoad, ServiceLoads},
    metrics::Counter,
    overload::Overload,
    placement::{Chosen, Need},
    pool::Pool,
    registry::Change,
    settings::Settings,
    shares,
    state::{Place, ServiceState, State, Waiter, allowance},
    upstream_load::AttemptResult,
    wire_format::{WireFormat, WorkEstimate},
};

/// Time after which a router that others tell of has read its configuration,
/// in milliseconds; reading it takes some hundred after a start.
const SETTLED_MS: u64 = 2_000;

/// The process; shared by all its tasks, which run on one thread.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    pub(crate) wire_format: WireFormat,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) leaving_since_ms: Cell<Option<u64>>,
    /// Lateness of the process with its own work.
    pub(crate) overload: RefCell<Overload>,
    /// Open connections of callers.
    pub(crate) caller_connections: Cell<usize>,
    /// Requests whose answer has not ended.
    pub(crate) open_requests: Cell<usize>,
    /// Bytes of request bodies in memory.
    pub(crate) body_bytes: Cell<u64>,
    /// Told of news that the failure domain's routers wait for.
    pub(crate) news: Notify,
    state: RefCell<State>,
}

/// Why a request found no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSlot {
    /// No upstream of the service takes requests.
    NoUpstream,
    /// The service is too busy for it.
    Rejected(Rejection),
}

impl Node {
    pub(crate) fn new(
        settings: Settings,
        wire_format: WireFormat,
        me: Router,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            wire_format,
            clock: Clock::start(),
            pool: Pool::default(),
            leaving_since_ms: Cell::new(None),
            overload: RefCell::default(),
            caller_connections: Cell::new(0),
            open_requests: Cell::new(0),
            body_bytes: Cell::new(0),
            news: Notify::new(),
            state: RefCell::new(State::new(me, seed)),
        })
    }

    /// The state, for the time of one decision.
    pub(crate) fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Takes settings that were read again. Returns whether they differ in
    /// something that only a new process can follow.
    pub(crate) fn reload(&self, settings: Settings) -> bool {
        let old = self.settings();
        let needs_restart =
            old.addresses != settings.addresses || old.instance != settings.instance;
        let addresses = old.addresses;
        let instance = old.instance.clone();
        let settings = Settings { addresses, instance, ..settings };
        let allowance = allowance(&settings);
        *self.settings.borrow_mut() = Rc::new(settings);
        for service in self.state().services.values_mut() {
            service.budget.set_allowance(allowance);
        }
        needs_restart
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

    pub(crate) fn config_version(&self) -> u64 {
        self.state().config.as_ref().map_or(0, |config| config.version)
    }

    /// Uniform in 0 to 1.
    pub(crate) fn draw(&self) -> f64 {
        self.state().rng.random()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since_ms.get().is_some()
    }

    /// Puts a configuration in force, unless it is not newer. Returns whether
    /// it was.
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
        state.follow_config(now_ms, &self.settings());
        let routers = state.routers();
        drop(state);
        self.news.notify_one();
        info!(version, source, routers, "configuration in force");
        true
    }

    /// Takes changes of upstreams.
    pub(crate) fn apply_changes(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        let mut state = self.state();
        for change in changes {
            match change {
                Change::Started(name) => {
                    self.pool.forget(name);
                    for service in state.services.values_mut() {
                        service.placement.reset(name);
                    }
                }
                Change::Gone(name) => self.pool.forget(name),
                Change::Leaving(_) => {}
            }
        }
        state.follow_upstreams();
        let known = state.registry.len();
        drop(state);
        self.news.notify_one();
        for change in changes {
            let (name, what) = match change {
                Change::Started(name) => (name, "started"),
                Change::Leaving(name) => (name, "draining"),
                Change::Gone(name) => (name, "gone"),
            };
            info!(upstream = name.as_str(), change = what, known, "upstream changed");
        }
        self.pump_all();
    }

    /// Takes a change of the number of routers.
    pub(crate) fn fleet_changed(&self) {
        self.state().follow_fleet();
    }

    /// Asks for a place for a request of `service`.
    pub(crate) fn ask(
        &self,
        service: &ServiceName,
        ask: &Ask,
        work: &WorkEstimate,
    ) -> Result<(Place, oneshot::Receiver<Chosen>), NoSlot> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let service_state = state.services.get_mut(service).ok_or(NoSlot::NoUpstream)?;
        let ServiceState { placement, budget, lanes, load } = service_state;
        budget.earn(now_ms);
        load.demand.add(now_ms, &ask.workspace, ask.cost);
        if placement.capacity(now_ms) == 0 {
            return Err(NoSlot::NoUpstream);
        }
        let unread_tokens = work.own_tokens();
        if placement.is_long(unread_tokens) {
            load.long_prompts.add(now_ms, unread_tokens);
        }
        let lane = placement.lane(unread_tokens);
        let slots = placement.slot_counts(now_ms, lane);
        let lane_state = &mut lanes[lane as usize];
        let ticket = lane_state.admission.submit(now_ms, slots, ask).map_err(NoSlot::Rejected)?;
        let (started, start) = oneshot::channel();
        let waiter =
            Waiter { started, prompt_prefix: work.prompt_prefix, own_tokens: unread_tokens };
        lane_state.waiters.insert(ticket, waiter);
        drop(state);
        self.pump(service);
        Ok((Place { lane, ticket }, start))
    }

    /// Gives up on a waiting request. Returns false if it has started.
    pub(crate) fn cancel(&self, service: &ServiceName, place: Place) -> bool {
        let mut state = self.state();
        let Some(service) = state.services.get_mut(service) else {
            return false;
        };
        let lane = &mut service.lanes[place.lane as usize];
        lane.waiters.remove(&place.ticket);
        lane.admission.cancel(place.ticket)
    }

    /// What this router's callers ask for.
    pub(crate) fn loads(&self) -> ServiceLoads {
        let now_ms = self.now_ms();
        self.state().own_loads(now_ms)
    }

    /// What this router states to the collector of its failure domain.
    pub(crate) fn load_summary(&self) -> LoadSummary {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let loads = state.own_loads(now_ms);
        let services = state.services.values();
        let upstreams = services.flat_map(|service| service.placement.reported_loads(now_ms));
        LoadSummary { routers: 1, loads, upstreams: upstreams.collect() }
    }

    /// Divides capacity among routers and workspaces, and engines between long
    /// and short prompts, by what all routers state.
    pub(crate) fn divide(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let routers = state.routers();
        let own = state.own_loads(now_ms);
        let fleet = state.fleet(now_ms, &own);
        let State { services, config, .. } = &mut *state;
        let heard = fleet.routers.max(1) as usize;
        let scale = routers.max(heard) as f64 / heard as f64;
        let nothing = ServiceLoad::default();
        for (name, service) in services {
            let all = fleet.loads.get(name).unwrap_or(&nothing);
            let own = own.get(name).unwrap_or(&nothing);
            let long_tokens = (all.long_tokens_per_s as f64 * scale) as u64;
            service.placement.set_long_load(now_ms, long_tokens);
            service.placement.hear(now_ms, &fleet.upstreams);
            let config = config.as_ref().filter(|config| config.is_engine(name));
            let capacity = config.and_then(|config| config.capacity_per_s);
            let shares = shares::divide(&own.demand, &all.demand, heard, routers, capacity);
            service.placement.set_part(shares.part);
            for lane in &mut service.lanes {
                lane.admission.set_limits(now_ms, &shares.limits);
            }
        }
    }

    /// Chooses a further upstream for a request that has a place.
    pub(crate) fn choose_again(
        &self,
        service: &ServiceName,
        work: &WorkEstimate,
        avoid: &[UpstreamName],
    ) -> Option<Chosen> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let draw = state.rng.next_u64();
        let service = state.services.get_mut(service)?;
        let unread_tokens = work.own_tokens();
        let lane = service.placement.lane(unread_tokens);
        let need = Need { prompt_prefix: work.prompt_prefix, unread_tokens, lane, avoid };
        let placed = service.placement.place(now_ms, need, draw, false);
        placed.or_else(|| service.placement.place(now_ms, need, draw, true))
    }

    /// Takes a repeated send from the fleet's budget.
    pub(crate) fn may_repeat(&self, service: &ServiceName) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let routers = state.known_routers();
        let allowed = state
            .services
            .get_mut(service)
            .is_some_and(|service| service.budget.spend(now_ms, routers));
        let counter = if allowed { Counter::Repeated } else { Counter::RepeatsDenied };
        state.metrics.count(counter);
        allowed
    }

    /// Notes that a request at an upstream has ended.
    pub(crate) fn ended(
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
        service_state.placement.ended(upstream);
        let avoided = service_state.placement.judge(now_ms, upstream, result);
        match result {
            AttemptResult::Failed => state.metrics.count(Counter::UpstreamFailures),
            AttemptResult::Full | AttemptResult::Replaced => {
                state.metrics.count(Counter::UpstreamRefusals)
            }
            AttemptResult::Good | AttemptResult::Unknown => {}
        }
        drop(state);
        if avoided {
            info!(upstream = upstream.as_str(), verdict = %result, "upstream avoided");
        }
    }

    /// Takes the pause between two events of a stream.
    pub(crate) fn event(&self, service: &ServiceName, upstream: &UpstreamName, pause_ms: u64) {
        let now_ms = self.now_ms();
        if let Some(service) = self.state().services.get_mut(service) {
            service.placement.event(now_ms, upstream, pause_ms);
        }
    }

    /// Notes that an upstream has read a prompt, or never will.
    pub(crate) fn read(&self, service: &ServiceName, upstream: &UpstreamName, tokens: u64) {
        if let Some(service) = self.state().services.get_mut(service) {
            service.placement.read(upstream, tokens);
        }
        self.pump(service);
    }

    /// Starts as many waiting requests as there is room for.
    pub(crate) fn pump(&self, service: &ServiceName) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let state = &mut *state;
        if let Some(service) = state.services.get_mut(service) {
            service.pump(now_ms, &mut state.rng);
        }
    }

    /// As [`Node::pump`] for all services: room also comes from time that
    /// passes.
    pub(crate) fn pump_all(&self) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let state = &mut *state;
        for service in state.services.values_mut() {
            service.pump(now_ms, &mut state.rng);
        }
    }

    /// Whether this router follows the entries of upstreams in the store. In a
    /// large fleet a router relies on its collector for as long as it can.
    pub(crate) fn follows_upstreams(&self) -> bool {
        let now_ms = self.now_ms();
        let state = self.state();
        !(state.reliance.relies_for_upstreams(now_ms) && state.has_collector())
    }

    /// Whether this router follows the configuration in the store.
    pub(crate) fn follows_config(&self) -> bool {
        let now_ms = self.now_ms();
        let state = self.state();
        !(state.reliance.relies_for_config(now_ms) && state.has_collector())
    }

    /// Announces that the process will end.
    pub(crate) fn leave(&self) {
        self.leaving_since_ms.set(Some(self.now_ms()));
        self.state().view.leave();
    }

    /// Addresses of the routers that callers may use.
    pub(crate) fn entries(&self) -> Vec<Arc<str>> {
        let now_ms = self.now_ms();
        let state = self.state();
        let me = &state.view.own_update().router.member;
        let heard = |member: &Member| state.versions.get(member).map(|version| *version > 0);
        // In a large fleet most routers are only told of by others.
        let settled = |member: &Member| {
            let since_ms = state.view.last_changed_ms(&member.instance);
            since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= SETTLED_MS)
        };
        let knows_config =
            |member: &Member| member == me || heard(member).unwrap_or_else(|| settled(member));
        let mut usable = state.view.routers_for_callers();
        usable.retain(|router| knows_config(&router.member));
        let chosen = directory::choose(usable).into_iter();
        chosen.map(|router| router.http_address.to_string().into()).collect()
    }
}
