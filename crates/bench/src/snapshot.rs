//! Counters of the processes at one moment.

use std::collections::BTreeMap;

use serde::Deserialize;
use span_standin::objects::Counters;
use tokio::time::Instant;

use crate::{
    fleet::{ADMIN_KEY, Fleet},
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
#[derive(Clone, Debug, Default)]
struct RouterCounters {
    /// Process, to tell a restart.
    id: Option<u32>,
    status: Option<RouterStatus>,
    usage: Option<Usage>,
}

/// The part of a router's status that is measured.
#[derive(Clone, Debug, Default, Deserialize)]
struct RouterStatus {
    control_bytes_sent: u64,
    control_bytes_received: u64,
    counters: BTreeMap<String, u64>,
}

/// Control traffic of one router, per second.
#[derive(Clone, Debug, Default)]
pub struct ControlTraffic {
    /// Bytes sent on peer streams.
    pub sent_bytes: f64,
    /// Bytes received on peer streams.
    pub received_bytes: f64,
    /// Steps of the router's counters.
    pub counters: BTreeMap<String, f64>,
}

impl ControlTraffic {
    /// Bytes sent and received.
    pub fn bytes(&self) -> f64 {
        self.sent_bytes + self.received_bytes
    }

    /// Rate of one counter; 0 if the router does not have it.
    pub fn counter(&self, name: &str) -> f64 {
        self.counters.get(name).copied().unwrap_or(0.0)
    }
}

/// Differences between two snapshots.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    /// Reads of the object API per second.
    pub store_reads_per_second: Option<f64>,
    /// Writes of the object API per second.
    pub store_writes_per_second: Option<f64>,
    /// Control traffic of each router that reports it.
    pub control: Vec<ControlTraffic>,
    /// Processor time per second of each router's control thread, in
    /// microseconds.
    pub control_cpu_us_per_second: Vec<f64>,
    /// Largest resident memory of a router at the end, in kilobytes.
    pub router_memory_kb: u64,
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
        let status = fleet.rest(seat.direct).get_as::<RouterStatus>(ADMIN_KEY, "/status").await;
        routers.push(RouterCounters { id, status: status.ok(), usage: id.and_then(usage) });
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
        let old = if old.id == new.id { old.clone() } else { RouterCounters::default() };
        if let Some(status) = &new.status {
            rates.control.push(control_traffic(&old.status.unwrap_or_default(), status, seconds));
        }
        if let Some(usage) = new.usage {
            let earlier = old.usage.unwrap_or_default();
            rates.router_cpu_us += usage.cpu_us.saturating_sub(earlier.cpu_us);
            let control_us = usage.control_cpu_us.saturating_sub(earlier.control_cpu_us);
            rates.control_cpu_us_per_second.push(per_second(control_us));
            rates.router_memory_kb = rates.router_memory_kb.max(usage.memory_kb);
            rates.router_peak_memory_kb = rates.router_peak_memory_kb.max(usage.peak_memory_kb);
        }
    }
    rates
}

fn control_traffic(old: &RouterStatus, new: &RouterStatus, seconds: f64) -> ControlTraffic {
    let rate = |old: u64, new: u64| new.saturating_sub(old) as f64 / seconds;
    let counter = |(name, count): (&String, &u64)| {
        (name.clone(), rate(old.counters.get(name).copied().unwrap_or(0), *count))
    };
    ControlTraffic {
        sent_bytes: rate(old.control_bytes_sent, new.control_bytes_sent),
        received_bytes: rate(old.control_bytes_received, new.control_bytes_received),
        counters: new.counters.iter().map(counter).collect(),
    }
}
