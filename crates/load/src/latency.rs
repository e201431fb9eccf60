//! Latency percentiles.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::record::{AnswerKind, AttemptRecord};

const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer times are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Percentiles of a set of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 95th percentile, in microseconds.
    pub p95_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// Largest time, in microseconds.
    pub max_us: u64,
}

/// Computes the percentiles of times in microseconds.
pub fn percentiles(times_us: impl IntoIterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    else {
        return Percentiles::default();
    };
    for time_us in times_us {
        histogram.saturating_record(time_us);
    }
    Percentiles {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p95_us: histogram.value_at_quantile(0.95),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}

/// Computes the percentiles of the times from sending an attempt to the end of its
/// complete answer, for one service.
pub fn complete_answer_percentiles(records: &[AttemptRecord], service: &str) -> Percentiles {
    let of_service = records.iter().filter(|record| &*record.service == service);
    let complete = of_service.filter(|record| record.answer == AnswerKind::Complete);
    percentiles(complete.map(|record| record.ended_us.saturating_sub(record.sent_us)))
}
