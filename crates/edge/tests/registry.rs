//! Tests of which upstreams take requests while entries change, expire and return.

#![allow(clippy::unwrap_used)]

use span_edge::{
    registry::{Registry, SharedEntry, UpstreamChange, UpstreamEntry},
    store::Position,
};
use span_types::{ServiceName, UpstreamName};

const MIN_EXPIRY_MS: u64 = 1_200;
const RENEWAL_INTERVAL_MS: u64 = 1_200;

fn at(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn entry(port: u16) -> UpstreamEntry {
    UpstreamEntry {
        service: "svc".into(),
        address: ([10, 0, 0, 1], port).into(),
        failure_domain: "a".into(),
        slots: 4,
        leaving: false,
        started_unix_ms: Some(1),
        software_version: "v1".into(),
        cold_remaining_ms: 0,
    }
}

fn ready(registry: &Registry) -> Vec<String> {
    let service: ServiceName = "svc".into();
    registry.ready(&service).map(|(name, _)| name.to_string()).collect()
}

fn registry_of_two() -> Registry {
    let mut registry = Registry::default();
    registry.replace(0, vec![("u1".into(), entry(1)), ("u2".into(), entry(2))]);
    registry
}

/// An upstream must get no requests after its entry was removed.
#[test]
fn removed_upstream_is_not_ready() {
    let mut registry = registry_of_two();
    assert_eq!(registry.remove(10, &"u1".into()), Some(UpstreamChange::Removed("u1".into())));
    assert_eq!(ready(&registry), ["u2"]);
}

/// If the store dropped the history while an upstream left, a list without its entry
/// is the only sign of that.
#[test]
fn list_without_an_entry_removes_it_if_there_was_no_outage() {
    let mut registry = registry_of_two();
    let changes = registry.replace(10, vec![("u2".into(), entry(2))]);
    assert_eq!(changes, vec![UpstreamChange::Removed("u1".into())]);
}

/// Entries of live upstreams expire in a store outage. Without a grace period, all
/// routers would lose their upstreams at once.
#[test]
fn entries_missing_after_an_outage_are_kept_until_they_may_have_returned() {
    struct Case {
        name: &'static str,
        returned_ms: Option<u64>,
        remaining: &'static [&'static str],
    }
    let cases = [
        Case { name: "the entry returns", returned_ms: Some(6_500), remaining: &["u1", "u2"] },
        Case { name: "the entry does not return", returned_ms: None, remaining: &["u2"] },
    ];
    for case in cases {
        let mut registry = registry_of_two();
        registry.store_failed(1_000);
        registry.store_failed(2_000);
        registry.store_answered(5_000, MIN_EXPIRY_MS);
        assert!(registry.replace(5_000, vec![("u2".into(), entry(2))]).is_empty());
        assert_eq!(ready(&registry), ["u1", "u2"], "{}", case.name);
        if let Some(returned_ms) = case.returned_ms {
            assert!(returned_ms < 7_200);
            registry.update("u1".into(), entry(1));
        }
        registry.expire(8_000);
        assert_eq!(ready(&registry), case.remaining, "{}", case.name);
    }
}

/// An interrupted connection is no store outage: leaving upstreams must get no
/// requests after their time to leave.
#[test]
fn short_failure_does_not_delay_removals() {
    let mut registry = registry_of_two();
    registry.store_failed(1_000);
    registry.store_answered(1_200, MIN_EXPIRY_MS);
    assert!(registry.remove(1_300, &"u1".into()).is_some());
}

/// State of the old process must not be kept for a process that was restarted under
/// the same name.
#[test]
fn restarted_process_is_a_new_upstream() {
    struct Case {
        name: &'static str,
        change: fn(&mut UpstreamEntry),
        is_new: bool,
    }
    let cases = [
        Case { name: "renewed entry", change: |_| {}, is_new: false },
        Case { name: "later start", change: |e| e.started_unix_ms = Some(2), is_new: true },
        Case { name: "other address", change: |e| e.address.set_port(9), is_new: true },
        Case { name: "other service", change: |e| e.service = "x".into(), is_new: true },
    ];
    for case in cases {
        let mut registry = registry_of_two();
        let mut changed = entry(1);
        (case.change)(&mut changed);
        let name: UpstreamName = "u1".into();
        let expected = case.is_new.then(|| UpstreamChange::Started(name.clone()));
        assert_eq!(registry.update(name, changed), expected, "{}", case.name);
    }
}

