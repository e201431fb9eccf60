//! A small fleet in virtual time: routers, shard owners, delayed messages,
//! upstreams that serve at a fixed rate, and faults.

pub mod checks;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use span_fair::{
    Allocation, DispatchPolicy, LoadReport, Request, RouterQueue, ShardOwner, ShardReport,
    ShardUpstream, SlotRow, Ticket, WorkspaceLimits, assign_shards,
};
use span_types::{Incarnation, Member, ShardId, UpstreamName, WorkspaceName};

/// Time until a lost router is noticed, in milliseconds.
pub const DETECTION_MS: u64 = 3_000;
/// Interval of load reports and their lag, in milliseconds.
const LOAD_MS: u64 = 250;
/// Interval of progress notes and of merges between owners, in milliseconds.
const PROGRESS_MS: u64 = 20;
pub const MERGE_MS: u64 = 250;
/// Longest one-way delay of a message, in milliseconds.
pub const DELAY_MS: u64 = 3;

#[derive(Clone, Debug)]
pub struct Load {
    pub share: u32,
    /// Requests that the callers keep outstanding at each router.
    pub depth: Vec<u32>,
    /// Instead keeps `depth` requests waiting, however many run.
    pub thin: bool,
    pub cost: (u64, u64),
    /// The hint is the true cost times the first over the second.
    pub hint: (u64, u64),
    /// Idle until the first time and after the second, in milliseconds.
    pub active: (u64, u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Each report is lost with one in two, unless the one before was lost.
    LostReports,
    /// The router that owns the shards is lost and restarts empty.
    OwnerLoss,
    RouterLoss,
    /// The first router and the others cannot reach each other.
    Partition,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrangement {
    Routers(DispatchPolicy),
    /// One queue that sees every request and its true cost at once.
    Naive,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: usize,
    pub upstreams: usize,
    pub slots: u32,
    pub shards: usize,
    /// Cost per second that one slot serves.
    pub rate: u64,
    pub loads: Vec<Load>,
    pub fault: Fault,
    /// Start and end of the fault, in milliseconds.
    pub fault_ms: (u64, u64),
    pub duration_ms: u64,
    pub seed: u64,
}

impl Scenario {
    pub fn capacity(&self) -> u32 {
        self.upstreams as u32 * self.slots
    }

    pub fn max_cost(&self) -> u64 {
        // The first estimate is 256 whatever the costs are.
        self.loads.iter().map(|load| load.cost.1).max().unwrap_or(1).max(256)
    }
}

struct Job {
    router: usize,
    incarnation: u64,
    ticket: Ticket,
    workspace: usize,
    cost: u64,
    started_ms: u64,
    charged: f64,
}

struct Engine {
    name: UpstreamName,
    shard: usize,
    running: Vec<Job>,
    queued: VecDeque<Job>,
    past: VecDeque<LoadReport>,
}

struct Router {
    incarnation: u64,
    queue: RouterQueue,
    alive: bool,
    side: usize,
    /// Shards whose last report was lost.
    last_lost: BTreeSet<ShardId>,
}

struct Owner {
    host: usize,
    incarnation: u64,
    side: usize,
    shard: usize,
    state: ShardOwner,
}

enum Message {
    Report { from: usize, shard: usize, report: ShardReport },
    Allocation { to: usize, incarnation: u64, allocation: Allocation },
}

#[derive(Default)]
struct Naive {
    waiting: Vec<VecDeque<(u64, Ticket, usize)>>,
    virtual_time: Vec<f64>,
}

/// What the checks look at after each step.
pub struct Fleet {
    pub scenario: Scenario,
    pub arrangement: Arrangement,
    pub now_ms: u64,
    /// Cost that upstreams produced for each workspace.
    pub served: Vec<f64>,
    /// Requests waiting per workspace, over all routers.
    pub waiting: Vec<u32>,
    pub in_flight: Vec<u32>,
    pub overcommitted: u32,
    pub messages: u64,
    routers: Vec<Router>,
    owners: Vec<Owner>,
    engines: Vec<Engine>,
    naive: Naive,
    outstanding: BTreeMap<(usize, usize), u32>,
    waiting_at: BTreeMap<(usize, usize), u32>,
    requests: BTreeMap<Ticket, (usize, usize, u64)>,
    wire: BTreeMap<(u64, u64), Message>,
    rng: ChaCha8Rng,
    next_id: u64,
}

fn member(router: usize, incarnation: u64) -> Member {
    Member {
        instance: format!("router-{router}").as_str().into(),
        incarnation: Incarnation(incarnation),
    }
}

fn shard_id(index: usize) -> ShardId {
    ShardId { service: "pool".into(), index: index as u32 }
}

fn workspace(index: usize) -> WorkspaceName {
    format!("workspace-{index}").as_str().into()
}

impl Fleet {
    pub fn new(scenario: Scenario, arrangement: Arrangement) -> Self {
        let names: Vec<UpstreamName> =
            (0..scenario.upstreams).map(|i| format!("upstream-{i}").as_str().into()).collect();
        assert_eq!(assign_shards(&names).len(), 1, "small sets form one shard");
        let engine = |(index, name): (usize, &UpstreamName)| Engine {
            name: name.clone(),
            shard: index % scenario.shards,
            running: Vec::new(),
            queued: VecDeque::new(),
            past: VecDeque::new(),
        };
        let engines: Vec<Engine> = names.iter().enumerate().map(engine).collect();
        let count = scenario.loads.len();
        let mut fleet = Self {
            arrangement,
            now_ms: 0,
            served: vec![0.0; count],
            waiting: vec![0; count],
            in_flight: vec![0; count],
            overcommitted: 0,
            messages: 0,
            routers: Vec::new(),
            owners: Vec::new(),
            engines,
            naive: Naive { waiting: vec![VecDeque::new(); count], virtual_time: vec![0.0; count] },
            outstanding: BTreeMap::new(),
            waiting_at: BTreeMap::new(),
            requests: BTreeMap::new(),
            wire: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            next_id: 0,
            scenario,
        };
        for router in 0..fleet.scenario.routers {
            let state = fleet.new_router(router, 1);
            fleet.routers.push(state);
        }
        fleet.start_owners(0, 0);
        fleet
    }

    fn new_router(&self, router: usize, incarnation: u64) -> Router {
        let policy = match self.arrangement {
            Arrangement::Routers(policy) => policy,
            Arrangement::Naive => DispatchPolicy::Fleet,
        };
        let mut queue = RouterQueue::new(policy, "pool".into(), member(router, incarnation));
        let limits = |(index, load): (usize, &Load)| WorkspaceLimits {
            workspace: workspace(index),
            share: load.share,
            queue_limit: 10_000,
            deadline_ms: u64::MAX / 2,
        };
        let limits: Vec<_> = self.scenario.loads.iter().enumerate().map(limits).collect();
        queue.set_workspaces(&limits);
        let shards: Vec<ShardId> = (0..self.scenario.shards).map(shard_id).collect();
        queue.set_shards(&shards);
        if policy != DispatchPolicy::Fleet {
            self.fix_slots(&mut queue, router);
        }
        Router { incarnation, queue, alive: true, side: 0, last_lost: BTreeSet::new() }
    }

    // Deals the slots out in turn, so that each router has its part of each
    // upstream and the parts add up to the limit.
    fn fix_slots(&self, queue: &mut RouterQueue, router: usize) {
        for shard in 0..self.scenario.shards {
            let engines = self.engines.iter().enumerate().filter(|(_, up)| up.shard == shard);
            let rows = engines.map(|(index, engine)| {
                let slots = (0..self.scenario.slots as usize).filter(|slot| {
                    (index * self.scenario.slots as usize + slot) % self.scenario.routers == router
                });
                SlotRow { upstream: engine.name.clone(), held: slots.count() as u32, in_flight: 0 }
            });
            queue.set_fixed_slots(&shard_id(shard), &rows.collect::<Vec<_>>());
        }
    }

    fn start_owners(&mut self, host: usize, side: usize) {
        let live = self.routers.iter().enumerate().filter(|(_, r)| r.alive && r.side == side);
        let live: Vec<Member> = live.map(|(i, r)| member(i, r.incarnation)).collect();
        self.next_id += 1;
        let incarnation = self.next_id;
        let loads = self.scenario.loads.iter().enumerate();
        let shares: Vec<_> = loads.map(|(i, load)| (workspace(i), load.share)).collect();
        for shard in 0..self.scenario.shards {
            let owner = member(host, 1_000_000 + incarnation);
            let mut state = ShardOwner::new(self.now_ms, shard_id(shard), owner, &live);
            let engines = self.engines.iter().filter(|engine| engine.shard == shard);
            let upstreams = engines.map(|engine| ShardUpstream {
                upstream: engine.name.clone(),
                failure_domain: "hall-atl".into(),
                max_concurrency: self.scenario.slots,
                leaving: false,
            });
            state.set_upstreams(self.now_ms, &upstreams.collect::<Vec<_>>());
            state.set_workspaces(&shares);
            self.owners.push(Owner { host, incarnation, side, shard, state });
        }
    }

    /// Runs one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        if self.arrangement != Arrangement::Naive {
            self.inject_fault();
        }
        self.deliver();
        self.serve();
        self.submit();
        match self.arrangement {
            Arrangement::Naive => self.dispatch_naive(),
            Arrangement::Routers(_) => self.dispatch(),
        }
        self.run_owners();
        self.note();
    }

