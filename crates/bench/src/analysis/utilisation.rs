//! Utilisation of the slots while requests wait.

use super::ServiceRun;

/// Utilisation of the slots of one service over the time in which a request waited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Utilisation {
    /// Time in which at least one request waited, in microseconds.
    pub waiting_us: u64,
    /// Busy slots divided by all slots, over that time; 1 if no request waited.
    pub busy_fraction: f64,
    /// Busy slots divided by the slots that running and waiting requests could use: the
    /// busy ones, and idle ones up to the number of waiting requests.
    pub work_conserving_fraction: f64,
}

/// Computes the utilisation of the slots between `from_us` and `to_us`.
pub fn utilisation(run: &ServiceRun, from_us: u64, to_us: u64) -> Utilisation {
    let mut request_changes = request_changes(run);
    request_changes.retain(|change| change.0 < to_us);
    request_changes.push((to_us, 0, 0));
    request_changes.sort_unstable();
    let slots = i64::from(run.slots);
    let (mut running, mut waiting, mut last_us) = (0_i64, 0_i64, from_us);
    let (mut waiting_us, mut busy_us, mut usable_us) = (0_u64, 0.0, 0.0);
    for (time_us, running_change, waiting_change) in request_changes {
        let duration_us = time_us.max(from_us) - last_us;
        if waiting > 0 && duration_us > 0 {
            let busy = running.min(slots);
            waiting_us += duration_us;
            busy_us += (busy as u64 * duration_us) as f64;
            usable_us += ((busy + waiting.min(slots - busy)) as u64 * duration_us) as f64;
        }
        running += running_change;
        waiting += waiting_change;
        last_us = time_us.max(from_us);
    }
    if waiting_us == 0 || slots == 0 {
        return Utilisation { waiting_us, busy_fraction: 1.0, work_conserving_fraction: 1.0 };
    }
    Utilisation {
        waiting_us,
        busy_fraction: busy_us / (slots as f64 * waiting_us as f64),
        work_conserving_fraction: busy_us / usable_us,
    }
}

/// Returns the changes of the numbers of running and waiting requests, by time.
fn request_changes(run: &ServiceRun) -> Vec<(u64, i64, i64)> {
    let served = run.served.iter();
    let served = served.flat_map(|served| [(served.start_us, 1, 0), (served.end_us, -1, 0)]);
    let waiting_requests = run.waiting_requests.iter().map(|wait| wait.interval);
    let waiting_requests =
        waiting_requests.flat_map(|wait| [(wait.from_us, 0, 1), (wait.to_us, 0, -1)]);
    served.chain(waiting_requests).collect()
}
