//! Tests of what routers know and tell of where streams began.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use span_edge::{
    stream_origin::{
        AGREEMENT_WAIT_MS, ANSWER_TIMEOUT_MS, ASK_AGAIN_MS, ASKED_ROUTERS, AttemptOrigin,
        OriginAnswer, OriginInquiry, OriginNotice, OriginSource, OriginVerdict, RecordSearch,
        RequestKey, StreamOrigin, StreamOrigins, TOLD_ROUTERS, routers_for_stream,
    },
    stream_records::{HistoryRecord, RecordedOrigin},
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

/// Guards against a stream that goes on at a version which it may not have begun at, and
/// against callers that wait for routers that cannot change the verdict.
#[test]
fn verdict_follows_from_the_answers() {
    struct Case {
        name: &'static str,
        own: OriginAnswer,
        asked: usize,
        answers: Vec<OriginAnswer>,
        /// Time from which the verdict holds.
        after_ms: u64,
        verdict: OriginVerdict,
    }
    const V1: &[&str] = &["v1"];
    const BOTH: &[&str] = &["v1", "v2"];
    let knows = |candidates: &[&str]| OriginAnswer {
        start: None,
        candidates: origins(candidates),
        knows_history: true,
    };
    let just_started =
        |candidates: &[&str]| OriginAnswer { knows_history: false, ..knows(candidates) };
    let began = |version, candidates: &[&str]| OriginAnswer {
        start: Some(start(version)),
        ..just_started(candidates)
    };
    let found = |version, source| OriginVerdict::Found(start(version), source);
    let only = found("v1", OriginSource::OnlyCandidate);
    let asked = found("v2", OriginSource::Asked);
    let (unknown, contradictory) = (OriginVerdict::Unknown, OriginVerdict::Contradictory);
    let (soon_ms, late_ms) = (ASK_AGAIN_MS, ANSWER_TIMEOUT_MS);
    let case = |name, own, asked, answers: &[OriginAnswer], after_ms, verdict: &OriginVerdict| {
        let (answers, verdict) = (answers.to_vec(), verdict.clone());
        Case { name, own, asked, answers, after_ms, verdict }
    };
    let cases = [
        case("alone with one version", knows(V1), 0, &[], 0, &only),
        case("alone with one version, just started", just_started(V1), 0, &[], 0, &unknown),
        case("alone with two versions", knows(BOTH), 0, &[], 0, &unknown),
        case(
            "another router knows",
            knows(BOTH),
            3,
            &[began("v2", BOTH)],
            AGREEMENT_WAIT_MS,
            &asked,
        ),
        case(
            "all have answered, one knows",
            knows(BOTH),
            2,
            &[knows(BOTH), began("v2", BOTH)],
            0,
            &asked,
        ),
        case(
            "two contradict each other",
            knows(BOTH),
            3,
            &[began("v2", BOTH), began("v1", BOTH)],
            0,
            &contradictory,
        ),
        case("nobody knows, one version", knows(V1), 2, &[knows(V1), knows(V1)], 0, &only),
        case(
            "the whole fleet has just started",
            just_started(V1),
            2,
            &[just_started(V1), just_started(V1)],
            0,
            &unknown,
        ),
        case(
            "another one has run for longer",
            just_started(V1),
            2,
            &[just_started(V1), knows(V1)],
            0,
            &only,
        ),
        case("one of two is dead, one version", knows(V1), 2, &[knows(V1)], soon_ms, &only),
        case("one of three is dead, one version", knows(V1), 3, &[knows(V1), knows(V1)], 0, &only),
        case("one of two is dead, two versions", knows(BOTH), 2, &[knows(BOTH)], late_ms, &unknown),
        case(
            "another one knows of a second version",
            knows(V1),
            2,
            &[knows(V1), knows(BOTH)],
            0,
            &unknown,
        ),
        case("cut off from all other routers", knows(V1), 2, &[], late_ms, &unknown),
        case(
            "the only other one knows no upstreams",
            knows(V1),
            1,
            &[just_started(&[])],
            0,
            &unknown,
        ),
    ];
    for case in cases {
        let names = routers(0..case.asked);
        let asked: BTreeSet<InstanceName> = names.iter().cloned().collect();
        let mut inquiry = OriginInquiry::new(1_000, asked, case.own, RecordSearch::NotNeeded);
        for (name, answer) in names.iter().zip(case.answers) {
            inquiry.record(1_000, name, answer);
        }
        let after_ms = case.after_ms;
        if after_ms > 0 {
            assert_eq!(inquiry.verdict(1_000 + after_ms - 1), None, "{}", case.name);
        }
        assert_eq!(inquiry.verdict(1_000 + after_ms), Some(case.verdict), "{}", case.name);
    }
}

