//! Chunk texts from which a caller can tell the request and the position that a
//! chunk belongs to.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the text of chunk number `offset` of the answer to the request with `nonce`.
pub fn chunk_text(nonce: &str, offset: u64) -> String {
    format!("{:08x} ", xxh3_64_with_seed(nonce.as_bytes(), offset) as u32)
}

/// Returns the text of a complete answer of `chunks` chunks.
pub fn answer_text(nonce: &str, chunks: u64) -> String {
    (0..chunks).map(|offset| chunk_text(nonce, offset)).collect()
}
