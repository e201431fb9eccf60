//! Snapshots of the counters of the processes, and the rates between two of them.

use std::collections::BTreeMap;

use serde::Deserialize;
use span_standin::objects::Counters;
use tokio::time::Instant;

use crate::{
    fleet::{ADMIN_KEY, Fleet},
    usage::{Usage, process_usage},
};

/// Counters of all processes at one time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    taken_at: Instant,
    store: Option<Counters>,
    routers: Vec<RouterCounters>,
}

/// Counters of one router process.
#[derive(Clone, Debug, Default)]
struct RouterCounters {
    /// Process id, by which a restart is detected.
    process_id: Option<u32>,
    status: Option<RouterStatus>,
    usage: Option<Usage>,
}

/// Fields of a router's status that are measured.
#[derive(Clone, Debug, Default, Deserialize)]
struct RouterStatus {
    control_bytes_sent: u64,
    control_bytes_received: u64,
    counters: BTreeMap<String, u64>,
}

/// Rates of one router's control traffic and counters.
#[derive(Clone, Debug, Default)]
pub struct ControlTraffic {
    /// Bytes sent on peer streams, per second.
    pub sent_bytes: f64,
    /// Bytes received on peer streams, per second.
    pub received_bytes: f64,
    /// Increments of the router's counters, per second.
    pub counters: BTreeMap<String, f64>,
}

impl ControlTraffic {
    /// Returns the bytes sent and received per second.
    pub fn bytes(&self) -> f64 {
        self.sent_bytes + self.received_bytes
    }

    /// Returns the rate of one counter; 0 if the router does not report it.
    pub fn counter(&self, name: &str) -> f64 {
        self.counters.get(name).copied().unwrap_or(0.0)
    }
}

/// Rates and resource usage between two snapshots.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    /// Reads of the object API per second; `None` if a snapshot has no counters of the
    /// platform.
    pub store_reads_per_second: Option<f64>,
    /// Writes of the object API per second; `None` if a snapshot has no counters of the
    /// platform.
    pub store_writes_per_second: Option<f64>,
    /// Control traffic of each router that reports it.
    pub control: Vec<ControlTraffic>,
    /// Processor time per second of each router's control thread, in
    /// microseconds.
    pub control_cpu_us_per_second: Vec<f64>,
    /// Largest resident memory of a router at the second snapshot, in kilobytes.
    pub router_memory_kb: u64,
    /// Processor time of all routers, in microseconds.
    pub router_cpu_us: u64,
    /// Largest peak resident memory of a router, in kilobytes.
    pub router_peak_memory_kb: u64,
}

/// Reads the counters of all processes.
pub async fn take_snapshot(fleet: &Fleet) -> Snapshot {
    let mut routers = Vec::new();
    for router in &fleet.routers {
        let process_id = router.process.as_ref().and_then(|process| process.id());
        let status = fleet
            .json_client(router.direct_address)
            .get_with_key::<RouterStatus>(ADMIN_KEY, "/status")
            .await;
        routers.push(RouterCounters {
            process_id,
            status: status.ok(),
            usage: process_id.and_then(process_usage),
        });
    }
    Snapshot {
        taken_at: Instant::now(),
        store: fleet.platform.get("/counters").await.ok(),
        routers,
    }
}

/// Computes the rates between two snapshots.
pub fn rates(before: &Snapshot, after: &Snapshot) -> Rates {
    let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
    let store = before.store.zip(after.store);
    let per_second = |count: u64| count as f64 / seconds;
    let mut rates = Rates {
        store_reads_per_second: store.map(|(a, b)| per_second(b.reads.saturating_sub(a.reads))),
        store_writes_per_second: store.map(|(a, b)| per_second(b.writes.saturating_sub(a.writes))),
        ..Rates::default()
    };
    for (earlier, later) in before.routers.iter().zip(&after.routers) {
        // The counters of a restarted process begin at zero.
        let earlier = if earlier.process_id == later.process_id {
            earlier.clone()
        } else {
            RouterCounters::default()
        };
        if let Some(status) = &later.status {
            rates.control.push(control_traffic(
                &earlier.status.unwrap_or_default(),
                status,
                seconds,
            ));
        }
        if let Some(usage) = later.usage {
            let earlier_usage = earlier.usage.unwrap_or_default();
            rates.router_cpu_us += usage.cpu_us.saturating_sub(earlier_usage.cpu_us);
            let control_us = usage.control_cpu_us.saturating_sub(earlier_usage.control_cpu_us);
            rates.control_cpu_us_per_second.push(per_second(control_us));
            rates.router_memory_kb = rates.router_memory_kb.max(usage.memory_kb);
            rates.router_peak_memory_kb = rates.router_peak_memory_kb.max(usage.peak_memory_kb);
        }
    }
    rates
}

fn control_traffic(earlier: &RouterStatus, later: &RouterStatus, seconds: f64) -> ControlTraffic {
    let rate = |earlier: u64, later: u64| later.saturating_sub(earlier) as f64 / seconds;
    let counter = |(name, count): (&String, &u64)| {
        (name.clone(), rate(earlier.counters.get(name).copied().unwrap_or(0), *count))
    };
    ControlTraffic {
        sent_bytes: rate(earlier.control_bytes_sent, later.control_bytes_sent),
        received_bytes: rate(earlier.control_bytes_received, later.control_bytes_received),
        counters: later.counters.iter().map(counter).collect(),
    }
}
