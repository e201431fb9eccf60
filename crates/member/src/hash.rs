//! Seeded hashes of names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Separates the uses of a name, so that they spread independently.
#[derive(Clone, Copy)]
#[repr(u64)]
pub(crate) enum Purpose {
    Ring = 1,
    Shard = 2,
    Bucket = 3,
    Steering = 4,
    View = 5,
}

pub(crate) fn hash(purpose: Purpose, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, purpose as u64)
}

/// Hash of a pair, for rendezvous hashing.
pub(crate) fn pair(purpose: Purpose, left: u64, right: &str) -> u64 {
    xxh3_64_with_seed(right.as_bytes(), left ^ (purpose as u64).rotate_left(32))
}
