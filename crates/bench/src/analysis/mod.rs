//! Analysis of a run. It uses only the records of the load tool and the ledgers of the
//! stand-ins, not what the routers report. It does no I/O and reads no clock.

pub mod audit;
pub mod bound;
pub mod gap;
pub mod interval;
pub mod join;
pub mod received;
pub mod utilisation;

/// One execution at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedExecution {
    /// Index of the workspace.
    pub workspace: usize,
    /// Start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// Cost, in cost units.
    pub cost: u64,
}

/// One request that waited for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Index of the workspace.
    pub workspace: usize,
    /// Interval in which it waited.
    pub interval: interval::Interval,
}

/// Executions and waiting requests of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRun {
    /// Share of each workspace, by index.
    pub shares: Vec<f64>,
    /// Total number of slots of all upstreams.
    pub slots: u32,
    /// Executions at all upstreams.
    pub served: Vec<ServedExecution>,
    /// Requests that waited.
    pub waiting_requests: Vec<WaitingRequest>,
}

impl ServiceRun {
    /// Returns the intervals in which each workspace was backlogged, by index.
    pub fn backlogs(&self) -> Vec<Vec<interval::Interval>> {
        let backlog = |workspace| {
            let waiting_requests =
                self.waiting_requests.iter().filter(move |wait| wait.workspace == workspace);
            interval::union(waiting_requests.map(|wait| wait.interval).collect())
        };
        (0..self.shares.len()).map(backlog).collect()
    }
}
