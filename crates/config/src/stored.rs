//! The accepted document as an object of the object API.

use std::{collections::VecDeque, io};

use serde::{Deserialize, Serialize};
use span_types::Revision;

use crate::{Document, Plan, PlanId, compress_if_large, decompress};

/// Key of the accepted document in the object API.
pub const ACCEPTED_CONFIG_KEY: &str = "config/current";
/// Maximum number of confirmations that are kept with the document.
pub const MAX_HISTORY_ENTRIES: usize = 256;
/// Largest value of the object API, in bytes.
const MAX_STORED_BYTES: usize = 1024 * 1024;

/// The stored document cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoredConfigError {
    /// The value is not JSON of the expected form.
    #[error("the stored configuration is not valid: {0}")]
    Invalid(#[from] serde_json::Error),
    /// The value cannot be compressed or decompressed.
    #[error("the stored configuration cannot be unpacked: {0}")]
    Compression(#[from] io::Error),
    /// The value does not fit into one object.
    #[error("the configuration takes {bytes} bytes; at most {MAX_STORED_BYTES} can be stored")]
    TooLarge {
        /// Size of the encoded value.
        bytes: usize,
    },
}

/// Record of a confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Id of the plan.
    pub plan: PlanId,
    /// Revision that the plan replaced.
    pub base: Revision,
    /// Operator who confirmed it.
    pub operator: String,
    /// When the plan was confirmed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Summary of the changes, as [`Plan::summary`] gives it.
    pub summary: String,
}

/// Value of `config/current`. The fields of the document are at the top level of
/// the JSON object, so that it can also be read as a [`Document`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The accepted document.
    #[serde(flatten)]
    pub document: Document,
    /// Confirmed plans, newest last. They make a repeated confirmation of the same
    /// plan recognisable.
    #[serde(default)]
    pub history: VecDeque<Confirmation>,
}

impl StoredConfig {
    /// Returns the value to write when `plan`, which results in `document`, is
    /// confirmed. Drops the oldest confirmations above [`MAX_HISTORY_ENTRIES`].
    pub fn with_confirmation(
        &self,
        plan: &Plan,
        document: Document,
        operator: &str,
        at_ms: u64,
    ) -> Self {
        let mut history = self.history.clone();
        history.push_back(Confirmation {
            plan: plan.id.clone(),
            base: plan.base,
            operator: operator.to_owned(),
            at_ms,
            summary: plan.summary(),
        });
        while history.len() > MAX_HISTORY_ENTRIES {
            history.pop_front();
        }
        Self { document, history }
    }

    /// Encodes the value as JSON, compressed if it is large.
    ///
    /// # Errors
    ///
    /// [`StoredConfigError::TooLarge`] if it does not fit into one object.
    pub fn encode(&self) -> Result<Vec<u8>, StoredConfigError> {
        let bytes = compress_if_large(serde_json::to_vec(self)?)?;
        if bytes.len() > MAX_STORED_BYTES {
            return Err(StoredConfigError::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }
}

/// The accepted document with its revision. The revision is the version of the
/// object. Before the first confirmation, the document is empty and has revision 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedConfig {
    /// Version of the object.
    pub revision: Revision,
    /// Value of the object.
    pub stored: StoredConfig,
}

impl AcceptedConfig {
    /// Decodes the value of an object that has version `version`.
    ///
    /// # Errors
    ///
    /// [`StoredConfigError::Invalid`] or [`StoredConfigError::Compression`].
    pub fn decode(version: u64, value: &[u8]) -> Result<Self, StoredConfigError> {
        let stored = serde_json::from_slice(&decompress(value)?)?;
        Ok(Self { revision: Revision(version), stored })
    }

    /// Returns the revision that the confirmation of `plan` created. `None` if the
    /// plan was not confirmed or is no longer in the history.
    pub fn confirmed_revision(&self, plan: &PlanId) -> Option<Revision> {
        let history = &self.stored.history;
        let position = history.iter().position(|entry| entry.plan == *plan)?;
        Some(self.revision_of(position))
    }

    /// Confirmations with the revisions that they created, oldest first.
    pub fn history(&self) -> impl Iterator<Item = (Revision, &Confirmation)> {
        let entries = self.stored.history.iter().enumerate();
        entries.map(|(position, entry)| (self.revision_of(position), entry))
    }

    /// Confirmations that created revisions after `base`, oldest first.
    pub fn confirmations_since(
        &self,
        base: Revision,
    ) -> impl Iterator<Item = (Revision, &Confirmation)> {
        self.history().filter(move |(revision, _)| *revision > base)
    }

    /// An entry does not hold the revision it created, because the revision is not
    /// known when the entry is written. The next entry has it as its `base`.
    fn revision_of(&self, position: usize) -> Revision {
        self.stored.history.get(position + 1).map_or(self.revision, |next| next.base)
    }
}