/// A leaving upstream must get no new requests but stay known until it is removed.
#[test]
fn leaving_upstream_is_not_ready() {
    let mut registry = registry_of_two();
    let leaving = UpstreamEntry { leaving: true, ..entry(1) };
    assert_eq!(registry.update("u1".into(), leaving), Some(UpstreamChange::Leaving("u1".into())));
    assert_eq!(ready(&registry), ["u2"]);
    assert!(registry.get(&"u1".into()).is_some());
}

/// The store rejected only this router, so no entry could expire. An upstream that
/// left just after the outage got requests for 2.5 s more, because its removal was
/// taken for an expiry (scenario trouble-1 of cordillera-rosemary).
#[test]
fn removals_apply_at_once_if_the_store_served_others_meanwhile() {
    struct Case {
        name: &'static str,
        served_others_ms: Option<u64>,
        at_once: bool,
    }
    let cases = [
        Case { name: "no other router was served", served_others_ms: None, at_once: false },
        Case { name: "others were served before", served_others_ms: Some(900), at_once: false },
        Case { name: "others were served meanwhile", served_others_ms: Some(4_000), at_once: true },
    ];
    for case in cases {
        let mut registry = registry_of_two();
        registry.store_failed(1_000);
        if let Some(at_ms) = case.served_others_ms {
            registry.store_served_others(at_ms);
        }
        registry.store_answered(5_000, MIN_EXPIRY_MS);
        let removed = registry.remove(5_100, &"u1".into());
        assert_eq!(removed.is_some(), case.at_once, "{}", case.name);
    }
}

/// A router that took itself for the collector sent out an old list. A leaving
/// upstream got requests again, 3.5 s after it had announced that it leaves (scenario
/// scale-2 of cordillera-rosemary-grown, seed 295355987593).
#[test]
fn older_list_of_another_router_is_ignored() {
    struct Case {
        name: &'static str,
        position: Position,
        ready: &'static [&'static str],
    }
    let cases = [
        Case { name: "older", position: at(1, 6), ready: &["u2"] },
        Case { name: "the same", position: at(1, 7), ready: &["u2"] },
        Case { name: "newer", position: at(1, 8), ready: &["u1", "u2"] },
        Case { name: "earlier era", position: at(0, 9), ready: &["u2"] },
    ];
    for case in cases {
        let mut registry = registry_of_two();
        registry.update("u1".into(), UpstreamEntry { leaving: true, ..entry(1) });
        registry.set_position(at(1, 7));
        let list = [("u1", entry(1)), ("u2", entry(2))];
        let list =
            list.map(|(name, entry)| SharedEntry { name: name.into(), entry, expires_in_ms: None });
        registry.replace_if_newer(20, case.position, list.to_vec(), RENEWAL_INTERVAL_MS);
        assert_eq!(ready(&registry), case.ready, "{}", case.name);
        assert_eq!(registry.position(), case.position.max(at(1, 7)), "{}", case.name);
    }
}

/// A router that goes on from another one's revision never sees the removal of an
/// entry that was gone before. It would keep an upstream that crashed in an outage of
/// the store.
#[test]
fn entries_that_are_missing_after_an_outage_expire_at_other_routers_too() {
    let mut collector = registry_of_two();
    collector.store_failed(1_000);
    collector.store_answered(5_000, MIN_EXPIRY_MS);
    assert_eq!(collector.remove(5_100, &"u1".into()), None);
    collector.set_position(at(0, 8));
    let mut member = registry_of_two();
    member.set_position(at(0, 7));
    assert_ne!(member.digest(), collector.digest());
    let shared = collector.shared_entries(5_600);
    member.replace_if_newer(5_600, at(0, 8), shared, RENEWAL_INTERVAL_MS);
    assert_eq!(member.digest(), collector.digest());
    assert_eq!(ready(&member), ["u1", "u2"]);
    assert_eq!(collector.expire(7_300), [UpstreamChange::Removed("u1".into())]);
    assert_eq!(member.expire(7_300), [UpstreamChange::Removed("u1".into())]);
}

