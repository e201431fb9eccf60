//! Counters and latency histograms, served as text.

use std::{collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;
use strum::{EnumCount, IntoEnumIterator};

/// What is counted.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Requests read from callers.
    Requests,
    /// Requests that were answered by an upstream.
    Answered,
    /// Requests refused before they were sent to an upstream.
    Refused,
    /// Requests that failed after they were sent to an upstream.
    Failed,
    /// Requests that the configuration does not allow.
    Denied,
    /// Requests whose caller left before the end of the answer.
    Abandoned,
    /// Requests sent to an upstream.
    Sent,
    /// Requests sent to a further upstream.
    Repeated,
    /// Repeated sends that the fleet's bound did not allow.
    RepeatsDenied,
    /// Streams that another upstream continued.
    Resumed,
    /// Requests that an upstream refused.
    UpstreamRefusals,
    /// Attempts at an upstream that failed.
    UpstreamFailures,
    /// Connections opened to upstreams.
    UpstreamConnects,
    /// Connections accepted from callers.
    CallerConnections,
    /// Connections of callers turned away for lack of descriptors.
    CallerConnectionsRefused,
    /// Configurations put in force.
    ConfigsApplied,
    /// Calls to the platform's store.
    StoreCalls,
    /// Calls to the platform's store that failed.
    StoreFailures,
    /// Heartbeats sent.
    Heartbeats,
    /// Log lines dropped because the log buffer was full.
    LogLinesDropped,
}

/// What is timed, in milliseconds.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Timing {
    /// From the head of a request to the start of its answer.
    FirstByteMs,
    /// From the head of a request to the end of its answer.
    WholeMs,
    /// Time in the queue of this router.
    QueueMs,
    /// From sending a request to an upstream to the start of its answer.
    UpstreamFirstByteMs,
}

/// Largest time that a histogram tells apart, in milliseconds.
const MAX_MS: u64 = 60_000;
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Counters and histograms of the process.
#[derive(Debug)]
pub struct Metrics {
    counters: [u64; Counter::COUNT],
    timings: Vec<Histogram<u32>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_MS, 2).expect("the bounds are valid");
        Self {
            counters: [0; Counter::COUNT],
            timings: (0..Timing::COUNT).map(|_| histogram()).collect(),
        }
    }
}

impl Metrics {
    /// Counts one.
    pub fn count(&mut self, counter: Counter) {
        self.counters[counter as usize] += 1;
    }

    /// Sets a counter that is kept elsewhere.
    pub fn set(&mut self, counter: Counter, value: u64) {
        self.counters[counter as usize] = value;
    }

    /// Value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counters[counter as usize]
    }

    /// Records a time.
    pub fn time(&mut self, timing: Timing, ms: u64) {
        self.timings[timing as usize].saturating_record(ms.max(1));
    }

    /// All values as text, one per line, with gauges that the caller knows.
    pub fn render(&self, gauges: &BTreeMap<&'static str, u64>) -> String {
        let mut text = String::new();
        for counter in Counter::iter() {
            let name: &'static str = counter.into();
            // Writing to a string does not fail.
            let _ = writeln!(text, "rosemaryspan_{name}_total {}", self.get(counter));
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "rosemaryspan_{name} {value}");
        }
        for timing in Timing::iter() {
            let name: &'static str = timing.into();
            let histogram = &self.timings[timing as usize];
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "rosemaryspan_{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "rosemaryspan_{name}_count {}", histogram.len());
        }
        text
    }
}
