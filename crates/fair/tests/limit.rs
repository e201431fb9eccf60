//! The adaptive concurrency limit and the assignment of upstreams to shards,
//! through the public interface.

use std::collections::BTreeSet;

use span_fair::{
    LoadReport, MAX_UPSTREAMS_PER_SHARD, ShardOwner, ShardReport, ShardUpstream, assign_shards,
};
use span_types::{Incarnation, Member, ShardId, UpstreamName};

const MAX_CONCURRENCY: u32 = 16;
/// Time between two load reports.
const LOAD_REPORT_INTERVAL_MS: u64 = 1_000;

fn member() -> Member {
    Member { instance: "r1".into(), incarnation: Incarnation(1) }
}

fn shard() -> ShardId {
    ShardId { service: "stitch-assist".into(), index: 0 }
}

fn upstream(max_concurrency: u32, leaving: bool) -> ShardUpstream {
    ShardUpstream {
        upstream: "u1".into(),
        failure_domain: "hall-atl".into(),
        max_concurrency,
        leaving,
    }
}

fn report(seq: u64, applied_seq: u64, held_slots: u32) -> ShardReport {
    ShardReport {
        shard: shard(),
        router: member(),
        seq,
        max_cost: 0,
        max_rate: 0,
        applied_owner: (applied_seq > 0).then(member),
        applied_seq,
        workspaces: Vec::new(),
        slots: match held_slots {
            0 => Vec::new(),
            held_slots => {
                vec![span_fair::SlotRow { upstream: "u1".into(), held: held_slots, in_flight: 0 }]
            }
        },
        standings: Vec::new(),
    }
}

enum Step {
    /// A load report: running requests, waiting requests and age in
    /// milliseconds.
    Load(u32, u32, u64),
    /// A configuration change: the ceiling, and whether the upstream is
    /// leaving.
    Configure(u32, bool),
}

/// Slots that a fleet of one router gets after it has confirmed each
/// allocation. They show the limit, which the owner does not expose. A quarter
/// of the idle slots stays with the owner.
fn allocated_slots(steps: &[Step]) -> u32 {
    let mut owner = ShardOwner::new(0, shard(), member(), &[member()]);
    owner.set_upstreams(0, &[upstream(MAX_CONCURRENCY, false)]);
    let mut now_ms = 0;
    for step in steps {
        now_ms += LOAD_REPORT_INTERVAL_MS;
        match *step {
            Step::Load(running, waiting, age_ms) => {
                let load = LoadReport { running, waiting, slots: MAX_CONCURRENCY, age_ms };
                owner.apply_load_report(now_ms, &"u1".into(), &load);
            }
            Step::Configure(ceiling, leaving) => {
                owner.set_upstreams(now_ms, &[upstream(ceiling, leaving)]);
            }
        }
    }
    let (mut seq, mut held_slots) = (0, 0);
    for number in 1..=10 {
        now_ms += LOAD_REPORT_INTERVAL_MS;
        let allocation = owner.apply_report(now_ms, &report(number, seq, held_slots));
        seq = allocation.seq;
        held_slots = allocation.slots.iter().map(|row| row.held).sum();
    }
    held_slots
}

