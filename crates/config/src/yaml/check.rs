//! Checks that concern several items or files, and construction of the document.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    sync::Arc,
};

use span_types::{FailureDomain, ServiceKind, ServiceName};

use super::{
    ProblemCollector,
    items::{Items, Key, OperatorItem, ServiceItem, UpstreamItem, WorkspaceItem},
    value::{Location, Scalar},
};
use crate::{Document, KeyHash, Operator, Service, Upstream, Workspace};

/// Checks the items of all files and builds the document, which is only meaningful
/// if no problem was reported.
pub(super) fn build_document(items: &Items, problems: &mut ProblemCollector) -> Document {
    check_names(items, problems);
    check_keys(items, problems);
    check_models(items, problems);
    check_addresses(items, problems);
    let services: BTreeSet<&str> = items.services.iter().map(|item| &*item.name.text).collect();
    let workspaces = items
        .workspaces
        .iter()
        .map(|item| (item.name.text.as_str().into(), build_workspace(item, &services, problems)));
    let workspaces = workspaces.collect();
    let upstreams = items.upstreams.iter().filter_map(|item| {
        Some((item.name.text.as_str().into(), build_upstream(item, &services, problems)?))
    });
    let upstreams = upstreams.collect();
    Document {
        workspaces,
        services: items.services.iter().filter_map(build_service).collect(),
        upstreams,
        operators: items.operators.iter().filter_map(build_operator).collect(),
    }
}

/// Locations at which values are first used. Reports further uses of a value.
struct FirstUses<'a, K> {
    locations: BTreeMap<K, &'a Location>,
}

impl<'a, K: Ord> FirstUses<'a, K> {
    fn new() -> Self {
        Self { locations: BTreeMap::new() }
    }

    fn add(
        &mut self,
        key: K,
        location: &'a Location,
        description: &str,
        problems: &mut ProblemCollector,
    ) {
        match self.locations.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(location);
            }
            Entry::Occupied(entry) => {
                let first = entry.get();
                let message =
                    format!("{description} in {}:{} ({})", first.file, first.line, first.path);
                problems.report(location, message);
            }
        }
    }
}

fn check_names(items: &Items, problems: &mut ProblemCollector) {
    check_unique_names(items.workspaces.iter().map(|item| &item.name), problems);
    check_unique_names(items.services.iter().map(|item| &item.name), problems);
    check_unique_names(items.upstreams.iter().map(|item| &item.name), problems);
    check_unique_names(items.operators.iter().map(|item| &item.name), problems);
}

fn check_unique_names<'a>(
    names: impl Iterator<Item = &'a Scalar>,
    problems: &mut ProblemCollector,
) {
    let mut first_uses = FirstUses::new();
    for name in names {
        first_uses.add(&name.text, &name.location, "the name is already used", problems);
    }
}

/// Reports keys that occur twice. If two workspaces had the same key, the calls of
/// one would be charged to the other.
fn check_keys(items: &Items, problems: &mut ProblemCollector) {
    let mut first_uses: FirstUses<'_, &KeyHash> = FirstUses::new();
    let workspaces = items.workspaces.iter().flat_map(|item| &item.keys);
    let operators = items.operators.iter().filter_map(|item| item.key.as_ref());
    for Key { hash, location } in workspaces.chain(operators) {
        first_uses.add(hash, location, "the key is already given", problems);
    }
}

fn check_models(items: &Items, problems: &mut ProblemCollector) {
    let mut first_uses = FirstUses::new();
    for service in &items.services {
        for model in &service.models {
            first_uses.add(&*model.text, &model.location, "the model is already claimed", problems);
        }
        let location = service.location.child("models");
        match service.kind {
            Some(ServiceKind::Model) if service.models.is_empty() => {
                problems.report(&location, "a model service needs at least one model");
            }
            Some(ServiceKind::Plain) if !service.models.is_empty() => {
                problems.report(&location, "a plain service has no models");
            }
            _ => {}
        }
    }
}

/// Reports addresses that occur twice. An endpoint with two names would receive
/// twice its maximum number of concurrent requests.
fn check_addresses(items: &Items, problems: &mut ProblemCollector) {
    let mut first_uses = FirstUses::new();
    for (address, location) in items.upstreams.iter().filter_map(|item| item.address.as_ref()) {
        first_uses.add(address, location, "the address is already used", problems);
    }
}

/// Returns the service that `scalar` names; reports a problem if there is none.
fn resolve_service(
    scalar: &Scalar,
    services: &BTreeSet<&str>,
    problems: &mut ProblemCollector,
) -> Option<ServiceName> {
    if services.contains(scalar.text.as_str()) {
        return Some(scalar.text.as_str().into());
    }
    problems.report(&scalar.location, format!("there is no service {:?}", scalar.text));
    None
}

fn build_workspace(
    item: &WorkspaceItem,
    services: &BTreeSet<&str>,
    problems: &mut ProblemCollector,
) -> Workspace {
    let mut first_uses = FirstUses::new();
    for scalar in &item.services {
        first_uses.add(&scalar.text, &scalar.location, "the service is already listed", problems);
    }
    let resolved =
        item.services.iter().filter_map(|scalar| resolve_service(scalar, services, problems));
    Workspace {
        share: u32::try_from(item.share).unwrap_or(u32::MAX),
        services: resolved.collect(),
        queue_limit: u32::try_from(item.queue_limit).unwrap_or(u32::MAX),
        deadline_ms: item.deadline_ms,
        keys: item.keys.iter().map(|key| key.hash.clone()).collect(),
    }
}

fn build_service(item: &ServiceItem) -> Option<(ServiceName, Service)> {
    let models = item.models.iter().map(|model| Arc::from(model.text.as_str()));
    let service =
        Service { kind: item.kind?, idempotent: item.idempotent, models: models.collect() };
    Some((item.name.text.as_str().into(), service))
}

fn build_upstream(
    item: &UpstreamItem,
    services: &BTreeSet<&str>,
    problems: &mut ProblemCollector,
) -> Option<Upstream> {
    let service =
        item.service.as_ref().and_then(|scalar| resolve_service(scalar, services, problems));
    Some(Upstream {
        service: service?,
        address: item.address.as_ref()?.0,
        failure_domain: FailureDomain::from(item.failure_domain.as_ref()?.text.as_str()),
        max_concurrency: u32::try_from(item.max_concurrency).unwrap_or(u32::MAX),
        checks_fencing: item.checks_fencing,
        leaving: item.leaving,
    })
}

fn build_operator(item: &OperatorItem) -> Option<(Arc<str>, Operator)> {
    let key = item.key.as_ref()?.hash.clone();
    Some((item.name.text.as_str().into(), Operator { key }))
}