/// Guards against a stream that goes on where its request was sent first, although it began at
/// a later attempt: a router or the store may know of the first one alone.
#[test]
fn last_attempt_that_any_source_names_is_the_origin() {
    struct Case {
        name: &'static str,
        /// Version and number of the attempt, in the order in which they are found.
        found: &'static [(&'static str, u32)],
        expected: Option<(&'static str, u32)>,
    }
    let cases = [
        Case { name: "later one last", found: &[("v1", 1), ("v2", 2)], expected: Some(("v2", 2)) },
        Case { name: "later one first", found: &[("v2", 2), ("v1", 1)], expected: Some(("v2", 2)) },
        Case {
            name: "contradiction about an earlier one",
            found: &[("v1", 1), ("v2", 1), ("v2", 2)],
            expected: Some(("v2", 2)),
        },
        Case { name: "contradiction", found: &[("v1", 1), ("v2", 2), ("v1", 2)], expected: None },
    ];
    let at = |(version, attempt)| AttemptOrigin { origin: origin(version), attempt };
    for case in cases {
        let names = routers(0..case.found.len());
        let asked = names.iter().cloned().collect();
        let search = RecordSearch::NotNeeded;
        let mut inquiry = OriginInquiry::new(0, asked, OriginAnswer::default(), search);
        for (name, found) in names.iter().zip(case.found) {
            let answer = OriginAnswer { start: Some(at(*found)), ..OriginAnswer::default() };
            inquiry.record(0, name, answer);
        }
        let expected = case.expected.map_or(OriginVerdict::Contradictory, |found| {
            OriginVerdict::Found(at(found), OriginSource::Asked)
        });
        assert_eq!(inquiry.verdict(0), Some(expected), "{}", case.name);

        let mut known = StreamOrigins::default();
        for found in case.found {
            let notice =
                OriginNotice { request: key("r"), start: at(*found), lifetime_ms: LIFETIME_MS };
            known.learn(0, &notice);
        }
        let last = case.found.iter().map(|(_, attempt)| *attempt).max();
        assert_eq!(known.get(0, key("r")).map(|known| known.attempt), last, "{}", case.name);
    }
}

/// Guards against a verdict before the records of the store have been read, which alone
/// remember streams after a restart of all routers, and against a wait for a store that does
/// not answer.
#[test]
fn verdict_awaits_the_search_in_the_records() {
    struct Case {
        name: &'static str,
        /// Result of the search and the versions from before the start; none if it has not
        /// ended.
        searched: Option<(Option<RecordedOrigin>, &'static [&'static str])>,
        after_ms: u64,
        verdict: OriginVerdict,
    }
    let recorded = OriginVerdict::Found(start("v1"), OriginSource::Recorded);
    let only = OriginVerdict::Found(start("v2"), OriginSource::OnlyCandidate);
    let cases = [
        Case {
            name: "the store does not answer in time",
            searched: None,
            after_ms: ANSWER_TIMEOUT_MS,
            verdict: OriginVerdict::Unknown,
        },
        Case {
            name: "the store refuses",
            searched: Some((None, &[])),
            after_ms: 0,
            verdict: OriginVerdict::Unknown,
        },
        Case {
            name: "recorded",
            searched: Some((Some(RecordedOrigin::At(start("v1"))), &["v1"])),
            after_ms: 0,
            verdict: recorded,
        },
        Case {
            name: "several records, several versions",
            searched: Some((Some(RecordedOrigin::Several), &["v1"])),
            after_ms: 0,
            verdict: OriginVerdict::Unknown,
        },
        Case {
            name: "several records, one version",
            searched: Some((Some(RecordedOrigin::Several), &["v2"])),
            after_ms: 0,
            verdict: OriginVerdict::Unknown,
        },
        Case {
            name: "not recorded, another version before",
            searched: Some((Some(RecordedOrigin::None), &["v1"])),
            after_ms: 0,
            verdict: OriginVerdict::Unknown,
        },
        Case {
            name: "not recorded, the same version before",
            searched: Some((Some(RecordedOrigin::None), &["v2"])),
            after_ms: 0,
            verdict: only,
        },
    ];
    for case in cases {
        let own = OriginAnswer { start: None, candidates: origins(&["v2"]), knows_history: false };
        let search = RecordSearch::Pending;
        let mut inquiry = OriginInquiry::new(0, BTreeSet::new(), own.clone(), search);
        assert_eq!(inquiry.verdict(0), None, "{}", case.name);
        if let Some((recorded, before)) = case.searched {
            let knows_history = recorded.is_some();
            let candidates = own.candidates.union(&origins(before)).cloned().collect();
            let own = OriginAnswer { start: None, candidates, knows_history };
            inquiry.record_search(0, recorded, own);
        } else {
            assert_eq!(inquiry.verdict(case.after_ms - 1), None, "{}", case.name);
            // What others know of the history does not end the wait for the records.
            let name = InstanceName::from("r1");
            let answer = OriginAnswer { knows_history: true, ..own.clone() };
            let mut asking = OriginInquiry::new(0, BTreeSet::from([name.clone()]), own, search);
            asking.record(0, &name, answer);
            assert_eq!(asking.verdict(case.after_ms - 1), None, "{}", case.name);
        }
        assert_eq!(inquiry.verdict(case.after_ms), Some(case.verdict), "{}", case.name);
    }
}
