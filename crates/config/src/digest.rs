//! Digest of a document, which can be updated item by item.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::{Document, ItemKind};

/// Digest of a document: the sum of the digests of its items. A delta can update it
/// without a pass over the whole document. It detects accidental differences but is
/// not cryptographically secure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Digest(u128);

impl Digest {
    /// Computes the digest of all items of `document`.
    pub fn of(document: &Document) -> Self {
        let mut digest = Self::default();
        digest.add_all(ItemKind::Workspace, &document.workspaces);
        digest.add_all(ItemKind::Service, &document.services);
        digest.add_all(ItemKind::Upstream, &document.upstreams);
        digest.add_all(ItemKind::Operator, &document.operators);
        digest
    }

    fn add_all<N: AsRef<str>, T: Serialize>(&mut self, kind: ItemKind, items: &BTreeMap<N, T>) {
        for (name, item) in items {
            self.add(kind, name.as_ref(), item);
        }
    }

    pub(crate) fn add<T: Serialize>(&mut self, kind: ItemKind, name: &str, item: &T) {
        self.0 = self.0.wrapping_add(item_digest(kind, name, item));
    }

    pub(crate) fn remove<T: Serialize>(&mut self, kind: ItemKind, name: &str, item: &T) {
        self.0 = self.0.wrapping_sub(item_digest(kind, name, item));
    }
}

fn item_digest<T: Serialize>(kind: ItemKind, name: &str, item: &T) -> u128 {
    // Items consist of strings and integers, whose serialisation cannot fail.
    xxh3_128(&serde_json::to_vec(&(kind, name, item)).unwrap_or_default())
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map(Self).map_err(serde::de::Error::custom)
    }
}