    /// Slots of each upstream that execute nothing.
    pub fn free_slots(&self) -> Vec<u32> {
        let free =
            |engine: &Engine| self.scenario.slots.saturating_sub(engine.running.len() as u32);
        self.engines.iter().map(free).collect()
    }

    /// Whether a fault or its aftermath changes who may decide.
    pub fn disturbed(&self) -> bool {
        let (start_ms, end_ms) = self.scenario.fault_ms;
        let decides = !matches!(self.scenario.fault, Fault::None | Fault::LostReports);
        decides && (start_ms..end_ms + DETECTION_MS).contains(&self.now_ms)
    }

    fn inject_fault(&mut self) {
        let (start_ms, end_ms) = self.scenario.fault_ms;
        let lost =
            if self.scenario.fault == Fault::OwnerLoss { 0 } else { self.scenario.routers - 1 };
        let elapsed_ms = self.now_ms.wrapping_sub(start_ms);
        match self.scenario.fault {
            Fault::None | Fault::LostReports => {}
            Fault::OwnerLoss | Fault::RouterLoss => {
                if elapsed_ms == 0 {
                    self.lose_router(lost);
                } else if elapsed_ms == DETECTION_MS {
                    self.notice_loss(lost);
                } else if self.now_ms == end_ms {
                    let incarnation = self.routers[lost].incarnation + 1;
                    self.routers[lost] = self.new_router(lost, incarnation);
                }
            }
            Fault::Partition => {
                if elapsed_ms == 0 {
                    self.routers.iter_mut().skip(1).for_each(|router| router.side = 1);
                } else if elapsed_ms == DETECTION_MS {
                    self.start_owners(1, 1);
                    let others: Vec<Member> = (1..self.routers.len())
                        .map(|i| member(i, self.routers[i].incarnation))
                        .collect();
                    for owner in self.owners.iter_mut().filter(|owner| owner.side == 0) {
                        others.iter().for_each(|m| owner.state.remove_router(self.now_ms, m));
                    }
                } else if self.now_ms == end_ms {
                    self.routers.iter_mut().for_each(|router| router.side = 0);
                    self.owners.retain(|owner| owner.side == 0);
                }
            }
        }
    }

