//! Tests of which routers of a fleet read the store, and when.

use span_edge::store_source::{
    COLLECTOR_TIMEOUT_MS, ReadOrder, START_WAIT_MS, StartState, StoreSource,
};

/// A collector that is silent, or gets no answer of the store, must not keep
/// its whole failure domain from reading the store.
#[test]
fn router_reads_the_store_in_its_turn() {
    struct Case {
        name: &'static str,
        order: ReadOrder,
        /// Time of the collector's last message, and age of the answer that it reported.
        report: Option<(u64, u64)>,
        reads: bool,
    }
    let first = ReadOrder::Member { rank: 0 };
    let third = ReadOrder::Member { rank: 2 };
    let tenth = ReadOrder::Member { rank: 9 };
    let second_collector = ReadOrder::Collector { rank: 1 };
    let cases = [
        Case { name: "small fleet", order: ReadOrder::Always, report: None, reads: true },
        Case { name: "no message", order: tenth, report: None, reads: true },
        Case { name: "recent answer", order: first, report: Some((9_900, 100)), reads: false },
        Case { name: "silent collector", order: tenth, report: Some((8_700, 100)), reads: true },
        Case { name: "old answer, first", order: first, report: Some((9_900, 1_400)), reads: true },
        Case {
            name: "old answer, third",
            order: third,
            report: Some((9_900, 1_400)),
            reads: false,
        },
        Case {
            name: "older answer, third",
            order: third,
            report: Some((9_900, 2_200)),
            reads: true,
        },
        Case {
            name: "old answer, tenth",
            order: tenth,
            report: Some((9_900, 8_000)),
            reads: false,
        },
        Case {
            name: "second collector, recent answer",
            order: second_collector,
            report: Some((9_900, 600)),
            reads: false,
        },
        Case {
            name: "second collector, old answer",
            order: second_collector,
            report: Some((9_900, 700)),
            reads: true,
        },
    ];
    for case in cases {
        let mut source = StoreSource::default();
        if let Some((at_ms, store_age_ms)) = case.report {
            source.record_peer_report(at_ms, store_age_ms, true);
        }
        assert_eq!(source.reads_upstreams(10_000, case.order), case.reads, "{}", case.name);
        assert_eq!(source.reads_config(10_000, case.order), case.reads, "{}", case.name);
    }
}

/// While the store was down for 4.5 s, all 195 routers called it again and again:
/// 8,477 calls in 34 s (scenario trouble-2 of magnolia-fit-large).
#[test]
fn few_routers_call_a_store_that_is_down() {
    const DOMAINS: usize = 5;
    const MEMBERS: usize = 38;
    const OUTAGE_MS: u64 = 4_500;
    let orders = (0..DOMAINS)
        .map(|rank| ReadOrder::Collector { rank })
        .chain((0..DOMAINS * MEMBERS).map(|index| ReadOrder::Member { rank: index % MEMBERS }));
    let mut sources: Vec<(ReadOrder, StoreSource)> =
        orders.map(|order| (order, StoreSource::default())).collect();
    let mut most_readers = 0;
    for now_ms in (0..OUTAGE_MS).step_by(100) {
        for (order, source) in &mut sources {
            // The collectors are heard, but report no answer since the outage began.
            source.record_peer_report(now_ms, now_ms, matches!(order, ReadOrder::Member { .. }));
        }
        let readers = sources.iter_mut();
        let readers =
            readers.filter_map(|(order, source)| source.reads_config(now_ms, *order).then_some(()));
        most_readers = most_readers.max(readers.count());
    }
    assert_eq!(most_readers, DOMAINS + 3 * DOMAINS);
}

/// What a router knows must not depend on the collector's own access to the store: any
/// other router that the store serves reports its answers.
#[test]
fn answer_to_any_router_counts() {
    let mut source = StoreSource::default();
    let order = ReadOrder::Member { rank: 0 };
    source.record_peer_report(10_000, 5_000, true);
    source.record_peer_report(10_000, 200, false);
    assert_eq!(source.store_age_ms(10_000), 200);
    assert!(!source.reads_config(10_000, order));
    source.record_answer(10_500);
    assert_eq!(source.store_age_ms(10_600), 100);
    // The collector itself has not been heard since.
    assert!(source.reads_config(10_000 + COLLECTOR_TIMEOUT_MS, order));
}

