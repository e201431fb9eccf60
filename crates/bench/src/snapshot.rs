//! Counters of the processes at one moment.

use span_standin::objects::Counters;
use tokio::time::Instant;

use crate::{
    fleet::Fleet,
    usage::{Usage, usage},
};

/// Counters of all processes at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    at: Instant,
    store: Option<Counters>,
    routers: Vec<RouterCounters>,
}

/// Counters of one router process.
#[derive(Clone, Copy, Debug, Default)]
struct RouterCounters {
    /// Process, to tell a restart.
    id: Option<u32>,
    control_bytes: Option<u64>,
    usage: Option<Usage>,
}

/// Differences between two snapshots.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    /// Reads of the object API per second.
    pub store_reads_per_second: Option<f64>,
    /// Writes of the object API per second.
    pub store_writes_per_second: Option<f64>,
    /// Control bytes per second of each router that reports them.
    pub control_bytes_per_second: Vec<f64>,
    /// Processor time of all routers, in microseconds.
    pub router_cpu_us: u64,
    /// Largest memory of a router, in kilobytes.
    pub router_peak_memory_kb: u64,
}

/// Reads all counters.
pub async fn take(fleet: &Fleet) -> Snapshot {
    let mut routers = Vec::new();
    for seat in &fleet.routers {
        let id = seat.process.as_ref().and_then(|process| process.id());
        let metrics = fleet.rest(seat.direct).get::<serde_json::Value>("/metrics").await.ok();
        routers.push(RouterCounters {
            id,
            control_bytes: metrics.and_then(|metrics| metrics["control_bytes"].as_u64()),
            usage: id.and_then(usage),
        });
    }
    Snapshot { at: Instant::now(), store: fleet.platform.get("/counters").await.ok(), routers }
}

/// Rates between two snapshots.
pub fn rates(before: &Snapshot, after: &Snapshot) -> Rates {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let store = before.store.zip(after.store);
    let per_second = |count: u64| count as f64 / seconds;
    let mut rates = Rates {
        store_reads_per_second: store.map(|(a, b)| per_second(b.reads.saturating_sub(a.reads))),
        store_writes_per_second: store.map(|(a, b)| per_second(b.writes.saturating_sub(a.writes))),
        ..Rates::default()
    };
    for (old, new) in before.routers.iter().zip(&after.routers) {
        // Counters of a process that was restarted begin at zero.
        let old = if old.id == new.id { *old } else { RouterCounters::default() };
        if let Some(bytes) = new.control_bytes {
            let since = bytes.saturating_sub(old.control_bytes.unwrap_or(0));
            rates.control_bytes_per_second.push(per_second(since));
        }
        if let Some(usage) = new.usage {
            let since = usage.cpu_us.saturating_sub(old.usage.map_or(0, |old| old.cpu_us));
            rates.router_cpu_us += since;
            rates.router_peak_memory_kb = rates.router_peak_memory_kb.max(usage.peak_memory_kb);
        }
    }
    rates
}