/// Guards against requests to upstreams that left while some routers were cut off from the store:
/// those keep the entries when they are back, and others took them over though they had seen the
/// removal.
#[test]
fn entry_that_another_router_keeps_brings_back_no_removed_upstream() {
    struct Case {
        name: &'static str,
        /// What the receiver has seen when the list of the other router comes.
        receiver: Registry,
        ready: &'static [&'static str],
    }
    let mut back = registry_of_two();
    back.store_failed(1_000);
    back.store_answered(5_600, MIN_EXPIRY_MS);
    back.replace_from_store(5_600, at(0, 9), vec![("u2".into(), entry(2))], RENEWAL_INTERVAL_MS);
    assert_eq!(ready(&back), ["u1", "u2"]);
    let mut behind = registry_of_two();
    behind.set_position(at(0, 7));
    let saw_removal = || {
        let mut registry = registry_of_two();
        registry.remove(3_000, &"u1".into());
        registry.set_position(at(0, 8));
        registry
    };
    let mut asks_again = saw_removal();
    asks_again.set_position(Position::default());
    let cases = [
        Case { name: "saw the removal", receiver: saw_removal(), ready: &["u2"] },
        Case { name: "and asks for a new list", receiver: asks_again, ready: &["u2"] },
        Case { name: "has not heard of it", receiver: behind, ready: &["u1", "u2"] },
        Case { name: "has just started", receiver: Registry::default(), ready: &["u1", "u2"] },
    ];
    for Case { name, mut receiver, ready: expected } in cases {
        let shared = back.shared_entries(5_600);
        receiver.replace_if_newer(5_600, at(0, 9), shared, RENEWAL_INTERVAL_MS);
        assert_eq!(ready(&receiver), expected, "{name}");
        assert_eq!(receiver.position(), at(0, 9), "{name}");
        receiver.expire(7_900);
        assert_eq!(ready(&receiver), ["u2"], "{name}: expired");
    }
}

/// A process that stated in an answer that it is leaving must get no requests,
/// whatever the store says of it before or after, and a new process under its name must.
#[test]
fn process_that_states_leaving_is_not_ready_until_it_is_replaced() {
    type Step = fn(&mut Registry);
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        ready: &'static [&'static str],
    }
    let cases = [
        Case { name: "no mark", steps: &[], ready: &["u1", "u2"] },
        Case { name: "mark", steps: &[mark], ready: &["u2"] },
        Case { name: "mark twice", steps: &[mark, mark], ready: &["u2"] },
        Case { name: "renewed as ready", steps: &[mark, renew], ready: &["u2"] },
        Case { name: "listed as ready", steps: &[mark, list_both], ready: &["u2"] },
        Case { name: "removed and back", steps: &[mark, remove, renew], ready: &["u2"] },
        Case { name: "expired is called", steps: &[mark, expire, renew], ready: &["u2"] },
        Case { name: "new process", steps: &[mark, restart], ready: &["u1", "u2"] },
        Case {
            name: "removed, new process",
            steps: &[mark, remove, restart],
            ready: &["u1", "u2"],
        },
        Case { name: "new process is leaving too", steps: &[mark, restart, mark], ready: &["u2"] },
        Case { name: "other upstream", steps: &[mark_unknown], ready: &["u1", "u2"] },
        Case { name: "mark after removal", steps: &[remove, mark, renew], ready: &["u1", "u2"] },
    ];
    fn mark(registry: &mut Registry) {
        registry.mark_leaving(100, &"u1".into());
    }
    fn mark_unknown(registry: &mut Registry) {
        registry.mark_leaving(100, &"u3".into());
    }
    fn renew(registry: &mut Registry) {
        registry.update("u1".into(), entry(1));
    }
    fn list_both(registry: &mut Registry) {
        registry.replace(200, vec![("u1".into(), entry(1)), ("u2".into(), entry(2))]);
    }
    fn remove(registry: &mut Registry) {
        registry.remove(200, &"u1".into());
    }
    fn expire(registry: &mut Registry) {
        registry.expire(300_000);
    }
    fn restart(registry: &mut Registry) {
        registry.update("u1".into(), UpstreamEntry { started_unix_ms: Some(2), ..entry(1) });
    }
    for case in cases {
        let mut registry = registry_of_two();
        case.steps.iter().for_each(|step| step(&mut registry));
        assert_eq!(ready(&registry), case.ready, "{}", case.name);
    }
}

