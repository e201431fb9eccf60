//! Differences between revisions, small enough to pass between peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use span_types::{Revision, ServiceName, UpstreamName, WorkspaceName};

use crate::{Digest, Document, ItemKind, Operator, Service, Upstream, Workspace};

/// A delta cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta starts from another revision.
    #[error("the delta starts from revision {expected}, not from {found}")]
    WrongBase {
        /// Revision the delta starts from.
        expected: Revision,
        /// Revision of the document at hand.
        found: Revision,
    },
    /// The result is not the document the delta was made for; the whole
    /// document has to be fetched.
    #[error("the result has digest {found} instead of {expected}")]
    Digest {
        /// Digest of the document the delta was made for.
        expected: Digest,
        /// Digest of the result.
        found: Digest,
    },
}

type Items<N, T> = BTreeMap<N, Option<T>>;

/// Items that differ, with `None` for items that are gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the document it applies to.
    pub from: Revision,
    /// Revision of the result.
    pub to: Revision,
    /// Digest of the result.
    pub digest: Digest,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    workspaces: Items<WorkspaceName, Workspace>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    services: Items<ServiceName, Service>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    upstreams: Items<UpstreamName, Upstream>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    operators: Items<std::sync::Arc<str>, Operator>,
}

impl Delta {
    /// The delta from `before` at revision `from` to `after` at revision `to`.
    pub fn between(from: Revision, before: &Document, to: Revision, after: &Document) -> Self {
        Self {
            from,
            to,
            digest: after.digest(),
            workspaces: difference(&before.workspaces, &after.workspaces),
            services: difference(&before.services, &after.services),
            upstreams: difference(&before.upstreams, &after.upstreams),
            operators: difference(&before.operators, &after.operators),
        }
    }

    /// Applies the delta to the document at revision `revision`.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if the document is not the one the delta starts from.
    pub fn apply(&self, revision: Revision, document: &Document) -> Result<Document, DeltaError> {
        self.check(revision, document, document.digest())?;
        let mut result = document.clone();
        self.patch(&mut result);
        Ok(result)
    }

    /// Checks that applying the delta to `document`, which has `digest`, gives
    /// the document it was made for.
    pub(crate) fn check(
        &self,
        revision: Revision,
        document: &Document,
        mut digest: Digest,
    ) -> Result<(), DeltaError> {
        if revision != self.from {
            return Err(DeltaError::WrongBase { expected: self.from, found: revision });
        }
        exchange(ItemKind::Workspace, &document.workspaces, &self.workspaces, &mut digest);
        exchange(ItemKind::Service, &document.services, &self.services, &mut digest);
        exchange(ItemKind::Upstream, &document.upstreams, &self.upstreams, &mut digest);
        exchange(ItemKind::Operator, &document.operators, &self.operators, &mut digest);
        if digest == self.digest {
            return Ok(());
        }
        Err(DeltaError::Digest { expected: self.digest, found: digest })
    }

    /// Replaces the items that differ.
    pub(crate) fn patch(&self, document: &mut Document) {
        patch(&mut document.workspaces, &self.workspaces);
        patch(&mut document.services, &self.services);
        patch(&mut document.upstreams, &self.upstreams);
        patch(&mut document.operators, &self.operators);
    }

    /// This delta followed by `next`, as one.
    ///
    /// # Errors
    ///
    /// [`DeltaError::WrongBase`] if `next` does not start where this one ends.
    pub fn then(mut self, next: &Self) -> Result<Self, DeltaError> {
        if next.from != self.to {
            return Err(DeltaError::WrongBase { expected: next.from, found: self.to });
        }
        self.workspaces.extend(next.workspaces.clone());
        self.services.extend(next.services.clone());
        self.upstreams.extend(next.upstreams.clone());
        self.operators.extend(next.operators.clone());
        self.to = next.to;
        self.digest = next.digest;
        Ok(self)
    }

    /// No item differs.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
            && self.services.is_empty()
            && self.upstreams.is_empty()
            && self.operators.is_empty()
    }
}

fn difference<N: Ord + Clone, T: PartialEq + Clone>(
    before: &BTreeMap<N, T>,
    after: &BTreeMap<N, T>,
) -> Items<N, T> {
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    let gone = gone.map(|name| (name.clone(), None));
    let new = after.iter().filter(|(name, item)| before.get(*name) != Some(*item));
    gone.chain(new.map(|(name, item)| (name.clone(), Some(item.clone())))).collect()
}

fn exchange<N: Ord + AsRef<str>, T: Serialize>(
    kind: ItemKind,
    items: &BTreeMap<N, T>,
    delta: &Items<N, T>,
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

fn patch<N: Ord + Clone, T: Clone>(items: &mut BTreeMap<N, T>, delta: &Items<N, T>) {
    for (name, item) in delta {
        match item {
            Some(item) => items.insert(name.clone(), item.clone()),
            None => items.remove(name),
        };
    }
}
