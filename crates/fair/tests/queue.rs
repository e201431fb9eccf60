//! A single router's queue with fixed slots and no shard owner.

use span_fair::{
    CostEstimates, DispatchPolicy, Rejection, Request, RouterQueue, SlotRow, Ticket,
    WorkspaceLimits,
};
use span_types::{Incarnation, Member, ShardId};

fn shard() -> ShardId {
    ShardId { service: "pool".into(), index: 0 }
}

fn queue(policy: DispatchPolicy, slots: &[(&str, u32)]) -> RouterQueue {
    let router = Member { instance: "router-0".into(), incarnation: Incarnation(1) };
    let mut queue = RouterQueue::new(policy, "pool".into(), router);
    let limits = |name: &str| WorkspaceLimits {
        workspace: name.into(),
        share: 1,
        queue_limit: 3,
        deadline_ms: 1_000,
    };
    queue.set_workspaces(&[limits("a"), limits("b")]);
    let rows = slots.iter().map(|(name, held)| SlotRow {
        upstream: (*name).into(),
        held: *held,
        in_flight: 0,
    });
    queue.set_fixed_slots(&shard(), &rows.collect::<Vec<_>>());
    queue
}

fn request(ticket: u64, workspace: &str, arrived_ms: u64) -> Request {
    Request {
        ticket: Ticket(ticket),
        workspace: workspace.into(),
        arrived_ms,
        prompt_cost: 10,
        cost_hint: None,
        prefix_hash: None,
        avoided_upstreams: Vec::new(),
    }
}

fn dispatch_all(queue: &mut RouterQueue, now_ms: u64) -> Vec<u64> {
    std::iter::from_fn(|| queue.dispatch(now_ms)).map(|dispatch| dispatch.ticket.0).collect()
}

/// Guards against an order that ignores the policy, or the order of the
/// requests within a workspace.
#[test]
fn dispatch_order_follows_policy() {
    let cases = [(DispatchPolicy::Local, vec![1, 3, 2]), (DispatchPolicy::Fcfs, vec![1, 2, 3])];
    for (policy, expected) in cases {
        let mut queue = queue(policy, &[("up", 3)]);
        for (ticket, workspace) in [(1, "a"), (2, "a"), (3, "b")] {
            queue.submit(0, request(ticket, workspace, 0)).expect("the queue is not full");
        }
        assert_eq!(dispatch_all(&mut queue, 0), expected, "{policy}");
    }
}

/// Guards against a retry that loses its position in the queue, and against a
/// cancelled request that runs.
#[test]
fn retry_keeps_position_and_cancelled_request_is_removed() {
    let mut queue = queue(DispatchPolicy::Local, &[("up", 3)]);
    for (ticket, arrived_ms) in [(1, 5), (2, 6), (3, 2)] {
        queue.submit(7, request(ticket, "a", arrived_ms)).expect("the queue is not full");
    }
    assert!(queue.cancel(Ticket(1)));
    assert!(!queue.cancel(Ticket(1)));
    assert_eq!(dispatch_all(&mut queue, 7), [3, 2]);
}

/// Guards against a request that waits beyond its limits, and against a
/// rejection or expiry without a time for the retry.
#[test]
fn limits_reject_with_increasing_retry_times() {
    let mut queue = queue(DispatchPolicy::Local, &[]);
    for ticket in 0..3 {
        queue.submit(0, request(ticket, "a", 0)).expect("the queue is not full");
    }
    let rejected_retry_ms = |result| match result {
        Err(Rejection::QueueFull { retry_after_ms }) => retry_after_ms,
        other => panic!("{other:?}"),
    };
    let first_ms = rejected_retry_ms(queue.submit(1, request(3, "a", 1)));
    let second_ms = rejected_retry_ms(queue.submit(1, request(4, "a", 1)));
    assert!(0 < first_ms && first_ms < second_ms);
    assert_eq!(queue.submit(1, request(5, "c", 1)), Err(Rejection::UnknownWorkspace));
    assert!(queue.expire(999).is_empty());
    let expired = queue.expire(1_000);
    assert_eq!(expired.iter().map(|expired| expired.ticket.0).collect::<Vec<_>>(), [0, 1, 2]);
    assert!(expired.iter().all(|expired| expired.retry_after_ms > 0));
    assert_eq!(queue.waiting(), 0);
}

/// Guards against a retry on the upstream that failed, and against a request
/// that waits for ever because it avoids all upstreams.
#[test]
fn avoided_upstreams_are_used_only_without_alternative() {
    type Slots<'a> = &'a [(&'a str, u32)];
    let cases: [(Slots<'_>, &[&str], &[&str]); 4] = [
        (&[("x", 1), ("y", 1)], &["x"], &["y"]),
        (&[("x", 1), ("y", 1)], &["y"], &["x"]),
        (&[("x", 1), ("y", 0)], &["x"], &["x"]),
        (&[("x", 1), ("y", 1)], &["x", "y"], &["x", "y"]),
    ];
    for (slots, avoid, expected) in cases {
        let mut queue = queue(DispatchPolicy::Local, slots);
        let avoid = avoid.iter().map(|name| (*name).into()).collect();
        queue
            .submit(0, Request { avoided_upstreams: avoid, ..request(1, "a", 0) })
            .expect("the queue is not full");
        let upstream = queue.dispatch(0).expect("a slot is free").upstream;
        assert!(expected.contains(&upstream.as_str()), "{slots:?}: {upstream}");
    }
    let mut queue = queue(DispatchPolicy::Local, &[("x", 2), ("y", 1)]);
    for ticket in 1..=2 {
        let request = Request { avoided_upstreams: vec!["x".into()], ..request(ticket, "a", 0) };
        queue.submit(0, request).expect("the queue is not full");
    }
    queue.submit(0, request(3, "b", 0)).expect("the queue is not full");
    assert_eq!(dispatch_all(&mut queue, 0), [1, 3], "the second waits for y, b does not");
    queue.finish(1, Ticket(1), 10);
    assert_eq!(dispatch_all(&mut queue, 1), [2]);
}

/// Guards against equal prompt prefixes that are spread over several upstreams,
/// and against prefixes that all use the same upstream.
#[test]
fn equal_prefixes_use_the_same_upstream() {
    let slots = [("x", 4), ("y", 4), ("z", 4)];
    let mut used = std::collections::BTreeSet::new();
    for prefix in 0..32 {
        let mut queue = queue(DispatchPolicy::Local, &slots);
        for ticket in 0..2 {
            let request = Request { prefix_hash: Some(prefix), ..request(ticket, "a", 0) };
            queue.submit(0, request).expect("the queue is not full");
        }
        let first = queue.dispatch(0).expect("a slot is free").upstream;
        assert_eq!(queue.dispatch(0).expect("a slot is free").upstream, first);
        used.insert(first);
    }
    assert_eq!(used.len(), 3, "prefixes spread over the upstreams");
}

/// Guards against a hint that changes an estimate by more than its limits.
#[test]
fn hints_change_estimates_within_limits() {
    let mut estimates = CostEstimates::default();
    estimates.record_cost(&"a".into(), 100);
    estimates.record_cost(&"b".into(), 300);
    let cases = [(None, 1, 100), (Some(1), 1, 25), (Some(u64::MAX), 1, 300), (Some(1), 90, 90)];
    for (hint, prompt_cost, expected) in cases {
        assert_eq!(estimates.estimate(&"a".into(), prompt_cost, hint), expected, "{hint:?}");
    }
}
