//! Largest gap in service between workspaces that are backlogged together.

use super::{
    ServiceRun,
    interval::{Interval, intersection},
    received::{Received, received},
};

/// The largest gap of one pair of workspaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gap {
    /// Positions of the two workspaces.
    pub pair: (usize, usize),
    /// Difference of the service received in the interval, in cost per share.
    pub gap: f64,
    /// Interval over which it arose; both were backlogged throughout.
    pub interval: Interval,
}

/// The largest gap of each pair that was ever backlogged together.
///
/// The difference D of the service of two workspaces is linear between the
/// times where a rate changes. The largest gap over all sub-intervals of a
/// common backlog is therefore the largest D minus the smallest D at those
/// times, found in one pass.
pub fn gaps(run: &ServiceRun) -> Vec<Gap> {
    let backlogs = run.backlogs();
    let edges = backlogs.iter().flatten().flat_map(|i| [i.from_us, i.to_us]);
    let received = received(run, edges);
    let mut gaps = Vec::new();
    for first in 0..run.shares.len() {
        for second in first + 1..run.shares.len() {
            let common = intersection(&backlogs[first], &backlogs[second]);
            let largest = common.iter().map(|both| in_interval(&received, (first, second), *both));
            gaps.extend(largest.max_by(|a, b| a.gap.total_cmp(&b.gap)));
        }
    }
    gaps
}

fn in_interval(received: &Received, pair: (usize, usize), both: Interval) -> Gap {
    let times = &received.times_us;
    let from = times.partition_point(|time| *time < both.from_us);
    let to = times.partition_point(|time| *time <= both.to_us);
    let difference = |k: usize| received.service[pair.0][k] - received.service[pair.1][k];
    let by_difference = |a: &usize, b: &usize| difference(*a).total_cmp(&difference(*b));
    let least = (from..to).min_by(by_difference).unwrap_or(from);
    let most = (from..to).max_by(by_difference).unwrap_or(from);
    let interval = Interval { from_us: times[least.min(most)], to_us: times[least.max(most)] };
    Gap { pair, gap: difference(most) - difference(least), interval }
}