/// A router that took over and gave up again at the first answer would leave the fleet
/// without a reader every second.
#[test]
fn router_that_took_over_reads_on() {
    let mut source = StoreSource::default();
    let order = ReadOrder::Collector { rank: 1 };
    source.record_peer_report(9_000, 0, false);
    assert!(source.reads_upstreams(10_000, order));
    source.record_answer(10_010);
    assert!(source.reads_upstreams(10_500, order));
    source.record_peer_report(16_000, 0, false);
    assert!(!source.reads_upstreams(16_000, order));
}

/// A configuration with 1,324 more routes was not in force at a small instance
/// after 6 s, because its collector could not send it within the time limit of a
/// fetch (scenario trouble-2 of magnolia-fit-grown, seed 355356803341).
#[test]
fn config_is_read_from_the_store_after_a_failed_fetch() {
    let mut source = StoreSource::default();
    let order = ReadOrder::Member { rank: 9 };
    source.record_peer_report(0, 0, true);
    assert!(!source.reads_config(100, order));
    source.record_config_fetch_failure();
    assert!(source.reads_config(100, order));
    // The upstream entries still come from the collector.
    assert!(!source.reads_upstreams(100, order));
    source.record_config_read();
    assert!(!source.reads_config(100, order));
}

/// A router whose fetch of the upstream entries failed kept old ones for as long as
/// it got messages of the collector.
#[test]
fn upstreams_are_read_from_the_store_after_a_failed_fetch() {
    let mut source = StoreSource::default();
    let order = ReadOrder::Member { rank: 9 };
    source.record_peer_report(0, 0, true);
    assert!(!source.reads_upstreams(100, order));
    source.record_upstreams_fetch_failure();
    assert!(source.reads_upstreams(100, order));
    assert!(!source.reads_config(100, order));
    source.record_upstreams_read();
    assert!(!source.reads_upstreams(100, order));
}

/// The first collector always reads the store. If the store turned it away, it kept
/// its old entries, although others were served and had newer ones.
#[test]
fn reader_that_the_store_turns_away_takes_entries_of_others() {
    let mut source = StoreSource::default();
    source.record_answer(1_000);
    assert!(!source.accepts_peer_entries(2_900, ReadOrder::Always));
    source.record_peer_report(3_100, 0, false);
    assert!(source.accepts_peer_entries(3_100, ReadOrder::Always));
    source.record_answer(3_200);
    assert!(!source.accepts_peer_entries(3_300, ReadOrder::Always));
    // A member that does not read the store always takes them.
    let order = ReadOrder::Member { rank: 9 };
    source.record_peer_report(3_300, 0, true);
    assert!(source.accepts_peer_entries(3_400, order));
}

/// When all routers lost power and start together, none has a configuration. If each
/// waits for the others, callers wait with them (cordillera-rosemary, trouble-1: no
/// answer in time in the two seconds after the restart).
#[test]
fn seeds_read_the_store_at_once_when_all_routers_start() {
    struct Case {
        name: &'static str,
        is_seed: bool,
        has_other_seeds: bool,
        is_complete: bool,
        waits: bool,
    }
    let cases = [
        Case {
            name: "seed",
            is_seed: true,
            has_other_seeds: true,
            is_complete: false,
            waits: false,
        },
        Case {
            name: "other",
            is_seed: false,
            has_other_seeds: true,
            is_complete: false,
            waits: true,
        },
        Case {
            name: "served",
            is_seed: false,
            has_other_seeds: true,
            is_complete: true,
            waits: false,
        },
        Case {
            name: "alone",
            is_seed: false,
            has_other_seeds: false,
            is_complete: false,
            waits: false,
        },
    ];
    for Case { name, is_seed, has_other_seeds, is_complete, waits } in cases {
        let start = StartState { is_seed, has_other_seeds, is_complete };
        assert_eq!(start.awaits_peers(0), waits, "{name}");
        assert_eq!(start.awaits_peers(START_WAIT_MS - 1), waits, "{name}");
        assert!(!start.awaits_peers(START_WAIT_MS), "{name}");
    }
}
