//! Tests of the latency percentiles.

use span_load::latency::percentiles;

/// Guards against a histogram whose range is too small, which recorded every latency
/// as 2 µs.
#[test]
fn percentiles_of_known_times() {
    let times = percentiles((1..=1000).map(|n| n * 1_000));
    assert_eq!(times.count, 1000);
    let close = |value: u64, expected: u64| value.abs_diff(expected) * 500 <= expected;
    assert!(close(times.p50_us, 500_000), "{times:?}");
    assert!(close(times.p95_us, 950_000), "{times:?}");
    assert!(close(times.p99_us, 990_000), "{times:?}");
    assert!(close(times.max_us, 1_000_000), "{times:?}");
    assert_eq!(percentiles([]).count, 0);
}
