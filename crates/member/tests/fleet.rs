//! Topology, ownership and steering at the sizes of today and of the design.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use span_member::{
    MAX_ADDRESSES, Router, assign_owners, heartbeat_peers, heartbeat_targets, home_router, owner,
    select_routers,
};
use span_types::{Incarnation, InstanceName, Member, ShardId, WorkspaceName};

fn fleet(count: usize, domains: usize) -> Vec<Router> {
    (0..count)
        .map(|index| {
            let address = "127.0.0.1:1".parse().expect("address");
            Router {
                member: Member {
                    instance: format!("router-{index}").into(),
                    incarnation: Incarnation(1),
                },
                http_address: address,
                peer_address: address,
                failure_domain: format!("domain-{}", index % domains).into(),
                processor_millicores: 0,
            }
        })
        .collect()
}

fn name(router: &Router) -> &InstanceName {
    &router.member.instance
}

struct Size {
    routers: usize,
    domains: usize,
    /// Most peers that one router exchanges heartbeats with.
    most_peers: usize,
    /// Heartbeat calls of the whole fleet in one period.
    calls: usize,
}

const SIZES: [Size; 5] = [
    Size { routers: 1, domains: 1, most_peers: 0, calls: 0 },
    Size { routers: 2, domains: 2, most_peers: 1, calls: 1 },
    Size { routers: 6, domains: 3, most_peers: 5, calls: 15 },
    Size { routers: 24, domains: 3, most_peers: 12, calls: 96 },
    Size { routers: 1_900, domains: 22, most_peers: 12, calls: 7_600 },
];

/// Guards against a heartbeat cost that grows with the fleet, pairs that send
/// twice, and a fleet that falls into parts which do not hear of each other.
#[test]
fn topology_cost() {
    for size in SIZES {
        let routers = fleet(size.routers, size.domains);
        let live: Vec<&Router> = routers.iter().collect();
        let sent: BTreeMap<_, _> = live
            .iter()
            .map(|router| (name(router), heartbeat_targets(name(router), &live)))
            .collect();
        let calls: usize = sent.values().map(Vec::len).sum();
        assert_eq!(calls, size.calls, "{} routers", size.routers);
        let mut links: BTreeMap<&InstanceName, BTreeSet<InstanceName>> =
            live.iter().map(|router| (name(router), BTreeSet::new())).collect();
        for (from, to) in &sent {
            for target in to {
                links.entry(from).or_default().insert(target.clone());
                links.get_mut(target).expect("known").insert((*from).clone());
            }
        }
        let most = links.values().map(BTreeSet::len).max().unwrap_or_default();
        assert!(most <= size.most_peers, "{} routers: {most} peers", size.routers);
        let sample = live.iter().step_by(size.routers.div_ceil(40));
        for router in sample {
            assert_eq!(
                heartbeat_peers(name(router), &live),
                links[name(router)],
                "{}",
                name(router)
            );
        }
        assert_eq!(reached(name(live[0]), &links), size.routers);
    }
}

fn reached(start: &InstanceName, links: &BTreeMap<&InstanceName, BTreeSet<InstanceName>>) -> usize {
    let mut seen = BTreeSet::from([start.clone()]);
    let mut queue = VecDeque::from([start.clone()]);
    while let Some(next) = queue.pop_front() {
        for other in &links[&next] {
            if seen.insert(other.clone()) {
                queue.push_back(other.clone());
            }
        }
    }
    seen.len()
}

struct Hops {
    routers: usize,
    domains: usize,
    /// Most heartbeats in a row that news needs to get to any router.
    diameter: usize,
}

/// Guards against news that takes a number of hops in proportion to the fleet:
/// each hop takes up to 150 ms, and a change has to be in force within 3 s.
#[test]
fn news_takes_few_hops() {
    let cases = [
        Hops { routers: 6, domains: 3, diameter: 3 },
        Hops { routers: 24, domains: 3, diameter: 4 },
        Hops { routers: 200, domains: 22, diameter: 6 },
        Hops { routers: 1_900, domains: 22, diameter: 8 },
    ];
    let expected: Vec<_> = cases.iter().map(|case| (case.routers, Some(case.diameter))).collect();
    let mut found = Vec::new();
    for case in cases {
        let routers = fleet(case.routers, case.domains);
        let live: Vec<&Router> = routers.iter().collect();
        let index: BTreeMap<_, _> = live.iter().map(|router| name(router)).zip(0..).collect();
        let next: Vec<Vec<usize>> = live
            .iter()
            .map(|router| {
                heartbeat_targets(name(router), &live).iter().map(|to| index[to]).collect()
            })
            .collect();
        let diameter = (0..live.len()).map(|start| farthest(start, &next)).max();
        found.push((case.routers, diameter));
    }
    assert_eq!(found, expected);
}

/// Hops to the router that news from `start` reaches last.
fn farthest(start: usize, next: &[Vec<usize>]) -> usize {
    let mut hops = vec![usize::MAX; next.len()];
    hops[start] = 0;
    let mut queue = VecDeque::from([start]);
    while let Some(from) = queue.pop_front() {
        for &to in &next[from] {
            if hops[to] == usize::MAX {
                hops[to] = hops[from] + 1;
                queue.push_back(to);
            }
        }
    }
    hops.into_iter().max().unwrap_or_default()
}

/// Guards against a ring that follows one failure domain only, so that its
/// loss separates the rest.
#[test]
fn ring_peers_stand_in_distinct_failure_domains() {
    let routers = fleet(1_900, 22);
    let live: Vec<&Router> = routers.iter().collect();
    let domain: BTreeMap<_, _> =
        live.iter().map(|router| (name(router), &router.failure_domain)).collect();
    for router in live.iter().step_by(19) {
        let targets = heartbeat_targets(name(router), &live);
        let domains: BTreeSet<_> = targets.iter().map(|target| domain[target]).collect();
        assert!(domains.len() >= 3, "{targets:?}");
    }
}

