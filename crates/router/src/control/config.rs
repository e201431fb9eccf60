//! The configuration in force, and deltas of it for peers.

use std::{collections::VecDeque, sync::Arc};

use span_config::{Delta, DeltaError, Document};
use span_types::Revision;
use span_wire::{ConfigBody, ConfigReply};
use tokio::sync::watch;

/// Number of earlier documents kept as a base for deltas. At 90,000 changes a
/// day, about one per second, they cover the 3 s within which a change reaches
/// all routers.
const MAX_HISTORY_DOCUMENTS: usize = 8;

/// A configuration from a peer cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConfigError {
    /// The document or delta is not valid JSON of the expected form.
    #[error("not a valid document or delta: {0}")]
    Invalid(#[from] serde_json::Error),
    /// The delta does not apply to the local document.
    #[error(transparent)]
    Delta(#[from] DeltaError),
}

/// The configuration in force and its recent predecessors.
pub(super) struct ConfigState {
    revision: Revision,
    document: Arc<Document>,
    history: VecDeque<(Revision, Arc<Document>)>,
    document_sender: watch::Sender<Arc<Document>>,
}

impl ConfigState {
    pub fn new(document_sender: watch::Sender<Arc<Document>>) -> Self {
        Self {
            revision: Revision(0),
            document: Arc::default(),
            history: VecDeque::new(),
            document_sender,
        }
    }

    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Puts a document in force if its revision is higher. Returns whether it
    /// did.
    pub fn apply(&mut self, revision: Revision, document: Arc<Document>) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.history.push_back((self.revision, Arc::clone(&self.document)));
        if self.history.len() > MAX_HISTORY_DOCUMENTS {
            self.history.pop_front();
        }
        self.revision = revision;
        self.document = Arc::clone(&document);
        self.document_sender.send_replace(document);
        true
    }

    /// Replaces the document as long as no revision is in force. Returns
    /// whether it did.
    pub fn replace_unversioned(&mut self, document: Arc<Document>) -> bool {
        if self.revision > Revision(0) {
            return false;
        }
        self.document = Arc::clone(&document);
        self.document_sender.send_replace(document);
        true
    }

    /// The reply to a peer that has revision `since` in force: a delta if that
    /// revision is in the history, else the complete document.
    pub fn reply_to(&self, since: Revision) -> Result<ConfigReply, ConfigError> {
        let revision = self.revision;
        if revision <= since {
            return Ok(ConfigReply { revision, body: ConfigBody::Current });
        }
        let known = self.history.iter().find(|(known, _)| *known == since && since > Revision(0));
        let body = match known {
            Some((_, before)) => {
                let delta = Delta::between(since, before, revision, &self.document);
                ConfigBody::Delta(serde_json::to_vec(&delta)?)
            }
            None => ConfigBody::Document(serde_json::to_vec(&*self.document)?),
        };
        Ok(ConfigReply { revision, body })
    }

    /// Applies the reply of a peer. Returns whether the configuration changed.
    pub fn apply_reply(&mut self, reply: &ConfigReply) -> Result<bool, ConfigError> {
        if reply.revision <= self.revision {
            return Ok(false);
        }
        let document = match &reply.body {
            ConfigBody::Current => return Ok(false),
            ConfigBody::Delta(bytes) => {
                let delta: Delta = serde_json::from_slice(bytes)?;
                delta.apply(self.revision, &self.document)?
            }
            ConfigBody::Document(bytes) => serde_json::from_slice(bytes)?,
        };
        Ok(self.apply(reply.revision, Arc::new(document)))
    }
}
