//! State of the process: plain data and the decisions on it, without I/O.

use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    rc::Rc,
};

use futures::channel::oneshot;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use span_member::{FULL_MESH_PEERS, LiveView, Router, Timing as ViewTiming};
use span_types::{FailureDomain, Member, MemberState, ServiceName, UpstreamName};
use strum::{EnumCount, IntoEnumIterator};
use tokio::sync::Notify;
use tracing::info;

use crate::{
    admission::{Admission, Ask, Refusal, Ticket},
    budget::{Allowance, RetryBudget},
    clock::Clock,
    config::Config,
    dialect::{Dialect, Work},
    metrics::{Counter, Metrics},
    placement::{Chosen, Lane, Need, Placement, SharedPrompt, Verdict},
    pool::Pool,
    registry::{Change, Registry},
    settings::Settings,
    shares::{self, DemandMeter, Rate},
    statement::{Collected, FleetSum, Load, Loads, Statement},
};

/// Part of the connections that an upstream accepts which the routers known
/// now use; the rest is for routers that join.
const CONNECTIONS_PART: f64 = 0.8;
/// Heartbeat silence after which a router is suspect, then dead, and how long
/// a dead one is remembered, in milliseconds. Three heartbeats may be lost.
const VIEW_TIMING: ViewTiming =
    ViewTiming { suspect_after_ms: 1_300, remove_after_ms: 2_600, forget_after_ms: 60_000 };

struct Waiter {
    started: oneshot::Sender<Chosen>,
    shared: Option<SharedPrompt>,
    own_tokens: u64,
}

/// One service at this router.
pub(crate) struct ServiceState {
    pub(crate) placement: Placement,
    pub(crate) budget: RetryBudget,
    lanes: [LaneState; Lane::COUNT],
    pub(crate) load: RouterLoad,
}

/// What this router's callers ask of a service.
#[derive(Debug, Default)]
pub(crate) struct RouterLoad {
    demand: DemandMeter,
    long_prompts: Rate,
}

impl RouterLoad {
    fn state(&mut self, now_ms: u64) -> Load {
        Load {
            demand: self.demand.demand(now_ms),
            long_tokens_per_s: self.long_prompts.per_s(now_ms) as u64,
        }
    }
}

/// The requests of one lane.
#[derive(Default)]
struct LaneState {
    admission: Admission,
    waiters: HashMap<Ticket, Waiter>,
}

/// A request's place in a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    lane: Lane,
    ticket: Ticket,
}

/// What the process knows.
pub(crate) struct State {
    pub(crate) config: Option<Rc<Config>>,
    pub(crate) registry: Registry,
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    pub(crate) view: LiveView,
    /// Configuration version that each router stated last.
    pub(crate) versions: BTreeMap<Member, u64>,
    /// What each router stated last, in a fleet where every router hears
    /// every other.
    pub(crate) loads: BTreeMap<Member, Loads>,
    /// What this router collected for its failure domain.
    pub(crate) collected: Collected,
    /// What the collector returned.
    pub(crate) fleet_sum: FleetSum,
    /// When the collector, with a store that answers it, was last heard.
    pub(crate) collector_heard_ms: Option<u64>,
    /// When the store last answered this router.
    pub(crate) store_answered_ms: u64,
    pub(crate) metrics: Metrics,
    pub(crate) rng: SmallRng,
}

/// The process; shared by all its tasks, which run on one thread.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool,
    pub(crate) leaving_since_ms: Cell<Option<u64>>,
    /// Requests whose answer has not ended.
    pub(crate) open_requests: Cell<usize>,
    /// Bytes of request bodies in memory.
    pub(crate) body_bytes: Cell<u64>,
    /// Told of news that the failure domain's routers wait for.
    pub(crate) news: Notify,
    state: RefCell<State>,
}

/// What a router does in the exchange of statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It states its load to the collector of its failure domain.
    Member { collector: IpAddr },
    /// It collects for its failure domain.
    Collector { domain: FailureDomain, members: Vec<IpAddr>, others: Vec<IpAddr> },
}

/// Bucket for the choice of collectors.
const COLLECTOR_BUCKET: u32 = 0;
/// Time without news of the collector after which a router follows the store
/// itself, in milliseconds; two statements may be lost. Less than half of the
/// time in which an upstream that leaves has to be left.
pub(crate) const COLLECTOR_SILENCE_MS: u64 = 1_300;

/// Why a request found no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No upstream of the service takes requests.
    NoUpstream,
    /// The service is too busy for it.
    Refused(Refusal),
}

