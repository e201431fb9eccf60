//! Pacing of control traffic and health of upstreams, on virtual time.

use span_router::control::{Availability, Health, Pacer, PollState};
use span_types::UpstreamName;

const BUDGET: u64 = 2_500;

struct Load {
    guards_against: &'static str,
    bytes_per_s: u64,
    period_ms: u64,
    /// Period asked for after 60 s.
    expected_ms: u64,
    may_push: bool,
}

/// Guards against an owner whose traffic passes the budget, and against
/// routers that report rarely although there is room.
#[test]
fn report_period_follows_the_traffic() {
    let cases = [
        Load {
            guards_against: "a quiet owner that slows its routers down",
            bytes_per_s: 400,
            period_ms: 250,
            expected_ms: 250,
            may_push: true,
        },
        Load {
            guards_against: "an owner close to the budget that slows its routers down",
            bytes_per_s: 2_200,
            period_ms: 250,
            expected_ms: 250,
            may_push: true,
        },
        Load {
            guards_against: "an owner over the budget that goes on as before",
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
            guards_against: "a period shorter than the fan-in demands",
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

/// Guards against a period that stays long after the traffic has fallen.
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

/// Guards against load polls that cost more than the exchanges, and against
/// upstreams that queue, fail or recover unseen.
#[test]
fn load_polls_follow_the_need() {
    let steady = PollState { upstreams: 18, shard_in_use: true, ..PollState::default() };
    let cases = [
        Poll {
            guards_against: "more than 4 polls per second of upstreams that queue nothing",
            state: steady,
            interval_ms: 4_500,
        },
        Poll {
            guards_against: "an interval that differs from the large shard's for no reason",
            state: PollState { upstreams: 3, ..steady },
            interval_ms: 2_000,
        },
        Poll {
            guards_against: "polls at the usual rate while the shard is not in use",
            state: PollState { shard_in_use: false, ..steady },
            interval_ms: 10_000,
        },
        Poll {
            guards_against: "a queue that is followed slowly",
            state: PollState { has_queue: true, ..steady },
            interval_ms: 500,
        },
        Poll {
            guards_against: "a lowered limit that is raised slowly",
            state: PollState { limit_reduced: true, ..steady },
            interval_ms: 500,
        },
        Poll {
            guards_against: "a failed upstream of an unused shard that stays in use",
            state: PollState { consecutive_failures: 1, shard_in_use: false, ..steady },
            interval_ms: 500,
        },
        Poll {
            guards_against: "a large shard that costs more than 40 polls per second",
            state: PollState { has_queue: true, upstreams: 64, ..steady },
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
}

use Event::{Abandoned, Answered, Failed, Probe, Silent};

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

/// Guards against work for failed upstreams and against giving one up for good.
#[test]
fn upstream_health() {
    let blocked = || vec![(0, Failed), (0, Failed)];
    let with = |more: Vec<(u64, Event)>| blocked().into_iter().chain(more).collect();
    let cases = [
        case("an unknown upstream is not used", vec![], 0, Availability::Usable),
        case("one failure blocks", vec![(0, Failed)], 0, Availability::Usable),
        case(
            "failures that are not in a row block",
            vec![(0, Failed), (1, Answered), (2, Failed)],
            2,
            Availability::Usable,
        ),
        case("failures never block", blocked(), 499, Availability::Blocked),
        case(
            "a silent upstream costs two callers their time",
            vec![(0, Silent)],
            1,
            Availability::Blocked,
        ),
        case("a blocked upstream is never tried", blocked(), 500, Availability::Probing),
        case("two probes run at a time", with(vec![(500, Probe)]), 9_000, Availability::Blocked),
        case(
            "a failed probe brings it back",
            with(vec![(500, Probe), (510, Failed)]),
            1_509,
            Availability::Blocked,
        ),
        case(
            "probes do not slow down",
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
        case(
            "a probe whose caller left blocks for good",
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
                Answered => drop(health.record_answer(&upstream)),
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
