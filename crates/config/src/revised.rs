//! A document at a revision, and the recent deltas that led to it.

use std::{collections::VecDeque, sync::Arc};

use span_types::Revision;

use crate::{Delta, DeltaError, Digest, Document};

/// A document with its revision and digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Revised {
    revision: Revision,
    document: Arc<Document>,
    digest: Digest,
}

impl Revised {
    /// A whole document.
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

    /// Moves on by a delta. The digest of the result is checked before anything
    /// changes and costs as much as the delta is long.
    ///
    /// # Errors
    ///
    /// [`DeltaError`]; the document is as before, and the whole new one has to
    /// be fetched.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        delta.check(self.revision, &self.document, self.digest)?;
        delta.patch(Arc::make_mut(&mut self.document));
        self.revision = delta.to;
        self.digest = delta.digest;
        Ok(())
    }
}

/// The document in force with the deltas of recent revisions, to serve peers
/// that are a few revisions behind.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    current: Revised,
    deltas: VecDeque<Delta>,
    limit: usize,
}

impl DeltaLog {
    /// Starts from a document and remembers at most `limit` deltas.
    pub fn new(current: Revised, limit: usize) -> Self {
        Self { current, deltas: VecDeque::new(), limit }
    }

    /// The document in force.
    pub fn current(&self) -> &Revised {
        &self.current
    }

    /// Puts a whole document in force if its revision is higher; true if so.
    pub fn accept(&mut self, revision: Revision, document: Document) -> bool {
        if revision <= self.current.revision {
            return false;
        }
        let delta =
            Delta::between(self.current.revision, &self.current.document, revision, &document);
        self.current = Revised { revision, digest: delta.digest, document: Arc::new(document) };
        self.remember(delta);
        true
    }

    /// Puts the result of a delta in force; false if its revision is not higher.
    ///
    /// # Errors
    ///
    /// As [`Revised::apply`].
    pub fn apply(&mut self, delta: &Delta) -> Result<bool, DeltaError> {
        if delta.to <= self.current.revision {
            return Ok(false);
        }
        self.current.apply(delta)?;
        self.remember(delta.clone());
        Ok(true)
    }

    /// One delta from `revision` to the document in force; `None` if that
    /// revision is not remembered, so that the whole document has to be sent.
    pub fn since(&self, revision: Revision) -> Option<Delta> {
        let start = self.deltas.iter().position(|delta| delta.from == revision)?;
        let mut joined = self.deltas[start].clone();
        for delta in self.deltas.range(start + 1..) {
            joined = joined.then(delta).ok()?;
        }
        Some(joined)
    }

    fn remember(&mut self, delta: Delta) {
        self.deltas.push_back(delta);
        while self.deltas.len() > self.limit {
            self.deltas.pop_front();
        }
    }
}
