//! Analysis of a run from the load tool's records and the stand-ins' ledgers
//! alone, independent of the routers. Pure: no I/O and no clock.

pub mod audit;
pub mod bound;
pub mod gap;
pub mod interval;
pub mod join;
pub mod received;
pub mod utilisation;

/// One execution at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Served {
    /// Position of the workspace.
    pub workspace: usize,
    /// Start, in microseconds since the epoch.
    pub start_us: u64,
    /// End, in microseconds since the epoch.
    pub end_us: u64,
    /// Cost, in cost units.
    pub cost: u64,
}

/// One request that waited for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Position of the workspace.
    pub workspace: usize,
    /// While it waited.
    pub interval: interval::Interval,
}

/// What happened at one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRun {
    /// Share of each workspace.
    pub shares: Vec<f64>,
    /// Slots of all upstreams together.
    pub slots: u32,
    /// Executions.
    pub served: Vec<Served>,
    /// Requests that waited.
    pub waits: Vec<Wait>,
}

impl ServiceRun {
    /// Intervals in which each workspace was backlogged.
    pub fn backlogs(&self) -> Vec<Vec<interval::Interval>> {
        let of = |workspace| {
            let waits = self.waits.iter().filter(move |wait| wait.workspace == workspace);
            interval::union(waits.map(|wait| wait.interval).collect())
        };
        (0..self.shares.len()).map(of).collect()
    }
}
