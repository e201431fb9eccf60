//! Hashes seeded by their purpose.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a hash is used for. The hashes of one name for different purposes are
/// independent.
#[derive(Clone, Copy)]
#[repr(u64)]
pub(crate) enum HashPurpose {
    Ring = 1,
    Shard = 2,
    Bucket = 3,
    Steering = 4,
    View = 5,
}

pub(crate) fn hash(purpose: HashPurpose, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, purpose as u64)
}

/// Hash of a pair of values, for rendezvous hashing.
pub(crate) fn hash_pair(purpose: HashPurpose, left: u64, right: &str) -> u64 {
    xxh3_64_with_seed(right.as_bytes(), left ^ (purpose as u64).rotate_left(32))
}
