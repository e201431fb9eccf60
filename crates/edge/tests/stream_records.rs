//! Tests of what routers write to the store about streams.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, net::IpAddr, ops::Range, sync::Arc};

use span_edge::{
    origin_log::{
        MAX_SEGMENT_STREAMS, OriginLog, OrphanSweep, RecordReceipt, SEGMENT_SPAN_MS, SegmentWrite,
        SentOrigins,
    },
    stream_history::{NEW_VERSION_DELAY_MS, StreamHistory},
    stream_origin::{
        AttemptOrigin, OriginNotice, RequestKey, StreamAttempt, StreamOrigin, StreamOrigins,
    },
    stream_records::{HistoryRecord, OriginSegment, RecordedOrigin, RecordedOrigins},
};
use span_types::{Incarnation, Member};

const LIFETIME_MS: u64 = 30_000;

fn key(id: u64) -> RequestKey {
    RequestKey::from_bytes(id.to_le_bytes())
}

fn notices(ids: std::ops::Range<u64>) -> Vec<OriginNotice> {
    let notice =
        |id| OriginNotice { request: key(id), start: start("v1", 1), lifetime_ms: LIFETIME_MS };
    ids.map(notice).collect()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "svc".into(), software_version: version.into() }
}

fn start(version: &str, attempt: u32) -> AttemptOrigin {
    AttemptOrigin { origin: origin(version), attempt }
}

/// A segment with the version, the number of the attempt and the id of each stream.
fn segment(name: &str, streams: &[(&str, u32, u64)]) -> OriginSegment {
    let mut by_start: BTreeMap<AttemptOrigin, Vec<RequestKey>> = BTreeMap::new();
    for (version, attempt, id) in streams {
        by_start.entry(start(version, *attempt)).or_default().push(key(*id));
    }
    OriginSegment { name: name.into(), streams: by_start }
}

/// Writes all that waits and returns the name, the length and whether the segment may exist.
fn flush(log: &mut OriginLog) -> Vec<(String, usize, bool)> {
    let mut writes = Vec::new();
    for SegmentWrite { segment, len, may_exist } in log.take_batch() {
        assert_eq!(segment.streams.values().map(Vec::len).sum::<usize>(), len);
        log.written(&segment.name, len);
        writes.push((segment.name.to_string(), len, may_exist));
    }
    writes
}

/// Guards against streams that are never written, and against a call or an object of the
/// store for each stream.
#[test]
fn streams_of_a_few_seconds_share_a_segment() {
    let mut log = OriginLog::new("m-1.7".to_owned());
    assert!(flush(&mut log).is_empty());
    log.record(0, None, &notices(0..3)).unwrap();
    assert_eq!(flush(&mut log), [("m-1.7.0".to_owned(), 3, false)]);
    log.record(SEGMENT_SPAN_MS - 1, None, &notices(3..4)).unwrap();
    assert_eq!(log.unwritten_len(), 1);
    assert_eq!(flush(&mut log), [("m-1.7.0".to_owned(), 4, true)]);
    // A stream that is recorded during the write waits for the next one.
    log.record(SEGMENT_SPAN_MS, None, &notices(4..5)).unwrap();
    let write = log.take_batch().remove(0);
    log.record(SEGMENT_SPAN_MS, None, &notices(5..6)).unwrap();
    log.written(&write.segment.name, write.len);
    assert_eq!(flush(&mut log), [("m-1.7.1".to_owned(), 2, true)]);
    let max_streams = MAX_SEGMENT_STREAMS as u64;
    log.record(SEGMENT_SPAN_MS, None, &notices(6..5 + max_streams)).unwrap();
    assert_eq!(flush(&mut log).len(), 2);
    assert_eq!(log.unwritten_len(), 0);
}

