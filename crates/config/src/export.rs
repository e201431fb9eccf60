//! The document as YAML that [`crate::parse`] reads back.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{Document, KeyHash, Service, Upstream, Workspace};

#[derive(Serialize)]
struct Exported<'a> {
    workspaces: Vec<Named<'a, WorkspaceYaml<'a>>>,
    services: Vec<Named<'a, &'a Service>>,
    upstreams: Vec<Named<'a, &'a Upstream>>,
    operators: Vec<Named<'a, OperatorYaml<'a>>>,
}

#[derive(Serialize)]
struct Named<'a, T> {
    name: &'a str,
    #[serde(flatten)]
    item: T,
}

#[derive(Serialize)]
struct WorkspaceYaml<'a> {
    share: u32,
    services: Vec<&'a str>,
    queue_limit: u32,
    deadline_ms: u64,
    keys: &'a BTreeSet<KeyHash>,
}

#[derive(Serialize)]
struct OperatorYaml<'a> {
    key_sha256: &'a KeyHash,
}

impl<'a> From<&'a Workspace> for WorkspaceYaml<'a> {
    fn from(workspace: &'a Workspace) -> Self {
        Self {
            share: workspace.share,
            services: workspace.services.iter().map(AsRef::as_ref).collect(),
            queue_limit: workspace.queue_limit,
            deadline_ms: workspace.deadline_ms,
            keys: &workspace.keys,
        }
    }
}

/// Writes a document as one YAML file.
///
/// # Errors
///
/// Only if the YAML writer fails.
pub fn export(document: &Document) -> Result<String, String> {
    let exported = Exported {
        workspaces: named(&document.workspaces),
        services: named(&document.services),
        upstreams: named(&document.upstreams),
        operators: operators(document),
    };
    serde_saphyr::to_string(&exported).map_err(|error| error.to_string())
}

fn named<'a, N, V, T>(items: &'a BTreeMap<N, V>) -> Vec<Named<'a, T>>
where
    N: AsRef<str>,
    T: From<&'a V>,
{
    items.iter().map(|(name, item)| Named { name: name.as_ref(), item: item.into() }).collect()
}

fn operators(document: &Document) -> Vec<Named<'_, OperatorYaml<'_>>> {
    document
        .operators
        .iter()
        .map(|(name, operator)| Named { name, item: OperatorYaml { key_sha256: &operator.key } })
        .collect()
}
