//! Bounds on values and on the shape of files.

use std::ops::RangeInclusive;

/// A share outside these bounds is a typing error: the smallest workspace would
/// get less than one part in a million of the largest.
pub(super) const SHARE: RangeInclusive<u64> = 1..=1_000_000;
pub(super) const QUEUE_LIMIT: RangeInclusive<u64> = 1..=100_000;
pub(super) const DEADLINE_MS: RangeInclusive<u64> = 100..=3_600_000;
pub(super) const MAX_CONCURRENCY: RangeInclusive<u64> = 1..=10_000;
pub(super) const DEFAULT_QUEUE_LIMIT: u64 = 256;
pub(super) const DEFAULT_DEADLINE_MS: u64 = 30_000;
pub(super) const NAME_LENGTH: usize = 64;
/// Larger files cannot fit into one object of the object API.
pub(super) const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
const MAX_DEPTH: usize = 64;

/// The YAML parser recurses for each level, so that a deeply nested file would
/// overflow the stack. Bounds flow nesting by unclosed brackets and block
/// nesting by the indicators and spaces that begin a line.
pub(super) fn too_deep(text: &str) -> Option<usize> {
    let mut open: usize = 0;
    for (index, line) in text.lines().enumerate() {
        let lead = line.chars().take_while(|c| " \t-?:".contains(*c)).count();
        for c in line.chars() {
            match c {
                '[' | '{' => open += 1,
                ']' | '}' => open = open.saturating_sub(1),
                _ => {}
            }
            if open > MAX_DEPTH {
                return Some(index + 1);
            }
        }
        if lead > 2 * MAX_DEPTH {
            return Some(index + 1);
        }
    }
    None
}
