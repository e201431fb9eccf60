//! Requests of one workspace at one router, and its usage of the shards.

use std::collections::BTreeMap;

use crate::{Request, VirtualTimeRow, WorkspaceLimits};

/// Shortest and longest time after which callers are told to retry.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (100, 60_000);
/// The weight of the latest interval in the moving average is 1 divided by this
/// number.
const DISPATCH_INTERVAL_SMOOTHING_DIVISOR: f64 = 8.0;
/// Mean dispatch interval until one has been measured.
const INITIAL_DISPATCH_INTERVAL_MS: f64 = 1_000.0;

/// Position of a request in its workspace's queue: arrival time, then number of
/// the submission.
pub(crate) type QueuePosition = (u64, u64);

#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: Request,
    pub(crate) deadline_ms: u64,
}

/// A virtual time, and the workspace's cost at this router at that time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VirtualTimeAnchor {
    pub(crate) virtual_time: f64,
    pub(crate) cost: u64,
}

/// Usage of one shard by a workspace through this router.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardUsage {
    pub(crate) served_cost: u64,
    pub(crate) reserved_cost: u64,
    pub(crate) in_flight: u32,
    pub(crate) owner_virtual_time: Option<VirtualTimeRow>,
    /// Anchor from the shard owner's latest virtual time.
    pub(crate) anchor: Option<VirtualTimeAnchor>,
    /// Sequence number of the last report with a row, and its served cost.
    pub(crate) last_report: (u64, u64),
    /// Largest served cost in a report that the owner has answered.
    pub(crate) acknowledged_cost: u64,
}

impl ShardUsage {
    pub(crate) fn cost(&self) -> u64 {
        self.served_cost + self.reserved_cost
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.in_flight == 0 && self.acknowledged_cost == self.served_cost
    }
}

#[derive(Debug)]
pub(crate) struct Workspace {
    pub(crate) limits: WorkspaceLimits,
    pub(crate) is_configured: bool,
    pub(crate) waiting: BTreeMap<QueuePosition, WaitingRequest>,
    pub(crate) shard_usage: Vec<ShardUsage>,
    pub(crate) in_flight: u32,
    /// Anchor that replaces those of the shards until the next allocation.
    pub(crate) local_anchor: Option<VirtualTimeAnchor>,
    /// Key in the queue's set of ready workspaces; `None` if the workspace is
    /// blocked or has no waiting request.
    pub(crate) ready_key: Option<u64>,
    pub(crate) mean_dispatch_interval_ms: f64,
    pub(crate) last_dispatch_ms: Option<u64>,
    /// Rejections less the dispatches that followed them.
    pub(crate) recent_rejections: u64,
}

impl Workspace {
    pub(crate) fn new(limits: WorkspaceLimits) -> Self {
        Self {
            limits,
            is_configured: true,
            waiting: BTreeMap::new(),
            shard_usage: Vec::new(),
            in_flight: 0,
            local_anchor: None,
            ready_key: None,
            mean_dispatch_interval_ms: INITIAL_DISPATCH_INTERVAL_MS,
            last_dispatch_ms: None,
            recent_rejections: 0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.waiting.is_empty()
    }

    pub(crate) fn usage(&mut self, shard: usize) -> &mut ShardUsage {
        if self.shard_usage.len() <= shard {
            self.shard_usage.resize_with(shard + 1, ShardUsage::default);
        }
        &mut self.shard_usage[shard]
    }

    pub(crate) fn cost(&self) -> u64 {
        self.shard_usage.iter().map(ShardUsage::cost).sum()
    }

    pub(crate) fn virtual_time(&self) -> f64 {
        let cost = self.cost() as f64;
        let share = f64::from(self.limits.share.max(1));
        let anchors =
            self.shard_usage.iter().filter_map(|usage| usage.anchor).chain(self.local_anchor);
        let times = anchors.map(|anchor| {
            // The difference is negative when an estimate was too high.
            anchor.virtual_time + (cost - anchor.cost as f64) / share
        });
        times.reduce(f64::max).unwrap_or(cost / share).max(0.0)
    }

    pub(crate) fn raise_virtual_time(&mut self, virtual_time: f64) {
        let raised = self.virtual_time().max(virtual_time);
        for usage in &mut self.shard_usage {
            usage.anchor = None;
        }
        self.local_anchor = Some(VirtualTimeAnchor { virtual_time: raised, cost: self.cost() });
    }

    /// Sets the virtual time from an owner's row, plus the cost that the row
    /// does not include yet.
    pub(crate) fn apply_virtual_time(&mut self, shard: usize, row: &VirtualTimeRow) {
        let share = f64::from(self.limits.share.max(1));
        let cost = self.cost();
        let usage = self.usage(shard);
        let unreported_cost = usage.cost() as f64 - row.included_cost as f64;
        let virtual_time = row.virtual_time + unreported_cost / share;
        usage.anchor = Some(VirtualTimeAnchor { virtual_time, cost });
        usage.owner_virtual_time = Some(row.clone());
        self.local_anchor = None;
    }

    pub(crate) fn count_dispatch(&mut self, now_ms: u64) {
        if let Some(last_ms) = self.last_dispatch_ms.replace(now_ms) {
            let interval_ms = now_ms.saturating_sub(last_ms) as f64;
            self.mean_dispatch_interval_ms += (interval_ms - self.mean_dispatch_interval_ms)
                / DISPATCH_INTERVAL_SMOOTHING_DIVISOR;
        }
        self.recent_rejections = self.recent_rejections.saturating_sub(1);
    }

    // Each further rejection returns a later time, so that the callers do not
    // all retry for the same free position in the queue.
    pub(crate) fn reject(&mut self) -> u64 {
        self.recent_rejections += 1;
        retry_after_ms(self.mean_dispatch_interval_ms, self.recent_rejections)
    }
}

pub(crate) fn retry_after_ms(interval_ms: f64, requests_ahead: u64) -> u64 {
    let wait_ms = (interval_ms * requests_ahead as f64) as u64;
    wait_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1)
}