/// The mark is a change only once, or each answer of a leaving upstream would bring
/// all services in line anew.
#[test]
fn mark_of_a_leaving_process_is_a_change_once() {
    let mut registry = registry_of_two();
    let leaving = Some(UpstreamChange::Leaving("u1".into()));
    assert_eq!(registry.mark_leaving(1, &"u1".into()), leaving);
    assert_eq!(registry.mark_leaving(2, &"u1".into()), None);
    registry.update("u2".into(), UpstreamEntry { leaving: true, ..entry(2) });
    assert_eq!(registry.mark_leaving(3, &"u2".into()), None);
}

/// A store that was restored from a copy may have the entry of an earlier process under a name.
/// Streams that begin at its successor must not count as of the earlier software.
#[test]
fn list_of_a_restored_store_does_not_bring_back_an_earlier_process() {
    struct Case {
        name: &'static str,
        /// Start of the known process and of the listed one, in milliseconds.
        started_ms: (Option<u64>, Option<u64>),
        is_removed: bool,
        era: u64,
        /// Version of the upstream after the list.
        expected: Option<&'static str>,
    }
    let case = |name, started_ms, is_removed, era, expected| Case {
        name,
        started_ms,
        is_removed,
        era,
        expected,
    };
    let cases = [
        case("earlier process", (Some(20), Some(10)), false, 1, Some("known")),
        case("earlier process of a removed one", (Some(20), Some(10)), true, 1, None),
        case("later process", (Some(20), Some(30)), false, 1, Some("listed")),
        case("later process of a removed one", (Some(20), Some(30)), true, 1, Some("listed")),
        case("no start is stated", (None, None), false, 1, Some("listed")),
        // The clock of the upstream's machine may have been set back.
        case("same era", (Some(20), Some(10)), false, 0, Some("listed")),
    ];
    for case in cases {
        let mut registry = registry_of_two();
        let (known_ms, listed_ms) = case.started_ms;
        let known = UpstreamEntry {
            started_unix_ms: known_ms,
            software_version: "known".into(),
            ..entry(1)
        };
        let listed = UpstreamEntry {
            started_unix_ms: listed_ms,
            software_version: "listed".into(),
            ..entry(1)
        };
        registry.update("u1".into(), known);
        if case.is_removed {
            registry.remove(9_000, &"u1".into());
        }
        let list = vec![("u1".into(), listed.clone()), ("u2".into(), entry(2))];
        registry.replace_from_store(10_000, at(case.era, 5), list, RENEWAL_INTERVAL_MS);
        let version = registry.get(&"u1".into()).map(|entry| entry.software_version.clone());
        assert_eq!(version, case.expected.map(Into::into), "{}", case.name);
        registry.update("u1".into(), listed);
        let version = registry.get(&"u1".into()).map(|entry| entry.software_version.clone());
        assert_eq!(version, Some("listed".into()), "{}: written again", case.name);
    }
}

