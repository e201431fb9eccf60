//! Tests of what routers know and tell of where streams began.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use span_edge::{
    stream_origin::{
        ASKED_ROUTERS, AttemptOrigin, OriginNotice, RequestKey, StreamOrigin, StreamOrigins,
        TOLD_ROUTERS, routers_for_stream,
    },
    stream_records::HistoryRecord,
};
use span_types::{InstanceName, ServiceName, SoftwareVersion};

const LIFETIME_MS: u64 = 30_000;

fn service() -> ServiceName {
    "svc".into()
}

fn versions(versions: &[&str]) -> BTreeSet<SoftwareVersion> {
    versions.iter().map(|version| (*version).into()).collect()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: service(), software_version: version.into() }
}

fn start(version: &str) -> AttemptOrigin {
    AttemptOrigin { origin: origin(version), attempt: 1 }
}

fn origins(versions: &[&str]) -> BTreeSet<StreamOrigin> {
    versions.iter().map(|version| origin(version)).collect()
}

fn key(id: &str) -> RequestKey {
    RequestKey::new(id.as_bytes())
}

fn routers(numbers: std::ops::Range<usize>) -> Vec<InstanceName> {
    numbers.map(|number| format!("r{number}").into()).collect()
}

/// Guards against a stream that goes on at the only version left, although it may have
/// begun at one whose last upstream has just gone.
#[test]
fn version_stays_a_candidate_for_the_lifetime_of_its_streams() {
    let mut known = StreamOrigins::default();
    known.set_versions(0, &service(), &versions(&["v1"]));
    known.set_versions(1_000, &service(), &versions(&["v1", "v2"]));
    known.set_versions(2_000, &service(), &versions(&["v2"]));
    // A later change does not make the version go later.
    known.set_versions(9_000, &service(), &versions(&["v2"]));
    let cases: [(u64, &[&str]); 3] =
        [(2_000, &["v1", "v2"]), (31_999, &["v1", "v2"]), (32_000, &["v2"])];
    for (now_ms, expected) in cases {
        assert_eq!(known.candidates(now_ms, &service(), LIFETIME_MS), origins(expected));
    }
    known.set_versions(33_000, &service(), &versions(&["v1", "v2"]));
    assert_eq!(known.candidates(90_000, &service(), LIFETIME_MS), origins(&["v1", "v2"]));
}

/// Guards against streams that began before the second version appeared and of which no
/// other router is told, and against telling of each stream at all times.
#[test]
fn others_are_told_of_open_streams_once_versions_may_differ() {
    let mut known = StreamOrigins::default();
    for id in ["open", "ended", "expired"] {
        let lifetime_ms = if id == "expired" { 10 } else { LIFETIME_MS };
        known.begin(0, key(id), &start("v1"), lifetime_ms);
    }
    known.end(key("ended"));
    assert!(known.tell_all(100, |_| false).is_empty());
    let told = known.tell_all(100, |_| true);
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].request, &told[0].start), (key("open"), &start("v1")));
    assert_eq!(told[0].lifetime_ms, LIFETIME_MS - 100);
    assert!(known.tell_all(100, |_| true).is_empty());
    assert_eq!(known.tell(100, key("open")), None);

    let mut other = StreamOrigins::default();
    other.learn(200, &told[0]);
    assert_eq!(other.get(200, key("open")), Some(&start("v1")));
    assert_eq!(other.get(200 + LIFETIME_MS, key("open")), None);
    assert!(other.tell_all(200, |_| true).is_empty());
    assert_eq!(other.get(200, key("ended")), None);
}

/// Guards against a router that takes its only version for that of every stream, although
/// it was told of one that began at another: the entries of new upstreams may be late.
#[test]
fn notice_makes_its_version_a_candidate() {
    let mut first = StreamOrigins::default();
    first.begin(0, key("r1"), &start("v2"), LIFETIME_MS);
    let notice = first.tell(0, key("r1")).unwrap();
    let mut other = StreamOrigins::default();
    other.set_versions(0, &service(), &versions(&["v1"]));
    other.learn(100, &notice);
    let candidates = |now_ms| other.candidates(now_ms, &service(), LIFETIME_MS);
    assert_eq!(candidates(100), origins(&["v1", "v2"]));
    assert_eq!(candidates(100 + LIFETIME_MS), origins(&["v1"]));
}

