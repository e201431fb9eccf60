//! Heartbeat topology, shard ownership and router selection, at the present
//! sizes of the fleet and at the design size.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use span_member::{
    MAX_ADDRESSES, Router, assign_owners, heartbeat_peers, heartbeat_targets, home_router,
    preferred_owner, select_routers,
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
    /// Largest number of peers with which one router exchanges heartbeats.
    max_peers: usize,
    /// Heartbeat exchanges of the whole fleet in one period.
    heartbeats: usize,
}

const SIZES: [Size; 5] = [
    Size { routers: 1, domains: 1, max_peers: 0, heartbeats: 0 },
    Size { routers: 2, domains: 2, max_peers: 1, heartbeats: 1 },
    Size { routers: 6, domains: 3, max_peers: 5, heartbeats: 15 },
    Size { routers: 24, domains: 3, max_peers: 12, heartbeats: 96 },
    Size { routers: 1_900, domains: 22, max_peers: 12, heartbeats: 7_600 },
];

/// Guards against a heartbeat cost per router that grows with the fleet, pairs
/// in which both routers send, and a topology that is not connected.
#[test]
fn heartbeat_topology_is_bounded_and_connected() {
    for size in SIZES {
        let routers = fleet(size.routers, size.domains);
        let live: Vec<&Router> = routers.iter().collect();
        let targets_by_router: BTreeMap<_, _> = live
            .iter()
            .map(|router| (name(router), heartbeat_targets(name(router), &live)))
            .collect();
        let heartbeats: usize = targets_by_router.values().map(Vec::len).sum();
        assert_eq!(heartbeats, size.heartbeats, "{} routers", size.routers);
        let mut links: BTreeMap<&InstanceName, BTreeSet<InstanceName>> =
            live.iter().map(|router| (name(router), BTreeSet::new())).collect();
        for (from, to) in &targets_by_router {
            for target in to {
                links.entry(from).or_default().insert(target.clone());
                links.get_mut(target).expect("known").insert((*from).clone());
            }
        }
        let most_peers = links.values().map(BTreeSet::len).max().unwrap_or_default();
        assert!(most_peers <= size.max_peers, "{} routers: {most_peers} peers", size.routers);
        let sample = live.iter().step_by(size.routers.div_ceil(40));
        for router in sample {
            assert_eq!(
                heartbeat_peers(name(router), &live),
                links[name(router)],
                "{}",
                name(router)
            );
        }
        assert_eq!(count_reachable(name(live[0]), &links), size.routers);
    }
}

fn count_reachable(
    start: &InstanceName,
    links: &BTreeMap<&InstanceName, BTreeSet<InstanceName>>,
) -> usize {
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

struct DiameterCase {
    routers: usize,
    domains: usize,
    /// Largest number of hops from one router to another.
    max_hops: usize,
}

/// Guards against a number of hops in proportion to the fleet. Each hop takes
/// up to 150 ms, and a change has to be in force within 3 s.
#[test]
fn updates_reach_all_routers_in_few_hops() {
    let cases = [
        DiameterCase { routers: 6, domains: 3, max_hops: 3 },
        DiameterCase { routers: 24, domains: 3, max_hops: 4 },
        DiameterCase { routers: 200, domains: 22, max_hops: 6 },
        DiameterCase { routers: 1_900, domains: 22, max_hops: 8 },
    ];
    let expected: Vec<_> = cases.iter().map(|case| (case.routers, Some(case.max_hops))).collect();
    let mut measured = Vec::new();
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
        let max_hops = (0..live.len()).map(|start| max_hops_from(start, &next)).max();
        measured.push((case.routers, max_hops));
    }
    assert_eq!(measured, expected);
}

