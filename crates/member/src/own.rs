//! Rendezvous hashing: who owns a shard, where a bucket is at home.

use span_types::ShardId;

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

/// Home router of a bucket of keys.
pub fn home<'a>(bucket: u32, live: &[&'a Router]) -> Option<&'a Router> {
    best(Purpose::Bucket, hash(Purpose::Bucket, &bucket.to_le_bytes()), live)
}

/// Position of `me` among the choices for the task named `task`, from 0.
pub fn rank(task: &str, live: &[&Router], me: &Router) -> usize {
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