/// Guards against streams that nobody knows any more once the routers that were told of
/// them have been restarted one after another: each passes on what it knows.
#[test]
fn leaving_router_passes_on_all_that_it_knows() {
    let mut known = StreamOrigins::default();
    known.begin(0, key("own"), &start("v1"), LIFETIME_MS);
    known.tell(0, key("own")).unwrap();
    known.begin(0, key("expired"), &start("v1"), 10);
    let mut first = StreamOrigins::default();
    first.begin(0, key("learned"), &start("v2"), LIFETIME_MS);
    known.learn(0, &first.tell(0, key("learned")).unwrap());
    let mut passed_on = known.hand_over(1_000, |_| true);
    passed_on.sort_by_key(|notice| notice.start.clone());
    let passed_on: Vec<_> = passed_on
        .iter()
        .map(|notice| (notice.request, &notice.start, notice.lifetime_ms))
        .collect();
    let left_ms = LIFETIME_MS - 1_000;
    let (old, new) = (start("v1"), start("v2"));
    assert_eq!(passed_on, [(key("own"), &old, left_ms), (key("learned"), &new, left_ms)]);
    assert!(known.hand_over(1_000, |_| false).is_empty());
}

/// Guards against a stream that nobody who is asked was told of, because routers have
/// joined or left since.
#[test]
fn asked_routers_include_those_that_were_told() {
    const STREAMS: usize = 500;
    struct Case {
        name: &'static str,
        later: std::ops::Range<usize>,
        lost_at_most: usize,
    }
    let cases = [
        Case { name: "same routers", later: 0..60, lost_at_most: 0 },
        Case { name: "five more", later: 0..65, lost_at_most: 0 },
        // All three that were told are among the lost half in an eighth of the cases.
        Case { name: "half of the routers", later: 30..60, lost_at_most: STREAMS / 5 },
    ];
    for case in cases {
        let (told, later) = (routers(0..60), routers(case.later));
        let lost = (0..STREAMS).filter(|stream| {
            let request = key(&stream.to_string());
            let told = routers_for_stream(&told, request, TOLD_ROUTERS);
            let asked = routers_for_stream(&later, request, ASKED_ROUTERS);
            !told.iter().any(|name| asked.contains(name))
        });
        let lost = lost.count();
        assert!(lost <= case.lost_at_most, "{}: {lost}", case.name);
    }
}

/// Guards against a router that has just started and takes the only version that it sees for
/// that of every stream, although another one served before.
#[test]
fn versions_from_before_the_start_are_candidates_for_the_lifetime_of_their_streams() {
    const START_MS: u64 = 200;
    let mut known = StreamOrigins::default();
    known.set_lifetime(0, LIFETIME_MS);
    known.set_versions(100, &service(), &versions(&["v2"]));
    assert!(!known.knows_history(START_MS, LIFETIME_MS));
    let record = HistoryRecord {
        versions: BTreeMap::from([(service(), versions(&["v1", "v2"]))]),
        ..HistoryRecord::default()
    };
    known.add_history(START_MS, Some(&record), false);
    assert!(!known.knows_history(START_MS, LIFETIME_MS));
    known.add_history(START_MS, Some(&record), true);
    assert!(known.knows_history(START_MS, LIFETIME_MS));
    let candidates = |now_ms| known.candidates(now_ms, &service(), LIFETIME_MS);
    assert_eq!(candidates(START_MS + LIFETIME_MS - 1), origins(&["v1", "v2"]));
    assert_eq!(candidates(START_MS + LIFETIME_MS), origins(&["v2"]));
    // Another router, which knows for longer, has let v1 go.
    let record = HistoryRecord {
        versions: BTreeMap::from([(service(), versions(&["v2"]))]),
        ..HistoryRecord::default()
    };
    known.add_history(START_MS + 1_000, Some(&record), true);
    let candidates = |now_ms| known.candidates(now_ms, &service(), LIFETIME_MS);
    assert_eq!(candidates(START_MS + 1_000), origins(&["v2"]));
}

