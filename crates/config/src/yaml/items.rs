//! Items as written: fields are typed, references are not yet checked.

use std::net::SocketAddr;

use span_types::ServiceKind;

use super::{
    Faults,
    fields::Fields,
    limits,
    value::{Map, Place, Text, Value},
};
use crate::KeyHash;

/// A hashed key and where it is written.
pub(super) struct Key {
    pub(super) hash: KeyHash,
    pub(super) place: Place,
}

pub(super) struct WorkspaceItem {
    pub(super) name: Text,
    pub(super) share: u64,
    pub(super) services: Vec<Text>,
    pub(super) queue_limit: u64,
    pub(super) deadline_ms: u64,
    pub(super) keys: Vec<Key>,
}

pub(super) struct ServiceItem {
    pub(super) name: Text,
    pub(super) kind: Option<ServiceKind>,
    pub(super) idempotent: bool,
    pub(super) models: Vec<Text>,
    pub(super) place: Place,
}

pub(super) struct UpstreamItem {
    pub(super) name: Text,
    pub(super) service: Option<Text>,
    pub(super) address: Option<(SocketAddr, Place)>,
    pub(super) failure_domain: Option<Text>,
    pub(super) max_concurrency: u64,
    pub(super) checks_fencing: bool,
    pub(super) leaving: bool,
}

pub(super) struct OperatorItem {
    pub(super) name: Text,
    pub(super) key: Option<Key>,
}

/// The items of all files. A field that is missing or wrong has been reported
/// and holds a harmless value, so that the item can still be referred to.
#[derive(Default)]
pub(super) struct Items {
    pub(super) workspaces: Vec<WorkspaceItem>,
    pub(super) services: Vec<ServiceItem>,
    pub(super) upstreams: Vec<UpstreamItem>,
    pub(super) operators: Vec<OperatorItem>,
}

impl Items {
    /// Adds the items of one file.
    pub(super) fn read(&mut self, file: Map, faults: &mut Faults) {
        let mut fields = Fields::new(file, faults);
        let workspaces = maps(&mut fields, "workspaces");
        let services = maps(&mut fields, "services");
        let upstreams = maps(&mut fields, "upstreams");
        let operators = maps(&mut fields, "operators");
        fields.finish();
        self.workspaces.extend(workspaces.into_iter().filter_map(|map| workspace(map, faults)));
        self.services.extend(services.into_iter().filter_map(|map| service(map, faults)));
        self.upstreams.extend(upstreams.into_iter().filter_map(|map| upstream(map, faults)));
        self.operators.extend(operators.into_iter().filter_map(|map| operator(map, faults)));
    }
}

fn maps(fields: &mut Fields<'_>, field: &'static str) -> Vec<Map> {
    let Some(value) = fields.take(field) else { return Vec::new() };
    let mut maps = Vec::new();
    for item in fields.list(value) {
        match item {
            Value::Map(map) => maps.push(map),
            other => {
                let message = format!("has to be a mapping with name:, not {}", other.form());
                fields.fault(other.place(), message);
            }
        }
    }
    maps
}

fn workspace(map: Map, faults: &mut Faults) -> Option<WorkspaceItem> {
    let mut fields = Fields::new(map, faults);
    let name = fields.name("name");
    let share = fields.number("share", limits::SHARE, "parts", None);
    let services = fields.texts("services");
    let queue_limit = fields.number(
        "queue_limit",
        limits::QUEUE_LIMIT,
        "requests",
        Some(limits::DEFAULT_QUEUE_LIMIT),
    );
    let deadline_ms = fields.number(
        "deadline_ms",
        limits::DEADLINE_MS,
        "milliseconds",
        Some(limits::DEFAULT_DEADLINE_MS),
    );
    let keys = fields.texts("keys");
    let keys = keys.iter().filter_map(|text| key(&mut fields, text)).collect();
    fields.finish();
    Some(WorkspaceItem {
        name: name?,
        share: share.unwrap_or(1),
        services,
        queue_limit: queue_limit.unwrap_or(limits::DEFAULT_QUEUE_LIMIT),
        deadline_ms: deadline_ms.unwrap_or(limits::DEFAULT_DEADLINE_MS),
        keys,
    })
}

fn key(fields: &mut Fields<'_>, text: &Text) -> Option<Key> {
    let hash = fields.key_hash(text)?;
    Some(Key { hash, place: text.place.clone() })
}

fn service(map: Map, faults: &mut Faults) -> Option<ServiceItem> {
    let mut fields = Fields::new(map, faults);
    let place = fields.place.clone();
    let name = fields.name("name");
    let kind = fields.text("kind").and_then(|text| kind(&mut fields, &text));
    // Completions may be repeated; calls that book or alert may not.
    let default = kind == Some(ServiceKind::Model);
    let idempotent = fields.flag("idempotent", default);
    let models = fields.texts("models");
    fields.finish();
    Some(ServiceItem { name: name?, kind, idempotent: idempotent.unwrap_or(false), models, place })
}

fn kind(fields: &mut Fields<'_>, text: &Text) -> Option<ServiceKind> {
    let kind = text.text.parse().ok();
    if kind.is_none() {
        fields.fault(&text.place, "has to be model or plain");
    }
    kind
}

fn upstream(map: Map, faults: &mut Faults) -> Option<UpstreamItem> {
    let mut fields = Fields::new(map, faults);
    let name = fields.name("name");
    let service = fields.text("service");
    let address = fields.address("address");
    let failure_domain = fields.name("failure_domain");
    let max_concurrency =
        fields.number("max_concurrency", limits::MAX_CONCURRENCY, "requests", None);
    let checks_fencing = fields.flag("checks_fencing", false);
    let leaving = fields.flag("leaving", false);
    fields.finish();
    Some(UpstreamItem {
        name: name?,
        service,
        address,
        failure_domain,
        max_concurrency: max_concurrency.unwrap_or(1),
        checks_fencing: checks_fencing.unwrap_or(false),
        leaving: leaving.unwrap_or(false),
    })
}

fn operator(map: Map, faults: &mut Faults) -> Option<OperatorItem> {
    let mut fields = Fields::new(map, faults);
    let name = fields.name("name");
    let text = fields.text("key_sha256");
    let key = text.and_then(|text| key(&mut fields, &text));
    fields.finish();
    Some(OperatorItem { name: name?, key })
}
