//! Counters of the control thread, exported by StatsD and `/metrics`.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{SocketAddr, UdpSocket},
};

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use strum::{EnumCount, IntoEnumIterator};

/// A counted event or quantity. The name in snake case is the metric's name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Bytes sent on peer connections.
    PeerBytesSent,
    /// Bytes received on peer connections.
    PeerBytesReceived,
    /// Heartbeats sent.
    Heartbeats,
    /// Exchanges started with shard owners.
    Exchanges,
    /// Exchanges answered as shard owner.
    ExchangesServed,
    /// Messages sent that push allocations.
    Pushes,
    /// Calls to peers that failed or timed out.
    PeerFailures,
    /// Connections to peers opened.
    PeerConnects,
    /// Requests that were given a slot.
    Admitted,
    /// Requests rejected before they ran.
    Rejected,
    /// Cost of finished attempts, in cost units.
    SettledCost,
    /// Attempts at upstreams that failed.
    UpstreamFailures,
    /// Attempts at upstreams that sent nothing within the silence limit.
    UpstreamSilences,
    /// Polls of upstream load reports.
    LoadPolls,
    /// Polls of upstream load reports that failed.
    LoadPollFailures,
    /// Bytes sent by load polls.
    LoadPollBytesSent,
    /// Bytes received by load polls.
    LoadPollBytesReceived,
    /// Members declared dead.
    MembersLost,
    /// Configurations put in force.
    ConfigsApplied,
    /// Shards whose ownership this router took over.
    ShardsTaken,
}

const STATSD_PREFIX: &str = "rosemaryspan.router";

/// Counter values since the start of the process; StatsD receives the
/// differences between flushes.
pub(super) struct Counters {
    values: [u64; Counter::COUNT],
    flushed: [u64; Counter::COUNT],
    client: StatsdClient,
}

impl Counters {
    /// Creates counters that are sent to `sink` by StatsD. Without a sink, or if
    /// its socket cannot be opened, they are only in snapshots.
    pub fn new(sink: Option<SocketAddr>) -> Self {
        let client = match sink.map(udp_sink) {
            Some(Ok(sink)) => StatsdClient::from_sink(STATSD_PREFIX, sink),
            Some(Err(error)) => {
                tracing::warn!(%error, "counters are not sent");
                StatsdClient::from_sink(STATSD_PREFIX, NopMetricSink)
            }
            None => StatsdClient::from_sink(STATSD_PREFIX, NopMetricSink),
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

    /// Sends the differences since the last flush. Errors are ignored, because a
    /// lost datagram loses only its difference.
    pub fn flush(&mut self) {
        for counter in Counter::iter() {
            let index = counter as usize;
            let delta = self.values[index] - self.flushed[index];
            self.flushed[index] = self.values[index];
            if delta > 0 {
                let _ = self.client.count(<&str>::from(counter), delta);
            }
        }
    }

    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        Counter::iter().map(|counter| (counter.into(), self.values[counter as usize])).collect()
    }

    /// One line per counter, for `/metrics`.
    pub fn to_text(&self) -> String {
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
