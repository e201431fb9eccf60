//! Pacing of control traffic, load poll intervals and health of upstreams, with
//! simulated time.

use span_router::control::{Availability, Health, Pacer, PollState};
use span_types::UpstreamName;

const BUDGET: u64 = 2_500;

struct Load {
    guards_against: &'static str,
    bytes_per_s: u64,
    period_ms: u64,
    /// Report period after 60 s.
    expected_ms: u64,
    may_push: bool,
}

/// Guards against an owner whose traffic exceeds the budget, and against reports
/// that are delayed although the traffic is within the budget.
#[test]
fn report_period_follows_traffic() {
    let cases = [
        Load {
            guards_against: "an owner with little traffic that extends the period",
            bytes_per_s: 400,
            period_ms: 250,
            expected_ms: 250,
            may_push: true,
        },
        Load {
            guards_against: "an owner close to the budget that extends the period",
            bytes_per_s: 2_200,
            period_ms: 250,
            expected_ms: 250,
            may_push: true,
        },
        Load {
            guards_against: "an owner over the budget that keeps its period",
            bytes_per_s: 6_000,
            period_ms: 250,
            expected_ms: 2_000,
            may_push: false,
        },
        Load {
            guards_against: "a period longer than an allocation is valid",
            bytes_per_s: 60_000,
            period_ms: 1_200,
            expected_ms: 2_000,
            may_push: false,
        },
        Load {
            guards_against: "a period shorter than the size of the fleet requires",
            bytes_per_s: 60_000,
            period_ms: 3_200,
            expected_ms: 3_200,
            may_push: false,
        },
    ];
    for case in cases {
        let mut pacer = Pacer::new(BUDGET);
        for second in 0..60 {
            pacer.sample(second * 1_000, second * case.bytes_per_s);
        }
        assert_eq!(pacer.period_ms(case.period_ms), case.expected_ms, "{}", case.guards_against);
        assert_eq!(pacer.may_push(), case.may_push, "{}", case.guards_against);
    }
}

/// Guards against a period that stays extended after the traffic has dropped.
#[test]
fn report_period_recovers() {
    let mut pacer = Pacer::new(BUDGET);
    let mut total = 0;
    for second in 0..120 {
        total += if second < 20 { 9_000 } else { 500 };
        pacer.sample(second * 1_000, total);
    }
    assert_eq!(pacer.period_ms(250), 250);
}

struct Poll {
    guards_against: &'static str,
    state: PollState,
    interval_ms: u64,
}

/// Guards against load polls that cost more than the exchanges, and against polls
/// too rare to notice upstreams that queue, fail or recover.
#[test]
fn load_poll_interval_follows_conditions() {
    let steady = PollState { polled_upstreams: 18, shard_in_use: true, ..PollState::default() };
    let cases = [
        Poll {
            guards_against: "more than 4 polls per second of upstreams that queue nothing",
            state: steady,
            interval_ms: 4_500,
        },
        Poll {
            guards_against: "an interval of a small shard that is longer than needed",
            state: PollState { polled_upstreams: 3, ..steady },
            interval_ms: 2_000,
        },
        Poll {
            guards_against: "polls at the steady rate while the shard is not in use",
            state: PollState { shard_in_use: false, ..steady },
            interval_ms: 10_000,
        },
        Poll {
            guards_against: "slow polls while the upstream queues requests",
            state: PollState { has_queue: true, ..steady },
            interval_ms: 500,
        },
        Poll {
            guards_against: "slow polls while a limit is lowered",
            state: PollState { limit_reduced: true, ..steady },
            interval_ms: 500,
        },
        Poll {
            guards_against: "slow polls of a failed upstream whose shard is not in use",
            state: PollState { consecutive_failures: 1, shard_in_use: false, ..steady },
            interval_ms: 500,
        },
        Poll {
            guards_against: "more than 40 polls per second of a large shard",
            state: PollState { has_queue: true, polled_upstreams: 64, ..steady },
            interval_ms: 1_600,
        },
    ];
    for case in cases {
        assert_eq!(case.state.interval_ms(), case.interval_ms, "{}", case.guards_against);
    }
}

enum Event {
    Failed,
    Silent,
    Answered,
    Abandoned,
    Probe,
    /// The upstream asks for a pause of 2 s.
    Paused,
}

use Event::{Abandoned, Answered, Failed, Paused, Probe, Silent};

struct Case {
    guards_against: &'static str,
    events: Vec<(u64, Event)>,
    at_ms: u64,
    expected: Availability,
}

fn case(
    guards_against: &'static str,
    events: Vec<(u64, Event)>,
    at_ms: u64,
    expected: Availability,
) -> Case {
    Case { guards_against, events, at_ms, expected }
}

/// Guards against requests to failed upstreams, and against upstreams that stay
/// blocked after they have recovered.
#[test]
fn upstream_availability_follows_results() {
    let blocked = || vec![(0, Failed), (0, Failed)];
    let with = |more: Vec<(u64, Event)>| blocked().into_iter().chain(more).collect();
    let cases = [
        case("an unknown upstream is not used", vec![], 0, Availability::Usable),
        case("one failure blocks", vec![(0, Failed)], 0, Availability::Usable),
        case(
            "failures that are not consecutive block",
            vec![(0, Failed), (1, Answered), (2, Failed)],
            2,
            Availability::Usable,
        ),
        case("failures never block", blocked(), 499, Availability::Blocked),
        case(
            "a silent upstream delays a second caller",
            vec![(0, Silent)],
            1,
            Availability::Blocked,
        ),
        case("a blocked upstream is never probed", blocked(), 500, Availability::Probing),
        case("two probes run concurrently", with(vec![(500, Probe)]), 9_000, Availability::Blocked),
        case(
            "a failed probe unblocks",
            with(vec![(500, Probe), (510, Failed)]),
            1_509,
            Availability::Blocked,
        ),
        case(
            "the delay does not double after a failed probe",
            with(vec![(500, Probe), (510, Failed)]),
            1_510,
            Availability::Probing,
        ),
        case(
            "an answered probe changes nothing",
            with(vec![(500, Probe), (510, Answered)]),
            510,
            Availability::Usable,
        ),
        case("a pause ends early", vec![(0, Paused)], 1_999, Availability::Blocked),
        case(
            "all requests are sent at once after a pause",
            vec![(0, Paused)],
            2_000,
            Availability::Probing,
        ),
        case(
            "an answer to an earlier request ends a pause",
            vec![(0, Paused), (100, Answered)],
            1_999,
            Availability::Blocked,
        ),
        case(
            "a failure shortens a pause",
            vec![(0, Paused), (100, Failed)],
            1_999,
            Availability::Blocked,
        ),
        case(
            "a probe whose caller left blocks permanently",
            with(vec![(500, Probe), (510, Abandoned)]),
            510,
            Availability::Probing,
        ),
    ];
    let upstream = UpstreamName::from("engine-0");
    for case in cases {
        let mut health = Health::default();
        for (now_ms, event) in case.events {
            match event {
                Failed => drop(health.record_failure(now_ms, &upstream, false)),
                Silent => drop(health.record_failure(now_ms, &upstream, true)),
                Answered => drop(health.record_answer(now_ms, &upstream)),
                Paused => drop(health.record_pause(now_ms, &upstream, 2_000)),
                Abandoned => health.record_abandoned(&upstream),
                Probe => health.start_probe(&upstream),
            }
        }
        assert_eq!(
            health.availability(case.at_ms, &upstream),
            case.expected,
            "{}",
            case.guards_against
        );
    }
}
