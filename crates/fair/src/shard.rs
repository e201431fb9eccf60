//! Assignment of a service's upstreams to shards.

use span_types::UpstreamName;
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of upstreams in one shard.
pub const MAX_UPSTREAMS_PER_SHARD: usize = 64;

/// Assigns upstreams to shards of at most [`MAX_UPSTREAMS_PER_SHARD`]. The
/// position in the result is the shard's index.
///
/// The upstreams are sorted by hash and divided into equal ranges. Adding or
/// removing an upstream therefore moves at most one upstream across each
/// boundary, as long as the number of shards does not change.
pub fn assign_shards(upstreams: &[UpstreamName]) -> Vec<Vec<UpstreamName>> {
    let count = upstreams.len().div_ceil(MAX_UPSTREAMS_PER_SHARD).max(1);
    let mut ordered: Vec<&UpstreamName> = upstreams.iter().collect();
    ordered.sort_by_cached_key(|name| (xxh3_64(name.as_str().as_bytes()), (*name).clone()));
    let mut shards = vec![Vec::new(); count];
    for (rank, name) in ordered.iter().enumerate() {
        shards[rank * count / upstreams.len()].push((*name).clone());
    }
    shards
}