impl Node {
    pub(crate) fn new(settings: Settings, dialect: Dialect, me: Router, seed: u64) -> Rc<Self> {
        let state = State {
            config: None,
            registry: Registry::default(),
            services: HashMap::new(),
            view: LiveView::new(me, VIEW_TIMING),
            versions: BTreeMap::new(),
            loads: BTreeMap::new(),
            collected: Collected::default(),
            fleet_sum: FleetSum::default(),
            collector_heard_ms: None,
            store_answered_ms: 0,
            metrics: Metrics::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            clock: Clock::start(),
            pool: Pool::default(),
            leaving_since_ms: Cell::new(None),
            open_requests: Cell::new(0),
            body_bytes: Cell::new(0),
            news: Notify::new(),
            state: RefCell::new(state),
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
                Change::Draining(_) => {}
            }
        }
        state.follow_upstreams();
        let known = state.registry.len();
        drop(state);
        self.news.notify_one();
        for change in changes {
            let (name, what) = match change {
                Change::Started(name) => (name, "started"),
                Change::Draining(name) => (name, "draining"),
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
        work: &Work,
    ) -> Result<(Place, oneshot::Receiver<Chosen>), NoPlace> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let service_state = state.services.get_mut(service).ok_or(NoPlace::NoUpstream)?;
        let ServiceState { placement, budget, lanes, load } = service_state;
        budget.earn(now_ms);
        load.demand.add(now_ms, &ask.workspace, ask.cost);
        if placement.capacity(now_ms) == 0 {
            return Err(NoPlace::NoUpstream);
        }
        let unread_tokens = work.own_tokens();
        if placement.is_long(unread_tokens) {
            load.long_prompts.add(now_ms, unread_tokens);
        }
        let lane = placement.lane(unread_tokens);
        let places = placement.places(now_ms, lane);
        let lane_state = &mut lanes[lane as usize];
        let ticket = lane_state.admission.submit(now_ms, places, ask).map_err(NoPlace::Refused)?;
        let (started, start) = oneshot::channel();
        let waiter = Waiter { started, shared: work.shared, own_tokens: unread_tokens };
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
    pub(crate) fn loads(&self) -> Loads {
        let now_ms = self.now_ms();
        self.state().own_loads(now_ms)
    }

    /// What this router states to the collector of its failure domain.
    pub(crate) fn statement(&self) -> Statement {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let loads = state.own_loads(now_ms);
        let services = state.services.values();
        let upstreams = services.flat_map(|service| service.placement.seen(now_ms));
        Statement { routers: 1, loads, upstreams: upstreams.collect() }
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
        let nothing = Load::default();
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
        work: &Work,
        avoid: &[UpstreamName],
    ) -> Option<Chosen> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let draw = state.rng.next_u64();
        let service = state.services.get_mut(service)?;
        let unread_tokens = work.own_tokens();
        let lane = service.placement.lane(unread_tokens);
        let need = Need { shared: work.shared, unread_tokens, lane, avoid };
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
    pub(crate) fn ended(&self, service: &ServiceName, upstream: &UpstreamName, verdict: Verdict) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let Some(service_state) = state.services.get_mut(service) else {
            return;
        };
        service_state.placement.ended(upstream);
        let avoided = service_state.placement.judge(now_ms, upstream, verdict);
        match verdict {
            Verdict::Failed => state.metrics.count(Counter::UpstreamFailures),
            Verdict::Full | Verdict::Replaced => state.metrics.count(Counter::UpstreamRefusals),
            Verdict::Good | Verdict::Unknown => {}
        }
        drop(state);
        if avoided {
            info!(upstream = upstream.as_str(), verdict = %verdict, "upstream avoided");
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

    /// Whether this router follows the store itself. In a large fleet a
    /// router relies on its collector for as long as it hears from it.
    pub(crate) fn follows_store(&self) -> bool {
        let now_ms = self.now_ms();
        let state = self.state();
        let heard = state.collector_heard_ms;
        let relies = heard.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < COLLECTOR_SILENCE_MS);
        let member = matches!(state.collectors(), Some(Role::Member { .. }));
        !(relies && member)
    }

    /// Announces that the process will end.
    pub(crate) fn leave(&self) {
        self.leaving_since_ms.set(Some(self.now_ms()));
        self.state().view.leave();
    }

    /// Addresses of the routers that callers may use.
    pub(crate) fn entries(&self) -> Vec<std::sync::Arc<str>> {
        let state = self.state();
        let me = &state.view.me().router.member;
        let knows_config = |member: &Member| {
            member == me || state.versions.get(member).is_some_and(|version| *version > 0)
        };
        let entries = state.view.entries();
        let usable = entries.iter().filter(|router| knows_config(&router.member));
        usable.map(|router| router.http_address.to_string().into()).collect()
    }
}

fn allowance(settings: &Settings) -> Allowance {
    let bounds = settings.bounds;
    Allowance {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window_ms: bounds.retry_window_ms,
    }
}

impl ServiceState {
    fn pump(&mut self, now_ms: u64, rng: &mut SmallRng) {
        for lane in Lane::iter() {
            self.pump_lane(now_ms, lane, rng);
        }
    }

