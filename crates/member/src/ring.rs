//! Peer topology: whom a router exchanges heartbeats with.

use std::collections::BTreeSet;

use span_types::InstanceName;

use crate::{
    Router,
    hash::{Purpose, pair},
};

/// Largest number of other members that all exchange heartbeats with each
/// other.
pub const MAX_FULL_MESH_PEERS: usize = 8;
/// Members to which a router of a larger fleet sends heartbeats: one on each of
/// as many rings, which order the members by independent hashes. News then
/// reaches the fleet in a number of hops that grows with the logarithm of its
/// size, and a member that comes or goes changes the targets of its neighbours
/// only.
pub const RING_PEERS: usize = 4;
/// Successors on a ring among which one of another failure domain is preferred.
/// It bounds the heartbeats that a router receives, also if it is the only one
/// of its failure domain.
const WINDOW: usize = 2;

/// Members that `me` sends heartbeats to. Each pair of a full mesh is covered
/// from one side only, since the answer is a heartbeat too.
pub fn heartbeat_targets(me: &InstanceName, live: &[&Router]) -> Vec<InstanceName> {
    if is_mesh(me, live) {
        return half_mesh(me, &after(me, live));
    }
    let mut chosen: Vec<&Router> = Vec::with_capacity(RING_PEERS);
    for ring in 0..RING_PEERS {
        let successors = neighbours(ring, Direction::Forward, me, live, reach(ring));
        let is_new = |router: &&&Router| {
            !chosen.iter().any(|other| other.member.instance == router.member.instance)
        };
        let first = successors.iter().find(is_new);
        let mut preferred = successors.iter().take(WINDOW).filter(is_new);
        let elsewhere = preferred.find(|router| {
            !chosen.iter().any(|other| other.failure_domain == router.failure_domain)
        });
        if let Some(router) = elsewhere.or(first) {
            chosen.push(router);
        }
    }
    chosen.into_iter().map(|router| router.member.instance.clone()).collect()
}

/// Successors that may be chosen on a ring. The first one is followed without a
/// choice, so that it links all members; on each other ring, fewer than
/// `RING_PEERS` members are chosen already.
fn reach(ring: usize) -> usize {
    if ring == 0 { 1 } else { RING_PEERS }
}

fn is_mesh(me: &InstanceName, live: &[&Router]) -> bool {
    let others = live.iter().filter(|router| router.member.instance != *me);
    others.count() <= MAX_FULL_MESH_PEERS
}

/// Members whose heartbeats `me` should receive: those it sends to and those
/// that send to it.
pub fn heartbeat_peers(me: &InstanceName, live: &[&Router]) -> BTreeSet<InstanceName> {
    if is_mesh(me, live) {
        let others = live.iter().map(|router| router.member.instance.clone());
        return others.filter(|name| name != me).collect();
    }
    let mut peers: BTreeSet<_> = heartbeat_targets(me, live).into_iter().collect();
    // Only predecessors within reach on a ring can have chosen `me`.
    for ring in 0..RING_PEERS {
        for router in neighbours(ring, Direction::Backward, me, live, reach(ring)) {
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

/// The `count` members next to `me` on a ring, nearest first. One pass over the
/// members, since heartbeats ask for them each time.
fn neighbours<'a>(
    ring: usize,
    direction: Direction,
    me: &InstanceName,
    live: &[&'a Router],
    count: usize,
) -> Vec<&'a Router> {
    let mine = position(ring, me);
    let mut nearest: Vec<((u64, &InstanceName), &Router)> = Vec::with_capacity(count + 1);
    for router in live.iter().filter(|router| router.member.instance != *me) {
        let name = &router.member.instance;
        let distance = match direction {
            Direction::Forward => position(ring, name).wrapping_sub(mine),
            Direction::Backward => mine.wrapping_sub(position(ring, name)),
        };
        let key = (distance, name);
        let place = nearest.partition_point(|(other, _)| *other < key);
        if place < count {
            nearest.insert(place, (key, *router));
            nearest.truncate(count);
        }
    }
    nearest.into_iter().map(|(_, router)| router).collect()
}

/// The other members in the order of the first ring, starting behind `me`.
fn after<'a>(me: &InstanceName, live: &[&'a Router]) -> Vec<&'a Router> {
    neighbours(0, Direction::Forward, me, live, live.len())
}

fn position(ring: usize, instance: &InstanceName) -> u64 {
    pair(Purpose::Ring, ring as u64, instance.as_str())
}

/// The following half of the ring. With an even number of members, the two at
/// the opposite positions would choose each other; the lower name does it.
fn half_mesh(me: &InstanceName, others: &[&Router]) -> Vec<InstanceName> {
    let half = others.len() / 2;
    let mut chosen: Vec<_> = others[..half].iter().map(|r| r.member.instance.clone()).collect();
    let odd_one_out = others.len() % 2 == 1;
    let opposite = others.get(half).map(|router| &router.member.instance);
    chosen.extend(opposite.filter(|name| odd_one_out && me < *name).cloned());
    chosen
}
