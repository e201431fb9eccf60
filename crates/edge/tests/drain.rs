//! Which requests a process that was told to stop still starts, without a network.

use span_edge::drain::DrainPlan;

/// Load: calls and streams with time limits of all lengths through a grace period. Guards against
/// requests that are started although their answers may come after the end of the process.
#[test]
fn request_starts_if_its_time_limit_ends_before_the_process() {
    struct Case {
        name: &'static str,
        grace_ms: u64,
        /// Time since the signal.
        at_ms: u64,
        limit_ms: u64,
        is_stream: bool,
        starts: bool,
    }
    let call = Case {
        name: "call at the signal",
        grace_ms: 8_000,
        at_ms: 0,
        limit_ms: 2_000,
        is_stream: false,
        starts: true,
    };
    let cases = [
        Case { name: "short call late", at_ms: 6_800, limit_ms: 800, ..call },
        Case { name: "call late", at_ms: 5_400, starts: true, ..call },
        Case { name: "call too late", at_ms: 5_700, starts: false, ..call },
        Case { name: "long call late", at_ms: 4_000, limit_ms: 4_000, starts: false, ..call },
        Case { name: "call longer than the grace", limit_ms: 12_000, starts: false, ..call },
        Case { name: "long stream early", at_ms: 2_000, limit_ms: 12_000, is_stream: true, ..call },
        Case {
            name: "long stream late",
            at_ms: 2_600,
            limit_ms: 12_000,
            is_stream: true,
            starts: false,
            ..call
        },
        Case { name: "short stream late", at_ms: 4_000, is_stream: true, ..call },
        Case { name: "short grace", grace_ms: 1_000, at_ms: 100, limit_ms: 400, ..call },
        Case {
            name: "short grace, too late",
            grace_ms: 1_000,
            at_ms: 300,
            limit_ms: 400,
            starts: false,
            ..call
        },
        Case {
            name: "short grace, long stream",
            grace_ms: 1_000,
            at_ms: 400,
            limit_ms: 12_000,
            is_stream: true,
            starts: false,
        },
        Case { name: "no grace", grace_ms: 0, limit_ms: 1, starts: false, ..call },
        call,
    ];
    const BEGIN_MS: u64 = 50_000;
    for case in cases {
        let plan = DrainPlan::new(BEGIN_MS, case.grace_ms);
        let now_ms = BEGIN_MS + case.at_ms;
        let starts = plan.may_start(now_ms, now_ms + case.limit_ms, case.is_stream);
        assert_eq!(starts, case.starts, "{}", case.name);
    }
}

/// Guards against a step of the stop that comes after the process has ended.
#[test]
fn steps_of_a_stop_are_in_order() {
    for grace_ms in [0, 100, 200, 500, 1_000, 3_000, 8_000, 60_000] {
        let plan = DrainPlan::new(7, grace_ms);
        assert!(plan.begin_ms <= plan.answer_by_ms, "{grace_ms}: {plan:?}");
        assert!(plan.answer_by_ms <= plan.end_ms, "{grace_ms}: {plan:?}");
        assert!(plan.accept_until_ms <= plan.answer_by_ms, "{grace_ms}: {plan:?}");
        assert!(plan.end_ms <= plan.begin_ms + grace_ms, "{grace_ms}: {plan:?}");
    }
}