/// Guards against segments that stay in the store for good, or go before their streams.
#[test]
fn segment_goes_when_its_last_stream_is_over() {
    let mut log = OriginLog::new("m-1.7".to_owned());
    log.record(0, None, &notices(0..1)).unwrap();
    flush(&mut log);
    log.record(1_000, None, &notices(1..2)).unwrap();
    flush(&mut log);
    // The store does not answer, but may have taken the first write of this one.
    log.record(10_000, None, &notices(2..3)).unwrap();
    assert_eq!(log.take_batch().len(), 1);
    // Never sent to the store.
    log.record(20_000, None, &notices(3..4)).unwrap();
    assert!(log.expire(LIFETIME_MS + 999).is_empty());
    assert_eq!(log.expire(LIFETIME_MS + 1_000), [Arc::from("m-1.7.0")]);
    assert_eq!(log.expire(LIFETIME_MS + 10_000), [Arc::from("m-1.7.1")]);
    assert!(log.expire(LIFETIME_MS + 20_000).is_empty());
    assert!(log.take_batch().is_empty());
    assert_eq!(log.unwritten_len(), 0);
}

/// Guards against a write that the store did not answer, executes later, and that undoes a
/// further write of the same segment.
#[test]
fn streams_of_an_unanswered_write_move_to_another_segment() {
    let mut log = OriginLog::new("m-1.7".to_owned());
    log.record(0, None, &notices(0..2)).unwrap();
    flush(&mut log);
    log.record(1_000, None, &notices(2..3)).unwrap();
    let write = log.take_batch().remove(0);
    log.unanswered(&write.segment.name);
    assert_eq!(flush(&mut log), [("m-1.7.1".to_owned(), 3, false)]);
    // Further streams of these seconds go there too.
    log.record(1_500, None, &notices(3..4)).unwrap();
    assert_eq!(flush(&mut log), [("m-1.7.1".to_owned(), 4, true)]);
    log.rewrite_all();
    assert_eq!(flush(&mut log).len(), 1);
    assert_eq!(log.expire(LIFETIME_MS + 1_000), [Arc::from("m-1.7.0")]);
    assert_eq!(log.expire(LIFETIME_MS + 1_500), [Arc::from("m-1.7.1")]);
}

/// Guards against a caller that gets an event before the store has the record, and against one
/// that waits for good because the streams moved to another segment.
#[test]
fn receipts_are_due_once_the_store_has_the_streams() {
    let router = Some(IpAddr::from([127, 0, 0, 9]));
    let receipts = |router, ids: Range<u64>| -> Vec<RecordReceipt> {
        let stream = |id| StreamAttempt { request: key(id), attempt: 1 };
        ids.map(|id| RecordReceipt { router, stream: stream(id) }).collect()
    };
    let mut log = OriginLog::new("m-1.7".to_owned());
    log.record(0, None, &notices(0..2)).unwrap();
    let write = log.take_batch().remove(0);
    log.record(0, router, &notices(2..3)).unwrap();
    assert_eq!(log.written(&write.segment.name, write.len), receipts(None, 0..2));
    let write = log.take_batch().remove(0);
    log.unanswered(&write.segment.name);
    assert!(log.written(&write.segment.name, write.len).is_empty());
    let write = log.take_batch().remove(0);
    assert_eq!(log.written(&write.segment.name, write.len), receipts(router, 2..3));
    log.rewrite_all();
    let write = log.take_batch().remove(0);
    assert!(log.written(&write.segment.name, write.len).is_empty());
}

/// Guards against streams that are lost because the store came back from a copy.
#[test]
fn restored_store_gets_all_segments_again() {
    let mut log = OriginLog::new("m-1.7".to_owned());
    log.record(0, None, &notices(0..1)).unwrap();
    log.record(SEGMENT_SPAN_MS, None, &notices(1..2)).unwrap();
    flush(&mut log);
    log.rewrite_all();
    assert_eq!(flush(&mut log).len(), 2);
}

/// Guards against segments of dead routers that stay in the store for good, and against
/// the removal of those whose streams may still be taken up.
#[test]
fn segment_that_no_router_removes_is_an_orphan() {
    let mut sweep = OrphanSweep::default();
    let (old, new) = (segment("m-1.7.0", &[]), segment("m-1.8.0", &[]));
    let keep_ms = LIFETIME_MS + 2 * SEGMENT_SPAN_MS;
    assert!(sweep.orphans(0, std::slice::from_ref(&old), LIFETIME_MS).is_empty());
    let both = [old, new];
    assert!(sweep.orphans(keep_ms - 1, &both, LIFETIME_MS).is_empty());
    assert_eq!(sweep.orphans(keep_ms, &both, LIFETIME_MS), [both[0].name.clone()]);
    assert!(sweep.orphans(2 * keep_ms - 2, &both[1..], LIFETIME_MS).is_empty());
}

