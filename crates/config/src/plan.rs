//! Plans: changes that an operator has requested and can confirm.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use span_types::Revision;

use crate::{Change, Delta, DeltaError, Document, Effects, change::diff};

const PLAN_ID_DIGITS: usize = 32;
/// Result revision of the delta in a plan. The real revision is only known when
/// the confirmed document is written.
const UNKNOWN_REVISION: Revision = Revision(0);
const MAX_SUMMARY_CHANGES: usize = 4;

/// Id of a plan: a hash of the base revision and the desired document. The same
/// change to the same revision always has the same id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlanId(Arc<str>);

impl PlanId {
    /// Computes the id of the plan that changes revision `base` into `desired`.
    pub fn of(base: Revision, desired: &Document) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(base.0.to_be_bytes());
        // A document consists of strings and integers, whose serialisation cannot fail.
        hasher.update(serde_json::to_vec(desired).unwrap_or_default());
        let digits: String = hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        Self(digits[..PLAN_ID_DIGITS].into())
    }

    /// Parses an id of 32 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        (text.len() == PLAN_ID_DIGITS && text.bytes().all(is_digit)).then(|| Self(text.into()))
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

/// A change from a base revision to a desired document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the plan.
    pub id: PlanId,
    /// Revision that the plan changes. The plan can be confirmed only while this
    /// is the accepted revision.
    pub base: Revision,
    /// Operator who requested the plan.
    pub planned_by: String,
    /// When the plan was made, in milliseconds since the Unix epoch.
    pub planned_at_ms: u64,
    /// Items that the plan adds, removes or changes.
    pub changes: Vec<Change>,
    /// Effects of these changes on the running fleet.
    pub effects: Effects,
    delta: Delta,
}

impl Plan {
    /// Makes the plan that changes `current`, which has revision `base`, into
    /// `desired`.
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
            changes: diff(current, desired),
            effects: Effects::between(current, desired),
            delta: Delta::between(base, current, UNKNOWN_REVISION, desired),
        }
    }

    /// Builds the desired document from the current one.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] if `current` is not the document that the plan changes.
    pub fn desired_document(
        &self,
        base: Revision,
        current: &Document,
    ) -> Result<Document, DeltaError> {
        self.delta.apply(base, current)
    }

    /// Describes the first changes in one line and counts the remaining ones.
    pub fn summary(&self) -> String {
        let mut parts: Vec<String> =
            self.changes.iter().take(MAX_SUMMARY_CHANGES).map(summarize).collect();
        if self.changes.len() > MAX_SUMMARY_CHANGES {
            parts.push(format!("{} more", self.changes.len() - MAX_SUMMARY_CHANGES));
        }
        parts.join("; ")
    }
}

fn summarize(change: &Change) -> String {
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
        writeln!(f, "plan {} based on revision {}", self.id, self.base)?;
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
