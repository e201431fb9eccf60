//! What differs between two documents, item by item.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{Document, KeyHash, Operator, Service, Upstream, Workspace};

/// Kind of an item of the document.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ItemKind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// An upstream.
    Upstream,
    /// An operator.
    Operator,
}

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name of the field.
    pub name: String,
    /// Value before, as text.
    pub before: String,
    /// Value after, as text.
    pub after: String,
}

/// One item that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// The item is new.
    Added {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
    },
    /// The item is gone.
    Removed {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
    },
    /// Fields of the item differ.
    Changed {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
        /// The fields that differ.
        fields: Vec<Field>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { kind, name } => write!(f, "+ {kind} {name}"),
            Self::Removed { kind, name } => write!(f, "- {kind} {name}"),
            Self::Changed { kind, name, fields } => {
                write!(f, "~ {kind} {name}:")?;
                for (index, field) in fields.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    write!(f, "{separator} {} {} -> {}", field.name, field.before, field.after)?;
                }
                Ok(())
            }
        }
    }
}

/// The differences from `before` to `after`, by kind and name.
pub fn changes(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(ItemKind::Workspace, &before.workspaces, &after.workspaces, &mut changes);
    compare(ItemKind::Service, &before.services, &after.services, &mut changes);
    compare(ItemKind::Upstream, &before.upstreams, &after.upstreams, &mut changes);
    compare(ItemKind::Operator, &before.operators, &after.operators, &mut changes);
    changes
}

fn compare<N: Ord + AsRef<str>, T: Fields>(
    kind: ItemKind,
    before: &BTreeMap<N, T>,
    after: &BTreeMap<N, T>,
    changes: &mut Vec<Change>,
) {
    for (name, item) in before {
        let name_text = name.as_ref().to_owned();
        match after.get(name) {
            None => changes.push(Change::Removed { kind, name: name_text }),
            Some(new) => {
                let fields = differing(item.fields(), new.fields());
                if !fields.is_empty() {
                    changes.push(Change::Changed { kind, name: name_text, fields });
                }
            }
        }
    }
    for name in after.keys().filter(|name| !before.contains_key(*name)) {
        changes.push(Change::Added { kind, name: name.as_ref().to_owned() });
    }
}

fn differing(
    before: Vec<(&'static str, String)>,
    after: Vec<(&'static str, String)>,
) -> Vec<Field> {
    let pairs = before.into_iter().zip(after);
    let differing = pairs.filter(|((_, before), (_, after))| before != after);
    differing
        .map(|((name, before), (_, after))| Field { name: name.to_owned(), before, after })
        .collect()
}

/// The fields of an item as text, always the same ones in the same order.
trait Fields {
    fn fields(&self) -> Vec<(&'static str, String)>;
}

impl Fields for Workspace {
    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![
            ("share", self.share.to_string()),
            ("services", list(&self.services)),
            ("queue_limit", self.queue_limit.to_string()),
            ("deadline_ms", self.deadline_ms.to_string()),
            ("keys", list(self.keys.iter().map(KeyHash::abbreviated))),
        ]
    }
}

impl Fields for Service {
    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![
            ("kind", self.kind.to_string()),
            ("idempotent", self.idempotent.to_string()),
            ("models", list(&self.models)),
        ]
    }
}

impl Fields for Upstream {
    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![
            ("service", self.service.to_string()),
            ("address", self.address.to_string()),
            ("failure_domain", self.failure_domain.to_string()),
            ("max_concurrency", self.max_concurrency.to_string()),
            ("checks_fencing", self.checks_fencing.to_string()),
            ("leaving", self.leaving.to_string()),
        ]
    }
}

impl Fields for Operator {
    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![("key_sha256", self.key.abbreviated().to_owned())]
    }
}

fn list<T: AsRef<str>>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.as_ref().to_owned()).collect();
    format!("[{}]", items.join(", "))
}