/// Guards against a stream that goes on where an attempt was sent that brought no event, and
/// against one that goes on at one of two versions that records of the same attempt name.
#[test]
fn last_recorded_attempt_names_the_origin_of_a_stream() {
    let mut recorded = RecordedOrigins::default();
    recorded.replace(&[
        segment("m-1.7.0", &[("v1", 1, 1), ("v1", 1, 2), ("v2", 1, 3), ("v2", 2, 5)]),
        segment("m-2.7.0", &[("v1", 1, 1), ("v2", 1, 2), ("v1", 2, 3), ("v1", 1, 5)]),
        segment("m-2.7.1", &[("v2", 1, 6), ("v1", 1, 6), ("v1", 2, 6)]),
    ]);
    let cases = [
        (1, RecordedOrigin::At(start("v1", 1))),
        (2, RecordedOrigin::Several),
        (3, RecordedOrigin::At(start("v1", 2))),
        (4, RecordedOrigin::None),
        (5, RecordedOrigin::At(start("v2", 2))),
        (6, RecordedOrigin::At(start("v1", 2))),
    ];
    for (id, expected) in cases {
        assert_eq!(recorded.get(key(id)), expected, "{id}");
    }
    recorded.replace(&[]);
    assert!(recorded.is_empty());
}

/// Guards against streams that are not recorded because the collector that they were sent to
/// has died, and against those that are sent once more each time.
#[test]
fn streams_sent_to_a_dead_collector_are_sent_to_the_next_one() {
    let member = |name: &str, incarnation| Member {
        instance: name.into(),
        incarnation: Incarnation(incarnation),
    };
    let mut sent = SentOrigins::default();
    assert!(sent.set_keeper(0, Some(member("c-1", 1))).is_empty());
    sent.push(0, &notices(0..1));
    sent.push(3_000, &notices(1..2));
    assert!(sent.set_keeper(3_000, Some(member("c-1", 1))).is_empty());
    sent.push(4_500, &notices(2..3));
    // The same instance after a restart is another one.
    assert_eq!(sent.set_keeper(5_000, Some(member("c-1", 2))), notices(1..3));
    assert!(sent.set_keeper(5_000, None).is_empty());
}

