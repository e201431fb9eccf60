//! Tests of when a router of a large fleet watches the store itself.

use span_edge::collector_status::CollectorStatus;

/// A collector that is silent or does not reach the store must not keep a router
/// from watching the store.
#[test]
fn collector_is_available_if_it_is_heard_and_reaches_the_store() {
    struct Case {
        name: &'static str,
        /// Time of the last message and age of the store's last answer.
        message: Option<(u64, u64)>,
        is_available: bool,
    }
    let cases = [
        Case { name: "no message", message: None, is_available: false },
        Case { name: "recent message", message: Some((9_000, 100)), is_available: true },
        Case { name: "old message", message: Some((8_700, 100)), is_available: false },
        Case {
            name: "old answer of the store",
            message: Some((9_000, 1_300)),
            is_available: false,
        },
    ];
    for case in cases {
        let mut status = CollectorStatus::default();
        if let Some((at_ms, store_age_ms)) = case.message {
            status.record_message(at_ms, store_age_ms);
        }
        assert_eq!(status.is_available(10_000), case.is_available, "{}", case.name);
    }
}

/// A configuration with 1,324 more routes was not in force at a small instance
/// after 6 s, because its collector could not send it within the time limit of a
/// fetch (scenario trouble-2 of magnolia-fit-grown, seed 355356803341).
#[test]
fn config_is_read_from_the_store_after_a_failed_fetch() {
    let mut status = CollectorStatus::default();
    status.record_message(0, 0);
    assert!(status.provides_config(100));
    status.record_config_fetch_failure();
    assert!(!status.provides_config(100));
    // The upstream entries still come from the collector.
    assert!(status.provides_upstreams(100));
    status.record_config_read();
    assert!(status.provides_config(100));
}

/// A router whose fetch of the upstream entries failed kept old ones for as long as
/// it got messages of the collector.
#[test]
fn upstreams_are_read_from_the_store_after_a_failed_fetch() {
    let mut status = CollectorStatus::default();
    status.record_message(0, 0);
    assert!(status.provides_upstreams(100));
    status.record_upstreams_fetch_failure();
    assert!(!status.provides_upstreams(100));
    assert!(status.provides_config(100));
    status.record_upstreams_read();
    assert!(status.provides_upstreams(100));
}
