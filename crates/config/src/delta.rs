//! Deltas: the differences between two revisions, which routers send to peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use span_types::{Revision, ServiceName, UpstreamName, WorkspaceName};

use crate::{Digest, Document, ItemKind, Operator, Service, Upstream, Workspace};

/// A delta cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta does not start from the revision of the document.
    #[error("the delta starts from revision {expected}, not from {found}")]
    BaseMismatch {
        /// Revision that the delta starts from.
        expected: Revision,
        /// Revision of the document.
        found: Revision,
    },
    /// The result differs from the document that the delta was made for. The
    /// complete document has to be fetched.
    #[error("the result has digest {found} instead of {expected}")]
    DigestMismatch {
        /// Digest of the document that the delta was made for.
        expected: Digest,
        /// Digest of the result.
        found: Digest,
    },
}

type ItemChanges<N, T> = BTreeMap<N, Option<T>>;

/// The items that differ between two revisions. `None` stands for a removed item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the document that the delta applies to.
    pub from: Revision,
    /// Revision of the result.
    pub to: Revision,
    /// Digest of the result.
    pub digest: Digest,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    workspaces: ItemChanges<WorkspaceName, Workspace>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    services: ItemChanges<ServiceName, Service>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    upstreams: ItemChanges<UpstreamName, Upstream>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    operators: ItemChanges<std::sync::Arc<str>, Operator>,
}

impl Delta {
    /// Computes the delta from `before` at revision `from` to `after` at revision
    /// `to`.
    pub fn between(from: Revision, before: &Document, to: Revision, after: &Document) -> Self {
        Self {
            from,
            to,
            digest: after.digest(),
            workspaces: changed_items(&before.workspaces, &after.workspaces),
            services: changed_items(&before.services, &after.services),
            upstreams: changed_items(&before.upstreams, &after.upstreams),
            operators: changed_items(&before.operators, &after.operators),
        }
    }

    /// Applies the delta to the document at revision `revision`.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if the document is not the one that the delta starts from.
    pub fn apply(&self, revision: Revision, document: &Document) -> Result<Document, DeltaError> {
        self.verify(revision, document, document.digest())?;
        let mut result = document.clone();
        self.patch(&mut result);
        Ok(result)
    }

    /// Checks that applying the delta to `document`, whose digest is `digest`,
    /// results in the document that the delta was made for.
    pub(crate) fn verify(
        &self,
        revision: Revision,
        document: &Document,
        mut digest: Digest,
    ) -> Result<(), DeltaError> {
        if revision != self.from {
            return Err(DeltaError::BaseMismatch { expected: self.from, found: revision });
        }
        update_digest(ItemKind::Workspace, &document.workspaces, &self.workspaces, &mut digest);
        update_digest(ItemKind::Service, &document.services, &self.services, &mut digest);
        update_digest(ItemKind::Upstream, &document.upstreams, &self.upstreams, &mut digest);
        update_digest(ItemKind::Operator, &document.operators, &self.operators, &mut digest);
        if digest == self.digest {
            return Ok(());
        }
        Err(DeltaError::DigestMismatch { expected: self.digest, found: digest })
    }

    /// Inserts, replaces and removes items without any check.
    pub(crate) fn patch(&self, document: &mut Document) {
        patch(&mut document.workspaces, &self.workspaces);
        patch(&mut document.services, &self.services);
        patch(&mut document.upstreams, &self.upstreams);
        patch(&mut document.operators, &self.operators);
    }

    /// Combines this delta and the following one, `next`, into one delta.
    ///
    /// # Errors
    ///
    /// [`DeltaError::BaseMismatch`] if `next` does not start from the revision that
    /// this delta leads to.
    pub fn compose(mut self, next: &Self) -> Result<Self, DeltaError> {
        if next.from != self.to {
            return Err(DeltaError::BaseMismatch { expected: next.from, found: self.to });
        }
        self.workspaces.extend(next.workspaces.clone());
        self.services.extend(next.services.clone());
        self.upstreams.extend(next.upstreams.clone());
        self.operators.extend(next.operators.clone());
        self.to = next.to;
        self.digest = next.digest;
        Ok(self)
    }

    /// Returns true if no item differs.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
            && self.services.is_empty()
            && self.upstreams.is_empty()
            && self.operators.is_empty()
    }
}

fn changed_items<N: Ord + Clone, T: PartialEq + Clone>(
    before: &BTreeMap<N, T>,
    after: &BTreeMap<N, T>,
) -> ItemChanges<N, T> {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let removed = removed.map(|name| (name.clone(), None));
    let new = after.iter().filter(|(name, item)| before.get(*name) != Some(*item));
    removed.chain(new.map(|(name, item)| (name.clone(), Some(item.clone())))).collect()
}

/// Removes the digests of the old items from `digest` and adds those of the new.
fn update_digest<N: Ord + AsRef<str>, T: Serialize>(
    kind: ItemKind,
    items: &BTreeMap<N, T>,
    delta: &ItemChanges<N, T>,
    digest: &mut Digest,
) {
    for (name, item) in delta {
        if let Some(old) = items.get(name) {
            digest.remove(kind, name.as_ref(), old);
        }
        if let Some(new) = item {
            digest.add(kind, name.as_ref(), new);
        }
    }
}

fn patch<N: Ord + Clone, T: Clone>(items: &mut BTreeMap<N, T>, delta: &ItemChanges<N, T>) {
    for (name, item) in delta {
        match item {
            Some(item) => items.insert(name.clone(), item.clone()),
            None => items.remove(name),
        };
    }
}
