//! Counts the work per request and per exchange of a report and an allocation,
//! for several numbers of workspaces: operations on ordered sets, memory
//! allocations, messages and bytes.
//!
//! The counts do not depend on the speed of the machine. Bytes are those of the
//! messages as uncompressed JSON.

// `GlobalAlloc` is an unsafe trait.
#![allow(unsafe_code)]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicU64, Ordering},
};

use span_fair::{
    DispatchPolicy, Request, RouterQueue, ShardOwner, ShardUpstream, Ticket, WorkspaceLimits,
};
use span_types::{Incarnation, Member, ShardId, WorkspaceName};

struct CountingAllocator;

static ALLOCATION_COUNT: AtomicU64 = AtomicU64::new(0);

// SAFETY: all calls are forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATION_COUNT.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller meets the requirements of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the pointer came from `System.alloc` with this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Number of requests per run.
const REQUESTS_PER_RUN: u64 = 20_000;
/// Requests between two exchanges. With a report period of 250 ms, these are 63
/// requests per second.
const REQUESTS_PER_EXCHANGE: u64 = 16;
/// One of this many workspaces is backlogged.
const WORKSPACES_PER_BACKLOGGED: usize = 10;
const UPSTREAM_COUNT: usize = 18;
const SLOTS_PER_UPSTREAM: u32 = 8;

#[derive(Default)]
struct Counts {
    request_operations: u64,
    exchange_operations: u64,
    request_allocations: u64,
    exchange_allocations: u64,
    messages: u64,
    bytes: u64,
}

fn allocation_count() -> u64 {
    ALLOCATION_COUNT.load(Ordering::Relaxed)
}

fn names(count: usize) -> Vec<WorkspaceName> {
    (0..count).map(|index| format!("workspace-{index}").into()).collect()
}

fn limits(name: &WorkspaceName) -> WorkspaceLimits {
    WorkspaceLimits {
        workspace: name.clone(),
        share: 1,
        queue_limit: 1_000,
        deadline_ms: 3_600_000,
    }
}

fn request(ticket: u64, now_ms: u64, workspace: &WorkspaceName) -> Request {
    Request {
        ticket: Ticket(ticket),
        workspace: workspace.clone(),
        arrived_ms: now_ms,
        prompt_cost: 50,
        cost_hint: None,
        prefix_hash: Some(ticket % 64),
        avoided_upstreams: Vec::new(),
    }
}

fn upstream(index: usize) -> ShardUpstream {
    ShardUpstream {
        upstream: format!("upstream-{index}").into(),
        failure_domain: "hall-atl".into(),
        max_concurrency: SLOTS_PER_UPSTREAM,
        leaving: false,
    }
}

fn run(workspaces: usize) -> Counts {
    let names = names(workspaces);
    let backlogged = &names[..(workspaces / WORKSPACES_PER_BACKLOGGED).max(2)];
    let shard = ShardId { service: "pool".into(), index: 0 };
    let member = Member { instance: "router-0".into(), incarnation: Incarnation(1) };
    let mut queue = RouterQueue::new(DispatchPolicy::Fleet, "pool".into(), member.clone());
    queue.set_workspaces(&names.iter().map(limits).collect::<Vec<_>>());
    queue.set_shards(std::slice::from_ref(&shard));
    let mut owner = ShardOwner::new(0, shard.clone(), member.clone(), &[]);
    owner.set_upstreams(0, &(0..UPSTREAM_COUNT).map(upstream).collect::<Vec<_>>());
    owner.set_workspaces(&names.iter().map(|name| (name.clone(), 1)).collect::<Vec<_>>());
    let mut counts = Counts::default();
    let mut running = std::collections::VecDeque::new();
    let mut now_ms = 1_000;
    let mut submitted = 0;
    for _ in 0..4 * backlogged.len() {
        let name = &backlogged[submitted as usize % backlogged.len()];
        queue.submit(now_ms, request(submitted, now_ms, name)).expect("the queue is not full");
        submitted += 1;
    }
    let initial_operations = queue.ordered_operations();
    for request_index in 0..REQUESTS_PER_RUN {
        if request_index % REQUESTS_PER_EXCHANGE == 0 {
            now_ms += 250;
            let (allocations_before, operations_before) =
                (allocation_count(), queue.ordered_operations());
            let report = queue.create_report(now_ms, &shard, &member);
            let allocation = owner.apply_report(now_ms, &report);
            queue.apply_allocation(now_ms, &allocation);
            counts.exchange_allocations += allocation_count() - allocations_before;
            counts.exchange_operations += queue.ordered_operations() - operations_before;
            counts.messages += 2;
            let json_bytes =
                |result: Result<Vec<u8>, _>| result.expect("messages serialise").len() as u64;
            counts.bytes += json_bytes(serde_json::to_vec(&report));
            counts.bytes += json_bytes(serde_json::to_vec(&allocation));
        }
        let name = &backlogged[submitted as usize % backlogged.len()];
        let allocations_before = allocation_count();
        while let Some(dispatch) = queue.dispatch(now_ms) {
            running.push_back(dispatch.ticket);
        }
        if let Some(ticket) = running.pop_front() {
            queue.record_progress(ticket, 100);
            queue.finish(now_ms, ticket, 200);
        }
        queue.submit(now_ms, request(submitted, now_ms, name)).expect("the queue is not full");
        submitted += 1;
        counts.request_allocations += allocation_count() - allocations_before;
    }
    let operations = queue.ordered_operations() - initial_operations;
    counts.request_operations = operations - counts.exchange_operations;
    counts
}

fn main() {
    println!("per request: ordered-set operations, allocations, messages");
    println!("per exchange: ordered-set operations at the router, allocations, bytes");
    for workspaces in [16, 640, 10_000] {
        let counts = run(workspaces);
        let exchanges = (REQUESTS_PER_RUN / REQUESTS_PER_EXCHANGE) as f64;
        println!(
            "{workspaces}: {:.2} {:.2} {:.3}; {:.0} {:.0} {:.0}",
            counts.request_operations as f64 / REQUESTS_PER_RUN as f64,
            counts.request_allocations as f64 / REQUESTS_PER_RUN as f64,
            counts.messages as f64 / REQUESTS_PER_RUN as f64,
            counts.exchange_operations as f64 / exchanges,
            counts.exchange_allocations as f64 / exchanges,
            counts.bytes as f64 / exchanges,
        );
    }
}
