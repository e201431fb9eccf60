//! Service that each workspace received over time.

use super::ServiceRun;

/// Cumulative cost divided by share of each workspace, at the times at which a rate
/// changes. It is linear between two times, because the cost of an execution is spread
/// evenly over its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceReceived {
    /// Times, ascending, in microseconds.
    pub times_us: Vec<u64>,
    /// Service received, by workspace and index in `times_us`.
    pub service: Vec<Vec<f64>>,
}

/// Computes the service received at all starts and ends of executions and at
/// `extra_times_us`.
pub fn service_received(
    run: &ServiceRun,
    extra_times_us: impl IntoIterator<Item = u64>,
) -> ServiceReceived {
    let mut times_us: Vec<u64> = extra_times_us.into_iter().collect();
    for served in &run.served {
        times_us.extend([served.start_us, end_us(served)]);
    }
    times_us.sort_unstable();
    times_us.dedup();
    let workspaces = 0..run.shares.len();
    let service =
        workspaces.map(|workspace| cumulative_service(run, workspace, &times_us)).collect();
    ServiceReceived { times_us, service }
}

/// End of an execution, at least one microsecond after its start: one that is shorter
/// than the clock's resolution would have no duration.
fn end_us(served: &super::ServedExecution) -> u64 {
    served.end_us.max(served.start_us + 1)
}

fn cumulative_service(run: &ServiceRun, workspace: usize, times_us: &[u64]) -> Vec<f64> {
    let mut rate_changes = vec![0.0; times_us.len()];
    let time_index = |time_us| times_us.partition_point(|time| *time < time_us);
    for served in run.served.iter().filter(|served| served.workspace == workspace) {
        let duration_us = (end_us(served) - served.start_us) as f64;
        let rate = served.cost as f64 / run.shares[workspace] / duration_us;
        rate_changes[time_index(served.start_us)] += rate;
        rate_changes[time_index(end_us(served))] -= rate;
    }
    let (mut rate, mut total) = (0.0, 0.0);
    let mut service = Vec::with_capacity(times_us.len());
    for (index, time_us) in times_us.iter().enumerate() {
        if index > 0 {
            total += rate * (time_us - times_us[index - 1]) as f64;
        }
        rate += rate_changes[index];
        service.push(total);
    }
    service
}
