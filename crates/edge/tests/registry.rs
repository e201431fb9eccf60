//! Tests of which upstreams take requests while entries change, expire and return.

#![allow(clippy::unwrap_used)]

use span_edge::registry::{Registry, SharedEntry, UpstreamChange, UpstreamEntry};
use span_types::{ServiceName, UpstreamName};

const MIN_EXPIRY_MS: u64 = 1_200;

fn entry(port: u16) -> UpstreamEntry {
    UpstreamEntry {
        service: "svc".into(),
        address: ([10, 0, 0, 1], port).into(),
        failure_domain: "a".into(),
        slots: 4,
        leaving: false,
        started_unix_ms: Some(1),
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
        revision: u64,
        ready: &'static [&'static str],
    }
    let cases = [
        Case { name: "older", revision: 6, ready: &["u2"] },
        Case { name: "the same", revision: 7, ready: &["u2"] },
        Case { name: "newer", revision: 8, ready: &["u1", "u2"] },
    ];
    for case in cases {
        let mut registry = registry_of_two();
        registry.update("u1".into(), UpstreamEntry { leaving: true, ..entry(1) });
        registry.set_revision(7);
        let list = [("u1", entry(1)), ("u2", entry(2))];
        let list =
            list.map(|(name, entry)| SharedEntry { name: name.into(), entry, expires_in_ms: None });
        registry.replace_if_newer(20, case.revision, list.to_vec());
        assert_eq!(ready(&registry), case.ready, "{}", case.name);
        assert_eq!(registry.revision(), case.revision.max(7), "{}", case.name);
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
    collector.set_revision(8);
    let mut member = registry_of_two();
    member.set_revision(7);
    assert_ne!(member.digest(), collector.digest());
    member.replace_if_newer(5_600, 8, collector.shared_entries(5_600));
    assert_eq!(member.digest(), collector.digest());
    assert_eq!(ready(&member), ["u1", "u2"]);
    assert_eq!(collector.expire(7_300), [UpstreamChange::Removed("u1".into())]);
    assert_eq!(member.expire(7_300), [UpstreamChange::Removed("u1".into())]);
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
