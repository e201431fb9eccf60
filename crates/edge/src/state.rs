//! What the process knows, and the decisions on it; no I/O.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use futures::channel::oneshot;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use span_member::{MAX_FULL_MESH_PEERS, MembershipTiming as ViewTiming, MembershipView, Router};
use span_types::{Member, MemberState, ServiceName};
use strum::{EnumCount, IntoEnumIterator};

use crate::{
    admission::{Admission, Ticket},
    budget::{Allowance, RetryBudget},
    config::Config,
    lane::Lane,
    load_summary::{Collected, FleetSum, LoadSummary, ServiceLoad, ServiceLoads},
    metrics::Metrics,
    placement::{Chosen, Need, Placement, PromptPrefix},
    registry::Registry,
    reliance::Reliance,
    role::{Role, role},
    settings::Settings,
    shares::{DemandMeter, Rate},
};

/// Part of the connections that an upstream accepts which the routers known
/// now use; the rest is for routers that join.
const CONNECTIONS_PART: f64 = 0.8;
/// Heartbeat silence after which a router is suspect, then dead, and how long
/// a dead one is remembered, in milliseconds. Three heartbeats may be lost.
const VIEW_TIMING: ViewTiming =
    ViewTiming { suspect_after_ms: 1_300, remove_after_ms: 2_600, forget_after_ms: 60_000 };

/// A request that waits for a place.
pub(crate) struct Waiter {
    pub(crate) started: oneshot::Sender<Chosen>,
    /// Shared part of its prompt.
    pub(crate) prompt_prefix: Option<PromptPrefix>,
    /// Prompt tokens that no other request shares.
    pub(crate) own_tokens: u64,
}

/// One service at this router.
pub(crate) struct ServiceState {
    pub(crate) placement: Placement,
    pub(crate) budget: RetryBudget,
    pub(crate) lanes: [LaneState; Lane::COUNT],
    pub(crate) load: RouterLoad,
}

/// What this router's callers ask of a service.
#[derive(Debug, Default)]
pub(crate) struct RouterLoad {
    pub(crate) demand: DemandMeter,
    pub(crate) long_prompts: Rate,
}

impl RouterLoad {
    fn state(&mut self, now_ms: u64) -> ServiceLoad {
        ServiceLoad {
            demand: self.demand.demand(now_ms),
            long_tokens_per_s: self.long_prompts.per_s(now_ms) as u64,
        }
    }
}

/// The requests of one lane.
#[derive(Default)]
pub(crate) struct LaneState {
    pub(crate) admission: Admission,
    pub(crate) waiters: HashMap<Ticket, Waiter>,
}

/// A request's place in a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) lane: Lane,
    pub(crate) ticket: Ticket,
}

/// What the process knows.
pub(crate) struct State {
    pub(crate) config: Option<Rc<Config>>,
    pub(crate) registry: Registry,
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    pub(crate) view: MembershipView,
    /// Configuration version that each router stated last.
    pub(crate) versions: BTreeMap<Member, u64>,
    /// What each router stated last, in a fleet where every router hears
    /// every other.
    pub(crate) loads: BTreeMap<Member, ServiceLoads>,
    /// What this router collected for its failure domain.
    pub(crate) collected: Collected,
    /// What the collector returned.
    pub(crate) fleet_sum: FleetSum,
    /// Whether the collector can be relied on.
    pub(crate) reliance: Reliance,
    /// When the store last answered this router.
    pub(crate) store_answered_ms: u64,
    pub(crate) metrics: Metrics,
    pub(crate) rng: SmallRng,
}

pub(crate) fn allowance(settings: &Settings) -> Allowance {
    let limits = settings.fleet_limits;
    Allowance {
        ratio: limits.retry_ratio,
        slack: limits.retry_slack,
        window_ms: limits.retry_window_ms,
    }
}

