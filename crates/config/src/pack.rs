//! Packs large JSON values, so that they fit into one object.

use std::{
    borrow::Cow,
    io::{self, Read, Write},
};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};

/// Values up to this size stay plain JSON, in bytes. A document of 10,000
/// upstreams takes 1.7 MB as JSON; an object holds 1 MB.
const PLAIN_BYTES: usize = 256 * 1024;
/// Largest value that is unpacked, in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;

/// Packs a JSON object if it is large.
///
/// # Errors
///
/// Only if the packing library fails.
pub fn pack(json: Vec<u8>) -> io::Result<Vec<u8>> {
    if json.len() <= PLAIN_BYTES {
        return Ok(json);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&json)?;
    encoder.finish()
}

/// Undoes [`pack`]. Recognises a plain value by its first byte.
///
/// # Errors
///
/// Fails if the value is damaged.
pub fn unpack(value: &[u8]) -> io::Result<Cow<'_, [u8]>> {
    if value.first() == Some(&b'{') {
        return Ok(Cow::Borrowed(value));
    }
    let mut json = Vec::new();
    ZlibDecoder::new(value).take(MAX_UNPACKED_BYTES).read_to_end(&mut json)?;
    Ok(Cow::Owned(json))
}
