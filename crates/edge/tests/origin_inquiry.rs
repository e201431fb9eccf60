//! Tests of the verdict where a stream began.

use std::collections::BTreeSet;

use span_edge::{
    origin_inquiry::{
        AGREEMENT_WAIT_MS, ANSWER_TIMEOUT_MS, ASK_AGAIN_MS, OriginInquiry, OriginSource,
        OriginVerdict, RecordSearch,
    },
    stream_origin::{
        AttemptOrigin, OriginAnswer, OriginNotice, RequestKey, StreamOrigin, StreamOrigins,
    },
    stream_records::RecordedOrigin,
};
use span_types::InstanceName;

const LIFETIME_MS: u64 = 30_000;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "svc".into(), software_version: version.into() }
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
