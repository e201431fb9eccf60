//! Checks across items and files, and builds the document.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    sync::Arc,
};

use span_types::{FailureDomain, ServiceKind, ServiceName};

use super::{
    Faults,
    items::{Items, Key, OperatorItem, ServiceItem, UpstreamItem, WorkspaceItem},
    value::{Place, Text},
};
use crate::{Document, KeyHash, Operator, Service, Upstream, Workspace};

/// Builds the document; it is only meaningful if no fault was added.
pub(super) fn document(items: &Items, faults: &mut Faults) -> Document {
    names(items, faults);
    keys(items, faults);
    models(items, faults);
    addresses(items, faults);
    let services: BTreeSet<&str> = items.services.iter().map(|item| &*item.name.text).collect();
    let workspaces = items
        .workspaces
        .iter()
        .map(|item| (item.name.text.as_str().into(), workspace(item, &services, faults)));
    let workspaces = workspaces.collect();
    let upstreams = items.upstreams.iter().filter_map(|item| {
        Some((item.name.text.as_str().into(), upstream(item, &services, faults)?))
    });
    let upstreams = upstreams.collect();
    Document {
        workspaces,
        services: items.services.iter().filter_map(service).collect(),
        upstreams,
        operators: items.operators.iter().filter_map(operator).collect(),
    }
}

/// Remembers where each value was first given and reports the others.
struct Unique<'a, K> {
    seen: BTreeMap<K, &'a Place>,
}

impl<'a, K: Ord> Unique<'a, K> {
    fn new() -> Self {
        Self { seen: BTreeMap::new() }
    }

    fn add(&mut self, key: K, place: &'a Place, what: &str, faults: &mut Faults) {
        match self.seen.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(place);
            }
            Entry::Occupied(entry) => {
                let first = entry.get();
                let message = format!("{what} in {}:{} ({})", first.file, first.line, first.path);
                faults.add(place, message);
            }
        }
    }
}

fn names(items: &Items, faults: &mut Faults) {
    unique_names(items.workspaces.iter().map(|item| &item.name), faults);
    unique_names(items.services.iter().map(|item| &item.name), faults);
    unique_names(items.upstreams.iter().map(|item| &item.name), faults);
    unique_names(items.operators.iter().map(|item| &item.name), faults);
}

fn unique_names<'a>(names: impl Iterator<Item = &'a Text>, faults: &mut Faults) {
    let mut unique = Unique::new();
    for name in names {
        unique.add(&name.text, &name.place, "the name is already used", faults);
    }
}

/// A key that two workspaces share would charge one for the calls of the other.
fn keys(items: &Items, faults: &mut Faults) {
    let mut unique: Unique<'_, &KeyHash> = Unique::new();
    let workspaces = items.workspaces.iter().flat_map(|item| &item.keys);
    let operators = items.operators.iter().filter_map(|item| item.key.as_ref());
    for Key { hash, place } in workspaces.chain(operators) {
        unique.add(hash, place, "the key is already given", faults);
    }
}

fn models(items: &Items, faults: &mut Faults) {
    let mut unique = Unique::new();
    for service in &items.services {
        for model in &service.models {
            unique.add(&*model.text, &model.place, "the model is already claimed", faults);
        }
        let place = service.place.child("models");
        match service.kind {
            Some(ServiceKind::Model) if service.models.is_empty() => {
                faults.add(&place, "a model service needs at least one model");
            }
            Some(ServiceKind::Plain) if !service.models.is_empty() => {
                faults.add(&place, "a plain service has no models");
            }
            _ => {}
        }
    }
}

/// Two names for one endpoint would give it twice its concurrency.
fn addresses(items: &Items, faults: &mut Faults) {
    let mut unique = Unique::new();
    for (address, place) in items.upstreams.iter().filter_map(|item| item.address.as_ref()) {
        unique.add(address, place, "the address is already used", faults);
    }
}

fn reference(text: &Text, services: &BTreeSet<&str>, faults: &mut Faults) -> Option<ServiceName> {
    if services.contains(text.text.as_str()) {
        return Some(text.text.as_str().into());
    }
    faults.add(&text.place, format!("there is no service {:?}", text.text));
    None
}

fn workspace(item: &WorkspaceItem, services: &BTreeSet<&str>, faults: &mut Faults) -> Workspace {
    let mut unique = Unique::new();
    for text in &item.services {
        unique.add(&text.text, &text.place, "the service is already listed", faults);
    }
    let found = item.services.iter().filter_map(|text| reference(text, services, faults));
    Workspace {
        share: u32::try_from(item.share).unwrap_or(u32::MAX),
        services: found.collect(),
        queue_limit: u32::try_from(item.queue_limit).unwrap_or(u32::MAX),
        deadline_ms: item.deadline_ms,
        keys: item.keys.iter().map(|key| key.hash.clone()).collect(),
    }
}

fn service(item: &ServiceItem) -> Option<(ServiceName, Service)> {
    let models = item.models.iter().map(|model| Arc::from(model.text.as_str()));
    let service =
        Service { kind: item.kind?, idempotent: item.idempotent, models: models.collect() };
    Some((item.name.text.as_str().into(), service))
}

fn upstream(
    item: &UpstreamItem,
    services: &BTreeSet<&str>,
    faults: &mut Faults,
) -> Option<Upstream> {
    let service = item.service.as_ref().and_then(|text| reference(text, services, faults));
    Some(Upstream {
        service: service?,
        address: item.address.as_ref()?.0,
        failure_domain: FailureDomain::from(item.failure_domain.as_ref()?.text.as_str()),
        max_concurrency: u32::try_from(item.max_concurrency).unwrap_or(u32::MAX),
        checks_fencing: item.checks_fencing,
        leaving: item.leaving,
    })
}

fn operator(item: &OperatorItem) -> Option<(Arc<str>, Operator)> {
    let key = item.key.as_ref()?.hash.clone();
    Some((item.name.text.as_str().into(), Operator { key }))
}
