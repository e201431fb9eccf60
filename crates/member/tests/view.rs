//! State transitions of members, on virtual time.

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

/// An event at a router that knows instance `b`.
#[derive(Clone, Debug)]
enum Event {
    /// An update from `b` itself: incarnation, epoch and state.
    DirectUpdate(u64, u32, MemberState),
    /// An update about `b` from a third router: incarnation, epoch and state.
    RelayedUpdate(u64, u32, MemberState),
    /// A connection to `b` was refused.
    RefusedConnection,
    /// Time-outs are checked while this router monitors `b`.
    CheckMonitored,
    /// Time-outs are checked while only other routers monitor `b`.
    CheckUnmonitored,
}

use Event::{CheckMonitored, CheckUnmonitored, DirectUpdate, RefusedConnection, RelayedUpdate};

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
            "a member that only peers know is ignored until the instance list contains it",
            &[(0, RelayedUpdate(1, 0, Alive))],
            Some((1, Alive)),
        ),
        case(
            "an update about an unknown dead member circulates for ever",
            &[(0, RelayedUpdate(1, 0, Dead))],
            None,
        ),
        case(
            "a member is suspected before its time-out",
            &[(0, DirectUpdate(1, 0, Alive)), (0, CheckMonitored), (1_499, CheckMonitored)],
            Some((1, Alive)),
        ),
        case(
            "a silent member is never suspected",
            &[(0, DirectUpdate(1, 0, Alive)), (0, CheckMonitored), (1_500, CheckMonitored)],
            Some((1, Suspect)),
        ),
        case(
            "a suspect member is declared dead before its time-out",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (0, CheckMonitored),
                (1_500, CheckMonitored),
                (2_999, CheckMonitored),
            ],
            Some((1, Suspect)),
        ),
        case(
            "a silent member is never declared dead",
            &[(0, DirectUpdate(1, 0, Alive)), (0, CheckMonitored), (3_000, CheckMonitored)],
            Some((1, Dead)),
        ),
        case(
            "a late heartbeat does not clear the suspicion",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (0, CheckMonitored),
                (2_000, CheckMonitored),
                (2_100, DirectUpdate(1, 0, Alive)),
            ],
            Some((1, Alive)),
        ),
        case(
            "a member is judged by silence from before it was monitored",
            &[(0, DirectUpdate(1, 0, Alive)), (60_000, CheckMonitored), (61_000, CheckMonitored)],
            Some((1, Alive)),
        ),
        case(
            "a member that other routers monitor is judged by its silence here",
            &[(0, DirectUpdate(1, 0, Alive)), (90_000, CheckUnmonitored)],
            Some((1, Alive)),
        ),
        case(
            "one refused connection, as in a restart, removes a member",
            &[(0, DirectUpdate(1, 0, Alive)), (1, RefusedConnection)],
            Some((1, Alive)),
        ),
        case(
            "a process that refuses connections stays live until its time-out",
            &[(0, DirectUpdate(1, 0, Alive)), (1, RefusedConnection), (2, RefusedConnection)],
            Some((1, Dead)),
        ),
        case(
            "refused connections that are not consecutive add up",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (1, RefusedConnection),
                (2, DirectUpdate(1, 0, Alive)),
                (3, RefusedConnection),
            ],
            Some((1, Alive)),
        ),
        case(
            "a restarted process does not replace the old one",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (1, RefusedConnection),
                (2, RefusedConnection),
                (3, DirectUpdate(2, 0, Alive)),
            ],
            Some((2, Alive)),
        ),
        case(
            "a delayed message makes a replaced process live again",
            &[
                (0, DirectUpdate(2, 0, Alive)),
                (1, DirectUpdate(1, 9, Alive)),
                (2, RelayedUpdate(1, 9, Alive)),
            ],
            Some((2, Alive)),
        ),
        case(
            "an old update makes a dead member live again",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (0, CheckMonitored),
                (3_000, CheckMonitored),
                (3_100, RelayedUpdate(1, 0, Alive)),
            ],
            Some((1, Dead)),
        ),
        case(
            "a member cannot refute its death through peers",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (0, CheckMonitored),
                (3_000, CheckMonitored),
                (3_100, RelayedUpdate(1, 1, Alive)),
            ],
            Some((1, Alive)),
        ),
        case(
            "a member cannot rejoin with the same incarnation after a partition",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (0, CheckMonitored),
                (3_000, CheckMonitored),
                (9_000, DirectUpdate(1, 0, Alive)),
            ],
            Some((1, Alive)),
        ),
        case(
            "a dead member is kept for ever",
            &[
                (0, DirectUpdate(1, 0, Alive)),
                (0, CheckMonitored),
                (3_000, CheckMonitored),
                (63_000, CheckMonitored),
            ],
            None,
        ),
        case(
            "an older update reverts the leaving state",
            &[(0, DirectUpdate(1, 0, Leaving)), (1, RelayedUpdate(1, 0, Alive))],
            Some((1, Leaving)),
        ),
        case(
            "a member that reports itself dead is believed",
            &[(0, DirectUpdate(1, 0, Alive)), (1, DirectUpdate(1, 1, Dead))],
            Some((1, Alive)),
        ),
    ]
}

