//! Tests of which software version a connection's process counts as of while upstreams restart
//! under their names. The load is a few streams on connections that were opened as their upstream
//! restarted.

#![allow(clippy::unwrap_used)]

use span_edge::{
    registry::UpstreamEntry,
    upstream_process::{ConnectedProcess, ProcessVersion, UpstreamProcesses},
};
use span_types::UpstreamName;

const OPENED_MS: u64 = 10_000;

fn entry(started_unix_ms: impl Into<Option<u64>>, software_version: &str) -> UpstreamEntry {
    UpstreamEntry {
        service: "svc".into(),
        address: ([10, 0, 0, 1], 80).into(),
        failure_domain: "a".into(),
        slots: 4,
        leaving: false,
        started_unix_ms: started_unix_ms.into(),
        software_version: software_version.into(),
        cold_remaining_ms: 0,
    }
}

fn name() -> UpstreamName {
    "u1".into()
}

fn connection(opened_ms: u64) -> ConnectedProcess {
    ConnectedProcess { entry: entry(1, "v1"), opened_ms }
}

/// Guards against streams that count as of the software that their upstream had before a restart,
/// and against streams that cannot go on although nothing has restarted.
#[test]
fn connection_counts_as_of_the_process_that_can_have_accepted_it() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut UpstreamProcesses),
        known: Option<UpstreamEntry>,
        last_bytes_ms: u64,
        expected: ProcessVersion,
    }
    fn nothing(_: &mut UpstreamProcesses) {}
    let certain = |version: &str| ProcessVersion::Certain(version.into());
    let assumed = |version: &str| ProcessVersion::Assumed(version.into());
    let likely = |version: &str| ProcessVersion::Likely(version.into());
    let ambiguous = |version: &str| ProcessVersion::Ambiguous(version.into());
    let case = |name, prepare, known, last_bytes_ms, expected| Case {
        name,
        prepare,
        known,
        last_bytes_ms,
        expected,
    };
    let same = || Some(entry(1, "v1"));
    let other = || Some(entry(2, "v2"));
    // A clock that was set back gives a later process an earlier start.
    let set_back = || Some(entry(0, "v2"));
    let restart: fn(&mut UpstreamProcesses) = |processes| processes.record_started(10_400, &name());
    let cases = [
        case("no news", nothing, same(), 10_100, assumed("v1")),
        case(
            "entries as of before the process can have written its own",
            |processes| processes.record_entries(10_500, 10_200, 0),
            same(),
            10_500,
            assumed("v1"),
        ),
        case(
            "entries as of later",
            |processes| processes.record_entries(10_500, 10_300, 0),
            same(),
            10_100,
            certain("v1"),
        ),
        case(
            "entries of a store that was away",
            |processes| {
                processes.store_failed();
                processes.store_answered(10_300);
                processes.record_entries(12_400, 12_400, 0);
            },
            same(),
            12_400,
            assumed("v1"),
        ),
        case(
            "entries once all have written theirs again",
            |processes| {
                processes.store_failed();
                processes.store_answered(10_300);
                processes.record_entries(12_600, 12_600, 0);
            },
            same(),
            10_100,
            certain("v1"),
        ),
        case(
            "entries of a restored store",
            |processes| processes.record_entries(10_500, 10_500, 1),
            same(),
            10_500,
            assumed("v1"),
        ),
        case(
            "an earlier connection carries bytes later",
            |processes| {
                processes.record_bytes(10_300, &name(), &connection(9_000), Some(&entry(1, "v1")));
            },
            same(),
            10_100,
            certain("v1"),
        ),
        case(
            "an earlier connection carried bytes before",
            |processes| {
                processes.record_bytes(10_100, &name(), &connection(9_000), Some(&entry(1, "v1")));
            },
            same(),
            10_100,
            assumed("v1"),
        ),
        case(
            "a connection to an earlier process carries bytes",
            |processes| {
                processes.record_bytes(10_300, &name(), &connection(9_000), Some(&entry(2, "v2")));
            },
            same(),
            10_100,
            assumed("v1"),
        ),
        case(
            "the store is away",
            |processes| processes.store_failed(),
            same(),
            10_100,
            likely("v1"),
        ),
        case(
            "the store is away, broken off",
            |processes| {
                processes.store_failed();
                processes.record_broken(10_100, &name());
            },
            same(),
            10_100,
            likely("v1"),
        ),
        case(
            "the store is away, an earlier connection has broken",
            |processes| {
                processes.store_failed();
                processes.record_broken(9_900, &name());
                processes.record_broken(10_100, &name());
            },
            same(),
            10_100,
            assumed("v1"),
        ),
        case(
            "the store is away, the process goes on after another connection has broken",
            |processes| {
                processes.store_failed();
                processes.record_broken(9_900, &name());
                processes.record_bytes(9_960, &name(), &connection(9_950), Some(&entry(1, "v1")));
            },
            same(),
            10_100,
            likely("v1"),
        ),
        case("another process, broken off before", restart, other(), 10_300, ambiguous("v2")),
        case("another process, unread bytes", restart, other(), 10_500, ambiguous("v2")),
        case("another process, goes on", restart, other(), 10_700, certain("v2")),
        case("another process, clock set back", restart, set_back(), 10_300, ambiguous("v2")),
        case("same software", restart, Some(entry(2, "v1")), 10_300, certain("v1")),
        case("removed long ago", nothing, None, 10_300, assumed("v1")),
    ];
    for case in cases {
        let mut processes = UpstreamProcesses::default();
        processes.record_started(1_000, &name());
        processes.record_entries(9_000, 9_000, 0);
        (case.prepare)(&mut processes);
        let connection = connection(OPENED_MS);
        let version =
            processes.version(&name(), &connection, case.known.as_ref(), case.last_bytes_ms);
        assert_eq!(version, case.expected, "{}", case.name);
    }
}

/// Guards against waiting for entries where a process that restarts has another name.
#[test]
fn process_without_a_stated_start_is_that_of_its_entry() {
    let processes = UpstreamProcesses::default();
    let connection = ConnectedProcess { entry: entry(None, "v1"), opened_ms: OPENED_MS };
    let known = entry(None, "v1");
    let version = processes.version(&name(), &connection, Some(&known), OPENED_MS);
    assert_eq!(version, ProcessVersion::Certain("v1".into()));
}
