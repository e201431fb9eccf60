//! One workspace's requests and use of the service at one router.

use std::collections::BTreeMap;

use crate::{Request, VirtualTimeRow, WorkspaceLimits};

/// Shortest and longest advice on when to come back, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 60_000);
/// Weight of the newest interval in the mean dispatch interval is one in this.
const INTERVAL_WEIGHT: f64 = 8.0;
/// Dispatch interval assumed before one was seen, in milliseconds.
const INITIAL_INTERVAL_MS: f64 = 1_000.0;

/// Position of a request within its workspace: arrival time, then submission.
pub(crate) type Position = (u64, u64);

#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) request: Request,
    pub(crate) deadline_ms: u64,
}

/// A virtual time and the workspace's local cost at which it was true.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Anchor {
    pub(crate) virtual_time: f64,
    pub(crate) cost: u64,
}

/// What a workspace used of one shard through this router.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardUse {
    pub(crate) served: u64,
    pub(crate) reserved: u64,
    pub(crate) in_flight: u32,
    pub(crate) standing: Option<VirtualTimeRow>,
    pub(crate) anchor: Option<Anchor>,
    pub(crate) sent: (u64, u64),
    pub(crate) acknowledged: u64,
}

impl ShardUse {
    pub(crate) fn cost(&self) -> u64 {
        self.served + self.reserved
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.in_flight == 0 && self.acknowledged == self.served
    }
}

#[derive(Debug)]
pub(crate) struct Workspace {
    pub(crate) limits: WorkspaceLimits,
    pub(crate) configured: bool,
    pub(crate) waiting: BTreeMap<Position, Waiting>,
    pub(crate) uses: Vec<ShardUse>,
    pub(crate) in_flight: u32,
    pub(crate) local: Option<Anchor>,
    pub(crate) ready_key: Option<u64>,
    pub(crate) interval_ms: f64,
    pub(crate) dispatched_ms: Option<u64>,
    pub(crate) refused: u64,
}

impl Workspace {
    pub(crate) fn new(limits: WorkspaceLimits) -> Self {
        Self {
            limits,
            configured: true,
            waiting: BTreeMap::new(),
            uses: Vec::new(),
            in_flight: 0,
            local: None,
            ready_key: None,
            interval_ms: INITIAL_INTERVAL_MS,
            dispatched_ms: None,
            refused: 0,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.waiting.is_empty()
    }

    pub(crate) fn usage(&mut self, shard: usize) -> &mut ShardUse {
        if self.uses.len() <= shard {
            self.uses.resize_with(shard + 1, ShardUse::default);
        }
        &mut self.uses[shard]
    }

    pub(crate) fn cost(&self) -> u64 {
        self.uses.iter().map(ShardUse::cost).sum()
    }

    pub(crate) fn virtual_time(&self) -> f64 {
        let cost = self.cost() as f64;
        let share = f64::from(self.limits.share.max(1));
        let anchors = self.uses.iter().filter_map(|usage| usage.anchor).chain(self.local);
        let times = anchors.map(|anchor| {
            // The difference is negative when an estimate was too high.
            anchor.virtual_time + (cost - anchor.cost as f64) / share
        });
        times.reduce(f64::max).unwrap_or(cost / share).max(0.0)
    }

    pub(crate) fn lift(&mut self, virtual_time: f64) {
        let lifted = self.virtual_time().max(virtual_time);
        for usage in &mut self.uses {
            usage.anchor = None;
        }
        self.local = Some(Anchor { virtual_time: lifted, cost: self.cost() });
    }

    /// Takes what an owner knows, corrected by what it did not know yet.
    pub(crate) fn stand(&mut self, shard: usize, standing: &VirtualTimeRow) {
        let share = f64::from(self.limits.share.max(1));
        let cost = self.cost();
        let usage = self.usage(shard);
        let unknown = usage.cost() as f64 - standing.included_cost as f64;
        let virtual_time = standing.virtual_time + unknown / share;
        usage.anchor = Some(Anchor { virtual_time, cost });
        usage.standing = Some(standing.clone());
        self.local = None;
    }

    pub(crate) fn count_dispatch(&mut self, now_ms: u64) {
        if let Some(last_ms) = self.dispatched_ms.replace(now_ms) {
            let interval_ms = now_ms.saturating_sub(last_ms) as f64;
            self.interval_ms += (interval_ms - self.interval_ms) / INTERVAL_WEIGHT;
        }
        self.refused = self.refused.saturating_sub(1);
    }

    // Each refused request is told a later time, so that callers that come back
    // do not all find the one place that became free.
    pub(crate) fn refuse(&mut self) -> u64 {
        self.refused += 1;
        retry_after_ms(self.interval_ms, self.refused)
    }
}

pub(crate) fn retry_after_ms(interval_ms: f64, places: u64) -> u64 {
    let wait_ms = (interval_ms * places as f64) as u64;
    wait_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
}