/// A list of a restored store is older than what is known. It must neither bring back
/// a process that has left, nor take away one that started since, nor hold against a
/// process that has written its entry again.
#[test]
fn list_of_a_restored_store_does_not_undo_what_is_known() {
    const RESTORED_MS: u64 = 10_000;
    type Prepare = fn(&mut Registry);
    struct Case {
        name: &'static str,
        before: Prepare,
        /// Whether the list has `u1`, and the era that it is from.
        listed: (bool, u64),
        after: Prepare,
        ready: &'static [&'static str],
        ready_later: &'static [&'static str],
    }
    fn nothing(_: &mut Registry) {}
    fn leave(registry: &mut Registry) {
        registry.update("u1".into(), UpstreamEntry { leaving: true, ..entry(1) });
    }
    fn state_leaving(registry: &mut Registry) {
        registry.mark_leaving(9_000, &"u1".into());
    }
    fn remove(registry: &mut Registry) {
        registry.remove(9_000, &"u1".into());
    }
    fn remove_long_ago(registry: &mut Registry) {
        registry.remove(0, &"u1".into());
        registry.expire(70_000);
    }
    fn write_again(registry: &mut Registry) {
        registry.update("u1".into(), entry(1));
    }
    fn restart(registry: &mut Registry) {
        registry.update("u1".into(), UpstreamEntry { started_unix_ms: Some(2), ..entry(1) });
    }
    let both: &[&str] = &["u1", "u2"];
    let second: &[&str] = &["u2"];
    let case = |name, before, listed, after, ready, ready_later| Case {
        name,
        before,
        listed,
        after,
        ready,
        ready_later,
    };
    let cases = [
        case("unchanged", nothing, (true, 1), nothing, both, both),
        case("left", leave, (true, 1), nothing, second, second),
        case("stated that it is leaving", state_leaving, (true, 1), nothing, second, second),
        case("removed", remove, (true, 1), nothing, second, second),
        case("removed, wrote again", remove, (true, 1), write_again, both, both),
        case("left, restarted", leave, (true, 1), restart, both, both),
        case("removed long ago", remove_long_ago, (true, 1), nothing, both, both),
        case("started since", nothing, (false, 1), nothing, both, second),
        case("started since, wrote again", nothing, (false, 1), write_again, both, both),
        case("same era, not listed", nothing, (false, 0), nothing, second, second),
        case("same era, removed and back", remove, (true, 0), nothing, both, both),
    ];
    for case in cases {
        let mut registry = registry_of_two();
        (case.before)(&mut registry);
        let (is_listed, era) = case.listed;
        let mut list = vec![("u2".into(), entry(2))];
        list.extend(is_listed.then(|| ("u1".into(), entry(1))));
        registry.replace_from_store(RESTORED_MS, at(era, 5), list, RENEWAL_INTERVAL_MS);
        assert_eq!(registry.position(), at(era, 5), "{}", case.name);
        (case.after)(&mut registry);
        assert_eq!(ready(&registry), case.ready, "{}", case.name);
        registry.expire(RESTORED_MS + 2_300);
        assert_eq!(ready(&registry), case.ready_later, "{}, later", case.name);
    }
}

/// A router that still holds the earlier era must not talk the others back, in
/// whatever order the lists arrive.
#[test]
fn no_order_of_lists_goes_back_to_an_earlier_era() {
    let positions = [at(0, 9), at(1, 3), at(1, 4), at(2, 1)];
    for first in positions {
        for second in positions {
            for third in positions {
                let mut registry = registry_of_two();
                let mut latest = Position::default();
                for position in [first, second, third] {
                    registry.replace_if_newer(20, position, Vec::new(), RENEWAL_INTERVAL_MS);
                    latest = latest.max(position);
                    assert_eq!(registry.position(), latest, "{first:?} {second:?} {third:?}");
                }
                let earlier = Position { era: 0, revision: 100 };
                let list = vec![("u9".into(), entry(9))];
                registry.replace_from_store(30, earlier, list, RENEWAL_INTERVAL_MS);
                let has_list = ready(&registry).contains(&"u9".to_owned());
                assert_eq!(has_list, latest.era == 0, "{first:?} {second:?} {third:?}");
            }
        }
    }
}

/// A router that learns of a new era from another one with the same entries must treat
/// its own list of that era like any other list of a restored store.
#[test]
fn era_that_another_router_reports_makes_lists_stale_too() {
    let mut registry = registry_of_two();
    registry.set_position(at(0, 9));
    registry.remove(9_000, &"u1".into());
    registry.confirm(10_000, at(1, 5), RENEWAL_INTERVAL_MS);
    assert_eq!(registry.position(), at(1, 5));
    let copy = vec![("u1".into(), entry(1)), ("u2".into(), entry(2))];
    registry.replace_from_store(10_100, at(1, 6), copy, RENEWAL_INTERVAL_MS);
    assert_eq!(ready(&registry), ["u2"]);
}

