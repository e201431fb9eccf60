//! Limits on values, file size and nesting depth.

use std::ops::RangeInclusive;

/// A larger share is treated as a typing error: a workspace with share 1 would get
/// less than a millionth of it.
pub(super) const SHARE_RANGE: RangeInclusive<u64> = 1..=1_000_000;
pub(super) const QUEUE_LIMIT_RANGE: RangeInclusive<u64> = 1..=100_000;
pub(super) const DEADLINE_RANGE_MS: RangeInclusive<u64> = 100..=3_600_000;
pub(super) const MAX_CONCURRENCY_RANGE: RangeInclusive<u64> = 1..=10_000;
pub(super) const DEFAULT_QUEUE_LIMIT: u64 = 256;
pub(super) const DEFAULT_DEADLINE_MS: u64 = 30_000;
pub(super) const MAX_NAME_BYTES: usize = 64;
/// Larger files would not fit into one object of the object API.
pub(super) const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
const MAX_NESTING_DEPTH: usize = 64;

/// Returns the number of the first line that is nested too deeply, if there is one.
///
/// The YAML parser recurses for each level, and a deeply nested file would overflow
/// the stack. Counts unclosed brackets to limit flow nesting, and the indicators and
/// spaces at the beginning of a line to limit block nesting.
pub(super) fn first_too_deep_line(text: &str) -> Option<usize> {
    let mut open_brackets: usize = 0;
    for (index, line) in text.lines().enumerate() {
        let indent = line.chars().take_while(|c| " \t-?:".contains(*c)).count();
        for c in line.chars() {
            match c {
                '[' | '{' => open_brackets += 1,
                ']' | '}' => open_brackets = open_brackets.saturating_sub(1),
                _ => {}
            }
            if open_brackets > MAX_NESTING_DEPTH {
                return Some(index + 1);
            }
        }
        if indent > 2 * MAX_NESTING_DEPTH {
            return Some(index + 1);
        }
    }
    None
}
