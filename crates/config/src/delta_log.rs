//! A document with its revision, and the recent deltas that led to it.

use std::{collections::VecDeque, sync::Arc};

use span_types::Revision;

use crate::{Delta, DeltaError, Digest, Document};

/// A document with its revision and digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedDocument {
    revision: Revision,
    document: Arc<Document>,
    digest: Digest,
}

impl VersionedDocument {
    /// Computes the digest of `document`.
    pub fn new(revision: Revision, document: Document) -> Self {
        let digest = Digest::of(&document);
        Self { revision, document: Arc::new(document), digest }
    }

    /// Revision of the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The document.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Digest of the document.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Applies a delta. Checks the digest of the result before anything changes. The
    /// cost of the check grows with the length of the delta, not of the document.
    ///
    /// # Errors
    ///
    /// [`DeltaError`]. The document is then unchanged, and the complete new one has
    /// to be fetched.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        delta.verify(self.revision, &self.document, self.digest)?;
        delta.patch(Arc::make_mut(&mut self.document));
        self.revision = delta.to;
        self.digest = delta.digest;
        Ok(())
    }
}

/// The document in force and the deltas of recent revisions, for peers that are a
/// few revisions behind.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    current: VersionedDocument,
    deltas: VecDeque<Delta>,
    max_deltas: usize,
}

impl DeltaLog {
    /// Starts from `current` without any delta; keeps at most `max_deltas` deltas.
    pub fn new(current: VersionedDocument, max_deltas: usize) -> Self {
        Self { current, deltas: VecDeque::new(), max_deltas }
    }

    /// The document in force.
    pub fn current(&self) -> &VersionedDocument {
        &self.current
    }

    /// Puts a complete document in force if its revision is higher. Returns true if
    /// it did.
    pub fn accept_document(&mut self, revision: Revision, document: Document) -> bool {
        if revision <= self.current.revision {
            return false;
        }
        let delta =
            Delta::between(self.current.revision, &self.current.document, revision, &document);
        self.current =
            VersionedDocument { revision, digest: delta.digest, document: Arc::new(document) };
        self.push(delta);
        true
    }

    /// Puts the result of a delta in force if its revision is higher. Returns true
    /// if it did.
    ///
    /// # Errors
    ///
    /// The errors of [`VersionedDocument::apply`].
    pub fn apply_delta(&mut self, delta: &Delta) -> Result<bool, DeltaError> {
        if delta.to <= self.current.revision {
            return Ok(false);
        }
        self.current.apply(delta)?;
        self.push(delta.clone());
        Ok(true)
    }

    /// Returns one delta from `revision` to the document in force. Returns `None` if
    /// the log does not reach back to `revision`; the complete document then has to
    /// be sent.
    pub fn delta_since(&self, revision: Revision) -> Option<Delta> {
        let start = self.deltas.iter().position(|delta| delta.from == revision)?;
        let mut combined = self.deltas[start].clone();
        for delta in self.deltas.range(start + 1..) {
            combined = combined.compose(delta).ok()?;
        }
        Some(combined)
    }

    fn push(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        while self.deltas.len() > self.max_deltas {
            self.deltas.pop_front();
        }
    }
}
