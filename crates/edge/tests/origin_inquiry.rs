//! Tests of the verdict where a stream began.

use std::collections::BTreeSet;

use span_edge::{
    origin_inquiry::{
        AGREEMENT_WAIT_MS, ANSWER_TIMEOUT_MS, ASK_AGAIN_MS, InquiryRouters, OriginInquiry,
        OriginSource, OriginVerdict, RecordSearch, SEARCH_AFTER_MS,
    },
    stream_origin::{
        AttemptOrigin, OriginAnswer, OriginNotice, RequestKey, StreamOrigin, StreamOrigins,
        TOLD_ROUTERS,
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

/// An inquiry of the router `own` at the first `asked` others, which come before it in the order
/// of the stream.
fn inquire(asked: usize, own: OriginAnswer, search: RecordSearch) -> OriginInquiry {
    let others = routers(0..asked);
    let own_name = InstanceName::from("own");
    let routers = InquiryRouters {
        own: own_name.clone(),
        asked: others.iter().cloned().collect(),
        ranked: others.into_iter().chain([own_name]).collect(),
        is_named: true,
    };
    OriginInquiry::new(1_000, routers, own, search)
}

/// Guards against a stream that goes on at a version which it may not have begun at, against one
/// that is refused although it can only have begun at one, and against callers that wait for
/// routers that cannot change the verdict.
#[test]
fn verdict_follows_from_the_answers() {
    struct Case {
        name: &'static str,
        own: OriginAnswer,
        /// Number of the other routers; the first ones give no answer.
        others: usize,
        answers: Vec<OriginAnswer>,
        search: RecordSearch,
        /// Time from which the verdict holds.
        after_ms: u64,
        verdict: OriginVerdict,
    }
    use RecordSearch::{Done, Failed, NotStarted};
    const V1: &[&str] = &["v1"];
    const BOTH: &[&str] = &["v1", "v2"];
    let knows = |candidates: &[&str], untold: &[&str]| OriginAnswer {
        candidates: origins(candidates),
        untold: origins(untold),
        knows_history: true,
        is_witness: true,
        ..OriginAnswer::default()
    };
    let one = knows(V1, V1);
    // A second version has come while open streams may have begun at v1 untold.
    let second = knows(BOTH, V1);
    let long_since_both = knows(BOTH, &[]);
    let restarted = |candidates: &[&str]| OriginAnswer {
        knows_history: false,
        is_witness: false,
        ..knows(candidates, &[])
    };
    let began = |version| OriginAnswer { start: Some(start(version)), ..second.clone() };
    let found = |version, source| OriginVerdict::Found(start(version), source);
    let only = found("v1", OriginSource::OnlyCandidate);
    let untold = found("v1", OriginSource::Untold);
    let asked = found("v2", OriginSource::Asked);
    let (unknown, contradictory) = (OriginVerdict::Unknown, OriginVerdict::Contradictory);
    let late_ms = ANSWER_TIMEOUT_MS;
    let case = |name,
                own: &OriginAnswer,
                (others, answers): (usize, &[&OriginAnswer]),
                search,
                after_ms,
                verdict: &OriginVerdict| Case {
        name,
        own: own.clone(),
        others,
        answers: answers.iter().copied().cloned().collect(),
        search,
        after_ms,
        verdict: verdict.clone(),
    };
    let both_restarted = restarted(BOTH);
    let (new, old) = (began("v2"), began("v1"));
    let cases = [
        case("alone, may be cut off", &one, (0, &[]), NotStarted, late_ms, &unknown),
        case("alone, store read", &one, (0, &[]), Done, 0, &only),
        case("alone, just started", &restarted(V1), (0, &[]), Done, 0, &unknown),
        case("another one knows", &second, (3, &[&new]), NotStarted, AGREEMENT_WAIT_MS, &asked),
        case("all answer, one knows", &second, (2, &[&second, &new]), Done, 0, &asked),
        case("contradiction", &second, (3, &[&new, &old]), NotStarted, 0, &contradictory),
        case("one version", &one, (2, &[&one, &one]), NotStarted, 0, &only),
        case(
            "the whole fleet has just started without a history",
            &restarted(V1),
            (2, &[&restarted(V1), &restarted(V1)]),
            Done,
            0,
            &unknown,
        ),
        case("one restarted, store read", &one, (2, &[&restarted(V1), &one]), Done, 0, &only),
        case("one dead", &one, (2, &[&one]), NotStarted, late_ms, &unknown),
        case("one dead, store read", &one, (2, &[&one]), Done, 0, &only),
        case("one dead, store away", &one, (2, &[&one]), Failed, 0, &only),
        case("two dead, store away", &one, (3, &[&one]), Failed, late_ms, &unknown),
        case("cut off from the others and the store", &one, (2, &[]), Failed, late_ms, &unknown),
        case(
            "cut off from most others and the store",
            &one,
            (5, &[&one]),
            Failed,
            late_ms,
            &unknown,
        ),
        case("most dead, store read", &one, (5, &[&one]), Done, ASK_AGAIN_MS, &only),
        case("a second version comes", &second, (2, &[&second]), Done, 0, &untold),
        case("only another one knows of it", &one, (2, &[&second]), Done, 0, &untold),
        case("records not searched", &second, (2, &[&second]), NotStarted, late_ms, &unknown),
        case("records cannot be searched", &second, (2, &[&second]), Failed, late_ms, &unknown),
        case("both for long", &long_since_both, (2, &[&long_since_both]), Done, late_ms, &unknown),
        case("two may be untold", &knows(BOTH, BOTH), (1, &[&second]), Done, 0, &unknown),
        case("holders restarted", &second, (2, &[&both_restarted; 2]), Done, 0, &untold),
        case("own restarted, other remembers", &both_restarted, (1, &[&second]), Done, 0, &untold),
        case("all others restarted", &second, (3, &[&both_restarted; 3]), Done, 0, &untold),
        case("holders may have restarted", &second, (4, &[&both_restarted; 4]), Done, 0, &unknown),
        case("three of five dead", &second, (5, &[&second; 2]), Done, 0, &untold),
        case("four of five dead", &second, (5, &[&second; 1]), Done, late_ms, &unknown),
    ];
    for case in cases {
        let mut inquiry = inquire(case.others, case.own.clone(), RecordSearch::NotStarted);
        let silent = case.others - case.answers.len();
        for (name, answer) in routers(silent..case.others).iter().zip(case.answers) {
            inquiry.record(1_000, name, answer);
        }
        if case.search != NotStarted {
            inquiry.search_started();
            let recorded = (case.search == Done).then_some(RecordedOrigin::None);
            inquiry.record_search(1_000, recorded, case.own);
        }
        let after_ms = case.after_ms;
        if after_ms > 0 {
            assert_eq!(inquiry.verdict(1_000 + after_ms - 1), None, "{}", case.name);
        }
        assert_eq!(inquiry.verdict(1_000 + after_ms), Some(case.verdict), "{}", case.name);
    }
}

/// Guards against an answer about a new version that an inquiry misses because it asks neither
/// all routers nor the store, and against a call to the store for each stream that is taken up.
#[test]
fn records_are_searched_once_a_router_is_silent() {
    let witness = OriginAnswer {
        candidates: origins(&["v1"]),
        knows_history: true,
        is_witness: true,
        ..OriginAnswer::default()
    };
    for silent in [0, 1] {
        let mut inquiry = inquire(2, witness.clone(), RecordSearch::NotStarted);
        for name in &routers(0..2 - silent) {
            inquiry.record(1_000, name, witness.clone());
        }
        assert!(!inquiry.wants_search(1_000 + SEARCH_AFTER_MS - 1));
        assert_eq!(inquiry.wants_search(1_000 + SEARCH_AFTER_MS), silent > 0);
    }
    let alone = inquire(0, witness.clone(), RecordSearch::NotStarted);
    assert!(alone.wants_search(1_000));
    // The one that keeps the records for this router has searched them.
    let mut searched = inquire(2, witness.clone(), RecordSearch::NotStarted);
    let answer = OriginAnswer { has_searched: true, ..witness };
    searched.record(1_000, &routers(0..1)[0], answer);
    assert!(!searched.wants_search(1_000 + SEARCH_AFTER_MS));
    assert_eq!(searched.search(), RecordSearch::Done);
}

/// Guards against a stream whose caller does not name it and that goes on at a version by chance:
/// that nobody knows it says nothing.
#[test]
fn stream_without_a_name_is_never_taken_for_untold() {
    let cases: [(&[&str], Option<OriginSource>); 2] =
        [(&["v1"], Some(OriginSource::OnlyCandidate)), (&["v1", "v2"], None)];
    for (candidates, source) in cases {
        let own = OriginAnswer {
            candidates: origins(candidates),
            untold: origins(&["v1"]),
            knows_history: true,
            is_witness: true,
            ..OriginAnswer::default()
        };
        let routers = InquiryRouters {
            own: "own".into(),
            asked: routers(0..1).into_iter().collect(),
            ranked: ["r0", "own"].map(InstanceName::from).to_vec(),
            is_named: false,
        };
        let mut inquiry = OriginInquiry::new(0, routers, own.clone(), RecordSearch::NotStarted);
        inquiry.record(0, &"r0".into(), own.clone());
        assert_eq!(inquiry.verdict(0), None);
        inquiry.record_search(0, Some(RecordedOrigin::None), own);
        let expected = source
            .map_or(OriginVerdict::Unknown, |source| OriginVerdict::Found(start("v1"), source));
        assert_eq!(inquiry.verdict(0), Some(expected));
    }
}

/// Guards against a router that takes the absence of an answer for the absence of a stream: for
/// any routers that have died, and whichever began the stream, all its holders were told of it if
/// its caller has an event.
#[test]
fn stream_that_its_holders_know_is_never_taken_for_untold() {
    let answer = |start| OriginAnswer {
        start,
        candidates: origins(&["v1", "v2"]),
        untold: origins(&["v1"]),
        knows_history: true,
        is_witness: true,
        has_searched: true,
    };
    for fleet in 2..=6 {
        let ranked = routers(0..fleet);
        for beginner in 0..fleet {
            let holders: Vec<usize> =
                (0..fleet).filter(|router| *router != beginner).take(TOLD_ROUTERS).collect();
            for dead in 0..1_u32 << fleet {
                for knowing in 0..1_u32 << fleet {
                    let is_in = |set: u32, router: usize| set & (1 << router) != 0;
                    let told = holders.iter().filter(|holder| is_in(knowing, **holder)).count();
                    let asker = (0..fleet).find(|router| !is_in(dead, *router));
                    let Some(asker) =
                        asker.filter(|_| is_in(dead, beginner) && told == holders.len())
                    else {
                        continue;
                    };
                    let knows = |router: usize| holders.contains(&router) && is_in(knowing, router);
                    let own = ranked[asker].clone();
                    let others = (0..fleet).filter(|router| *router != asker);
                    let inquiry_routers = InquiryRouters {
                        own,
                        ranked: ranked.clone(),
                        asked: others.clone().map(|router| ranked[router].clone()).collect(),
                        is_named: true,
                    };
                    let says = |router| answer(knows(router).then(|| start("v2")));
                    let search = RecordSearch::NotStarted;
                    let mut inquiry = OriginInquiry::new(0, inquiry_routers, says(asker), search);
                    for router in others.filter(|router| !is_in(dead, *router)) {
                        inquiry.record(0, &ranked[router], says(router));
                    }
                    let verdict = inquiry.verdict(ANSWER_TIMEOUT_MS);
                    let is_mixed = matches!(
                        &verdict,
                        Some(OriginVerdict::Found(found, _)) if *found != start("v2")
                    );
                    assert!(!is_mixed, "{fleet} {beginner} {dead:b} {knowing:b}: {verdict:?}");
                }
            }
        }
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
        let mut inquiry = inquire(names.len(), OriginAnswer::default(), RecordSearch::Done);
        for (name, found) in names.iter().zip(case.found) {
            let answer = OriginAnswer { start: Some(at(*found)), ..OriginAnswer::default() };
            inquiry.record(1_000, name, answer);
        }
        let expected = case.expected.map_or(OriginVerdict::Contradictory, |found| {
            OriginVerdict::Found(at(found), OriginSource::Asked)
        });
        assert_eq!(inquiry.verdict(1_000), Some(expected), "{}", case.name);

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
        let own = OriginAnswer { candidates: origins(&["v2"]), ..OriginAnswer::default() };
        let search = RecordSearch::Pending;
        let mut inquiry = inquire(0, own.clone(), search);
        assert_eq!(inquiry.verdict(1_000), None, "{}", case.name);
        if let Some((recorded, before)) = case.searched {
            let knows_history = recorded.is_some();
            let candidates = own.candidates.union(&origins(before)).cloned().collect();
            let own = OriginAnswer { candidates, knows_history, ..OriginAnswer::default() };
            inquiry.record_search(1_000, recorded, own);
        } else {
            assert_eq!(inquiry.verdict(1_000 + case.after_ms - 1), None, "{}", case.name);
            // What others know of the history does not end the wait for the records.
            let name = InstanceName::from("r0");
            let answer = OriginAnswer { knows_history: true, ..own.clone() };
            let mut asking = inquire(1, own, search);
            asking.record(1_000, &name, answer);
            assert_eq!(asking.verdict(1_000 + case.after_ms - 1), None, "{}", case.name);
        }
        assert_eq!(inquiry.verdict(1_000 + case.after_ms), Some(case.verdict), "{}", case.name);
    }
}