/// Number of hops to the router that an update from `start` reaches last.
fn max_hops_from(start: usize, next: &[Vec<usize>]) -> usize {
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

/// Guards against targets in a single failure domain, whose loss would cut a
/// router off from the rest of the fleet.
#[test]
fn heartbeat_targets_span_failure_domains() {
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

/// Guards against an uneven distribution of shards, and against shards that
/// move although their owner is still live.
#[test]
fn preferred_owners_are_balanced_and_stable() {
    let routers = fleet(24, 3);
    let live: Vec<&Router> = routers.iter().collect();
    let shards: Vec<_> =
        (0..2_400).map(|index| ShardId { service: "stitch-assist".into(), index }).collect();
    let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for shard in &shards {
        *counts.entry(name(preferred_owner(shard, &live).expect("owner"))).or_default() += 1;
    }
    assert_eq!(counts.len(), 24);
    // The mean is 100; 140 is four standard deviations above it.
    assert!(counts.values().all(|count| (60..=140).contains(count)), "{counts:?}");
    let remaining: Vec<&Router> = live[1..].to_vec();
    for shard in &shards {
        let (before, after) = (preferred_owner(shard, &live), preferred_owner(shard, &remaining));
        if before != Some(live[0]) {
            assert_eq!(before, after, "{shard} moved");
        }
    }
}

struct AssignmentCase {
    guards_against: &'static str,
    shards: u32,
    routers: usize,
    /// Expected largest number of shards at one router.
    max_shards_per_router: usize,
    /// Largest fraction of the shards that may move in addition to those of a
    /// removed router, in percent, averaged over all routers that own shards.
    max_moved_percent: usize,
}

/// Guards against a router that owns several of a few shards, and against an
/// even distribution for which most shards move whenever a router is removed.
#[test]
fn assigned_owners_are_balanced_and_stable() {
    let cases = [
        AssignmentCase {
            guards_against: "two services at one of six routers",
            shards: 3,
            routers: 6,
            max_shards_per_router: 1,
            max_moved_percent: 20,
        },
        AssignmentCase {
            guards_against: "several shards at one router of the design size",
            shards: 160,
            routers: 1_900,
            max_shards_per_router: 1,
            max_moved_percent: 1,
        },
        AssignmentCase {
            guards_against: "shards without an owner where there are more than routers",
            shards: 13,
            routers: 4,
            max_shards_per_router: 4,
            max_moved_percent: 40,
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
        assert_eq!(
            counts.values().max(),
            Some(&case.max_shards_per_router),
            "{}",
            case.guards_against
        );
        let reversed: Vec<&Router> = live.iter().rev().copied().collect();
        assert_eq!(
            assign_owners(shards.iter().rev(), &reversed),
            before,
            "{}",
            case.guards_against
        );
        let mut removals = 0;
        let mut moved = 0;
        for removed in live.iter().filter(|router| counts.contains_key(name(router))) {
            let remaining: Vec<_> =
                live.iter().filter(|r| name(r) != name(removed)).copied().collect();
            let after = assign_owners(&shards, &remaining);
            let kept = before.iter().filter(|(_, owner)| name(owner) != name(removed));
            moved += kept.filter(|(shard, owner)| after[*shard] != **owner).count();
            removals += 1;
        }
        let percent = moved * 100 / (removals * shards.len());
        assert!(percent <= case.max_moved_percent, "{}: {percent}%", case.guards_against);
    }
}

/// Guards against a bucket whose router depends on the order of the list
/// instead of the routers' names.
#[test]
fn home_router_ignores_list_order() {
    let routers = fleet(6, 3);
    let live: Vec<&Router> = routers.iter().collect();
    let reversed: Vec<&Router> = routers.iter().rev().collect();
    for bucket in 0..64 {
        assert_eq!(home_router(bucket, &live), home_router(bucket, &reversed));
    }
}

/// Guards against answers with routers of one failure domain only, and against
/// an uneven distribution of workspaces among the routers.
#[test]
fn selected_routers_span_domains_evenly() {
    let routers = fleet(6, 3);
    let candidates: Vec<&Router> = routers.iter().collect();
    let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for index in 0..640 {
        let workspace = WorkspaceName::from(format!("workspace-{index}"));
        let chosen = select_routers(&workspace, &candidates, |_| 1);
        let domains: BTreeSet<_> = chosen.iter().map(|router| &router.failure_domain).collect();
        assert_eq!((chosen.len(), domains.len()), (MAX_ADDRESSES, 3), "{workspace}");
        for router in chosen {
            *counts.entry(name(router)).or_default() += 1;
        }
    }
    // The mean is 320 and the standard deviation is below 13.
    assert!(counts.values().all(|count| (270..=370).contains(count)), "{counts:?}");
}

/// Guards against callers that are directed to routers without capacity nearby.
#[test]
fn selection_follows_capacity() {
    let routers = fleet(6, 1);
    let candidates: Vec<&Router> = routers.iter().collect();
    let weight = |router: &Router| match name(router).as_str() {
        "router-0" => 3,
        "router-1" => 0,
        _ => 1,
    };
    let mut first: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for index in 0..700 {
        let workspace = WorkspaceName::from(format!("workspace-{index}"));
        let chosen = select_routers(&workspace, &candidates, weight);
        assert!(chosen.iter().all(|router| name(router).as_str() != "router-1"));
        *first.entry(name(chosen[0])).or_default() += 1;
    }
    // The mean is 3/7 of 700. The bounds are four standard deviations of 13.
    assert!((248..=352).contains(&first[name(&routers[0])]), "{first:?}");
}
