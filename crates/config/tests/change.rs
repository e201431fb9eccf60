//! Plans, deltas and the stored form.
#![allow(clippy::unwrap_used)]

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use span_config::{
    AcceptedConfig, Delta, DeltaError, DeltaLog, HISTORY_LIMIT, KeyHash, Plan, PlanId, Revised,
    StoredConfig,
};
use span_types::{Revision, UpstreamName};
use support::{BASE, document, parse};

const SEED: u64 = 20;

/// Guards against a plan text that leaves out an effect on the running fleet.
#[test]
fn plan_shows_changes_and_effects() {
    let cases = [
        ("same document", BASE.to_owned()),
        ("share", BASE.replace("share: 10", "share: 20")),
        ("leaving", BASE.replace("checks_fencing: true", "leaving: true")),
        ("address", BASE.replace("127.0.0.1:7003", "127.0.0.1:7009")),
        ("service withdrawn", BASE.replace("[chat, desk]", "[chat]")),
        ("service without upstreams", BASE.replace("service: desk", "service: chat")),
        (
            "key replaced",
            BASE.replace(&BASE[BASE.find("      - ").unwrap() + 8..][..64], &"a".repeat(64)),
        ),
        ("all gone", String::new()),
    ];
    for (name, text) in cases {
        let plan = Plan::new(Revision(7), &parse(BASE), &parse(&text), "ada", 0);
        insta::assert_snapshot!(format!("plan_{}", name.replace(' ', "_")), plan);
    }
}

fn confirm(current: &AcceptedConfig, text: &str) -> (Plan, AcceptedConfig) {
    let base = current.revision;
    let plan = Plan::new(base, &current.stored.document, &parse(text), "ada", 5);
    let document = plan.desired(base, &current.stored.document).unwrap();
    let stored = current.stored.commit(&plan, document, "bob", 6);
    let version = base.0 + 3;
    (plan, AcceptedConfig::decode(version, &stored.encode().unwrap()).unwrap())
}

/// Guards against a confirmed plan that is not recognised when it is confirmed
/// again after later changes.
#[test]
fn confirmations_are_remembered_with_their_revision() {
    let (first_plan, first) = confirm(&AcceptedConfig::default(), BASE);
    let (second_plan, second) = confirm(&first, &BASE.replace("share: 10", "share: 11"));
    assert_eq!(second.confirmed(&first_plan.id), Some(first.revision));
    assert_eq!(second.confirmed(&second_plan.id), Some(second.revision));
    assert_eq!(second.confirmed(&PlanId::of(Revision(1), &parse(BASE))), None);
    let since: Vec<_> = second.since(first.revision).collect();
    assert_eq!(since.len(), 1);
    assert_eq!((since[0].0, &since[0].1.plan), (second.revision, &second_plan.id));
}

/// Guards against the stored value growing with each confirmation.
#[test]
fn history_is_bounded() {
    let mut current = AcceptedConfig::default();
    let mut newest = None;
    for n in 0..HISTORY_LIMIT + 3 {
        let share = format!("share: {}", n + 1);
        let (plan, next) = confirm(&current, &BASE.replace("share: 10", &share));
        (current, newest) = (next, Some(plan.id));
    }
    assert_eq!(current.stored.history.len(), HISTORY_LIMIT);
    assert_eq!(current.confirmed(&newest.unwrap()), Some(current.revision));
}

fn large(upstreams: u32) -> StoredConfig {
    let mut stored = StoredConfig { document: parse(BASE), ..StoredConfig::default() };
    let upstream = stored.document.upstreams.values().next().unwrap().clone();
    // Names without any pattern, so that packing does not help.
    let names = (0..upstreams).map(|n| KeyHash::of(&n.to_string()).0);
    let items: Vec<_> = names.map(|name| (UpstreamName::new(name), upstream.clone())).collect();
    stored.document.upstreams.extend(items);
    stored
}

