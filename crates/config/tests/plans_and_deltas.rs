//! Plans, deltas, the delta log and the stored configuration.
#![allow(clippy::unwrap_used)]

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use span_config::{
    AcceptedConfig, Delta, DeltaError, DeltaLog, KeyHash, MAX_HISTORY_ENTRIES, Plan, PlanId,
    StoredConfig, VersionedDocument,
};
use span_types::{Revision, UpstreamName};
use support::{BASE_YAML, document, parse};

const SEED: u64 = 20;

/// Guards against a plan that does not show an effect on the running fleet.
#[test]
fn plan_lists_changes_and_effects() {
    let cases = [
        ("same document", BASE_YAML.to_owned()),
        ("share", BASE_YAML.replace("share: 10", "share: 20")),
        ("leaving", BASE_YAML.replace("checks_fencing: true", "leaving: true")),
        ("address", BASE_YAML.replace("127.0.0.1:7003", "127.0.0.1:7009")),
        ("service access removed", BASE_YAML.replace("[chat, desk]", "[chat]")),
        ("service without upstreams", BASE_YAML.replace("service: desk", "service: chat")),
        (
            "key replaced",
            BASE_YAML.replace(
                &BASE_YAML[BASE_YAML.find("      - ").unwrap() + 8..][..64],
                &"a".repeat(64),
            ),
        ),
        ("everything removed", String::new()),
    ];
    for (name, text) in cases {
        let plan = Plan::new(Revision(7), &parse(BASE_YAML), &parse(&text), "ada", 0);
        insta::assert_snapshot!(format!("plan_{}", name.replace(' ', "_")), plan);
    }
}

fn confirm_plan(current: &AcceptedConfig, text: &str) -> (Plan, AcceptedConfig) {
    let base = current.revision;
    let plan = Plan::new(base, &current.stored.document, &parse(text), "ada", 5);
    let document = plan.desired_document(base, &current.stored.document).unwrap();
    let stored = current.stored.with_confirmation(&plan, document, "bob", 6);
    let version = base.0 + 3;
    (plan, AcceptedConfig::decode(version, &stored.encode().unwrap()).unwrap())
}

/// Guards against a plan that is confirmed a second time, after later changes, and is
/// not recognised as confirmed.
#[test]
fn confirmed_plans_are_found_with_their_revision() {
    let (first_plan, first) = confirm_plan(&AcceptedConfig::default(), BASE_YAML);
    let (second_plan, second) = confirm_plan(&first, &BASE_YAML.replace("share: 10", "share: 11"));
    assert_eq!(second.confirmed_revision(&first_plan.id), Some(first.revision));
    assert_eq!(second.confirmed_revision(&second_plan.id), Some(second.revision));
    assert_eq!(second.confirmed_revision(&PlanId::of(Revision(1), &parse(BASE_YAML))), None);
    let since: Vec<_> = second.confirmations_since(first.revision).collect();
    assert_eq!(since.len(), 1);
    assert_eq!((since[0].0, &since[0].1.plan), (second.revision, &second_plan.id));
}

/// Guards against a stored value that grows with each confirmation.
#[test]
fn history_length_is_limited() {
    let mut current = AcceptedConfig::default();
    let mut newest = None;
    for n in 0..MAX_HISTORY_ENTRIES + 3 {
        let share = format!("share: {}", n + 1);
        let (plan, next) = confirm_plan(&current, &BASE_YAML.replace("share: 10", &share));
        (current, newest) = (next, Some(plan.id));
    }
    assert_eq!(current.stored.history.len(), MAX_HISTORY_ENTRIES);
    assert_eq!(current.confirmed_revision(&newest.unwrap()), Some(current.revision));
}

fn stored_with_upstreams(upstreams: u32) -> StoredConfig {
    let mut stored = StoredConfig { document: parse(BASE_YAML), ..StoredConfig::default() };
    let upstream = stored.document.upstreams.values().next().unwrap().clone();
    // Hashes as names, because they do not compress.
    let names = (0..upstreams).map(|n| KeyHash::of(&n.to_string()).0);
    let items: Vec<_> = names.map(|name| (UpstreamName::new(name), upstream.clone())).collect();
    stored.document.upstreams.extend(items);
    stored
}

