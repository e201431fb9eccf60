//! Compression of large JSON values, so that they fit into one object of the object
//! API.

use std::{
    borrow::Cow,
    io::{self, Read, Write},
};

use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};

/// Values up to this size are stored as plain JSON. Larger ones are compressed: a
/// document with 10,000 upstreams takes 1.7 MB as JSON, and an object holds 1 MB.
const MAX_UNCOMPRESSED_BYTES: usize = 256 * 1024;
/// Decompression stops at this size.
const MAX_DECOMPRESSED_BYTES: u64 = 64 * 1024 * 1024;

/// Compresses a JSON object with zlib if it is larger than 256 KiB.
///
/// # Errors
///
/// Fails only if the compression library fails.
pub fn compress_if_large(json: Vec<u8>) -> io::Result<Vec<u8>> {
    if json.len() <= MAX_UNCOMPRESSED_BYTES {
        return Ok(json);
    }
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&json)?;
    encoder.finish()
}

/// Reverses [`compress_if_large`]. A value that begins with `{` is plain JSON.
///
/// # Errors
///
/// Fails if the value is not a valid zlib stream.
pub fn decompress(value: &[u8]) -> io::Result<Cow<'_, [u8]>> {
    if value.first() == Some(&b'{') {
        return Ok(Cow::Borrowed(value));
    }
    let mut json = Vec::new();
    ZlibDecoder::new(value).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut json)?;
    Ok(Cow::Owned(json))
}