/// Guards against a document of the design size that does not fit into one
/// object.
#[test]
fn document_of_the_design_size_fits() {
    let stored = large(10_000);
    assert!(serde_json::to_vec(&stored).unwrap().len() > 1024 * 1024);
    let bytes = stored.encode().unwrap();
    assert_eq!(AcceptedConfig::decode(1, &bytes).unwrap().stored, stored);
}

/// Guards against a document that the object API would refuse only after the
/// operator has confirmed it.
#[test]
fn oversized_documents_are_refused() {
    assert!(large(34_000).encode().unwrap_err().to_string().contains("at most 1048576"));
}

/// Guards against a value that is damaged being taken for an empty document.
#[test]
fn damaged_values_are_noticed() {
    let bytes = large(3_000).encode().unwrap();
    for damaged in [&b""[..], b"x", b"{", &bytes[..bytes.len() / 2]] {
        assert!(AcceptedConfig::decode(1, damaged).is_err());
    }
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Config::default() })]

    /// Guards against deltas that lose a change, in one step or joined.
    #[test]
    fn deltas_round_trip(a in document(), b in document(), c in document()) {
        let (one, two, three) = (Revision(1), Revision(2), Revision(3));
        let first = Delta::between(one, &a, two, &b);
        let second = Delta::between(two, &b, three, &c);
        let text = serde_json::to_string(&first).unwrap();
        let first: Delta = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(&first.apply(one, &a).unwrap(), &b);
        prop_assert_eq!(first.is_empty(), a == b);
        let joined = first.clone().then(&second).unwrap();
        prop_assert_eq!(&joined.apply(one, &a).unwrap(), &c);
        let wrong = matches!(second.then(&first), Err(DeltaError::WrongBase { .. }));
        prop_assert!(wrong);
    }

    /// Guards against a delta applied to another document being taken for the
    /// revision that it names.
    #[test]
    fn deltas_on_the_wrong_document_are_noticed(a in document(), b in document(), c in document()) {
        let (one, two) = (Revision(1), Revision(2));
        let delta = Delta::between(one, &a, two, &b);
        let wrong_revision = matches!(delta.apply(two, &a), Err(DeltaError::WrongBase { .. }));
        prop_assert!(wrong_revision);
        match delta.apply(one, &c) {
            Ok(result) => prop_assert_eq!(result, b),
            Err(DeltaError::Digest { .. }) => prop_assert!(a != c),
            Err(error) => prop_assert!(false, "{}", error),
        }
    }

    /// Guards against the stored form changing a document on the way.
    #[test]
    fn stored_form_round_trips(document in document()) {
        let stored = StoredConfig { document: document.clone(), ..StoredConfig::default() };
        let bytes = stored.encode().unwrap();
        prop_assert_eq!(AcceptedConfig::decode(1, &bytes).unwrap().stored, stored);
        let plain: span_config::Document = serde_json::from_slice(&bytes).unwrap();
        prop_assert_eq!(plain, document);
    }

    /// Guards against the digest drifting from the document it belongs to, and
    /// against a peer that ends up with another document than the sender.
    #[test]
    fn peers_follow_by_deltas(documents in proptest::collection::vec(document(), 1..8), from in 0..8usize) {
        let mut log = DeltaLog::new(Revised::default(), 4);
        let mut states = vec![log.current().clone()];
        for (n, document) in documents.into_iter().enumerate() {
            prop_assert!(log.accept(Revision(n as u64 + 1), document));
            states.push(log.current().clone());
        }
        let from = from % states.len();
        let mut peer = DeltaLog::new(states[from].clone(), 4);
        match log.since(states[from].revision()) {
            Some(delta) => {
                prop_assert!(peer.apply(&delta).unwrap());
                prop_assert_eq!(peer.current(), log.current());
                prop_assert!(!peer.apply(&delta).unwrap(), "applied twice");
            }
            None => prop_assert!(from + 4 < states.len() - 1 || from == states.len() - 1),
        }
        let current = log.current();
        prop_assert_eq!(current.digest(), current.document().digest());
        prop_assert!(!log.accept(Revision(0), Default::default()), "reverted");
    }
}
