//! Documents and strategies for the tests.
#![allow(dead_code, clippy::unwrap_used)]

use proptest::prelude::*;
use span_config::{Document, KeyHash, Operator, Service, SourceFile, Upstream, Workspace};
use span_types::ServiceKind;

/// A valid document with items of all kinds, which tests modify as text.
pub const BASE_YAML: &str = include_str!("base.yaml");

pub fn source(name: &str, text: &str) -> SourceFile {
    SourceFile { name: name.to_owned(), text: text.to_owned() }
}

pub fn parse(text: &str) -> Document {
    span_config::parse(&[source("base.yaml", text)]).unwrap()
}

fn named_items<T: std::fmt::Debug + Clone>(
    prefix: &'static str,
    item: impl Strategy<Value = T>,
) -> impl Strategy<Value = Vec<(String, T)>> {
    let name = (0..6u8).prop_map(move |n| format!("{prefix}-{n}"));
    proptest::collection::vec((name, item), 0..5)
}

fn workspace() -> impl Strategy<Value = Workspace> {
    let services = proptest::collection::btree_set(0..3u8, 0..3);
    (1..50u32, services, 1..9u32, 100..900u64, 0..9u32).prop_map(
        |(share, services, queue_limit, deadline_ms, key)| Workspace {
            share,
            services: services.into_iter().map(|n| format!("service-{n}").into()).collect(),
            queue_limit,
            deadline_ms,
            keys: [KeyHash::of(&key.to_string())].into(),
        },
    )
}

fn service() -> impl Strategy<Value = Service> {
    any::<(bool, bool)>().prop_map(|(model, idempotent)| Service {
        kind: if model { ServiceKind::Model } else { ServiceKind::Plain },
        idempotent,
        models: if model { ["m".into()].into() } else { [].into() },
    })
}

fn upstream() -> impl Strategy<Value = Upstream> {
    (0..3u8, 1..9u16, 1..9u32, any::<(bool, bool)>()).prop_map(
        |(service, port, max_concurrency, (checks_fencing, leaving))| Upstream {
            service: format!("service-{service}").into(),
            address: ([127, 0, 0, 1], port).into(),
            failure_domain: "a".into(),
            max_concurrency,
            checks_fencing,
            leaving,
        },
    )
}

/// Any document, including ones that the checks reject.
pub fn document() -> impl Strategy<Value = Document> {
    let operator = (0..9u8).prop_map(|n| Operator { key: KeyHash::of(&n.to_string()) });
    let items = (
        named_items("workspace", workspace()),
        named_items("service", service()),
        named_items("upstream", upstream()),
        named_items("operator", operator),
    );
    items.prop_map(|(workspaces, services, upstreams, operators)| Document {
        workspaces: workspaces.into_iter().map(|(name, item)| (name.into(), item)).collect(),
        services: services.into_iter().map(|(name, item)| (name.into(), item)).collect(),
        upstreams: upstreams.into_iter().map(|(name, item)| (name.into(), item)).collect(),
        operators: operators.into_iter().map(|(name, item)| (name.into(), item)).collect(),
    })
}