/// Guards against an upstream that changes its software under its name and is still
/// taken for the process that began streams: another version cannot continue them.
#[test]
fn other_software_version_is_a_new_process() {
    let mut registry = registry_of_two();
    let digest = registry.digest();
    let changed = UpstreamEntry { software_version: "v2".into(), ..entry(1) };
    let change = registry.update("u1".into(), changed);
    assert_eq!(change, Some(UpstreamChange::Started("u1".into())));
    assert_ne!(registry.digest(), digest);
}

/// Guards against a list that takes a while, and takes back what another router has told
/// meanwhile: an upstream that left would get requests again until the next watch, or for as
/// long as the store is down.
#[test]
fn list_older_than_the_entries_of_another_router_changes_nothing() {
    struct Case {
        name: &'static str,
        list: Position,
        is_taken: bool,
    }
    let cases = [
        Case { name: "older", list: at(1, 8), is_taken: false },
        Case { name: "far older", list: at(1, 1), is_taken: false },
        Case { name: "same", list: at(1, 9), is_taken: true },
        Case { name: "newer", list: at(1, 10), is_taken: true },
        Case { name: "earlier era", list: at(0, 20), is_taken: false },
        Case { name: "new era", list: at(2, 3), is_taken: true },
    ];
    for case in cases {
        let mut registry = Registry::default();
        let told = SharedEntry { name: "u2".into(), entry: entry(2), expires_in_ms: None };
        registry.replace_if_newer(10, at(1, 9), vec![told], RENEWAL_INTERVAL_MS);
        let list = vec![("u1".into(), entry(1)), ("u2".into(), entry(2))];
        registry.replace_from_store(20, case.list, list, RENEWAL_INTERVAL_MS);
        let has_list = ready(&registry).contains(&"u1".to_owned());
        assert_eq!(has_list, case.is_taken, "{}", case.name);
        assert_eq!(registry.position(), at(1, 9).max(case.list), "{}", case.name);
    }
}

/// Guards against older entries of another router that bring back an upstream that left, while
/// a router reads a new list because the store dropped its history.
#[test]
fn entries_older_than_a_dropped_position_are_ignored() {
    struct Case {
        name: &'static str,
        told: Position,
        is_taken: bool,
    }
    let cases = [
        Case { name: "older", told: at(1, 11), is_taken: false },
        Case { name: "before the first list", told: at(1, 3), is_taken: false },
        Case { name: "earlier era", told: at(0, 20), is_taken: false },
        Case { name: "same", told: at(1, 12), is_taken: true },
        Case { name: "newer", told: at(1, 13), is_taken: true },
        Case { name: "new era", told: at(2, 3), is_taken: true },
    ];
    for case in cases {
        let mut registry = Registry::default();
        let list = vec![("u1".into(), entry(1)), ("u2".into(), entry(2))];
        registry.replace_from_store(10, at(1, 9), list, RENEWAL_INTERVAL_MS);
        registry.remove(20, &"u1".into());
        registry.set_position(at(1, 12));
        registry.set_position(Position::default());
        let names = ["u1", "u2", "u3"].into_iter().zip(1..);
        let told = names.map(|(name, port)| SharedEntry {
            name: name.into(),
            entry: entry(port),
            expires_in_ms: None,
        });
        registry.replace_if_newer(30, case.told, told.collect(), RENEWAL_INTERVAL_MS);
        let is_taken = ready(&registry).contains(&"u3".to_owned());
        assert_eq!(is_taken, case.is_taken, "{}", case.name);
        let position = if case.is_taken { case.told } else { Position::default() };
        assert_eq!(registry.position(), position, "{}", case.name);
        // A store that states no era may give revisions out again: its list counts.
        let list = vec![("u4".into(), entry(4))];
        let listed_at = at(registry.era(), 1);
        registry.set_position(Position::default());
        registry.replace_from_store(40, listed_at, list, RENEWAL_INTERVAL_MS);
        assert!(ready(&registry).contains(&"u4".to_owned()), "{}", case.name);
        assert_eq!(registry.position(), listed_at, "{}", case.name);
    }
}
