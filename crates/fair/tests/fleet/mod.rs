//! A simulated fleet in virtual time: routers, shard owners, delayed messages,
//! upstreams with a fixed service rate, and faults.

pub mod checks;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use span_fair::{
    Allocation, DispatchPolicy, LoadReport, Request, RouterQueue, ShardOwner, ShardReport,
    ShardUpstream, SlotRow, Ticket, WorkspaceLimits, assign_shards,
};
use span_types::{Incarnation, Member, ShardId, UpstreamName, WorkspaceName};

/// Time until the loss of a router is detected.
pub const LOSS_DETECTION_MS: u64 = 3_000;
/// Interval of load reports, and their delay.
const LOAD_REPORT_INTERVAL_MS: u64 = 250;
/// Interval of progress updates to the queues.
const PROGRESS_INTERVAL_MS: u64 = 20;
/// Interval at which the owners of a service's shards exchange costs.
pub const COST_MERGE_INTERVAL_MS: u64 = 250;
/// Longest one-way delay of a message.
pub const MAX_MESSAGE_DELAY_MS: u64 = 3;

#[derive(Clone, Debug)]
pub struct WorkspaceLoad {
    pub share: u32,
    /// Number of requests that the callers keep outstanding, per router.
    pub target_requests: Vec<u32>,
    /// Only waiting requests count towards `target_requests`.
    pub counts_waiting_only: bool,
    pub cost_range: (u64, u64),
    /// The hint is the true cost times the first number, divided by the second.
    pub hint_ratio: (u64, u64),
    /// The callers send requests from the first time until the second.
    pub active_ms: (u64, u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Each report is lost with a probability of one half, unless the one
    /// before was lost.
    LostReports,
    /// The router that owns the shards is lost and restarts without state.
    OwnerLoss,
    /// A router that owns no shards is lost and restarts.
    RouterLoss,
    /// The first router and the others cannot reach each other.
    Partition,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueueModel {
    Routers(DispatchPolicy),
    /// A single queue that knows each request and its true cost at once.
    CentralQueue,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: usize,
    pub upstreams: usize,
    /// Slots per upstream.
    pub slots: u32,
    pub shards: usize,
    /// Cost per second that one slot serves.
    pub rate: u64,
    pub loads: Vec<WorkspaceLoad>,
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
        // The first estimate is 256, whatever the costs are.
        self.loads.iter().map(|load| load.cost_range.1).max().unwrap_or(1).max(256)
    }
}

struct UpstreamRequest {
    router: usize,
    incarnation: u64,
    ticket: Ticket,
    workspace: usize,
    cost: u64,
    started_ms: u64,
    produced_cost: f64,
}

struct SimulatedUpstream {
    name: UpstreamName,
    shard: usize,
    running: Vec<UpstreamRequest>,
    queued: VecDeque<UpstreamRequest>,
    load_reports: VecDeque<LoadReport>,
}

struct Router {
    incarnation: u64,
    queue: RouterQueue,
    alive: bool,
    partition: usize,
    /// Shards whose previous report was lost.
    lost_last_report: BTreeSet<ShardId>,
}

struct Owner {
    router: usize,
    incarnation: u64,
    partition: usize,
    shard: usize,
    state: ShardOwner,
}

enum Message {
    Report { from: usize, shard: usize, report: ShardReport },
    Allocation { to: usize, incarnation: u64, allocation: Allocation },
}

#[derive(Default)]
struct CentralQueue {
    /// Cost, ticket and router of the waiting requests, per workspace.
    waiting: Vec<VecDeque<(u64, Ticket, usize)>>,
    virtual_time: Vec<f64>,
}

/// State of the simulation; the checks read the public fields.
pub struct Fleet {
    pub scenario: Scenario,
    pub queue_model: QueueModel,
    pub now_ms: u64,
    /// Cost that the upstreams have produced for each workspace.
    pub served: Vec<f64>,
    /// Waiting requests of each workspace at all routers.
    pub waiting: Vec<u32>,
    pub in_flight: Vec<u32>,
    /// Requests that are queued at upstreams, or slots that routers may use
    /// beyond the limit of an upstream; the larger number.
    pub overcommitted: u32,
    pub messages: u64,
    routers: Vec<Router>,
    owners: Vec<Owner>,
    upstreams: Vec<SimulatedUpstream>,
    central_queue: CentralQueue,
    /// Number of requests that have not finished, by router and workspace.
    outstanding: BTreeMap<(usize, usize), u32>,
    /// Number of waiting requests, by router and workspace.
    waiting_by_router: BTreeMap<(usize, usize), u32>,
    /// Workspace, router and cost of the waiting requests.
    waiting_requests: BTreeMap<Ticket, (usize, usize, u64)>,
    /// Messages by arrival time and sequence number.
    in_transit: BTreeMap<(u64, u64), Message>,
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
    pub fn new(scenario: Scenario, queue_model: QueueModel) -> Self {
        let names: Vec<UpstreamName> =
            (0..scenario.upstreams).map(|i| format!("upstream-{i}").as_str().into()).collect();
        assert_eq!(assign_shards(&names).len(), 1, "small sets form one shard");
        let upstream = |(index, name): (usize, &UpstreamName)| SimulatedUpstream {
            name: name.clone(),
            shard: index % scenario.shards,
            running: Vec::new(),
            queued: VecDeque::new(),
            load_reports: VecDeque::new(),
        };
        let upstreams: Vec<SimulatedUpstream> = names.iter().enumerate().map(upstream).collect();
        let count = scenario.loads.len();
        let mut fleet = Self {
            queue_model,
            now_ms: 0,
            served: vec![0.0; count],
            waiting: vec![0; count],
            in_flight: vec![0; count],
            overcommitted: 0,
            messages: 0,
            routers: Vec::new(),
            owners: Vec::new(),
            upstreams,
            central_queue: CentralQueue {
                waiting: vec![VecDeque::new(); count],
                virtual_time: vec![0.0; count],
            },
            outstanding: BTreeMap::new(),
            waiting_by_router: BTreeMap::new(),
            waiting_requests: BTreeMap::new(),
            in_transit: BTreeMap::new(),
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
        let policy = match self.queue_model {
            QueueModel::Routers(policy) => policy,
            QueueModel::CentralQueue => DispatchPolicy::Fleet,
        };
        let mut queue = RouterQueue::new(policy, "pool".into(), member(router, incarnation));
        let limits = |(index, load): (usize, &WorkspaceLoad)| WorkspaceLimits {
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
            self.set_fixed_slots(&mut queue, router);
        }
        Router { incarnation, queue, alive: true, partition: 0, lost_last_report: BTreeSet::new() }
    }

    // Assigns the slots in turn, so that each router gets a fixed number of the
    // slots of each upstream and the numbers add up to the limit.
    fn set_fixed_slots(&self, queue: &mut RouterQueue, router: usize) {
        for shard in 0..self.scenario.shards {
            let upstreams = self.upstreams.iter().enumerate().filter(|(_, up)| up.shard == shard);
            let rows = upstreams.map(|(index, upstream)| {
                let slots = (0..self.scenario.slots as usize).filter(|slot| {
                    (index * self.scenario.slots as usize + slot) % self.scenario.routers == router
                });
                SlotRow {
                    upstream: upstream.name.clone(),
                    held: slots.count() as u32,
                    in_flight: 0,
                }
            });
            queue.set_fixed_slots(&shard_id(shard), &rows.collect::<Vec<_>>());
        }
    }

    fn start_owners(&mut self, router: usize, partition: usize) {
        let live =
            self.routers.iter().enumerate().filter(|(_, r)| r.alive && r.partition == partition);
        let live: Vec<Member> = live.map(|(i, r)| member(i, r.incarnation)).collect();
        self.next_id += 1;
        let incarnation = self.next_id;
        let loads = self.scenario.loads.iter().enumerate();
        let shares: Vec<_> = loads.map(|(i, load)| (workspace(i), load.share)).collect();
        for shard in 0..self.scenario.shards {
            let owner = member(router, 1_000_000 + incarnation);
            let mut state = ShardOwner::new(self.now_ms, shard_id(shard), owner, &live);
            let upstreams = self.upstreams.iter().filter(|upstream| upstream.shard == shard);
            let shard_upstreams = upstreams.map(|upstream| ShardUpstream {
                upstream: upstream.name.clone(),
                failure_domain: "hall-atl".into(),
                max_concurrency: self.scenario.slots,
                leaving: false,
            });
            state.set_upstreams(self.now_ms, &shard_upstreams.collect::<Vec<_>>());
            state.set_workspaces(&shares);
            self.owners.push(Owner { router, incarnation, partition, shard, state });
        }
    }

    /// Simulates one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        if self.queue_model != QueueModel::CentralQueue {
            self.inject_fault();
        }
        self.deliver();
        self.serve_requests();
        self.submit_requests();
        match self.queue_model {
            QueueModel::CentralQueue => self.dispatch_central(),
            QueueModel::Routers(_) => self.dispatch(),
        }
        self.run_owners();
        self.update_counts();
    }