impl ServiceState {
    pub(crate) fn pump(&mut self, now_ms: u64, rng: &mut SmallRng) {
        for lane in Lane::iter() {
            self.pump_lane(now_ms, lane, rng);
        }
    }

    fn pump_lane(&mut self, now_ms: u64, lane: Lane, rng: &mut SmallRng) {
        let Self { placement, lanes, .. } = self;
        let LaneState { admission, waiters } = &mut lanes[lane as usize];
        while admission.waiting() > 0 {
            let slots = placement.slot_counts(now_ms, lane);
            let Some(ticket) = admission.start(now_ms, slots) else {
                return;
            };
            let Some(waiter) = waiters.remove(&ticket) else {
                continue;
            };
            let (prompt_prefix, unread_tokens) = (waiter.prompt_prefix, waiter.own_tokens);
            let need = Need { prompt_prefix, unread_tokens, lane, avoid: &[] };
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
    pub(crate) fn new(me: Router, seed: u64) -> Self {
        Self {
            config: None,
            registry: Registry::default(),
            services: HashMap::new(),
            view: MembershipView::new(me, VIEW_TIMING),
            versions: BTreeMap::new(),
            loads: BTreeMap::new(),
            collected: Collected::default(),
            fleet_sum: FleetSum::default(),
            reliance: Reliance::default(),
            store_answered_ms: 0,
            metrics: Metrics::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Routers that share the upstreams now, this one included.
    pub(crate) fn routers(&self) -> usize {
        self.view.live_routers().len()
    }

    pub(crate) fn own_loads(&mut self, now_ms: u64) -> ServiceLoads {
        let services = self.services.iter_mut();
        let loads = services.map(|(name, service)| (name.clone(), service.load.state(now_ms)));
        loads.filter(|(_, load)| !load.demand.is_empty()).collect()
    }

    /// What is known of the load of the whole fleet.
    pub(crate) fn fleet(&self, now_ms: u64, own: &ServiceLoads) -> LoadSummary {
        if let Some(sum) = self.fleet_sum.get(now_ms).filter(|_| self.is_large()) {
            return sum.clone();
        }
        let mut sum = LoadSummary { routers: 1, loads: own.clone(), ..LoadSummary::default() };
        let live: Vec<&Member> =
            self.view.live_routers().into_iter().map(|router| &router.member).collect();
        for (_, loads) in self.loads.iter().filter(|(member, _)| live.contains(member)) {
            sum.add(&LoadSummary { routers: 1, loads: loads.clone(), ..LoadSummary::default() }, 0);
        }
        sum
    }

    /// What this router does in the exchange of statements; none in a fleet
    /// where every router hears every other.
    pub(crate) fn role(&self) -> Option<Role> {
        if self.is_large() { role(&self.view) } else { None }
    }

    /// Whether another router collects for this one.
    pub(crate) fn has_collector(&self) -> bool {
        matches!(self.role(), Some(Role::Member { .. }))
    }

    /// Whether the fleet is too large for every router to hear every other.
    pub(crate) fn is_large(&self) -> bool {
        self.routers() > MAX_FULL_MESH_PEERS + 1
    }

    /// Routers that may be sending, dead ones included: they may only be cut
    /// off from this one.
    pub(crate) fn known_routers(&self) -> usize {
        let dead = |status: &span_member::MemberStatus| status.update.state == MemberState::Dead;
        self.routers() + self.view.member_statuses().iter().filter(|status| dead(status)).count()
    }

    pub(crate) fn follow_config(&mut self, now_ms: u64, settings: &Settings) {
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

    pub(crate) fn follow_upstreams(&mut self) {
        for (name, service) in &mut self.services {
            let ready = self.registry.ready(name).map(|(name, entry)| (name, entry.slots));
            service.placement.set_upstreams(ready);
        }
        self.follow_fleet();
    }

    pub(crate) fn follow_fleet(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let me = self.view.own_update().router.member.instance.clone();
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