    fn pump_lane(&mut self, now_ms: u64, lane: Lane, rng: &mut SmallRng) {
        let Self { placement, lanes, .. } = self;
        let LaneState { admission, waiters } = &mut lanes[lane as usize];
        while admission.waiting() > 0 {
            let places = placement.places(now_ms, lane);
            let Some(ticket) = admission.start(now_ms, places) else {
                return;
            };
            let Some(waiter) = waiters.remove(&ticket) else {
                continue;
            };
            let (shared, unread_tokens) = (waiter.shared, waiter.own_tokens);
            let need = Need { shared, unread_tokens, lane, avoid: &[] };
            // Without an upstream the waiter is dropped, which refuses it.
            let Some(chosen) = placement.place(now_ms, need, rng.next_u64(), false) else {
                continue;
            };
            if let Err(Chosen { upstream, .. }) = waiter.started.send(chosen) {
                placement.read(&upstream, waiter.own_tokens);
                placement.ended(&upstream);
            }
        }
    }
}

impl State {
    /// Routers that share the upstreams now, this one included.
    pub(crate) fn routers(&self) -> usize {
        self.view.live().len()
    }

    fn own_loads(&mut self, now_ms: u64) -> Loads {
        let services = self.services.iter_mut();
        let loads = services.map(|(name, service)| (name.clone(), service.load.state(now_ms)));
        loads.filter(|(_, load)| !load.demand.is_empty()).collect()
    }

    /// What is known of the load of the whole fleet.
    fn fleet(&self, now_ms: u64, own: &Loads) -> Statement {
        if let Some(sum) = self.fleet_sum.get(now_ms).filter(|_| self.is_large()) {
            return sum.clone();
        }
        let mut sum = Statement { routers: 1, loads: own.clone(), ..Statement::default() };
        let live: Vec<&Member> =
            self.view.live().into_iter().map(|router| &router.member).collect();
        for (_, loads) in self.loads.iter().filter(|(member, _)| live.contains(member)) {
            sum.add(&Statement { routers: 1, loads: loads.clone(), ..Statement::default() }, 0);
        }
        sum
    }

    /// What this router does in the exchange of statements; none in a fleet
    /// where every router hears every other.
    pub(crate) fn collectors(&self) -> Option<Role> {
        if !self.is_large() {
            return None;
        }
        let entries = self.view.entries();
        let mut domains: BTreeMap<&FailureDomain, Vec<&Router>> = BTreeMap::new();
        for router in &entries {
            domains.entry(&router.failure_domain).or_default().push(router);
        }
        let me = &self.view.me().router;
        let own = domains.remove(&me.failure_domain).unwrap_or_default();
        let collector = span_member::home(COLLECTOR_BUCKET, &own)?;
        if collector.member != me.member {
            return Some(Role::Member { collector: collector.peer_address.ip() });
        }
        let members = own.iter().filter(|router| router.member != me.member);
        let members = members.map(|router| router.peer_address.ip()).collect();
        let others = domains.values().filter_map(|all| span_member::home(COLLECTOR_BUCKET, all));
        let others = others.map(|router| router.peer_address.ip()).collect();
        Some(Role::Collector { domain: me.failure_domain.clone(), members, others })
    }

    /// Whether the fleet is too large for every router to hear every other.
    pub(crate) fn is_large(&self) -> bool {
        self.routers() > FULL_MESH_PEERS + 1
    }

    /// Routers that may be sending, dead ones included: they may only be cut
    /// off from this one.
    pub(crate) fn known_routers(&self) -> usize {
        let dead = |status: &span_member::MemberStatus| status.update.state == MemberState::Dead;
        self.routers() + self.view.status().iter().filter(|status| dead(status)).count()
    }

    fn follow_config(&mut self, now_ms: u64, settings: &Settings) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let allowance = allowance(settings);
        for name in config.services.keys() {
            self.services.entry(name.clone()).or_insert_with(|| ServiceState {
                placement: Placement::default(),
                budget: RetryBudget::new(allowance, now_ms),
                lanes: [(); Lane::COUNT].map(|()| LaneState::default()),
                load: RouterLoad::default(),
            });
        }
        let lanes = self.services.values_mut().flat_map(|service| &mut service.lanes);
        for lane in lanes {
            for ticket in lane.admission.retain(&config.workspaces) {
                // Dropping the sender tells the request that it is refused.
                lane.waiters.remove(&ticket);
            }
        }
        self.follow_upstreams();
    }

    fn follow_upstreams(&mut self) {
        for (name, service) in &mut self.services {
            let ready = self.registry.ready(name).map(|(name, entry)| (name, entry.slots));
            service.placement.set_upstreams(ready);
        }
        self.follow_fleet();
    }

    fn follow_fleet(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let me = self.view.me().router.member.instance.clone();
        // Dead routers may only be cut off, with their connections open.
        let (live, known) = (self.routers(), self.known_routers());
        let present = live as f64 / known as f64;
        for (name, service) in &mut self.services {
            let Some(service_config) = config.services.get(name) else {
                continue;
            };
            let accepted = f64::from(service_config.max_connections);
            let connections = accepted * CONNECTIONS_PART * present;
            service.placement.set_fleet(&me, live, connections);
            service.placement.set_gap_target(config.gap_target_ms(name));
        }
    }
}
