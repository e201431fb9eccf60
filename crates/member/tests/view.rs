//! Membership transitions on virtual time.

use span_member::{ListedInstance, MemberUpdate, MembershipTiming, MembershipView, Router};
use span_types::{Incarnation, InstanceName, Member, MemberState};

use MemberState::{Alive, Dead, Leaving, Suspect};

fn router(name: &str, incarnation: u64) -> Router {
    let address = "127.0.0.1:1".parse().expect("address");
    Router {
        member: Member { instance: name.into(), incarnation: Incarnation(incarnation) },
        http_address: address,
        peer_address: address,
        failure_domain: "hall-atl".into(),
        processor_millicores: 0,
    }
}

fn update(incarnation: u64, epoch: u32, state: MemberState) -> MemberUpdate {
    MemberUpdate { router: router("b", incarnation), epoch, state }
}

/// One event in the life of a view that watches instance `b`.
#[derive(Clone, Debug)]
enum Event {
    /// A message from `b` itself.
    Heard(u64, u32, MemberState),
    /// A statement about `b` from a third router.
    Learned(u64, u32, MemberState),
    /// A connection to `b` was refused.
    Refused,
    /// Time passes, with the heartbeats of `b` expected here.
    Tick,
    /// Time passes; other routers watch `b`.
    TickUnwatched,
}

use Event::{Heard, Learned, Refused, Tick, TickUnwatched};

struct Case {
    guards_against: &'static str,
    events: Vec<(u64, Event)>,
    state: Option<MemberState>,
    incarnation: Option<u64>,
}

fn case(
    guards_against: &'static str,
    events: &[(u64, Event)],
    expected: Option<(u64, MemberState)>,
) -> Case {
    Case {
        guards_against,
        events: events.to_vec(),
        state: expected.map(|(_, state)| state),
        incarnation: expected.map(|(incarnation, _)| incarnation),
    }
}

fn cases() -> Vec<Case> {
    vec![
        case(
            "a member that only peers know is ignored until the list has it",
            &[(0, Learned(1, 0, Alive))],
            Some((1, Alive)),
        ),
        case("a dead stranger circulates for ever", &[(0, Learned(1, 0, Dead))], None),
        case(
            "a member is suspected before its time",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (1_499, Tick)],
            Some((1, Alive)),
        ),
        case(
            "a silent member is never suspected",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (1_500, Tick)],
            Some((1, Suspect)),
        ),
        case(
            "a suspect is removed before its time",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (1_500, Tick), (2_999, Tick)],
            Some((1, Suspect)),
        ),
        case(
            "a silent member is never removed",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (3_000, Tick)],
            Some((1, Dead)),
        ),
        case(
            "a late heartbeat does not clear the suspicion",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (2_000, Tick), (2_100, Heard(1, 0, Alive))],
            Some((1, Alive)),
        ),
        case(
            "a member is judged by silence from before it was watched",
            &[(0, Heard(1, 0, Alive)), (60_000, Tick), (61_000, Tick)],
            Some((1, Alive)),
        ),
        case(
            "a member that others watch is judged by its silence here",
            &[(0, Heard(1, 0, Alive)), (90_000, TickUnwatched)],
            Some((1, Alive)),
        ),
        case(
            "one refused connection, as in a restart, removes a member",
            &[(0, Heard(1, 0, Alive)), (1, Refused)],
            Some((1, Alive)),
        ),
        case(
            "removal of a process that is gone waits for the time limit",
            &[(0, Heard(1, 0, Alive)), (1, Refused), (2, Refused)],
            Some((1, Dead)),
        ),
        case(
            "refusals that are not in a row add up",
            &[(0, Heard(1, 0, Alive)), (1, Refused), (2, Heard(1, 0, Alive)), (3, Refused)],
            Some((1, Alive)),
        ),
        case(
            "a restarted process does not replace the old one",
            &[(0, Heard(1, 0, Alive)), (1, Refused), (2, Refused), (3, Heard(2, 0, Alive))],
            Some((2, Alive)),
        ),
        case(
            "a delayed message of a replaced process brings it back",
            &[(0, Heard(2, 0, Alive)), (1, Heard(1, 9, Alive)), (2, Learned(1, 9, Alive))],
            Some((2, Alive)),
        ),
        case(
            "old news brings a dead member back",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (3_000, Tick), (3_100, Learned(1, 0, Alive))],
            Some((1, Dead)),
        ),
        case(
            "a member cannot contradict its removal through peers",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (3_000, Tick), (3_100, Learned(1, 1, Alive))],
            Some((1, Alive)),
        ),
        case(
            "a member cannot rejoin with the same incarnation after a partition",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (3_000, Tick), (9_000, Heard(1, 0, Alive))],
            Some((1, Alive)),
        ),
        case(
            "a member that is removed stays in memory for ever",
            &[(0, Heard(1, 0, Alive)), (0, Tick), (3_000, Tick), (63_000, Tick)],
            None,
        ),
        case(
            "leaving is undone by older news",
            &[(0, Heard(1, 0, Leaving)), (1, Learned(1, 0, Alive))],
            Some((1, Leaving)),
        ),
        case(
            "a member claims to be dead and confuses the others",
            &[(0, Heard(1, 0, Alive)), (1, Heard(1, 1, Dead))],
            Some((1, Alive)),
        ),
    ]
}

