//! Guards when an overloaded process takes connections.

use span_edge::overload::OverloadDetector;

/// All callers of a workspace used one router with 0.12 of a core and sent it
/// several times what it could read. Each request was accepted so late that
/// hardly any was served in time (cordillera-rosemary-grown, scale-2 --seed
/// 295355987593).
#[test]
fn an_overloaded_process_ends_what_it_began_first() {
    struct Case {
        name: &'static str,
        /// When the task that is due each 50 ms ran.
        ran_ms: &'static [u64],
        accepted_ms: u64,
        now_ms: u64,
        may_accept: bool,
    }
    let cases = [
        Case { name: "just started", ran_ms: &[], accepted_ms: 0, now_ms: 10, may_accept: true },
        Case {
            name: "in time",
            ran_ms: &[1_000, 1_051],
            accepted_ms: 1_050,
            now_ms: 1_060,
            may_accept: true,
        },
        Case {
            name: "late",
            ran_ms: &[1_000, 1_090],
            accepted_ms: 1_050,
            now_ms: 1_100,
            may_accept: false,
        },
        Case {
            name: "late, then in time",
            ran_ms: &[1_000, 1_090, 1_140],
            accepted_ms: 1_050,
            now_ms: 1_141,
            may_accept: true,
        },
        // A router that is ready has to take connections now and then.
        Case {
            name: "late for long",
            ran_ms: &[1_000, 1_090],
            accepted_ms: 600,
            now_ms: 1_100,
            may_accept: true,
        },
    ];
    for case in cases {
        let mut overload = OverloadDetector::default();
        case.ran_ms.iter().for_each(|at_ms| overload.record_tick(*at_ms));
        overload.record_accept(case.accepted_ms);
        assert_eq!(overload.may_accept(case.now_ms), case.may_accept, "{}", case.name);
    }
}