/// Guards against a history that is recorded late or only in part, that takes the lack of a
/// record for knowledge, and against calls while nothing changes.
#[test]
fn history_is_recorded_when_it_changes() {
    struct Case {
        name: &'static str,
        /// Era in which the record in the store was complete, and its versions.
        recorded: Option<(Option<u64>, &'static [&'static str])>,
        wanted: &'static [&'static str],
        knows_history: bool,
        /// Era in which the record to write is complete.
        due: Option<Option<u64>>,
    }
    const ERA: u64 = 3;
    let record = |complete_era, names: &[&str], revision| HistoryRecord {
        versions: BTreeMap::from([(
            "svc".into(),
            names.iter().map(|name| (*name).into()).collect(),
        )]),
        complete_era,
        revision,
        ..HistoryRecord::default()
    };
    let case = |name, recorded, wanted, knows_history, due| Case {
        name,
        recorded,
        wanted,
        knows_history,
        due,
    };
    let now = Some(ERA);
    const V1: &[&str] = &["v1"];
    const BOTH: &[&str] = &["v1", "v2"];
    let cases = [
        case("the first one", None, V1, true, Some(now)),
        case("no record, what was before is not known", None, V1, false, None),
        case("nothing has changed", Some((now, V1)), V1, true, None),
        case("a version has come", Some((now, V1)), BOTH, true, Some(now)),
        case("restored from a copy", Some((Some(2), V1)), V1, true, Some(now)),
        case("restored before the start", Some((Some(2), V1)), V1, false, None),
        case("the same, a version has come", Some((Some(2), V1)), BOTH, false, Some(Some(2))),
        case("unreadable", Some((None, &[])), V1, true, Some(now)),
    ];
    for Case { name, recorded, wanted, knows_history, due } in cases {
        let is_delayed =
            recorded.is_some_and(|(_, known)| (1..wanted.len()).contains(&known.len()));
        let wanted = record(None, wanted, None);
        let mut history = StreamHistory::default();
        assert_eq!(history.due(9_000, &wanted, knows_history), None, "{name}");
        let revision = recorded.map(|_| 9);
        let recorded = recorded.map(|(era, versions)| record(era, versions, revision));
        history.replace(ERA, recorded);
        let expected =
            due.map(|complete_era| HistoryRecord { complete_era, revision, ..wanted.clone() });
        let times_ms = [1_000, 1_000 + NEW_VERSION_DELAY_MS - 1, 1_000 + NEW_VERSION_DELAY_MS];
        for now_ms in times_ms {
            let is_early = is_delayed && now_ms < times_ms[2];
            let expected = expected.clone().filter(|_| !is_early);
            assert_eq!(history.due(now_ms, &wanted, knows_history), expected, "{name}, {now_ms}");
        }
        if let Some(due) = expected {
            history.written(HistoryRecord { revision: Some(10), ..due });
            assert_eq!(history.due(9_000, &wanted, knows_history), None, "{name}");
        }
        history.invalidate();
        assert_eq!(history.due(9_000, &wanted, knows_history), None, "{name}");
    }
}

/// Guards against routers that write the history in turn for as long as they differ in when a
/// version went: one was told of a stream, or knows longer time limits, and the other was not.
/// Both read it four times a second, as they do while streams of another service are taken up.
#[test]
fn routers_that_differ_in_when_a_version_went_do_not_write_in_turn() {
    struct Case {
        name: &'static str,
        /// When the second router is told of a stream at the version that is gone.
        told_ms: Option<u64>,
        lifetimes_ms: [u64; 2],
    }
    // One for the version that goes at each router and one to put it back, and one for the
    // lifetimes of each router, which the first record lacks.
    const MAX_WRITES: u32 = 5;
    let cases = [
        Case { name: "same", told_ms: None, lifetimes_ms: [LIFETIME_MS; 2] },
        Case { name: "told later", told_ms: Some(20_000), lifetimes_ms: [LIFETIME_MS; 2] },
        Case { name: "limits", told_ms: None, lifetimes_ms: [LIFETIME_MS / 2, LIFETIME_MS] },
    ];
    for Case { name, told_ms, lifetimes_ms } in cases {
        let versions = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
        let mut routers = lifetimes_ms.map(|lifetime_ms| {
            let mut origins = StreamOrigins::new(true);
            origins.set_lifetime(0, lifetime_ms);
            origins.set_versions(0, &"svc".into(), &versions(&["v1", "v2"]));
            origins.set_versions(1_000, &"svc".into(), &versions(&["v2"]));
            (origins, StreamHistory::default())
        });
        let mut stored = HistoryRecord {
            versions: BTreeMap::from([("svc".into(), versions(&["v1", "v2"]))]),
            complete_era: Some(0),
            revision: Some(1),
            ..HistoryRecord::default()
        };
        let mut writes = 0;
        for now_ms in (1_000..90_000).step_by(250) {
            if told_ms == Some(now_ms) {
                routers[1].0.learn(now_ms, &notices(0..1)[0]);
            }
            for (origins, history) in &mut routers {
                origins.add_history(now_ms, Some(&stored), true);
                history.replace(0, Some(stored.clone()));
                let wanted = origins.history(now_ms, origins.lifetime_ms(now_ms));
                if let Some(due) = history.due(now_ms, &wanted, true) {
                    writes += 1;
                    stored = HistoryRecord { revision: stored.revision.map(|at| at + 1), ..due };
                    history.written(stored.clone());
                }
            }
        }
        assert!(writes <= MAX_WRITES, "{name}: {writes} writes");
    }
}
