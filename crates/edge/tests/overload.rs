//! Tests of when an overloaded process accepts connections.

use span_edge::overload::OverloadDetector;

/// All callers of a workspace used one router with 0.12 of a core and sent several
/// times what it could read. Each request was accepted so late that hardly any was
/// served in time (scenario scale-2 of cordillera-rosemary-grown, seed
/// 295355987593).
#[test]
fn overloaded_process_accepts_no_connection_until_it_has_caught_up() {
    struct Case {
        name: &'static str,
        /// When the periodic task, which is due every 50 ms, ran.
        ticks_ms: &'static [u64],
        accepted_ms: u64,
        now_ms: u64,
        may_accept: bool,
    }
    let cases = [
        Case { name: "no tick yet", ticks_ms: &[], accepted_ms: 0, now_ms: 10, may_accept: true },
        Case {
            name: "tick in time",
            ticks_ms: &[1_000, 1_051],
            accepted_ms: 1_050,
            now_ms: 1_060,
            may_accept: true,
        },
        Case {
            name: "late tick",
            ticks_ms: &[1_000, 1_090],
            accepted_ms: 1_050,
            now_ms: 1_100,
            may_accept: false,
        },
        Case {
            name: "late tick, then tick in time",
            ticks_ms: &[1_000, 1_090, 1_140],
            accepted_ms: 1_050,
            now_ms: 1_141,
            may_accept: true,
        },
        // A ready router has to accept a connection from time to time.
        Case {
            name: "late tick and no accept for a long time",
            ticks_ms: &[1_000, 1_090],
            accepted_ms: 600,
            now_ms: 1_100,
            may_accept: true,
        },
    ];
    for case in cases {
        let mut overload = OverloadDetector::default();
        case.ticks_ms.iter().for_each(|at_ms| overload.record_tick(*at_ms));
        overload.record_accept(case.accepted_ms);
        assert_eq!(overload.may_accept(case.now_ms), case.may_accept, "{}", case.name);
    }
}
