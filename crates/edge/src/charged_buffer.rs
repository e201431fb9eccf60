//! Bytes that are charged against the memory budget for as long as anything holds them.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::memory_budget::Charge;

/// Size of the first segment if the length is not known, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Largest segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// The segment that is needed next does not fit into the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory {
    /// Size of the segment.
    pub needed_bytes: u64,
    /// Whether it would fit if others released what they hold.
    pub can_make_room: bool,
}

/// Collects bytes in segments, each of which is charged before it is allocated. A single
/// buffer that grows would hold up to three times what it got.
#[derive(Debug)]
pub struct ChargedBuffer {
    segments: Vec<BytesMut>,
    len: usize,
    /// Length that the bytes will have, if that is known.
    expected_len: Option<usize>,
    charge: Charge,
}

impl ChargedBuffer {
    /// Creates an empty buffer.
    pub fn new(charge: Charge, expected_len: Option<usize>) -> Self {
        Self { segments: Vec::new(), len: 0, expected_len, charge }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Moves `data` into the buffer.
    ///
    /// # Errors
    ///
    /// The budget is used up; `data` holds what is left to move.
    pub fn push(&mut self, data: &mut Bytes) -> Result<(), OutOfMemory> {
        while !data.is_empty() {
            let has_space = self.segments.last().is_some_and(|last| last.len() < last.capacity());
            if !has_space {
                let next_len = self.next_segment_len();
                if !self.charge.try_grow(next_len as u64) {
                    return Err(OutOfMemory {
                        needed_bytes: next_len as u64,
                        can_make_room: self.charge.fits_group(next_len as u64),
                    });
                }
                self.segments.push(BytesMut::with_capacity(next_len));
            }
            let Some(last) = self.segments.last_mut() else { continue };
            let count = data.len().min(last.capacity() - last.len());
            last.put_slice(&data[..count]);
            data.advance(count);
            self.len += count;
        }
        Ok(())
    }

    fn next_segment_len(&self) -> usize {
        match self.expected_len.and_then(|expected| expected.checked_sub(self.len)) {
            Some(rest) if rest > 0 => rest.min(MAX_SEGMENT_BYTES),
            _ => self.len.clamp(FIRST_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
        }
    }

    /// The bytes in one piece. They are charged until the last clone is dropped.
    pub fn finish(mut self) -> Bytes {
        let bytes = match self.segments.len() {
            0 => return Bytes::new(),
            1 => self.segments.remove(0).freeze(),
            _ => {
                self.charge.grow(self.len as u64);
                let mut whole = Vec::with_capacity(self.len);
                for segment in self.segments.drain(..) {
                    whole.extend_from_slice(&segment);
                }
                self.charge.shrink_to(self.len as u64);
                whole.into()
            }
        };
        charged(bytes, self.charge)
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// `bytes`, which keep `charge` until the last clone is dropped.
pub fn charged(bytes: Bytes, charge: Charge) -> Bytes {
    if bytes.is_empty() {
        bytes
    } else {
        Bytes::from_owner(ChargedBytes { bytes, _charge: charge })
    }
}
