//! Counters of the control thread.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{SocketAddr, UdpSocket},
};

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use strum::{EnumCount, IntoEnumIterator};

/// What is counted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Bytes sent on peer streams.
    PeerBytesSent,
    /// Bytes received on peer streams.
    PeerBytesReceived,
    /// Heartbeats sent.
    Heartbeats,
    /// Exchanges sent to shard owners.
    Exchanges,
    /// Exchanges answered as shard owner.
    ExchangesServed,
    /// Pushes of allocations sent.
    Pushes,
    /// Calls to peers that failed or timed out.
    PeerFailures,
    /// Connections to peers opened.
    PeerConnects,
    /// Requests that were given a slot.
    Admitted,
    /// Requests refused or given up on.
    Rejected,
    /// Cost of ended attempts, in cost units.
    SettledCost,
    /// Attempts at upstreams that failed.
    UpstreamFailures,
    /// Attempts at upstreams that went silent.
    UpstreamSilences,
    /// Polls of upstream load.
    LoadPolls,
    /// Polls of upstream load that failed.
    LoadPollFailures,
    /// Bytes sent with polls of upstream load.
    LoadPollBytesSent,
    /// Bytes received with polls of upstream load.
    LoadPollBytesReceived,
    /// Members declared dead.
    MembersLost,
    /// Configurations put in force.
    ConfigsApplied,
    /// Shards taken over.
    ShardsTaken,
}

const PREFIX: &str = "rosemaryspan.router";

/// Values since the start, passed on by StatsD in steps.
pub(super) struct Counters {
    values: [u64; Counter::COUNT],
    flushed: [u64; Counter::COUNT],
    client: StatsdClient,
}

impl Counters {
    /// Makes counters that go to `sink`, or only to snapshots.
    pub fn new(sink: Option<SocketAddr>) -> Self {
        let client = match sink.map(udp_sink) {
            Some(Ok(sink)) => StatsdClient::from_sink(PREFIX, sink),
            Some(Err(error)) => {
                tracing::warn!(%error, "counters are not sent");
                StatsdClient::from_sink(PREFIX, NopMetricSink)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Self { values: [0; Counter::COUNT], flushed: [0; Counter::COUNT], client }
    }

    pub fn add(&mut self, counter: Counter, count: u64) {
        self.values[counter as usize] += count;
    }

    pub fn increment(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    pub fn set(&mut self, counter: Counter, value: u64) {
        self.values[counter as usize] = value;
    }

    /// Sends what was counted since the last flush. Lost datagrams only lose
    /// their step, so errors are not followed up.
    pub fn flush(&mut self) {
        for counter in Counter::iter() {
            let index = counter as usize;
            let step = self.values[index] - self.flushed[index];
            self.flushed[index] = self.values[index];
            if step > 0 {
                let _ = self.client.count(<&str>::from(counter), step);
            }
        }
    }

    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        Counter::iter().map(|counter| (counter.into(), self.values[counter as usize])).collect()
    }

    /// One line per counter, for `/metrics`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.snapshot() {
            let _ = writeln!(text, "rosemaryspan_router_{name} {value}");
        }
        text
    }
}

fn udp_sink(address: SocketAddr) -> Result<UdpMetricSink, cadence::MetricError> {
    let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(address, socket)
}
