//! Rendezvous hashing: who owns a shard, where a bucket is at home.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use span_types::{InstanceName, ShardId};

use crate::{
    Router,
    hash::{Purpose, hash, pair},
};

/// Owner of a shard: the live router with the highest hash. Loss of a router
/// moves only the shards that it owned.
pub fn owner<'a>(shard: &ShardId, live: &[&'a Router]) -> Option<&'a Router> {
    let seed = hash(Purpose::Shard, shard.to_string().as_bytes());
    best(Purpose::Shard, seed, live)
}

/// Owners of all shards: rendezvous hashing in which no router owns more than
/// its even part of the shards, rounded up.
///
/// Control traffic and load polls of an owner grow with its shards, and plain
/// rendezvous hashing gives several of few shards to one router. A router that
/// is over its part passes on the shards that it has the lowest hashes for, so
/// the result depends on neither order nor history, and the loss of a router
/// moves its shards and few others.
pub fn assign_owners<'a>(
    shards: impl IntoIterator<Item = &'a ShardId>,
    live: &[&'a Router],
) -> BTreeMap<&'a ShardId, &'a Router> {
    let mut unplaced: Vec<&ShardId> = shards.into_iter().collect();
    if live.is_empty() {
        return BTreeMap::new();
    }
    let part = unplaced.len().div_ceil(live.len());
    let mut refused: BTreeMap<&ShardId, Rank> = BTreeMap::new();
    let mut placed: BTreeMap<&InstanceName, BTreeSet<(Rank, &ShardId)>> = BTreeMap::new();
    let mut owners = BTreeMap::new();
    while let Some(shard) = unplaced.pop() {
        let Some((rank, router)) = next_choice(shard, live, refused.get(shard)) else {
            continue;
        };
        let held = placed.entry(&router.member.instance).or_default();
        held.insert((rank, shard));
        owners.insert(shard, router);
        if held.len() > part
            && let Some((rank, lowest)) = held.pop_first()
        {
            owners.remove(lowest);
            refused.insert(lowest, rank);
            unplaced.push(lowest);
        }
    }
    owners
}

/// How much a router is preferred for a shard; of equal hashes, the lower name.
type Rank = (u64, Reverse<InstanceName>);

/// The highest rank below `refused`.
fn next_choice<'a>(
    shard: &ShardId,
    live: &[&'a Router],
    refused: Option<&Rank>,
) -> Option<(Rank, &'a Router)> {
    let seed = hash(Purpose::Shard, shard.to_string().as_bytes());
    let ranked = live.iter().map(|router| {
        let name = &router.member.instance;
        ((pair(Purpose::Shard, seed, name.as_str()), Reverse(name.clone())), *router)
    });
    let open = ranked.filter(|(rank, _)| refused.is_none_or(|refused| rank < refused));
    open.max_by(|(a, _), (b, _)| a.cmp(b))
}

/// Home router of a bucket of keys.
pub fn home_router<'a>(bucket: u32, live: &[&'a Router]) -> Option<&'a Router> {
    best(Purpose::Bucket, hash(Purpose::Bucket, &bucket.to_le_bytes()), live)
}

/// Position of `me` among the choices for the task named `task`, from 0.
pub fn task_rank(task: &str, live: &[&Router], me: &Router) -> usize {
    let seed = hash(Purpose::Bucket, task.as_bytes());
    let score = |router: &Router| {
        let name = &router.member.instance;
        (pair(Purpose::Bucket, seed, name.as_str()), name.clone())
    };
    let mine = score(me);
    live.iter().filter(|router| score(router) > mine).count()
}

fn best<'a>(purpose: Purpose, seed: u64, live: &[&'a Router]) -> Option<&'a Router> {
    let score = |router: &&Router| {
        let name = &router.member.instance;
        (pair(purpose, seed, name.as_str()), name.clone())
    };
    live.iter().copied().max_by_key(score)
}
