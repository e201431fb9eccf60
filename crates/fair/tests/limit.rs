//! Tables of cases for the learned concurrency limit and the assignment of
//! upstreams to shards, through the public interface.

use std::collections::BTreeSet;

use span_fair::{
    LoadReport, MAX_UPSTREAMS_PER_SHARD, ShardOwner, ShardReport, ShardUpstream, assign_shards,
};
use span_types::{Incarnation, Member, ShardId, UpstreamName};

const CEILING: u32 = 16;
/// Time between load reports, in milliseconds.
const STEP_MS: u64 = 1_000;

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

fn report(seq: u64, applied_seq: u64, held: u32) -> ShardReport {
    ShardReport {
        shard: shard(),
        router: member(),
        seq,
        max_cost: 0,
        max_rate: 0,
        applied_owner: (applied_seq > 0).then(member),
        applied_seq,
        workspaces: Vec::new(),
        slots: match held {
            0 => Vec::new(),
            held => {
                vec![span_fair::SlotRow { upstream: "u1".into(), held, in_flight: 0 }]
            }
        },
        standings: Vec::new(),
    }
}

enum Step {
    /// A load report of this many running and waiting requests and this age.
    Load(u32, u32, u64),
    /// The configuration changes the ceiling and whether the upstream leaves.
    Configure(u32, bool),
}

/// Most slots that a fleet of one router is told to use once it has confirmed
/// each allocation. A quarter of idle slots stays with the owner, so the limit
/// is seen through the allocation.
fn allocated(steps: &[Step]) -> u32 {
    let mut owner = ShardOwner::new(0, shard(), member(), &[member()]);
    owner.set_upstreams(0, &[upstream(CEILING, false)]);
    let mut now_ms = 0;
    for step in steps {
        now_ms += STEP_MS;
        match *step {
            Step::Load(running, waiting, age_ms) => {
                let load = LoadReport { running, waiting, slots: CEILING, age_ms };
                owner.apply_load_report(now_ms, &"u1".into(), &load);
            }
            Step::Configure(ceiling, leaving) => {
                owner.set_upstreams(now_ms, &[upstream(ceiling, leaving)]);
            }
        }
    }
    let (mut seq, mut held) = (0, 0);
    for number in 1..=10 {
        now_ms += STEP_MS;
        let allocation = owner.apply_report(now_ms, &report(number, seq, held));
        seq = allocation.seq;
        held = allocation.slots.iter().map(|row| row.held).sum();
    }
    held
}

/// Guards against a limit that does not shrink under a queue, grows past its
/// ceiling, reacts twice to the same state, or gives slots to an upstream that
/// is leaving. Each case states which limit the steps are to lead to.
#[test]
fn the_limit_follows_load_reports() {
    use Step::{Configure, Load};
    struct Case {
        guards: &'static str,
        steps: Vec<Step>,
        limit: u32,
    }
    // One request may queue, so a queue of 5 is 4 too long.
    let queue = || [Load(16, 5, 0), Load(16, 5, 0)];
    let shrunk = |more: Vec<Step>| queue().into_iter().chain(more).collect::<Vec<_>>();
    let cases = [
        Case { guards: "a first limit below the ceiling", steps: vec![], limit: 16 },
        Case { guards: "one queued report", steps: vec![Load(16, 5, 0)], limit: 16 },
        Case {
            guards: "a queue of one, which keeps the upstream busy",
            steps: (0..10).map(|_| Load(15, 1, 0)).collect(),
            limit: 16,
        },
        Case { guards: "two queued reports", steps: shrunk(vec![]), limit: 12 },
        Case {
            guards: "queued reports that are not consecutive",
            steps: vec![Load(16, 5, 0), Load(3, 0, 0), Load(16, 5, 0)],
            limit: 16,
        },
        Case {
            guards: "a report about the time before the change",
            steps: shrunk(vec![Load(16, 9, 5_000), Load(16, 9, 5_000)]),
            limit: 12,
        },
        Case {
            guards: "growth while the upstream does not run at the limit",
            steps: shrunk(vec![Load(11, 0, 0)]),
            limit: 12,
        },
        Case {
            guards: "no growth at the limit with an empty queue",
            steps: shrunk(vec![Load(12, 0, 0), Load(13, 0, 0)]),
            limit: 14,
        },
        Case {
            guards: "growth while one request is queued",
            steps: shrunk(vec![Load(12, 1, 0), Load(12, 1, 0)]),
            limit: 12,
        },
        Case {
            guards: "a fall below what the upstream serves beside its one queued request",
            steps: vec![Load(11, 2, 0), Load(11, 2, 0)],
            limit: 15,
        },
        Case {
            guards: "growth past the ceiling",
            steps: (0..10).map(|_| Load(40, 0, 0)).collect(),
            limit: 16,
        },
        Case {
            guards: "a limit of zero under a lasting queue",
            steps: (0..80).map(|_| Load(16, 5, 0)).collect(),
            limit: 1,
        },
        Case {
            guards: "a lowered ceiling that is not kept",
            steps: vec![Configure(4, false)],
            limit: 4,
        },
        Case {
            guards: "a raised ceiling that resets a learned limit",
            steps: shrunk(vec![Configure(32, false)]),
            limit: 12,
        },
        Case {
            guards: "work for an upstream that is leaving",
            steps: vec![Configure(16, true)],
            limit: 0,
        },
        Case {
            guards: "load reports that bring a leaving upstream back",
            steps: vec![Configure(16, true), Load(16, 0, 0)],
            limit: 0,
        },
        Case {
            guards: "a learned limit lost when leaving is taken back",
            steps: shrunk(vec![Configure(16, true), Configure(16, false)]),
            limit: 12,
        },
    ];
    for case in cases {
        // What one idle router is allocated at a ceiling that is the limit.
        let expected = match case.limit {
            0 => 0,
            limit => allocated(&[Configure(limit, false)]),
        };
        assert_eq!(allocated(&case.steps), expected, "{}", case.guards);
    }
}

fn names(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|number| format!("u{number}").into()).collect()
}

/// Guards against shards that are too large, uneven or incomplete, and against
/// an assignment that depends on the order of the configuration.
#[test]
fn shards_are_bounded_even_and_complete() {
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

/// Guards against a change of one upstream that reshuffles the shards.
#[test]
fn one_upstream_moves_at_most_one_across_each_boundary() {
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