/// Guards against a document of 10,000 upstreams, the number that the fleet is
/// designed for, not fitting into one object. As JSON, it is larger than 1 MiB.
#[test]
fn document_with_10_000_upstreams_fits_into_one_object() {
    let stored = stored_with_upstreams(10_000);
    assert!(serde_json::to_vec(&stored).unwrap().len() > 1024 * 1024);
    let bytes = stored.encode().unwrap();
    assert_eq!(AcceptedConfig::decode(1, &bytes).unwrap().stored, stored);
}

/// Guards against an oversized document that is only rejected by the object API,
/// after the operator has confirmed it.
#[test]
fn oversized_documents_are_rejected() {
    assert!(
        stored_with_upstreams(34_000).encode().unwrap_err().to_string().contains("at most 1048576")
    );
}

/// Guards against a damaged value that decodes as an empty document.
#[test]
fn damaged_values_are_rejected() {
    let bytes = stored_with_upstreams(3_000).encode().unwrap();
    for damaged in [&b""[..], b"x", b"{", &bytes[..bytes.len() / 2]] {
        assert!(AcceptedConfig::decode(1, damaged).is_err());
    }
}

proptest! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..Config::default() })]

    /// Guards against deltas that lose a change, alone or combined.
    #[test]
    fn deltas_round_trip(a in document(), b in document(), c in document()) {
        let (one, two, three) = (Revision(1), Revision(2), Revision(3));
        let first = Delta::between(one, &a, two, &b);
        let second = Delta::between(two, &b, three, &c);
        let text = serde_json::to_string(&first).unwrap();
        let first: Delta = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(&first.apply(one, &a).unwrap(), &b);
        prop_assert_eq!(first.is_empty(), a == b);
        let combined = first.clone().compose(&second).unwrap();
        prop_assert_eq!(&combined.apply(one, &a).unwrap(), &c);
        let wrong = matches!(second.compose(&first), Err(DeltaError::BaseMismatch { .. }));
        prop_assert!(wrong);
    }

    /// Guards against a delta that is applied to a document it was not made for and
    /// results in another document than intended, without an error.
    #[test]
    fn deltas_for_another_document_are_rejected(a in document(), b in document(), c in document()) {
        let (one, two) = (Revision(1), Revision(2));
        let delta = Delta::between(one, &a, two, &b);
        let wrong_revision = matches!(delta.apply(two, &a), Err(DeltaError::BaseMismatch { .. }));
        prop_assert!(wrong_revision);
        match delta.apply(one, &c) {
            Ok(result) => prop_assert_eq!(result, b),
            Err(DeltaError::DigestMismatch { .. }) => prop_assert!(a != c),
            Err(error) => prop_assert!(false, "{}", error),
        }
    }

    /// Guards against a document that changes when it is encoded and decoded.
    #[test]
    fn stored_config_round_trips(document in document()) {
        let stored = StoredConfig { document: document.clone(), ..StoredConfig::default() };
        let bytes = stored.encode().unwrap();
        prop_assert_eq!(AcceptedConfig::decode(1, &bytes).unwrap().stored, stored);
        let plain: span_config::Document = serde_json::from_slice(&bytes).unwrap();
        prop_assert_eq!(plain, document);
    }

    /// Guards against a digest that no longer matches its document, and against a peer
    /// that arrives at another document than the sender.
    #[test]
    fn deltas_bring_peers_up_to_date(documents in proptest::collection::vec(document(), 1..8), from in 0..8usize) {
        let mut log = DeltaLog::new(VersionedDocument::default(), 4);
        let mut states = vec![log.current().clone()];
        for (n, document) in documents.into_iter().enumerate() {
            prop_assert!(log.accept_document(Revision(n as u64 + 1), document));
            states.push(log.current().clone());
        }
        let from = from % states.len();
        let mut peer = DeltaLog::new(states[from].clone(), 4);
        match log.delta_since(states[from].revision()) {
            Some(delta) => {
                prop_assert!(peer.apply_delta(&delta).unwrap());
                prop_assert_eq!(peer.current(), log.current());
                prop_assert!(!peer.apply_delta(&delta).unwrap(), "applied twice");
            }
            None => prop_assert!(from + 4 < states.len() - 1 || from == states.len() - 1),
        }
        let current = log.current();
        prop_assert_eq!(current.digest(), current.document().digest());
        prop_assert!(!log.accept_document(Revision(0), Default::default()), "reverted");
    }
}
