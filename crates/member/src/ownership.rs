//! Owners of shards and buckets, by rendezvous hashing.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use span_types::{InstanceName, ShardId};

use crate::{
    Router,
    hash::{HashPurpose, hash, hash_pair},
};

/// The live router with the highest hash for a shard. If a router is lost, only
/// the shards that it owned move.
pub fn preferred_owner<'a>(shard: &ShardId, live: &[&'a Router]) -> Option<&'a Router> {
    let seed = hash(HashPurpose::Shard, shard.to_string().as_bytes());
    highest_scoring(HashPurpose::Shard, seed, live)
}

/// Owners of all shards, by rendezvous hashing with a limit: no router owns
/// more than the number of shards divided by the number of routers, rounded up.
///
/// The control traffic and load polls of an owner grow with its shards. Without
/// the limit, rendezvous hashing can assign several of a few shards to one
/// router. A router above the limit passes on the shards for which its hash is
/// lowest. The result therefore depends neither on the order of the arguments
/// nor on earlier results, and the loss of a router moves its shards and few
/// others.
pub fn assign_owners<'a>(
    shards: impl IntoIterator<Item = &'a ShardId>,
    live: &[&'a Router],
) -> BTreeMap<&'a ShardId, &'a Router> {
    let mut unassigned: Vec<&ShardId> = shards.into_iter().collect();
    if live.is_empty() {
        return BTreeMap::new();
    }
    let max_shards = unassigned.len().div_ceil(live.len());
    let mut displaced_ranks: BTreeMap<&ShardId, RouterRank> = BTreeMap::new();
    let mut assigned: BTreeMap<&InstanceName, BTreeSet<(RouterRank, &ShardId)>> = BTreeMap::new();
    let mut owners = BTreeMap::new();
    while let Some(shard) = unassigned.pop() {
        let Some((rank, router)) = next_choice(shard, live, displaced_ranks.get(shard)) else {
            continue;
        };
        let router_shards = assigned.entry(&router.member.instance).or_default();
        router_shards.insert((rank, shard));
        owners.insert(shard, router);
        if router_shards.len() > max_shards
            && let Some((rank, lowest)) = router_shards.pop_first()
        {
            owners.remove(lowest);
            displaced_ranks.insert(lowest, rank);
            unassigned.push(lowest);
        }
    }
    owners
}

/// Preference for a router as the owner of a shard. Of equal hashes, the lower
/// name is preferred.
type RouterRank = (u64, Reverse<InstanceName>);

/// The live router with the highest rank, or the highest one below `below`.
fn next_choice<'a>(
    shard: &ShardId,
    live: &[&'a Router],
    below: Option<&RouterRank>,
) -> Option<(RouterRank, &'a Router)> {
    let seed = hash(HashPurpose::Shard, shard.to_string().as_bytes());
    let ranked = live.iter().map(|router| {
        let name = &router.member.instance;
        ((hash_pair(HashPurpose::Shard, seed, name.as_str()), Reverse(name.clone())), *router)
    });
    let candidates = ranked.filter(|(rank, _)| below.is_none_or(|below| rank < below));
    candidates.max_by(|(a, _), (b, _)| a.cmp(b))
}

/// The router responsible for a bucket of keys.
pub fn home_router<'a>(bucket: u32, live: &[&'a Router]) -> Option<&'a Router> {
    highest_scoring(HashPurpose::Bucket, hash(HashPurpose::Bucket, &bucket.to_le_bytes()), live)
}

/// Position of `me` in the order in which routers are preferred for `task`,
/// from 0.
pub fn task_rank(task: &str, live: &[&Router], me: &Router) -> usize {
    let seed = hash(HashPurpose::Bucket, task.as_bytes());
    let score = |router: &Router| {
        let name = &router.member.instance;
        (hash_pair(HashPurpose::Bucket, seed, name.as_str()), name.clone())
    };
    let own_score = score(me);
    live.iter().filter(|router| score(router) > own_score).count()
}

fn highest_scoring<'a>(purpose: HashPurpose, seed: u64, live: &[&'a Router]) -> Option<&'a Router> {
    let score = |router: &&Router| {
        let name = &router.member.instance;
        (hash_pair(purpose, seed, name.as_str()), name.clone())
    };
    live.iter().copied().max_by_key(score)
}