fn apply(view: &mut MembershipView, now_ms: u64, event: Event) {
    let b = InstanceName::from("b");
    match event {
        DirectUpdate(incarnation, epoch, state) => {
            view.apply_direct_update(now_ms, update(incarnation, epoch, state));
        }
        RelayedUpdate(incarnation, epoch, state) => {
            view.apply_relayed_update(now_ms, update(incarnation, epoch, state));
        }
        RefusedConnection => {
            view.record_refused_connection(now_ms, &b);
        }
        CheckMonitored => {
            view.check_timeouts(now_ms, &[b]);
        }
        CheckUnmonitored => {
            view.check_timeouts(now_ms, &[]);
        }
    }
}

#[test]
fn member_state_transitions() {
    for case in cases() {
        let mut view = MembershipView::new(router("a", 1), MembershipTiming::default());
        for (now_ms, event) in case.events {
            apply(&mut view, now_ms, event);
        }
        let status = view.member_statuses();
        let actual = status.first().map(|status| &status.update);
        assert_eq!(actual.map(|update| update.state), case.state, "{}", case.guards_against);
        let incarnation = actual.map(|update| update.router.member.incarnation.0);
        assert_eq!(incarnation, case.incarnation, "{}", case.guards_against);
    }
}

/// Guards against a live member that stays dead in the views of its peers.
#[test]
fn member_refutes_own_failure() {
    let mut view = MembershipView::new(router("b", 1), MembershipTiming::default());
    view.apply_relayed_update(0, update(1, 0, Suspect));
    assert_eq!((view.own_update().epoch, view.own_update().state), (1, Alive));
    view.apply_relayed_update(0, update(1, 0, Dead));
    assert_eq!(view.own_update().epoch, 1, "a refuted update raised the epoch again");
    view.apply_relayed_update(0, update(0, 7, Dead));
    assert_eq!(view.own_update().epoch, 1, "an update about an earlier process raised the epoch");
}

/// Guards against callers or shards at leaving routers, and against listed
/// instances that count as live before they have sent a message.
#[test]
fn leaving_and_listed_instances_are_excluded() {
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
    assert_eq!(
        names(view.eligible_owners()),
        ["a", "b"],
        "shards need an owner if all routers are leaving"
    );
}

/// Guards against updates that are not sent, or are sent without end.
#[test]
fn updates_are_sent_a_bounded_number_of_times() {
    let mut view = MembershipView::new(router("a", 1), MembershipTiming::default());
    view.apply_direct_update(0, update(1, 0, Alive));
    let peer = InstanceName::from("c");
    let sent = (0..100).filter(|_| !view.next_updates(&peer, 8).is_empty()).count();
    assert_eq!(sent, 7);
}
