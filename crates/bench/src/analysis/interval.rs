//! Operations on sets of time intervals.

/// Time from `from_us` to `to_us`, excluding `to_us`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Interval {
    /// Start, in microseconds.
    pub from_us: u64,
    /// End, in microseconds.
    pub to_us: u64,
}

/// Merges intervals that overlap or touch; the result is sorted.
pub fn union(mut intervals: Vec<Interval>) -> Vec<Interval> {
    intervals.retain(|interval| interval.from_us < interval.to_us);
    intervals.sort_unstable();
    let mut merged: Vec<Interval> = Vec::new();
    for interval in intervals {
        match merged.last_mut() {
            Some(last) if interval.from_us <= last.to_us => {
                last.to_us = last.to_us.max(interval.to_us);
            }
            _ => merged.push(interval),
        }
    }
    merged
}

/// Returns the intersection of two sets, each merged by [`union`].
pub fn intersection(one: &[Interval], two: &[Interval]) -> Vec<Interval> {
    let (mut i, mut j) = (0, 0);
    let mut both = Vec::new();
    while let (Some(a), Some(b)) = (one.get(i), two.get(j)) {
        let from_us = a.from_us.max(b.from_us);
        let to_us = a.to_us.min(b.to_us);
        if from_us < to_us {
            both.push(Interval { from_us, to_us });
        }
        if a.to_us <= b.to_us { i += 1 } else { j += 1 }
    }
    both
}

/// Returns the total length of a merged set, in microseconds.
pub fn length_us(intervals: &[Interval]) -> u64 {
    intervals.iter().map(|interval| interval.to_us - interval.from_us).sum()
}