/// Guards against a stream that goes on at the service that its route has moved to, and against
/// streams that nobody is told of while a route leads, or led lately, to several services.
#[test]
fn services_of_a_route_are_candidates_for_the_lifetime_of_its_streams() {
    let route = "h/a/".into();
    let routes =
        |service: &str| BTreeMap::from([("h/a/".into(), BTreeSet::from([service.into()]))]);
    let mut known = StreamOrigins::new(true);
    known.set_routes(0, &routes("old"));
    assert!(!known.may_differ(1_000, &"old".into(), LIFETIME_MS));
    known.set_routes(1_000, &routes("new"));
    let services = |known: &StreamOrigins, now_ms| {
        let services = known.route_services(now_ms, &route, LIFETIME_MS);
        services.map(|service| service.as_str().to_owned()).collect::<Vec<_>>()
    };
    for now_ms in [1_000, 1_000 + LIFETIME_MS - 1] {
        assert_eq!(services(&known, now_ms), ["new", "old"]);
        assert!(known.may_differ(now_ms, &"new".into(), LIFETIME_MS));
    }
    assert_eq!(services(&known, 1_000 + LIFETIME_MS), ["new"]);
    assert!(!known.may_differ(1_000 + LIFETIME_MS, &"new".into(), LIFETIME_MS));

    let record = known.history(2_000, LIFETIME_MS);
    let mut restarted = StreamOrigins::default();
    restarted.set_lifetime(0, LIFETIME_MS);
    restarted.set_routes(0, &routes("new"));
    restarted.add_history(0, Some(&record), true);
    assert_eq!(services(&restarted, 0), ["new", "old"]);
}

/// Guards against a stream that goes on at the service to which its path leads since a route with a
/// longer prefix was added or removed, whether its router saw that or was down.
#[test]
fn services_of_the_paths_of_a_route_are_candidates_for_the_lifetime_of_its_streams() {
    type Routes = &'static [(&'static str, &'static str)];
    struct Case {
        name: &'static str,
        before: Routes,
        after: Routes,
        route: &'static str,
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "longer prefix added",
            before: &[("h/a/", "old")],
            after: &[("h/a/", "old"), ("h/a/b/", "new")],
            route: "h/a/b/",
            expected: &["new", "old"],
        },
        Case {
            name: "the longest of the shorter ones counts",
            before: &[("h/", "oldest"), ("h/a/", "old")],
            after: &[("h/", "oldest"), ("h/a/", "old"), ("h/a/b/", "new")],
            route: "h/a/b/",
            expected: &["new", "old"],
        },
        Case {
            name: "longer prefix removed",
            before: &[("h/a/", "old"), ("h/a/b/", "new")],
            after: &[("h/a/", "old")],
            route: "h/a/",
            expected: &["new", "old"],
        },
        Case {
            name: "nested routes that stay",
            before: &[("h/a/", "old"), ("h/a/b/", "new")],
            after: &[("h/a/", "old"), ("h/a/b/", "new")],
            route: "h/a/b/",
            expected: &["new"],
        },
        Case {
            name: "another host",
            before: &[("h/a/", "old")],
            after: &[("h/a/", "old"), ("h2/a/b/", "new")],
            route: "h2/a/b/",
            expected: &["new"],
        },
    ];
    let routes = |routes: Routes| {
        let routes = routes
            .iter()
            .map(|(route, service)| ((*route).into(), BTreeSet::from([(*service).into()])));
        routes.collect::<BTreeMap<_, _>>()
    };
    let services = |known: &StreamOrigins, now_ms, route: &str| {
        let route = route.into();
        let services = known.route_services(now_ms, &route, LIFETIME_MS);
        services.map(|service| service.as_str().to_owned()).collect::<Vec<_>>()
    };
    for Case { name, before, after, route, expected } in cases {
        let mut known = StreamOrigins::new(true);
        known.set_lifetime(0, LIFETIME_MS);
        known.set_routes(0, &routes(before));
        let record = known.history(500, LIFETIME_MS);
        known.set_routes(1_000, &routes(after));
        assert_eq!(services(&known, 1_000, route), expected, "{name}, seen");
        let is_over_ms = 1_000 + LIFETIME_MS;
        assert_eq!(services(&known, is_over_ms, route).len(), 1, "{name}, over");

        for reads_history_first in [false, true] {
            let mut restarted = StreamOrigins::default();
            restarted.set_lifetime(0, LIFETIME_MS);
            if reads_history_first {
                restarted.add_history(0, Some(&record), true);
                restarted.set_routes(10, &routes(after));
            } else {
                restarted.set_routes(0, &routes(after));
                restarted.add_history(10, Some(&record), true);
            }
            let found = services(&restarted, 10, route);
            assert_eq!(found, expected, "{name}, history first: {reads_history_first}");
        }
    }
}

