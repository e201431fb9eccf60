//! Items of the YAML files with typed fields, before references are checked.

use std::net::SocketAddr;

use span_types::ServiceKind;

use super::{
    ProblemCollector, limits,
    mapping_reader::MappingReader,
    value::{Location, Mapping, Scalar, Value},
};
use crate::KeyHash;

/// The hash of a key and its location.
pub(super) struct Key {
    pub(super) hash: KeyHash,
    pub(super) location: Location,
}

pub(super) struct WorkspaceItem {
    pub(super) name: Scalar,
    pub(super) share: u64,
    pub(super) services: Vec<Scalar>,
    pub(super) queue_limit: u64,
    pub(super) deadline_ms: u64,
    pub(super) keys: Vec<Key>,
}

pub(super) struct ServiceItem {
    pub(super) name: Scalar,
    pub(super) kind: Option<ServiceKind>,
    pub(super) idempotent: bool,
    pub(super) models: Vec<Scalar>,
    pub(super) location: Location,
}

pub(super) struct UpstreamItem {
    pub(super) name: Scalar,
    pub(super) service: Option<Scalar>,
    pub(super) address: Option<(SocketAddr, Location)>,
    pub(super) failure_domain: Option<Scalar>,
    pub(super) max_concurrency: u64,
    pub(super) checks_fencing: bool,
    pub(super) leaving: bool,
}

pub(super) struct OperatorItem {
    pub(super) name: Scalar,
    pub(super) key: Option<Key>,
}

/// The items of all files. An invalid field, or a required one that is missing, has
/// been reported as a problem. It holds `None` or a valid default, so that references
/// to the item can still be checked.
#[derive(Default)]
pub(super) struct Items {
    pub(super) workspaces: Vec<WorkspaceItem>,
    pub(super) services: Vec<ServiceItem>,
    pub(super) upstreams: Vec<UpstreamItem>,
    pub(super) operators: Vec<OperatorItem>,
}

impl Items {
    /// Adds the items of one file and reports its problems.
    pub(super) fn add_file(&mut self, file: Mapping, problems: &mut ProblemCollector) {
        let mut reader = MappingReader::new(file, problems);
        let workspaces = mappings(&mut reader, "workspaces");
        let services = mappings(&mut reader, "services");
        let upstreams = mappings(&mut reader, "upstreams");
        let operators = mappings(&mut reader, "operators");
        reader.report_unknown_keys();
        self.workspaces
            .extend(workspaces.into_iter().filter_map(|mapping| read_workspace(mapping, problems)));
        self.services
            .extend(services.into_iter().filter_map(|mapping| read_service(mapping, problems)));
        self.upstreams
            .extend(upstreams.into_iter().filter_map(|mapping| read_upstream(mapping, problems)));
        self.operators
            .extend(operators.into_iter().filter_map(|mapping| read_operator(mapping, problems)));
    }
}

fn mappings(reader: &mut MappingReader<'_>, field: &'static str) -> Vec<Mapping> {
    let Some(value) = reader.take(field) else { return Vec::new() };
    let mut mappings = Vec::new();
    for item in reader.list(value) {
        match item {
            Value::Mapping(mapping) => mappings.push(mapping),
            other => {
                let message = format!("has to be a mapping with name:, not {}", other.type_name());
                reader.report(other.location(), message);
            }
        }
    }
    mappings
}

fn read_workspace(mapping: Mapping, problems: &mut ProblemCollector) -> Option<WorkspaceItem> {
    let mut reader = MappingReader::new(mapping, problems);
    let name = reader.required_name("name");
    let share = reader.number("share", limits::SHARE_RANGE, "parts", None);
    let services = reader.scalars("services");
    let queue_limit = reader.number(
        "queue_limit",
        limits::QUEUE_LIMIT_RANGE,
        "requests",
        Some(limits::DEFAULT_QUEUE_LIMIT),
    );
    let deadline_ms = reader.number(
        "deadline_ms",
        limits::DEADLINE_RANGE_MS,
        "milliseconds",
        Some(limits::DEFAULT_DEADLINE_MS),
    );
    let keys = reader.scalars("keys");
    let keys = keys.iter().filter_map(|scalar| read_key(&mut reader, scalar)).collect();
    reader.report_unknown_keys();
    Some(WorkspaceItem {
        name: name?,
        share: share.unwrap_or(1),
        services,
        queue_limit: queue_limit.unwrap_or(limits::DEFAULT_QUEUE_LIMIT),
        deadline_ms: deadline_ms.unwrap_or(limits::DEFAULT_DEADLINE_MS),
        keys,
    })
}

fn read_key(reader: &mut MappingReader<'_>, scalar: &Scalar) -> Option<Key> {
    let hash = reader.key_hash(scalar)?;
    Some(Key { hash, location: scalar.location.clone() })
}

fn read_service(mapping: Mapping, problems: &mut ProblemCollector) -> Option<ServiceItem> {
    let mut reader = MappingReader::new(mapping, problems);
    let location = reader.location.clone();
    let name = reader.required_name("name");
    let kind = reader.required_scalar("kind").and_then(|scalar| read_kind(&mut reader, &scalar));
    // A completion can safely be repeated. A call of a plain service may book
    // something or raise an alert, and must not be repeated by default.
    let default_idempotent = kind == Some(ServiceKind::Model);
    let idempotent = reader.bool_or("idempotent", default_idempotent);
    let models = reader.scalars("models");
    reader.report_unknown_keys();
    Some(ServiceItem {
        name: name?,
        kind,
        idempotent: idempotent.unwrap_or(false),
        models,
        location,
    })
}

fn read_kind(reader: &mut MappingReader<'_>, scalar: &Scalar) -> Option<ServiceKind> {
    let kind = scalar.text.parse().ok();
    if kind.is_none() {
        reader.report(&scalar.location, "has to be model or plain");
    }
    kind
}

fn read_upstream(mapping: Mapping, problems: &mut ProblemCollector) -> Option<UpstreamItem> {
    let mut reader = MappingReader::new(mapping, problems);
    let name = reader.required_name("name");
    let service = reader.required_scalar("service");
    let address = reader.address("address");
    let failure_domain = reader.required_name("failure_domain");
    let max_concurrency =
        reader.number("max_concurrency", limits::MAX_CONCURRENCY_RANGE, "requests", None);
    let checks_fencing = reader.bool_or("checks_fencing", false);
    let leaving = reader.bool_or("leaving", false);
    reader.report_unknown_keys();
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

fn read_operator(mapping: Mapping, problems: &mut ProblemCollector) -> Option<OperatorItem> {
    let mut reader = MappingReader::new(mapping, problems);
    let name = reader.required_name("name");
    let scalar = reader.required_scalar("key_sha256");
    let key = scalar.and_then(|scalar| read_key(&mut reader, &scalar));
    reader.report_unknown_keys();
    Some(OperatorItem { name: name?, key })
}