/// Guards against a limit that does not fall with a long queue, exceeds its
/// ceiling, is reduced twice for the same state, or gives slots to a leaving
/// upstream. Each case states the limit after its steps.
#[test]
fn limit_follows_load_reports() {
    use Step::{Configure, Load};
    struct Case {
        guards_against: &'static str,
        steps: Vec<Step>,
        limit: u32,
    }
    // One request may be queued, so a queue of 5 exceeds the target by 4.
    let two_long_queues = || [Load(16, 5, 0), Load(16, 5, 0)];
    let after_reduction =
        |more: Vec<Step>| two_long_queues().into_iter().chain(more).collect::<Vec<_>>();
    let cases = [
        Case { guards_against: "an initial limit below the ceiling", steps: vec![], limit: 16 },
        Case {
            guards_against: "a reduction after a single report of a long queue",
            steps: vec![Load(16, 5, 0)],
            limit: 16,
        },
        Case {
            guards_against: "a reduction for a queue of one, which keeps the upstream busy",
            steps: (0..10).map(|_| Load(15, 1, 0)).collect(),
            limit: 16,
        },
        Case {
            guards_against: "no reduction after two reports of a long queue",
            steps: after_reduction(vec![]),
            limit: 12,
        },
        Case {
            guards_against: "a reduction after reports of a long queue that are not consecutive",
            steps: vec![Load(16, 5, 0), Load(3, 0, 0), Load(16, 5, 0)],
            limit: 16,
        },
        Case {
            guards_against: "a second reduction for a state before the first",
            steps: after_reduction(vec![Load(16, 9, 5_000), Load(16, 9, 5_000)]),
            limit: 12,
        },
        Case {
            guards_against: "growth while the upstream does not run at the limit",
            steps: after_reduction(vec![Load(11, 0, 0)]),
            limit: 12,
        },
        Case {
            guards_against: "no growth at the limit with an empty queue",
            steps: after_reduction(vec![Load(12, 0, 0), Load(13, 0, 0)]),
            limit: 14,
        },
        Case {
            guards_against: "growth while one request is queued",
            steps: after_reduction(vec![Load(12, 1, 0), Load(12, 1, 0)]),
            limit: 12,
        },
        Case {
            guards_against: "a reduction by more than the excess over one queued request",
            steps: vec![Load(11, 2, 0), Load(11, 2, 0)],
            limit: 15,
        },
        Case {
            guards_against: "growth past the ceiling",
            steps: (0..10).map(|_| Load(40, 0, 0)).collect(),
            limit: 16,
        },
        Case {
            guards_against: "a limit of zero under a permanently long queue",
            steps: (0..80).map(|_| Load(16, 5, 0)).collect(),
            limit: 1,
        },
        Case {
            guards_against: "a limit above a lowered ceiling",
            steps: vec![Configure(4, false)],
            limit: 4,
        },
        Case {
            guards_against: "a learned limit that a raised ceiling resets",
            steps: after_reduction(vec![Configure(32, false)]),
            limit: 12,
        },
        Case {
            guards_against: "work for an upstream that is leaving",
            steps: vec![Configure(16, true)],
            limit: 0,
        },
        Case {
            guards_against: "load reports that give slots to a leaving upstream",
            steps: vec![Configure(16, true), Load(16, 0, 0)],
            limit: 0,
        },
        Case {
            guards_against: "a learned limit that is lost when the upstream stays after all",
            steps: after_reduction(vec![Configure(16, true), Configure(16, false)]),
            limit: 12,
        },
    ];
    for case in cases {
        // The allocation to an idle router whose ceiling is the expected limit.
        let expected = match case.limit {
            0 => 0,
            limit => allocated_slots(&[Configure(limit, false)]),
        };
        assert_eq!(allocated_slots(&case.steps), expected, "{}", case.guards_against);
    }
}

fn names(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|number| format!("u{number}").into()).collect()
}

/// Guards against shards that are too large, uneven or incomplete, and against
/// an assignment that depends on the order of the configuration.
#[test]
fn assigned_shards_are_bounded_even_and_complete() {
    for (count, shards) in [(0, 1), (1, 1), (63, 1), (64, 1), (65, 2), (129, 3), (10_000, 157)] {
        let all = names(count);
        let assigned = assign_shards(&all);
        assert_eq!(assigned.len(), shards, "{count} upstreams");
        let sizes: BTreeSet<usize> = assigned.iter().map(Vec::len).collect();
        let (smallest, largest) = (sizes.first(), sizes.last());
        assert!(largest.is_some_and(|size| *size <= MAX_UPSTREAMS_PER_SHARD), "{count}: {sizes:?}");
        assert!(largest.zip(smallest).is_some_and(|(l, s)| l - s <= 1), "{count}: {sizes:?}");
        let seen: BTreeSet<_> = assigned.iter().flatten().cloned().collect();
        assert_eq!(seen, all.iter().cloned().collect(), "{count}: all upstreams once");
        let reversed: Vec<_> = all.into_iter().rev().collect();
        assert_eq!(assign_shards(&reversed), assigned, "{count}: order");
    }
}

/// Guards against an added upstream that changes the shards of many others.
#[test]
fn added_upstream_moves_at_most_one_per_boundary() {
    for count in [100, 1_000, 10_000 - 40] {
        let before = assign_shards(&names(count));
        let after = assign_shards(&names(count + 1));
        assert_eq!(before.len(), after.len(), "{count}: the number of shards stays");
        for (index, (old, new)) in before.iter().zip(&after).enumerate() {
            let old: BTreeSet<_> = old.iter().collect();
            let added = new.iter().filter(|name| !old.contains(name)).count();
            assert!(added <= 1, "{count}: shard {index} gained {added}");
        }
    }
}