/// Guards against a first start that the settings still state after a restart, and against a
/// fleet that refuses streams because the store has no record yet.
#[test]
fn first_start_counts_once_the_store_has_no_record() {
    let record = HistoryRecord::default();
    let cases = [(true, None, true), (true, Some(&record), false), (false, None, false)];
    for (is_first_start, record, knows_history) in cases {
        let mut known = StreamOrigins::new(is_first_start);
        assert!(!known.knows_history(0, LIFETIME_MS));
        known.add_history(0, record, false);
        assert_eq!(known.knows_history(0, LIFETIME_MS), knows_history, "{record:?}");
    }
}

/// Guards against a history that goes too early because a new configuration has shorter time
/// limits than the one with which open streams began, also before a restart.
#[test]
fn lifetime_of_streams_falls_when_those_with_longer_limits_are_over() {
    let mut known = StreamOrigins::default();
    known.set_lifetime(0, LIFETIME_MS);
    known.set_lifetime(1_000, 2_000);
    let record = known.history(1_000, known.lifetime_ms(1_000));
    let mut restarted = StreamOrigins::default();
    restarted.set_lifetime(0, 2_000);
    restarted.add_history(0, Some(&record), true);
    for (known, start_ms) in [(known, 1_000), (restarted, 0)] {
        assert_eq!(known.lifetime_ms(start_ms + LIFETIME_MS - 1), LIFETIME_MS);
        assert_eq!(known.lifetime_ms(start_ms + LIFETIME_MS), 2_000);
    }
}

/// Guards against a fleet that refuses all streams because the store has been away since it
/// started, although every stream began while it knew the upstreams.
#[test]
fn router_that_has_run_for_the_lifetime_of_streams_knows_their_versions() {
    let mut known = StreamOrigins::default();
    known.set_versions(0, &service(), &versions(&[]));
    known.set_versions(100, &service(), &versions(&["v1"]));
    let cases = [(100, false), (99 + LIFETIME_MS, false), (100 + LIFETIME_MS, true)];
    for (now_ms, expected) in cases {
        assert_eq!(known.knows_history(now_ms, LIFETIME_MS), expected, "{now_ms}");
    }
}

/// Guards against a stream that nobody was told of and that goes on at another version than the
/// only one of its time, and against one that is refused although it can only have begun there.
#[test]
fn untold_streams_began_at_the_only_version_of_their_time() {
    let untold = |known: &StreamOrigins, now_ms| known.untold(now_ms, &service(), LIFETIME_MS);
    let mut known = StreamOrigins::new(true);
    known.set_lifetime(0, LIFETIME_MS);
    known.set_versions(0, &service(), &versions(&["v1"]));
    assert!(untold(&known, 0).is_empty(), "it is not known what was before");
    known.add_history(0, None, false);
    known.set_versions(1_000, &service(), &versions(&["v1", "v2"]));
    known.set_versions(2_000, &service(), &versions(&["v2"]));
    let both_until_ms = 2_000 + LIFETIME_MS;
    let cases: [(u64, &[&str]); 4] = [
        (1_000, &["v1"]),
        (1_000 + LIFETIME_MS - 1, &["v1"]),
        (1_000 + LIFETIME_MS, &[]),
        (both_until_ms, &["v2"]),
    ];
    for (now_ms, expected) in cases {
        assert_eq!(untold(&known, now_ms), origins(expected), "{now_ms}");
    }
    // A router of which it hears that streams begin elsewhere knew of both.
    let mut first = StreamOrigins::default();
    first.begin(0, key("r"), &start("v3"), LIFETIME_MS);
    known.learn(both_until_ms, &first.tell(0, key("r")).unwrap());
    assert_eq!(untold(&known, both_until_ms + 1), origins(&["v2"]));
}

