//! Tests of what routers know and tell of where streams began.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use span_edge::stream_origin::{
    ANSWER_TIMEOUT_MS, ASK_AGAIN_MS, ASKED_ROUTERS, OriginAnswer, OriginInquiry, OriginSource,
    OriginVerdict, RequestKey, StreamOrigin, StreamOrigins, TOLD_ROUTERS, routers_for_stream,
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
        known.begin(0, key(id), &origin("v1"), lifetime_ms);
    }
    known.end(key("ended"));
    assert!(known.tell_all(100, |_| false).is_empty());
    let told = known.tell_all(100, |_| true);
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].request, &told[0].origin), (key("open"), &origin("v1")));
    assert_eq!(told[0].lifetime_ms, LIFETIME_MS - 100);
    assert!(known.tell_all(100, |_| true).is_empty());
    assert_eq!(known.tell(100, key("open")), None);

    let mut other = StreamOrigins::default();
    other.learn(200, &told[0]);
    assert_eq!(other.get(200, key("open")), Some(&origin("v1")));
    assert_eq!(other.get(200 + LIFETIME_MS, key("open")), None);
    assert!(other.tell_all(200, |_| true).is_empty());
    assert_eq!(other.get(200, key("ended")), None);
}

/// Guards against a router that takes its only version for that of every stream, although
/// it was told of one that began at another: the entries of new upstreams may be late.
#[test]
fn notice_makes_its_version_a_candidate() {
    let mut first = StreamOrigins::default();
    first.begin(0, key("r1"), &origin("v2"), LIFETIME_MS);
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
    known.begin(0, key("own"), &origin("v1"), LIFETIME_MS);
    known.tell(0, key("own")).unwrap();
    known.begin(0, key("expired"), &origin("v1"), 10);
    let mut first = StreamOrigins::default();
    first.begin(0, key("learned"), &origin("v2"), LIFETIME_MS);
    known.learn(0, &first.tell(0, key("learned")).unwrap());
    let mut passed_on = known.hand_over(1_000, |_| true);
    passed_on.sort_by_key(|notice| notice.origin.clone());
    let passed_on: Vec<_> = passed_on
        .iter()
        .map(|notice| (notice.request, &notice.origin, notice.lifetime_ms))
        .collect();
    let left_ms = LIFETIME_MS - 1_000;
    let (old, new) = (origin("v1"), origin("v2"));
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

/// Guards against a stream that goes on at a version which it may not have begun at, and
/// against callers that wait for routers that cannot change the verdict.
#[test]
fn verdict_follows_from_the_answers() {
    struct Case {
        name: &'static str,
        own: &'static [&'static str],
        asked: usize,
        /// Known version and candidates of each router that answers.
        answers: &'static [(Option<&'static str>, &'static [&'static str])],
        /// Time from which the verdict holds.
        after_ms: u64,
        verdict: Option<(&'static str, OriginSource)>,
    }
    const V1: &[&str] = &["v1"];
    const BOTH: &[&str] = &["v1", "v2"];
    const SAYS_V1: (Option<&str>, &[&str]) = (None, V1);
    const SAYS_BOTH: (Option<&str>, &[&str]) = (None, BOTH);
    const KNOWS_V2: (Option<&str>, &[&str]) = (Some("v2"), BOTH);
    // It has just started.
    const SAYS_NONE: (Option<&str>, &[&str]) = (None, &[]);
    let only = Some(("v1", OriginSource::OnlyCandidate));
    let asked = Some(("v2", OriginSource::Asked));
    let (soon_ms, late_ms) = (ASK_AGAIN_MS, ANSWER_TIMEOUT_MS);
    let case = |name, own, asked, answers, after_ms, verdict| Case {
        name,
        own,
        asked,
        answers,
        after_ms,
        verdict,
    };
    let cases = [
        case("alone with one version", V1, 0, &[], 0, only),
        case("alone with two versions", BOTH, 0, &[], 0, None),
        case("another router knows", BOTH, 3, &[KNOWS_V2], 0, asked),
        case("nobody knows, one version", V1, 2, &[SAYS_V1, SAYS_V1], 0, only),
        case("one of two is dead, one version", V1, 2, &[SAYS_V1], soon_ms, only),
        case("one of three is dead, one version", V1, 3, &[SAYS_V1, SAYS_V1], 0, only),
        case("one of two is dead, two versions", BOTH, 2, &[SAYS_BOTH], late_ms, None),
        case("another one knows of a second version", V1, 2, &[SAYS_V1, SAYS_BOTH], 0, None),
        case("cut off from all other routers", V1, 2, &[], late_ms, None),
        case("the only other one knows no upstreams", V1, 1, &[SAYS_NONE], 0, None),
    ];
    for case in cases {
        let names = routers(0..case.asked);
        let asked: BTreeSet<InstanceName> = names.iter().cloned().collect();
        let mut inquiry = OriginInquiry::new(1_000, asked, origins(case.own));
        for (name, (known, candidates)) in names.iter().zip(case.answers) {
            let answer =
                OriginAnswer { origin: known.map(origin), candidates: origins(candidates) };
            inquiry.record(name, answer);
        }
        let after_ms = case.after_ms;
        let expected = case.verdict.map_or(OriginVerdict::Unknown, |(version, source)| {
            OriginVerdict::Found(origin(version), source)
        });
        if after_ms > 0 {
            assert_eq!(inquiry.verdict(1_000 + after_ms - 1), None, "{}", case.name);
        }
        assert_eq!(inquiry.verdict(1_000 + after_ms), Some(expected), "{}", case.name);
    }
}
