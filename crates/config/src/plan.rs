//! A change that an operator has asked for and not yet confirmed.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use span_types::Revision;

use crate::{Change, Delta, DeltaError, Document, Effects, change::changes};

const ID_DIGITS: usize = 32;
/// A delta in a plan names no result: its revision is known when it is written.
const UNKNOWN: Revision = Revision(0);
const SUMMARY_CHANGES: usize = 4;

/// Identifies a plan by what it changes and from where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlanId(Arc<str>);

impl PlanId {
    /// The id of changing revision `base` into `desired`.
    pub fn of(base: Revision, desired: &Document) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(base.0.to_be_bytes());
        // A document consists of strings and integers, which always serialise.
        hasher.update(serde_json::to_vec(desired).unwrap_or_default());
        let digits: String = hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        Self(digits[..ID_DIGITS].into())
    }

    /// Reads an id as operators type it.
    pub fn parse(text: &str) -> Option<Self> {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        (text.len() == ID_DIGITS && text.bytes().all(digit)).then(|| Self(text.into()))
    }

    /// Key of the plan in the object API.
    pub fn key(&self) -> String {
        format!("plans/{self}")
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A change from one revision to a desired document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Identifies the plan.
    pub id: PlanId,
    /// Revision the plan starts from; it can be confirmed only while this one
    /// is in force.
    pub base: Revision,
    /// Operator who asked for it.
    pub planned_by: String,
    /// When it was made, in milliseconds since the Unix epoch.
    pub planned_at_ms: u64,
    /// What it changes.
    pub changes: Vec<Change>,
    /// What that does to the fleet.
    pub effects: Effects,
    delta: Delta,
}

impl Plan {
    /// Plans to change `current`, which has revision `base`, into `desired`.
    pub fn new(
        base: Revision,
        current: &Document,
        desired: &Document,
        planned_by: &str,
        planned_at_ms: u64,
    ) -> Self {
        Self {
            id: PlanId::of(base, desired),
            base,
            planned_by: planned_by.to_owned(),
            planned_at_ms,
            changes: changes(current, desired),
            effects: Effects::between(current, desired),
            delta: Delta::between(base, current, UNKNOWN, desired),
        }
    }

    /// The desired document, made from the current one.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if `current` is not the document the plan starts from.
    pub fn desired(&self, base: Revision, current: &Document) -> Result<Document, DeltaError> {
        self.delta.apply(base, current)
    }

    /// One line about the changes, bounded in length by the number it names.
    pub fn summary(&self) -> String {
        let mut parts: Vec<String> = self.changes.iter().take(SUMMARY_CHANGES).map(short).collect();
        if self.changes.len() > SUMMARY_CHANGES {
            parts.push(format!("{} more", self.changes.len() - SUMMARY_CHANGES));
        }
        parts.join("; ")
    }
}

fn short(change: &Change) -> String {
    match change {
        Change::Changed { kind, name, fields } => {
            let names: Vec<&str> = fields.iter().map(|field| field.name.as_str()).collect();
            format!("~ {kind} {name} ({})", names.join(", "))
        }
        other => other.to_string(),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {} on revision {}", self.id, self.base)?;
        if self.changes.is_empty() {
            return write!(f, "\nno changes");
        }
        writeln!(f, "\nchanges:")?;
        for change in &self.changes {
            writeln!(f, "  {change}")?;
        }
        write!(f, "\n{}", self.effects)
    }
}