/// Guards against a router that counts as one that would know a stream although it was told of
/// it before its restart, and against streams of one version that are refused because all
/// routers restarted as a second version came.
#[test]
fn restarted_router_would_know_streams_if_nobody_was_told_before() {
    struct Case {
        name: &'static str,
        recorded: Option<&'static [&'static str]>,
        untold: &'static [&'static str],
        is_witness: bool,
    }
    let cases = [
        Case { name: "one version", recorded: Some(&["v1"]), untold: &["v1"], is_witness: true },
        Case { name: "two", recorded: Some(&["v1", "v2"]), untold: &[], is_witness: false },
        Case { name: "no record", recorded: None, untold: &[], is_witness: false },
    ];
    let services = BTreeSet::from([service()]);
    for case in cases {
        let mut known = StreamOrigins::default();
        known.set_lifetime(0, LIFETIME_MS);
        known.set_versions(0, &service(), &versions(&["v1", "v2"]));
        let record = case.recorded.map(|recorded| HistoryRecord {
            versions: BTreeMap::from([(service(), versions(recorded))]),
            ..HistoryRecord::default()
        });
        known.add_history(10, record.as_ref(), record.is_some());
        let now_ms = 1_000;
        assert_eq!(known.untold(now_ms, &service(), LIFETIME_MS), origins(case.untold));
        let is_witness = |now_ms| known.is_witness(now_ms, &services, LIFETIME_MS);
        assert_eq!(is_witness(now_ms), case.is_witness, "{}", case.name);
        assert!(is_witness(LIFETIME_MS), "{}", case.name);
    }
}

/// Guards against streams of a large fleet that are refused after a restart of all routers:
/// members have not read the history, but their collector says that there was one version.
#[test]
fn restarted_member_would_know_streams_if_its_collector_read_of_one_version() {
    let told: [(Option<SoftwareVersion>, &[&str], bool); 2] =
        [(Some("v1".into()), &["v1"], true), (None, &[], false)];
    let services = BTreeSet::from([service()]);
    for (only_version, untold, is_witness) in told {
        let mut known = StreamOrigins::default();
        known.set_lifetime(0, LIFETIME_MS);
        known.set_versions(0, &service(), &versions(&["v1", "v2"]));
        assert!(!known.knows_versions_before_start(&service()));
        assert!(!known.is_witness(10, &services, LIFETIME_MS));
        known.set_only_version_before_start(10, &service(), only_version);
        assert!(known.knows_versions_before_start(&service()));
        // What is read later says nothing of the time before the start.
        known.set_only_version_before_start(20, &service(), Some("v2".into()));
        assert_eq!(known.untold(1_000, &service(), LIFETIME_MS), origins(untold));
        assert_eq!(known.is_witness(1_000, &services, LIFETIME_MS), is_witness);
    }
}

/// Guards against a late notice of an earlier attempt that replaces what the router knows of
/// the last one, and against a router that takes what it was told for the last attempt.
#[test]
fn notice_replaces_only_what_is_older() {
    let at = |attempt| AttemptOrigin { origin: origin(&format!("v{attempt}")), attempt };
    let notice =
        |attempt| OriginNotice { request: key("r"), start: at(attempt), lifetime_ms: LIFETIME_MS };
    let mut known = StreamOrigins::default();
    known.learn(0, &notice(2));
    known.learn(0, &notice(1));
    assert_eq!(known.get(0, key("r")), Some(&at(2)));
    assert_eq!(known.get_settled(0, key("r")), None);
    known.begin_told(0, key("r"), &at(2), LIFETIME_MS);
    known.learn(0, &notice(2));
    assert_eq!(known.get_settled(0, key("r")), Some(&at(2)));
    known.learn(0, &notice(3));
    assert_eq!(known.get_settled(0, key("r")), None);
}

/// Guards against a stream that goes on at the version that its upstream had before a restart:
/// its router tells the others later that it does not know the version, and then which one it is.
/// The notice must make no further version a candidate.
#[test]
fn later_notice_withdraws_the_version_of_a_stream() {
    let mut known = StreamOrigins::new(true);
    known.set_versions(0, &service(), &versions(&["v1"]));
    let notice = |attempt, origin| OriginNotice {
        request: key("r1"),
        start: AttemptOrigin { origin, attempt },
        lifetime_ms: LIFETIME_MS,
    };
    let undetermined = StreamOrigin::undetermined(&service());
    known.learn(10, &notice(1, origin("v1")));
    known.learn(20, &notice(2, undetermined.clone()));
    // The first notice may come again.
    known.learn(30, &notice(1, origin("v1")));
    assert_eq!(known.get(30, key("r1")).unwrap().origin.known_version(), None);
    assert_eq!(known.candidates(30, &service(), LIFETIME_MS), origins(&["v1"]));
    assert!(!known.may_differ(30, &service(), LIFETIME_MS));
    known.learn(40, &notice(3, origin("v2")));
    assert_eq!(known.get(40, key("r1")).unwrap().origin, origin("v2"));
}
