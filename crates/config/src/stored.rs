//! The accepted document as the object API holds it.

use std::{collections::VecDeque, io};

use serde::{Deserialize, Serialize};
use span_types::Revision;

use crate::{Document, Plan, PlanId, pack, unpack};

/// Key of the accepted document in the object API.
pub const ACCEPTED_CONFIG_KEY: &str = "config/current";
/// Confirmations that are remembered.
pub const HISTORY_LIMIT: usize = 256;
/// Largest value of the object API, in bytes.
const MAX_STORED_BYTES: usize = 1024 * 1024;

/// The stored document cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoredConfigError {
    /// It is not valid.
    #[error("the stored configuration is not valid: {0}")]
    Invalid(#[from] serde_json::Error),
    /// It cannot be packed or unpacked.
    #[error("the stored configuration cannot be unpacked: {0}")]
    Packed(#[from] io::Error),
    /// It does not fit into one object.
    #[error("the configuration takes {bytes} bytes; at most {MAX_STORED_BYTES} can be stored")]
    TooLarge {
        /// Size, in bytes.
        bytes: usize,
    },
}

/// One confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The plan.
    pub plan: PlanId,
    /// Revision that the plan replaced.
    pub base: Revision,
    /// Operator who confirmed it.
    pub operator: String,
    /// When it was confirmed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed.
    pub summary: String,
}

/// Value of `config/current`. The members of the document stand at the top
/// level, so that a reader can also take the value for a [`Document`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The accepted document.
    #[serde(flatten)]
    pub document: Document,
    /// Confirmed plans, newest last. Recognises a plan that is confirmed again.
    #[serde(default)]
    pub history: VecDeque<Confirmation>,
}

impl StoredConfig {
    /// The value that confirming `plan` writes, with `document` as its result.
    pub fn commit(&self, plan: &Plan, document: Document, operator: &str, at_ms: u64) -> Self {
        let mut history = self.history.clone();
        history.push_back(Confirmation {
            plan: plan.id.clone(),
            base: plan.base,
            operator: operator.to_owned(),
            at_ms,
            summary: plan.summary(),
        });
        while history.len() > HISTORY_LIMIT {
            history.pop_front();
        }
        Self { document, history }
    }

    /// The value as bytes.
    ///
    /// # Errors
    ///
    /// [`StoredConfigError::TooLarge`] if it does not fit into one object.
    pub fn encode(&self) -> Result<Vec<u8>, StoredConfigError> {
        let bytes = pack(serde_json::to_vec(self)?)?;
        if bytes.len() > MAX_STORED_BYTES {
            return Err(StoredConfigError::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }
}

/// The accepted document with its revision, which is the object's version;
/// revision 0 is the empty document before the first confirmation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedConfig {
    /// Version of the object.
    pub revision: Revision,
    /// Value of the object.
    pub stored: StoredConfig,
}

impl AcceptedConfig {
    /// Reads an object's version and value.
    ///
    /// # Errors
    ///
    /// [`StoredConfigError::Invalid`] or [`StoredConfigError::Packed`].
    pub fn decode(version: u64, value: &[u8]) -> Result<Self, StoredConfigError> {
        let stored = serde_json::from_slice(&unpack(value)?)?;
        Ok(Self { revision: Revision(version), stored })
    }

    /// The revision that confirming `plan` made, if it is remembered.
    pub fn confirmed(&self, plan: &PlanId) -> Option<Revision> {
        let history = &self.stored.history;
        let position = history.iter().position(|entry| entry.plan == *plan)?;
        Some(self.revision_of(position))
    }

    /// Confirmations with the revisions they made, oldest first.
    pub fn history(&self) -> impl Iterator<Item = (Revision, &Confirmation)> {
        let entries = self.stored.history.iter().enumerate();
        entries.map(|(position, entry)| (self.revision_of(position), entry))
    }

    /// Confirmations after revision `base`, oldest first.
    pub fn since(&self, base: Revision) -> impl Iterator<Item = (Revision, &Confirmation)> {
        self.history().filter(move |(revision, _)| *revision > base)
    }

    /// An entry is written before its revision is known; the next entry names
    /// it as the revision that it replaced.
    fn revision_of(&self, position: usize) -> Revision {
        self.stored.history.get(position + 1).map_or(self.revision, |next| next.base)
    }
}
