//! Largest gap between the service that two workspaces receive while both are
//! backlogged.

use super::{
    ServiceRun,
    interval::{Interval, intersection},
    received::{ServiceReceived, service_received},
};

/// The largest gap of one pair of workspaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceGap {
    /// Indexes of the two workspaces.
    pub pair: (usize, usize),
    /// Difference of the service received in `interval`, in cost units per share.
    pub gap: f64,
    /// Interval in which the gap arose. Both workspaces were backlogged throughout.
    pub interval: Interval,
}

/// Returns the largest gap of each pair of workspaces that were backlogged at the same
/// time.
///
/// The difference D of the service received by two workspaces is linear between the
/// times at which a rate changes. The largest gap over all sub-intervals of a common
/// backlog is therefore the largest D minus the smallest D at those times, which takes
/// a single pass.
pub fn service_gaps(run: &ServiceRun) -> Vec<ServiceGap> {
    let backlogs = run.backlogs();
    let boundaries = backlogs.iter().flatten().flat_map(|i| [i.from_us, i.to_us]);
    let received = service_received(run, boundaries);
    let mut service_gaps = Vec::new();
    for first in 0..run.shares.len() {
        for second in first + 1..run.shares.len() {
            let common_backlog = intersection(&backlogs[first], &backlogs[second]);
            let largest_gaps = common_backlog
                .iter()
                .map(|interval| gap_in_interval(&received, (first, second), *interval));
            service_gaps.extend(largest_gaps.max_by(|a, b| a.gap.total_cmp(&b.gap)));
        }
    }
    service_gaps
}

fn gap_in_interval(
    received: &ServiceReceived,
    pair: (usize, usize),
    interval: Interval,
) -> ServiceGap {
    let times = &received.times_us;
    let first_index = times.partition_point(|time| *time < interval.from_us);
    let end_index = times.partition_point(|time| *time <= interval.to_us);
    let difference = |k: usize| received.service[pair.0][k] - received.service[pair.1][k];
    let by_difference = |a: &usize, b: &usize| difference(*a).total_cmp(&difference(*b));
    let min_index = (first_index..end_index).min_by(by_difference).unwrap_or(first_index);
    let max_index = (first_index..end_index).max_by(by_difference).unwrap_or(first_index);
    let gap_interval = Interval {
        from_us: times[min_index.min(max_index)],
        to_us: times[min_index.max(max_index)],
    };
    ServiceGap { pair, gap: difference(max_index) - difference(min_index), interval: gap_interval }
}
