//! Guards when a router of a large fleet follows the store itself.

use span_edge::collector_status::CollectorStatus;

#[test]
fn a_router_relies_on_a_collector_that_it_hears_and_that_reaches_the_store() {
    struct Case {
        name: &'static str,
        heard: Option<(u64, u64)>,
        relies: bool,
    }
    let cases = [
        Case { name: "never heard", heard: None, relies: false },
        Case { name: "heard lately", heard: Some((9_000, 100)), relies: true },
        Case { name: "silent for too long", heard: Some((8_700, 100)), relies: false },
        Case { name: "without the store itself", heard: Some((9_000, 1_300)), relies: false },
    ];
    for case in cases {
        let mut status = CollectorStatus::default();
        if let Some((at_ms, store_age_ms)) = case.heard {
            status.record_message(at_ms, store_age_ms);
        }
        assert_eq!(status.is_available(10_000), case.relies, "{}", case.name);
    }
}

/// A configuration with 1,324 more routes was not in force at a small machine
/// after 6 s, because its collector could not deliver it within the time of a
/// fetch (CONFIG on trouble-2 of magnolia-fit-grown, seed 355356803341).
#[test]
fn a_configuration_that_the_collector_cannot_deliver_is_read_from_the_store() {
    let mut status = CollectorStatus::default();
    status.record_message(0, 0);
    assert!(status.provides_config(100));
    status.record_config_fetch_failure();
    assert!(!status.provides_config(100));
    // The entries of upstreams still come from the collector.
    assert!(status.provides_upstreams(100));
    status.record_config_read();
    assert!(status.provides_config(100));
}

/// A router whose fetch of the entries failed went on with old ones for as long
/// as it heard the collector.
#[test]
fn entries_that_the_collector_cannot_deliver_are_read_from_the_store() {
    let mut status = CollectorStatus::default();
    status.record_message(0, 0);
    assert!(status.provides_upstreams(100));
    status.record_upstreams_fetch_failure();
    assert!(!status.provides_upstreams(100));
    assert!(status.provides_config(100));
    status.record_upstreams_read();
    assert!(status.provides_upstreams(100));
}
