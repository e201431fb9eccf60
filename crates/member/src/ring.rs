//! Peer topology: whom a router exchanges heartbeats with.

use std::collections::BTreeSet;

use span_types::InstanceName;

use crate::{
    Router,
    hash::{Purpose, hash},
};

/// Largest number of other members that all exchange heartbeats with each
/// other.
pub const FULL_MESH_PEERS: usize = 8;
/// Members to which a router of a larger fleet sends heartbeats.
pub const RING_PEERS: usize = 4;
/// Ring positions among which these are chosen. It bounds the heartbeats that
/// a router receives, also if it is the only one of its failure domain.
const WINDOW: usize = 8;

/// Members that `me` sends heartbeats to. Each pair of a full mesh is covered
/// from one side only, since the answer is a heartbeat too.
pub fn targets(me: &InstanceName, live: &[&Router]) -> Vec<InstanceName> {
    let others = after(me, live);
    if others.len() <= FULL_MESH_PEERS {
        return half_mesh(me, &others);
    }
    let mut chosen = vec![others[0]];
    let window = &others[..WINDOW.min(others.len())];
    let mut domains = BTreeSet::from([&others[0].failure_domain]);
    for router in &window[1..] {
        if chosen.len() < RING_PEERS && domains.insert(&router.failure_domain) {
            chosen.push(router);
        }
    }
    for router in &window[1..] {
        let known = chosen.iter().any(|other| other.member == router.member);
        if chosen.len() < RING_PEERS && !known {
            chosen.push(router);
        }
    }
    chosen.into_iter().map(|router| router.member.instance.clone()).collect()
}

/// Members whose heartbeats `me` should receive: those it sends to and those
/// that send to it.
pub fn peers(me: &InstanceName, live: &[&Router]) -> BTreeSet<InstanceName> {
    let others = after(me, live);
    if others.len() <= FULL_MESH_PEERS {
        return others.iter().map(|router| router.member.instance.clone()).collect();
    }
    let mut peers: BTreeSet<_> = targets(me, live).into_iter().collect();
    // Only the predecessors within the window can have chosen `me`.
    for router in others.iter().rev().take(WINDOW) {
        let instance = &router.member.instance;
        if targets(instance, live).contains(me) {
            peers.insert(instance.clone());
        }
    }
    peers
}

/// The other members in ring order, starting behind `me`.
fn after<'a>(me: &InstanceName, live: &[&'a Router]) -> Vec<&'a Router> {
    let mut ring: Vec<_> = live.iter().map(|router| (position(router), *router)).collect();
    ring.sort_by(|a, b| a.0.cmp(&b.0));
    let mine = ring.iter().position(|(_, router)| router.member.instance == *me);
    let start = mine.map_or(0, |index| index + 1);
    let start = start.min(ring.len());
    ring.rotate_left(start);
    let ring = ring.into_iter().map(|(_, router)| router);
    ring.filter(|router| router.member.instance != *me).collect()
}

fn position(router: &Router) -> (u64, InstanceName) {
    let instance = &router.member.instance;
    (hash(Purpose::Ring, instance.as_str().as_bytes()), instance.clone())
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
