//! Tests of the estimate for how long callers have waited before an attempt.

use span_edge::{
    caller_time::{CallerTimes, merge_limits},
    stream_records::RouteId,
};

/// Records first attempts of callers whose limits lie between 10 and 12 s.
fn record_first_attempts(times: &mut CallerTimes, now_ms: u64, route: &RouteId, count: u64) {
    for attempt in 0..count {
        let remaining_ms = 10_000 + attempt * 37 % count * 2_000 / count;
        times.record(now_ms, route, &"calm".into(), remaining_ms);
    }
}

/// Attempts of callers that were rejected and come back must be told from first ones, though
/// the time limits of callers differ by a fifth.
#[test]
fn attempt_that_states_less_than_any_first_one_is_a_repeat() {
    struct Case {
        name: &'static str,
        remaining_ms: u64,
        spent_ms: u64,
    }
    let cases = [
        Case { name: "longest limit", remaining_ms: 12_000, spent_ms: 0 },
        Case { name: "shortest limit", remaining_ms: 10_000, spent_ms: 0 },
        Case { name: "came back late", remaining_ms: 8_000, spent_ms: 3_000 },
        Case { name: "longer limit than before", remaining_ms: 20_000, spent_ms: 0 },
    ];
    for case in cases {
        let (mut times, route) = (CallerTimes::default(), "h/a/".into());
        record_first_attempts(&mut times, 0, &route, 640);
        let spent_ms = times.record(1_000, &route, &"calm".into(), case.remaining_ms);
        assert!(spent_ms.abs_diff(case.spent_ms) <= 200, "{}: {spent_ms}", case.name);
    }
}

/// In an overload half of the attempts are repeats; what was learnt before it still counts.
#[test]
fn limits_learnt_in_quiet_times_hold_in_an_overload() {
    let (mut times, route) = (CallerTimes::default(), "h/a/".into());
    record_first_attempts(&mut times, 0, &route, 128);
    for second in 1..60 {
        let now_ms = second * 1_000;
        record_first_attempts(&mut times, now_ms, &route, 40);
        for repeat in 0..40 {
            let spent_ms = times.record(now_ms, &route, &"calm".into(), 6_000 + repeat * 50);
            assert!(spent_ms > 1_500, "second {second}: {spent_ms}");
        }
    }
}

/// Callers of a workspace with shorter limits than others must not count as late for ever.
#[test]
fn workspace_with_shorter_limits_is_not_taken_for_one_that_repeats() {
    let (mut times, route) = (CallerTimes::default(), "h/a/".into());
    record_first_attempts(&mut times, 0, &route, 640);
    let mut spent_ms = 0;
    for attempt in 0..20 {
        spent_ms = times.record(1_000 + attempt * 50, &route, &"hasty".into(), 3_000);
    }
    assert_eq!(spent_ms, 0);
}

/// Too few attempts say nothing, and routes do not share their limits.
#[test]
fn nothing_is_concluded_from_few_attempts_or_from_another_route() {
    let mut times = CallerTimes::default();
    record_first_attempts(&mut times, 0, &"h/a/".into(), 640);
    assert_eq!(times.record(0, &"h/b/".into(), &"calm".into(), 3_000), 0);
    let mut times = CallerTimes::default();
    record_first_attempts(&mut times, 0, &"h/a/".into(), 20);
    assert_eq!(times.record(0, &"h/a/".into(), &"calm".into(), 3_000), 0);
}

/// A router that starts in an overload sees mostly repeats, and would take them for first
/// attempts if the others did not tell it better.
#[test]
fn router_that_starts_in_an_overload_learns_limits_from_the_others() {
    let route: RouteId = "h/a/".into();
    let mut calm = CallerTimes::default();
    record_first_attempts(&mut calm, 0, &route, 128);
    let mut started = CallerTimes::default();
    for repeat in 0..128 {
        started.record(0, &route, &"calm".into(), 6_000 + repeat * 50);
    }
    let mut fleet = started.shortest_limits();
    merge_limits(&mut fleet, &calm.shortest_limits());
    started.set_fleet_limits(&fleet);
    record_first_attempts(&mut started, 1_000, &route, 40);
    assert!(started.record(1_000, &route, &"calm".into(), 8_000) >= 1_800);
}
