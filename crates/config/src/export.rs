//! Export of a document as YAML that [`crate::parse`] reads back.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::{Document, KeyHash, Service, Upstream, Workspace};

#[derive(Serialize)]
struct ExportedDocument<'a> {
    workspaces: Vec<NamedItem<'a, ExportedWorkspace<'a>>>,
    services: Vec<NamedItem<'a, &'a Service>>,
    upstreams: Vec<NamedItem<'a, &'a Upstream>>,
    operators: Vec<NamedItem<'a, ExportedOperator<'a>>>,
}

#[derive(Serialize)]
struct NamedItem<'a, T> {
    name: &'a str,
    #[serde(flatten)]
    item: T,
}

#[derive(Serialize)]
struct ExportedWorkspace<'a> {
    share: u32,
    services: Vec<&'a str>,
    queue_limit: u32,
    deadline_ms: u64,
    keys: &'a BTreeSet<KeyHash>,
}

#[derive(Serialize)]
struct ExportedOperator<'a> {
    key_sha256: &'a KeyHash,
}

impl<'a> From<&'a Workspace> for ExportedWorkspace<'a> {
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
/// Fails only if the YAML library fails.
pub fn export(document: &Document) -> Result<String, String> {
    let exported = ExportedDocument {
        workspaces: named(&document.workspaces),
        services: named(&document.services),
        upstreams: named(&document.upstreams),
        operators: operators(document),
    };
    serde_saphyr::to_string(&exported).map_err(|error| error.to_string())
}

fn named<'a, N, V, T>(items: &'a BTreeMap<N, V>) -> Vec<NamedItem<'a, T>>
where
    N: AsRef<str>,
    T: From<&'a V>,
{
    items.iter().map(|(name, item)| NamedItem { name: name.as_ref(), item: item.into() }).collect()
}

fn operators(document: &Document) -> Vec<NamedItem<'_, ExportedOperator<'_>>> {
    document
        .operators
        .iter()
        .map(|(name, operator)| NamedItem {
            name,
            item: ExportedOperator { key_sha256: &operator.key },
        })
        .collect()
}