    fn lose_router(&mut self, lost: usize) {
        self.routers[lost].alive = false;
        self.owners.retain(|owner| owner.host != lost);
        self.outstanding.retain(|(router, _), _| *router != lost);
        self.waiting_at.retain(|(router, _), _| *router != lost);
    }

    fn notice_loss(&mut self, lost: usize) {
        let gone = member(lost, self.routers[lost].incarnation);
        if self.owners.is_empty() {
            self.start_owners(1, 0);
        }
        for owner in &mut self.owners {
            owner.state.remove_router(self.now_ms, &gone);
        }
    }

    fn send(&mut self, message: Message) {
        self.next_id += 1;
        self.messages += 1;
        let arrival_ms = self.now_ms + self.rng.random_range(1..=DELAY_MS);
        self.wire.insert((arrival_ms, self.next_id), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.wire.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::Report { from, shard, report } => {
                    self.deliver_report(from, shard, &report)
                }
                Message::Allocation { to, incarnation, allocation } => {
                    let owner_side =
                        self.owners.iter().find(|o| owner_member(o) == allocation.owner);
                    let router = &mut self.routers[to];
                    let reachable = owner_side.is_some_and(|owner| owner.side == router.side);
                    if router.alive && router.incarnation == incarnation && reachable {
                        router.queue.apply_allocation(self.now_ms, &allocation);
                    }
                }
            }
        }
    }

    fn deliver_report(&mut self, from: usize, shard: usize, report: &ShardReport) {
        let side = self.routers[from].side;
        let owner = self.owners.iter_mut().find(|o| o.side == side && o.shard == shard);
        let Some(owner) = owner else {
            return;
        };
        let allocation = owner.state.apply_report(self.now_ms, report);
        let incarnation = report.router.incarnation.0;
        self.send(Message::Allocation { to: from, incarnation, allocation });
    }

    fn serve(&mut self) {
        let (now_ms, rate, slots) =
            (self.now_ms, self.scenario.rate as f64 / 1_000.0, self.scenario.slots);
        let mut finished = Vec::new();
        for engine in &mut self.engines {
            for job in &mut engine.running {
                let produced = ((now_ms - job.started_ms) as f64 * rate).min(job.cost as f64);
                self.served[job.workspace] += produced - job.charged;
                job.charged = produced;
                let router = &mut self.routers[job.router];
                if now_ms.is_multiple_of(PROGRESS_MS) && router.incarnation == job.incarnation {
                    router.queue.record_progress(job.ticket, produced as u64);
                }
            }
            let done = |job: &mut Job| job.charged >= job.cost as f64;
            finished.extend(engine.running.extract_if(.., done));
            while engine.running.len() < slots as usize {
                let Some(mut job) = engine.queued.pop_front() else {
                    break;
                };
                job.started_ms = now_ms;
                engine.running.push(job);
            }
        }
        for job in finished {
            self.in_flight[job.workspace] -= 1;
            let router = &mut self.routers[job.router];
            if router.alive && router.incarnation == job.incarnation {
                router.queue.finish(now_ms, job.ticket, job.cost);
                if let Some(count) = self.outstanding.get_mut(&(job.router, job.workspace)) {
                    *count -= 1;
                }
            }
        }
    }

    fn submit(&mut self) {
        for ws in 0..self.scenario.loads.len() {
            let (start_ms, end_ms) = self.scenario.loads[ws].active;
            if !(start_ms..end_ms).contains(&self.now_ms) {
                continue;
            }
            for router in 0..self.scenario.routers {
                let load = &self.scenario.loads[ws];
                let wanted = load.depth[router % load.depth.len()];
                let counts = if load.thin { &self.waiting_at } else { &self.outstanding };
                let present = counts.get(&(router, ws)).copied().unwrap_or(0);
                for _ in present..wanted {
                    self.submit_one(ws, router);
                }
            }
        }
    }

    fn submit_one(&mut self, ws: usize, router: usize) {
        if !self.routers[router].alive {
            return;
        }
        let load = &self.scenario.loads[ws];
        let cost = self.rng.random_range(load.cost.0..=load.cost.1);
        let hint = cost * load.hint.0 / load.hint.1;
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        let request = Request {
            ticket,
            workspace: workspace(ws),
            arrived_ms: self.now_ms,
            prompt_cost: 1,
            cost_hint: Some(hint),
            prefix_hash: None,
            avoided_upstreams: Vec::new(),
        };
        if self.arrangement == Arrangement::Naive {
            self.lift_naive(ws);
            self.naive.waiting[ws].push_back((cost, ticket, router));
        } else {
            self.routers[router].queue.submit(self.now_ms, request).expect("the queue has room");
        }
        *self.outstanding.entry((router, ws)).or_default() += 1;
        *self.waiting_at.entry((router, ws)).or_default() += 1;
        self.requests.insert(ticket, (ws, router, cost));
    }

    fn lift_naive(&mut self, ws: usize) {
        if self.in_flight[ws] > 0 || !self.naive.waiting[ws].is_empty() {
            return;
        }
        let busy = (0..self.in_flight.len()).filter(|other| !self.naive.waiting[*other].is_empty());
        let lowest = busy.map(|other| self.naive.virtual_time[other]).reduce(f64::min);
        self.naive.virtual_time[ws] = self.naive.virtual_time[ws].max(lowest.unwrap_or(0.0));
    }

    fn dispatch_naive(&mut self) {
        while let Some(engine) = (0..self.engines.len())
            .find(|i| self.engines[*i].running.len() < self.scenario.slots as usize)
        {
            let busy = (0..self.in_flight.len()).filter(|ws| !self.naive.waiting[*ws].is_empty());
            let key = |ws: &usize| self.naive.virtual_time[*ws];
            let Some(ws) = busy.min_by(|a, b| key(a).total_cmp(&key(b))) else {
                return;
            };
            let (cost, ticket, _) = self.naive.waiting[ws].pop_front().expect("it waits");
            let share = f64::from(self.scenario.loads[ws].share);
            self.naive.virtual_time[ws] += cost as f64 / share;
            self.start(engine, ticket);
        }
    }

    fn dispatch(&mut self) {
        for index in 0..self.routers.len() {
            if !self.routers[index].alive {
                continue;
            }
            while let Some(dispatch) = self.routers[index].queue.dispatch(self.now_ms) {
                let engine = self.engines.iter().position(|e| e.name == dispatch.upstream);
                self.start(engine.expect("the upstream exists"), dispatch.ticket);
            }
            for due in self.routers[index].queue.due_reports(self.now_ms) {
                self.report(index, &due);
            }
        }
    }

    fn report(&mut self, index: usize, due: &ShardId) {
        let lossy = self.scenario.fault == Fault::LostReports;
        let side = self.routers[index].side;
        let owner = self.owners.iter().find(|o| o.side == side && o.shard == due.index as usize);
        let owner = owner.map_or_else(|| member(0, 0), owner_member);
        let report = self.routers[index].queue.create_report(self.now_ms, due, &owner);
        let last_lost = &mut self.routers[index].last_lost;
        let lost = lossy && !last_lost.remove(due) && self.rng.random_bool(0.5);
        if lost {
            last_lost.insert(due.clone());
        }
        if !lost {
            self.send(Message::Report { from: index, shard: due.index as usize, report });
        }
    }

    fn start(&mut self, engine: usize, ticket: Ticket) {
        let (workspace, router, cost) = self.requests.remove(&ticket).expect("it was submitted");
        *self.waiting_at.get_mut(&(router, workspace)).expect("it waited") -= 1;
        self.in_flight[workspace] += 1;
        let incarnation = self.routers[router].incarnation;
        let started_ms = self.now_ms;
        let job = Job { router, incarnation, ticket, workspace, cost, started_ms, charged: 0.0 };
        let engine = &mut self.engines[engine];
        if engine.running.len() < self.scenario.slots as usize {
            engine.running.push(job);
        } else {
            engine.queued.push_back(job);
        }
    }

    fn run_owners(&mut self) {
        let now_ms = self.now_ms;
        if now_ms.is_multiple_of(LOAD_MS) {
            self.report_loads();
        }
        if now_ms.is_multiple_of(MERGE_MS) && self.scenario.shards > 1 {
            let rows: Vec<_> =
                self.owners.iter().map(|o| (o.side, o.shard, o.state.shard_costs())).collect();
            for owner in &mut self.owners {
                let others = rows
                    .iter()
                    .filter(|(side, shard, _)| *side == owner.side && *shard != owner.shard);
                others.for_each(|(_, _, rows)| owner.state.merge_shard_costs(rows));
            }
        }
        for index in 0..self.owners.len() {
            for (to, allocation) in self.owners[index].state.take_pushes(now_ms) {
                let router = (0..self.routers.len())
                    .find(|r| member(*r, self.routers[*r].incarnation) == to);
                let Some(router) = router else { continue };
                let incarnation = to.incarnation.0;
                self.send(Message::Allocation { to: router, incarnation, allocation });
            }
        }
    }

    fn report_loads(&mut self) {
        for engine in &mut self.engines {
            engine.past.push_back(LoadReport {
                running: engine.running.len() as u32,
                waiting: engine.queued.len() as u32,
                slots: self.scenario.slots,
                age_ms: LOAD_MS,
            });
            if engine.past.len() < 2 {
                continue;
            }
            let report = engine.past.pop_front().expect("two reports are kept");
            for owner in self.owners.iter_mut().filter(|owner| owner.shard == engine.shard) {
                owner.state.apply_load_report(self.now_ms, &engine.name, &report);
            }
        }
    }

    fn note(&mut self) {
        self.waiting.fill(0);
        for ((_, ws), count) in &self.waiting_at {
            self.waiting[*ws] += count;
        }
        // A request that queues at an upstream was sent there beyond its limit.
        let queued = self.engines.iter().map(|engine| engine.queued.len() as u32).sum::<u32>();
        let held = self.owners.iter().map(|o| o.state.overcommitted_slots()).max().unwrap_or(0);
        self.overcommitted = queued.max(held);
    }
}

fn owner_member(owner: &Owner) -> Member {
    member(owner.host, 1_000_000 + owner.incarnation)
}