    /// Number of slots without a running request, per upstream.
    pub fn free_slots(&self) -> Vec<u32> {
        let free = |upstream: &SimulatedUpstream| {
            self.scenario.slots.saturating_sub(upstream.running.len() as u32)
        };
        self.upstreams.iter().map(free).collect()
    }

    /// Whether a fault, or its handling, currently affects which router owns the
    /// shards.
    pub fn is_disturbed(&self) -> bool {
        let (start_ms, end_ms) = self.scenario.fault_ms;
        let affects_ownership = !matches!(self.scenario.fault, Fault::None | Fault::LostReports);
        affects_ownership && (start_ms..end_ms + LOSS_DETECTION_MS).contains(&self.now_ms)
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
                } else if elapsed_ms == LOSS_DETECTION_MS {
                    self.handle_detected_loss(lost);
                } else if self.now_ms == end_ms {
                    let incarnation = self.routers[lost].incarnation + 1;
                    self.routers[lost] = self.new_router(lost, incarnation);
                }
            }
            Fault::Partition => {
                if elapsed_ms == 0 {
                    self.routers.iter_mut().skip(1).for_each(|router| router.partition = 1);
                } else if elapsed_ms == LOSS_DETECTION_MS {
                    self.start_owners(1, 1);
                    let others: Vec<Member> = (1..self.routers.len())
                        .map(|i| member(i, self.routers[i].incarnation))
                        .collect();
                    for owner in self.owners.iter_mut().filter(|owner| owner.partition == 0) {
                        others.iter().for_each(|m| owner.state.remove_router(self.now_ms, m));
                    }
                } else if self.now_ms == end_ms {
                    self.routers.iter_mut().for_each(|router| router.partition = 0);
                    self.owners.retain(|owner| owner.partition == 0);
                }
            }
        }
    }

    fn lose_router(&mut self, lost: usize) {
        self.routers[lost].alive = false;
        self.owners.retain(|owner| owner.router != lost);
        self.outstanding.retain(|(router, _), _| *router != lost);
        self.waiting_by_router.retain(|(router, _), _| *router != lost);
    }

    fn handle_detected_loss(&mut self, lost: usize) {
        let lost_member = member(lost, self.routers[lost].incarnation);
        if self.owners.is_empty() {
            self.start_owners(1, 0);
        }
        for owner in &mut self.owners {
            owner.state.remove_router(self.now_ms, &lost_member);
        }
    }

    fn send(&mut self, message: Message) {
        self.next_id += 1;
        self.messages += 1;
        let arrival_ms = self.now_ms + self.rng.random_range(1..=MAX_MESSAGE_DELAY_MS);
        self.in_transit.insert((arrival_ms, self.next_id), message);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::Report { from, shard, report } => {
                    self.deliver_report(from, shard, &report)
                }
                Message::Allocation { to, incarnation, allocation } => {
                    let sender = self.owners.iter().find(|o| owner_member(o) == allocation.owner);
                    let router = &mut self.routers[to];
                    let reachable = sender.is_some_and(|owner| owner.partition == router.partition);
                    if router.alive && router.incarnation == incarnation && reachable {
                        router.queue.apply_allocation(self.now_ms, &allocation);
                    }
                }
            }
        }
    }

    fn deliver_report(&mut self, from: usize, shard: usize, report: &ShardReport) {
        let partition = self.routers[from].partition;
        let owner = self.owners.iter_mut().find(|o| o.partition == partition && o.shard == shard);
        let Some(owner) = owner else {
            return;
        };
        let allocation = owner.state.apply_report(self.now_ms, report);
        let incarnation = report.router.incarnation.0;
        self.send(Message::Allocation { to: from, incarnation, allocation });
    }

    fn serve_requests(&mut self) {
        let (now_ms, rate, slots) =
            (self.now_ms, self.scenario.rate as f64 / 1_000.0, self.scenario.slots);
        let mut finished = Vec::new();
        for upstream in &mut self.upstreams {
            for request in &mut upstream.running {
                let produced =
                    ((now_ms - request.started_ms) as f64 * rate).min(request.cost as f64);
                self.served[request.workspace] += produced - request.produced_cost;
                request.produced_cost = produced;
                let router = &mut self.routers[request.router];
                if now_ms.is_multiple_of(PROGRESS_INTERVAL_MS)
                    && router.incarnation == request.incarnation
                {
                    router.queue.record_progress(request.ticket, produced as u64);
                }
            }
            let done = |request: &mut UpstreamRequest| request.produced_cost >= request.cost as f64;
            finished.extend(upstream.running.extract_if(.., done));
            while upstream.running.len() < slots as usize {
                let Some(mut request) = upstream.queued.pop_front() else {
                    break;
                };
                request.started_ms = now_ms;
                upstream.running.push(request);
            }
        }
        for request in finished {
            self.in_flight[request.workspace] -= 1;
            let router = &mut self.routers[request.router];
            if router.alive && router.incarnation == request.incarnation {
                router.queue.finish(now_ms, request.ticket, request.cost);
                if let Some(count) = self.outstanding.get_mut(&(request.router, request.workspace))
                {
                    *count -= 1;
                }
            }
        }
    }

    fn submit_requests(&mut self) {
        for workspace_index in 0..self.scenario.loads.len() {
            let (start_ms, end_ms) = self.scenario.loads[workspace_index].active_ms;
            if !(start_ms..end_ms).contains(&self.now_ms) {
                continue;
            }
            for router in 0..self.scenario.routers {
                let load = &self.scenario.loads[workspace_index];
                let target = load.target_requests[router % load.target_requests.len()];
                let counts = if load.counts_waiting_only {
                    &self.waiting_by_router
                } else {
                    &self.outstanding
                };
                let current = counts.get(&(router, workspace_index)).copied().unwrap_or(0);
                for _ in current..target {
                    self.submit_one(workspace_index, router);
                }
            }
        }
    }

    fn submit_one(&mut self, workspace_index: usize, router: usize) {
        if !self.routers[router].alive {
            return;
        }
        let load = &self.scenario.loads[workspace_index];
        let cost = self.rng.random_range(load.cost_range.0..=load.cost_range.1);
        let cost_hint = cost * load.hint_ratio.0 / load.hint_ratio.1;
        self.next_id += 1;
        let ticket = Ticket(self.next_id);
        let request = Request {
            ticket,
            workspace: workspace(workspace_index),
            arrived_ms: self.now_ms,
            prompt_cost: 1,
            cost_hint: Some(cost_hint),
            prefix_hash: None,
            avoided_upstreams: Vec::new(),
        };
        if self.queue_model == QueueModel::CentralQueue {
            self.raise_central_virtual_time(workspace_index);
            self.central_queue.waiting[workspace_index].push_back((cost, ticket, router));
        } else {
            self.routers[router].queue.submit(self.now_ms, request).expect("the queue is not full");
        }
        *self.outstanding.entry((router, workspace_index)).or_default() += 1;
        *self.waiting_by_router.entry((router, workspace_index)).or_default() += 1;
        self.waiting_requests.insert(ticket, (workspace_index, router, cost));
    }

    fn raise_central_virtual_time(&mut self, workspace_index: usize) {
        if self.in_flight[workspace_index] > 0
            || !self.central_queue.waiting[workspace_index].is_empty()
        {
            return;
        }
        let backlogged = (0..self.in_flight.len())
            .filter(|other| !self.central_queue.waiting[*other].is_empty());
        let lowest =
            backlogged.map(|other| self.central_queue.virtual_time[other]).reduce(f64::min);
        self.central_queue.virtual_time[workspace_index] =
            self.central_queue.virtual_time[workspace_index].max(lowest.unwrap_or(0.0));
    }

    fn dispatch_central(&mut self) {
        while let Some(upstream) = (0..self.upstreams.len())
            .find(|i| self.upstreams[*i].running.len() < self.scenario.slots as usize)
        {
            let backlogged = (0..self.in_flight.len())
                .filter(|workspace_index| !self.central_queue.waiting[*workspace_index].is_empty());
            let key = |workspace_index: &usize| self.central_queue.virtual_time[*workspace_index];
            let Some(workspace_index) = backlogged.min_by(|a, b| key(a).total_cmp(&key(b))) else {
                return;
            };
            let (cost, ticket, _) = self.central_queue.waiting[workspace_index]
                .pop_front()
                .expect("the workspace has a waiting request");
            let share = f64::from(self.scenario.loads[workspace_index].share);
            self.central_queue.virtual_time[workspace_index] += cost as f64 / share;
            self.start(upstream, ticket);
        }
    }

    fn dispatch(&mut self) {
        for index in 0..self.routers.len() {
            if !self.routers[index].alive {
                continue;
            }
            while let Some(dispatch) = self.routers[index].queue.dispatch(self.now_ms) {
                let upstream = self.upstreams.iter().position(|e| e.name == dispatch.upstream);
                self.start(upstream.expect("the upstream exists"), dispatch.ticket);
            }
            for due in self.routers[index].queue.due_reports(self.now_ms) {
                self.report(index, &due);
            }
        }
    }

    fn report(&mut self, index: usize, due: &ShardId) {
        let loses_reports = self.scenario.fault == Fault::LostReports;
        let partition = self.routers[index].partition;
        let owner =
            self.owners.iter().find(|o| o.partition == partition && o.shard == due.index as usize);
        let owner = owner.map_or_else(|| member(0, 0), owner_member);
        let report = self.routers[index].queue.create_report(self.now_ms, due, &owner);
        let lost_last_report = &mut self.routers[index].lost_last_report;
        let lost = loses_reports && !lost_last_report.remove(due) && self.rng.random_bool(0.5);
        if lost {
            lost_last_report.insert(due.clone());
        }
        if !lost {
            self.send(Message::Report { from: index, shard: due.index as usize, report });
        }
    }

    fn start(&mut self, upstream: usize, ticket: Ticket) {
        let (workspace, router, cost) =
            self.waiting_requests.remove(&ticket).expect("the request was submitted");
        *self.waiting_by_router.get_mut(&(router, workspace)).expect("the request was waiting") -=
            1;
        self.in_flight[workspace] += 1;
        let incarnation = self.routers[router].incarnation;
        let started_ms = self.now_ms;
        let request = UpstreamRequest {
            router,
            incarnation,
            ticket,
            workspace,
            cost,
            started_ms,
            produced_cost: 0.0,
        };
        let upstream = &mut self.upstreams[upstream];
        if upstream.running.len() < self.scenario.slots as usize {
            upstream.running.push(request);
        } else {
            upstream.queued.push_back(request);
        }
    }

    fn run_owners(&mut self) {
        let now_ms = self.now_ms;
        if now_ms.is_multiple_of(LOAD_REPORT_INTERVAL_MS) {
            self.report_loads();
        }
        if now_ms.is_multiple_of(COST_MERGE_INTERVAL_MS) && self.scenario.shards > 1 {
            let rows: Vec<_> =
                self.owners.iter().map(|o| (o.partition, o.shard, o.state.shard_costs())).collect();
            for owner in &mut self.owners {
                let others = rows.iter().filter(|(partition, shard, _)| {
                    *partition == owner.partition && *shard != owner.shard
                });
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
        for upstream in &mut self.upstreams {
            upstream.load_reports.push_back(LoadReport {
                running: upstream.running.len() as u32,
                waiting: upstream.queued.len() as u32,
                slots: self.scenario.slots,
                age_ms: LOAD_REPORT_INTERVAL_MS,
            });
            if upstream.load_reports.len() < 2 {
                continue;
            }
            let report = upstream.load_reports.pop_front().expect("two reports are kept");
            for owner in self.owners.iter_mut().filter(|owner| owner.shard == upstream.shard) {
                owner.state.apply_load_report(self.now_ms, &upstream.name, &report);
            }
        }
    }

    fn update_counts(&mut self) {
        self.waiting.fill(0);
        for ((_, workspace_index), count) in &self.waiting_by_router {
            self.waiting[*workspace_index] += count;
        }
        // A request that is queued at an upstream was dispatched beyond its
        // limit.
        let queued =
            self.upstreams.iter().map(|upstream| upstream.queued.len() as u32).sum::<u32>();
        let held = self.owners.iter().map(|o| o.state.overcommitted_slots()).max().unwrap_or(0);
        self.overcommitted = queued.max(held);
    }
}

fn owner_member(owner: &Owner) -> Member {
    member(owner.router, 1_000_000 + owner.incarnation)
}
