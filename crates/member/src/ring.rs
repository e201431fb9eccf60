//! Heartbeat topology: which routers exchange heartbeats.

use std::collections::BTreeSet;

use span_types::InstanceName;

use crate::{
    Router,
    hash::{HashPurpose, hash_pair},
};

/// Largest number of peers with which a router forms a full mesh. In a larger
/// fleet, heartbeats follow rings.
pub const MAX_FULL_MESH_PEERS: usize = 8;
/// Number of rings, and of peers to which a router sends heartbeats outside a
/// full mesh: one on each ring. The rings order the members by independent
/// hashes. An update therefore reaches the fleet in a number of hops that grows
/// with the logarithm of its size, and a member that joins or leaves changes
/// the targets of its neighbours only.
pub const RING_PEERS: usize = 4;
/// Successors on a ring among which one of another failure domain is preferred.
/// The number limits the heartbeats that a router receives, even if it is the
/// only one of its failure domain.
const DOMAIN_CHOICE_SUCCESSORS: usize = 2;

/// Members to which `me` sends heartbeats. In a full mesh, one router of each
/// pair sends them, since the answer to a heartbeat is a heartbeat too.
pub fn heartbeat_targets(me: &InstanceName, live: &[&Router]) -> Vec<InstanceName> {
    if is_full_mesh(me, live) {
        return half_mesh_targets(me, &ring_successors(me, live));
    }
    let mut chosen: Vec<&Router> = Vec::with_capacity(RING_PEERS);
    for ring in 0..RING_PEERS {
        let successors = ring_neighbours(ring, Direction::Forward, me, live, max_successors(ring));
        let is_new = |router: &&&Router| {
            !chosen.iter().any(|other| other.member.instance == router.member.instance)
        };
        let first = successors.iter().find(is_new);
        let mut preferred = successors.iter().take(DOMAIN_CHOICE_SUCCESSORS).filter(is_new);
        let in_other_domain = preferred.find(|router| {
            !chosen.iter().any(|other| other.failure_domain == router.failure_domain)
        });
        if let Some(router) = in_other_domain.or(first) {
            chosen.push(router);
        }
    }
    chosen.into_iter().map(|router| router.member.instance.clone()).collect()
}

/// Number of successors on a ring that may be chosen. The first ring has no
/// choice, so that it connects all members. On each other ring, fewer than
/// `RING_PEERS` members are already chosen, so one of the next `RING_PEERS` is
/// new.
fn max_successors(ring: usize) -> usize {
    if ring == 0 { 1 } else { RING_PEERS }
}

fn is_full_mesh(me: &InstanceName, live: &[&Router]) -> bool {
    let others = live.iter().filter(|router| router.member.instance != *me);
    others.count() <= MAX_FULL_MESH_PEERS
}

/// Members from which `me` expects heartbeats: those to which it sends
/// heartbeats and those that send to it.
pub fn heartbeat_peers(me: &InstanceName, live: &[&Router]) -> BTreeSet<InstanceName> {
    if is_full_mesh(me, live) {
        let others = live.iter().map(|router| router.member.instance.clone());
        return others.filter(|name| name != me).collect();
    }
    let mut peers: BTreeSet<_> = heartbeat_targets(me, live).into_iter().collect();
    // Only the nearest predecessors on a ring can have chosen `me`.
    for ring in 0..RING_PEERS {
        for router in ring_neighbours(ring, Direction::Backward, me, live, max_successors(ring)) {
            let instance = &router.member.instance;
            if !peers.contains(instance) && heartbeat_targets(instance, live).contains(me) {
                peers.insert(instance.clone());
            }
        }
    }
    peers
}

#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

/// The `count` members next to `me` on a ring, nearest first. It makes one pass
/// over the members, because each heartbeat calls it.
fn ring_neighbours<'a>(
    ring: usize,
    direction: Direction,
    me: &InstanceName,
    live: &[&'a Router],
    count: usize,
) -> Vec<&'a Router> {
    let own_position = ring_position(ring, me);
    let mut nearest: Vec<((u64, &InstanceName), &Router)> = Vec::with_capacity(count + 1);
    for router in live.iter().filter(|router| router.member.instance != *me) {
        let name = &router.member.instance;
        let distance = match direction {
            Direction::Forward => ring_position(ring, name).wrapping_sub(own_position),
            Direction::Backward => own_position.wrapping_sub(ring_position(ring, name)),
        };
        let key = (distance, name);
        let insert_at = nearest.partition_point(|(other, _)| *other < key);
        if insert_at < count {
            nearest.insert(insert_at, (key, *router));
            nearest.truncate(count);
        }
    }
    nearest.into_iter().map(|(_, router)| router).collect()
}

/// All other members in the order of the first ring, from the successor of
/// `me`.
fn ring_successors<'a>(me: &InstanceName, live: &[&'a Router]) -> Vec<&'a Router> {
    ring_neighbours(0, Direction::Forward, me, live, live.len())
}

fn ring_position(ring: usize, instance: &InstanceName) -> u64 {
    hash_pair(HashPurpose::Ring, ring as u64, instance.as_str())
}

/// The first half of the successors on the ring. If the number of members is
/// even, two members at opposite positions would choose each other; only the
/// one with the lower name does.
fn half_mesh_targets(me: &InstanceName, others: &[&Router]) -> Vec<InstanceName> {
    let half = others.len() / 2;
    let mut chosen: Vec<_> = others[..half].iter().map(|r| r.member.instance.clone()).collect();
    let has_opposite = others.len() % 2 == 1;
    let opposite = others.get(half).map(|router| &router.member.instance);
    chosen.extend(opposite.filter(|name| has_opposite && me < *name).cloned());
    chosen
}