fn apply(view: &mut MembershipView, now_ms: u64, event: Event) {
    let b = InstanceName::from("b");
    match event {
        Heard(incarnation, epoch, state) => {
            view.apply_direct_update(now_ms, update(incarnation, epoch, state));
        }
        Learned(incarnation, epoch, state) => {
            view.apply_relayed_update(now_ms, update(incarnation, epoch, state));
        }
        Refused => {
            view.record_refused_connection(now_ms, &b);
        }
        Tick => {
            view.check_timeouts(now_ms, &[b]);
        }
        TickUnwatched => {
            view.check_timeouts(now_ms, &[]);
        }
    }
}

#[test]
fn transitions() {
    for case in cases() {
        let mut view = MembershipView::new(router("a", 1), MembershipTiming::default());
        for (now_ms, event) in case.events {
            apply(&mut view, now_ms, event);
        }
        let status = view.member_statuses();
        let found = status.first().map(|status| &status.update);
        assert_eq!(found.map(|update| update.state), case.state, "{}", case.guards_against);
        let incarnation = found.map(|update| update.router.member.incarnation.0);
        assert_eq!(incarnation, case.incarnation, "{}", case.guards_against);
    }
}

/// Guards against a live member that stays removed because its peers hold on
/// to a wrong statement.
#[test]
fn a_member_contradicts_its_own_death() {
    let mut view = MembershipView::new(router("b", 1), MembershipTiming::default());
    view.apply_relayed_update(0, update(1, 0, Suspect));
    assert_eq!((view.own_update().epoch, view.own_update().state), (1, Alive));
    view.apply_relayed_update(0, update(1, 0, Dead));
    assert_eq!(view.own_update().epoch, 1, "an answered statement is answered again");
    view.apply_relayed_update(0, update(0, 7, Dead));
    assert_eq!(view.own_update().epoch, 1, "a statement about an earlier process is answered");
}

/// Guards against callers or shards on routers that are about to go, and
/// against listed instances that never answered being counted as live.
#[test]
fn leaving_and_listed_instances() {
    let mut view = MembershipView::new(router("a", 1), MembershipTiming::default());
    view.set_listed_instances(vec![
        ListedInstance { router: router("b", 0), leaving: true },
        ListedInstance { router: router("c", 0), leaving: false },
    ]);
    let names = |routers: Vec<&Router>| -> Vec<String> {
        routers.iter().map(|router| router.member.instance.to_string()).collect()
    };
    assert_eq!(names(view.live_routers()), ["a"]);
    assert_eq!(names(view.unjoined_instances()), ["b", "c"]);
    view.apply_direct_update(0, update(1, 0, Alive));
    assert_eq!(names(view.live_routers()), ["a", "b"]);
    assert_eq!(names(view.routers_for_callers()), ["a"]);
    assert_eq!(names(view.eligible_owners()), ["a"]);
    view.leave();
    assert_eq!(names(view.routers_for_callers()), [""; 0]);
    assert_eq!(names(view.eligible_owners()), ["a", "b"], "somebody has to own the shards");
}

/// Guards against news that is lost or repeated without end.
#[test]
fn news_is_sent_a_bounded_number_of_times() {
    let mut view = MembershipView::new(router("a", 1), MembershipTiming::default());
    view.apply_direct_update(0, update(1, 0, Alive));
    let peer = InstanceName::from("c");
    let sent = (0..100).filter(|_| !view.next_updates(&peer, 8).is_empty()).count();
    assert_eq!(sent, 7);
}
