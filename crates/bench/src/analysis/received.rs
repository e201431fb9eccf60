//! Service received over time.

use super::ServiceRun;

/// Cumulative cost divided by share, per workspace, at the times where its
/// rate changes. Between two times it is linear: the cost of an execution is
/// spread evenly over its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// Times, ascending, in microseconds.
    pub times_us: Vec<u64>,
    /// Service received, by workspace and position in `times_us`.
    pub service: Vec<Vec<f64>>,
}

/// Computes the service received at all starts and ends and at `extra_us`.
pub fn received(run: &ServiceRun, extra_us: impl IntoIterator<Item = u64>) -> Received {
    let mut times_us: Vec<u64> = extra_us.into_iter().collect();
    for served in &run.served {
        times_us.extend([served.start_us, end_us(served)]);
    }
    times_us.sort_unstable();
    times_us.dedup();
    let workspaces = 0..run.shares.len();
    let service = workspaces.map(|workspace| cumulate(run, workspace, &times_us)).collect();
    Received { times_us, service }
}

/// An execution shorter than the clock's resolution lasts one microsecond.
fn end_us(served: &super::Served) -> u64 {
    served.end_us.max(served.start_us + 1)
}

fn cumulate(run: &ServiceRun, workspace: usize, times_us: &[u64]) -> Vec<f64> {
    let mut changes = vec![0.0; times_us.len()];
    let position = |time_us| times_us.partition_point(|time| *time < time_us);
    for served in run.served.iter().filter(|served| served.workspace == workspace) {
        let duration_us = (end_us(served) - served.start_us) as f64;
        let rate = served.cost as f64 / run.shares[workspace] / duration_us;
        changes[position(served.start_us)] += rate;
        changes[position(end_us(served))] -= rate;
    }
    let (mut rate, mut total) = (0.0, 0.0);
    let mut service = Vec::with_capacity(times_us.len());
    for (index, time_us) in times_us.iter().enumerate() {
        if index > 0 {
            total += rate * (time_us - times_us[index - 1]) as f64;
        }
        rate += changes[index];
        service.push(total);
    }
    service
}
