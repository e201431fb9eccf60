//! Differences between two documents, as lists of items and fields for operators.

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

/// A field whose value has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Name of the field.
    pub name: String,
    /// Old value, as text.
    pub before: String,
    /// New value, as text.
    pub after: String,
}

/// An item that was added, removed or changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Only the new document has the item.
    Added {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
    },
    /// Only the old document has the item.
    Removed {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
    },
    /// Both documents have the item, with different fields.
    Changed {
        /// Kind of the item.
        kind: ItemKind,
        /// Name of the item.
        name: String,
        /// The fields whose values have changed.
        fields: Vec<FieldChange>,
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

/// Lists the differences from `before` to `after`, ordered by kind. Within a kind,
/// removed and changed items come before added ones, each ordered by name.
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_items(ItemKind::Workspace, &before.workspaces, &after.workspaces, &mut changes);
    diff_items(ItemKind::Service, &before.services, &after.services, &mut changes);
    diff_items(ItemKind::Upstream, &before.upstreams, &after.upstreams, &mut changes);
    diff_items(ItemKind::Operator, &before.operators, &after.operators, &mut changes);
    changes
}

fn diff_items<N: Ord + AsRef<str>, T: FieldValues>(
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
                let fields = changed_fields(item.field_values(), new.field_values());
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

fn changed_fields(
    before: Vec<(&'static str, String)>,
    after: Vec<(&'static str, String)>,
) -> Vec<FieldChange> {
    let pairs = before.into_iter().zip(after);
    let differing = pairs.filter(|((_, before), (_, after))| before != after);
    differing
        .map(|((name, before), (_, after))| FieldChange { name: name.to_owned(), before, after })
        .collect()
}

/// The fields of an item as names and texts. All items of a type return the same
/// fields in the same order, so that two items can be compared field by field.
trait FieldValues {
    fn field_values(&self) -> Vec<(&'static str, String)>;
}

impl FieldValues for Workspace {
    fn field_values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("share", self.share.to_string()),
            ("services", format_list(&self.services)),
            ("queue_limit", self.queue_limit.to_string()),
            ("deadline_ms", self.deadline_ms.to_string()),
            ("keys", format_list(self.keys.iter().map(KeyHash::abbreviated))),
        ]
    }
}

impl FieldValues for Service {
    fn field_values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("kind", self.kind.to_string()),
            ("idempotent", self.idempotent.to_string()),
            ("models", format_list(&self.models)),
        ]
    }
}

impl FieldValues for Upstream {
    fn field_values(&self) -> Vec<(&'static str, String)> {
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

impl FieldValues for Operator {
    fn field_values(&self) -> Vec<(&'static str, String)> {
        vec![("key_sha256", self.key.abbreviated().to_owned())]
    }
}

fn format_list<T: AsRef<str>>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.as_ref().to_owned()).collect();
    format!("[{}]", items.join(", "))
}