/// Guards against owners that administer far more than their part, and
/// against shards that move although their owner is still there.
#[test]
fn ownership_balance_and_movement() {
    let routers = fleet(24, 3);
    let live: Vec<&Router> = routers.iter().collect();
    let shards: Vec<_> =
        (0..2_400).map(|index| ShardId { service: "stitch-assist".into(), index }).collect();
    let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for shard in &shards {
        *counts.entry(name(owner(shard, &live).expect("owner"))).or_default() += 1;
    }
    assert_eq!(counts.len(), 24);
    // The mean is 100; 140 is four standard deviations above it.
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
    let left: Vec<&Router> = live[1..].to_vec();
    for shard in &shards {
        let (before, after) = (owner(shard, &live), owner(shard, &left));
        if before != Some(live[0]) {
            assert_eq!(before, after, "{shard} moved");
        }
    }
}

struct Spread {
    guards_against: &'static str,
    shards: u32,
    routers: usize,
    /// Largest number of shards at one router.
    most: usize,
    /// Shards that may move in excess of those of the router that leaves, in a
    /// hundred of all shards and over all routers that may leave.
    moved_percent: usize,
}

/// Guards against a router that owns several of few shards, and against an
/// even part that is kept up by moving most shards whenever a router leaves.
#[test]
fn shards_are_spread_evenly() {
    let cases = [
        Spread {
            guards_against: "two services at one of six routers",
            shards: 3,
            routers: 6,
            most: 1,
            moved_percent: 20,
        },
        Spread {
            guards_against: "several shards at one router of the design size",
            shards: 160,
            routers: 1_900,
            most: 1,
            moved_percent: 1,
        },
        Spread {
            guards_against: "shards without an owner where there are more than routers",
            shards: 13,
            routers: 4,
            most: 4,
            moved_percent: 40,
        },
    ];
    for case in cases {
        let routers = fleet(case.routers, 3);
        let live: Vec<&Router> = routers.iter().collect();
        let shards: Vec<_> = (0..case.shards)
            .map(|index| ShardId { service: "stitch-assist".into(), index })
            .collect();
        let before = assign_owners(&shards, &live);
        assert_eq!(before.len(), shards.len(), "{}", case.guards_against);
        let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
        before.values().for_each(|owner| *counts.entry(name(owner)).or_default() += 1);
        assert_eq!(counts.values().max(), Some(&case.most), "{}", case.guards_against);
        let reversed: Vec<&Router> = live.iter().rev().copied().collect();
        assert_eq!(
            assign_owners(shards.iter().rev(), &reversed),
            before,
            "{}",
            case.guards_against
        );
        let mut leaves = 0;
        let mut moved = 0;
        for left in live.iter().filter(|router| counts.contains_key(name(router))) {
            let rest: Vec<_> = live.iter().filter(|r| name(r) != name(left)).copied().collect();
            let after = assign_owners(&shards, &rest);
            let stays = before.iter().filter(|(_, owner)| name(owner) != name(left));
            moved += stays.filter(|(shard, owner)| after[*shard] != **owner).count();
            leaves += 1;
        }
        let percent = moved * 100 / (leaves * shards.len());
        assert!(percent <= case.moved_percent, "{}: {percent}%", case.guards_against);
    }
}

/// Guards against buckets that follow the order of the list instead of the
/// routers' names.
#[test]
fn home_does_not_depend_on_the_order() {
    let routers = fleet(6, 3);
    let live: Vec<&Router> = routers.iter().collect();
    let reversed: Vec<&Router> = routers.iter().rev().collect();
    for bucket in 0..64 {
        assert_eq!(home_router(bucket, &live), home_router(bucket, &reversed));
    }
}

/// Guards against answers that name one failure domain only, and against
/// routers that receive far more workspaces than others.
#[test]
fn steering_spread() {
    let routers = fleet(6, 3);
    let entries: Vec<&Router> = routers.iter().collect();
    let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for index in 0..640 {
        let workspace = WorkspaceName::from(format!("workspace-{index}"));
        let chosen = select_routers(&workspace, &entries, |_| 1);
        let domains: BTreeSet<_> = chosen.iter().map(|router| &router.failure_domain).collect();
        assert_eq!((chosen.len(), domains.len()), (MAX_ADDRESSES, 3), "{workspace}");
        for router in chosen {
            *counts.entry(name(router)).or_default() += 1;
        }
    }
    // The mean is 320 and the standard deviation below 13.
    assert!(counts.values().all(|count| (270..=370).contains(count)), "{counts:?}");
}

/// Guards against callers that are sent to routers without capacity nearby.
#[test]
fn steering_follows_capacity() {
    let routers = fleet(6, 1);
    let entries: Vec<&Router> = routers.iter().collect();
    let weight = |router: &Router| match name(router).as_str() {
        "router-0" => 3,
        "router-1" => 0,
        _ => 1,
    };
    let mut first: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for index in 0..700 {
        let workspace = WorkspaceName::from(format!("workspace-{index}"));
        let chosen = select_routers(&workspace, &entries, weight);
        assert!(chosen.iter().all(|router| name(router).as_str() != "router-1"));
        *first.entry(name(chosen[0])).or_default() += 1;
    }
    // 3 of 7 parts of 700, within four standard deviations of 13.
    assert!((248..=352).contains(&first[name(&routers[0])]), "{first:?}");
}
