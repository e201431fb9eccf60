//! Latency percentiles.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::record::{Answer, Record};

const SIGNIFICANT_DIGITS: u8 = 3;
/// Longer times are counted as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// Percentiles of a set of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Largest time.
    pub max_us: u64,
}

/// Percentiles of times in microseconds.
pub fn percentiles(times_us: impl IntoIterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS) else {
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

/// Times to the end of the whole answers of one service.
pub fn whole_answers(records: &[Record], service: &str) -> Percentiles {
    let of_service = records.iter().filter(|record| &*record.service == service);
    let whole = of_service.filter(|record| record.answer == Answer::Whole);
    percentiles(whole.map(|record| record.ended_us.saturating_sub(record.sent_us)))
}
