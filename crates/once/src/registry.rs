//! Request ids that this router incarnation minted, and what became of them.

use std::collections::{BTreeMap, HashMap};

use span_types::{Outcome, WorkspaceName};

/// What became of a registered id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// Minted and not used.
    Unused,
    /// Waiting or running.
    Active,
    /// Ran to its end.
    Completed,
    /// Given up on before it ran.
    NotRun,
    /// It cannot be known, or the id was forgotten.
    Unknown,
}

/// Bounds of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Ids that are remembered at the same time.
    pub max_entries: usize,
    /// Time for which an id that is not running is remembered, in
    /// milliseconds.
    pub lifetime_ms: u64,
}

impl Default for RegistryLimits {
    /// 65,536 ids of about 150 bytes each take 10 MB of the 64 MB that a node
    /// may spend on control.
    fn default() -> Self {
        Self { max_entries: 65_536, lifetime_ms: 600_000 }
    }
}

/// No further id can be remembered now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many request ids are remembered")]
pub struct MintError {
    /// Time until the first one expires, in milliseconds.
    pub retry_after_ms: u64,
}

/// Answer to a request that wants to run under an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// It may run, and nothing else under this id may.
    Run,
    /// It must not run.
    Rejected(RunState),
}

#[derive(Debug)]
struct Entry {
    workspace: WorkspaceName,
    state: RunState,
    expires_ms: u64,
}

/// Ids by sequence number.
///
/// An id that is not found was forgotten or never registered, so its state is
/// unknown and it must not run.
#[derive(Debug)]
pub struct RequestIdRegistry {
    limits: RegistryLimits,
    entries: HashMap<u64, Entry>,
    expiry: BTreeMap<(u64, u64), ()>,
}

impl RequestIdRegistry {
    /// Makes an empty registry.
    pub fn new(limits: RegistryLimits) -> Self {
        Self { limits, entries: HashMap::new(), expiry: BTreeMap::new() }
    }

    /// Remembers an unused id.
    ///
    /// # Errors
    ///
    /// [`MintError`] if the registry is full.
    pub fn mint(
        &mut self,
        now_ms: u64,
        seq: u64,
        workspace: WorkspaceName,
    ) -> Result<(), MintError> {
        self.expire(now_ms);
        if self.entries.len() >= self.limits.max_entries {
            let first_ms = self.expiry.first_key_value().map(|((at_ms, _), ())| *at_ms);
            let retry_after_ms = first_ms.unwrap_or(now_ms).saturating_sub(now_ms).max(1);
            return Err(MintError { retry_after_ms });
        }
        let expires_ms = now_ms + self.limits.lifetime_ms;
        self.entries.insert(seq, Entry { workspace, state: RunState::Unused, expires_ms });
        self.expiry.insert((expires_ms, seq), ());
        Ok(())
    }

    /// Starts the one run of an id; one that did not run may start again.
    pub fn begin(&mut self, now_ms: u64, seq: u64, workspace: &WorkspaceName) -> BeginResult {
        self.expire(now_ms);
        let Some(entry) = self.entries.get_mut(&seq) else {
            return BeginResult::Rejected(RunState::Unknown);
        };
        if entry.workspace != *workspace {
            return BeginResult::Rejected(RunState::Unknown);
        }
        match entry.state {
            RunState::Unused | RunState::NotRun => {
                entry.state = RunState::Active;
                BeginResult::Run
            }
            state => BeginResult::Rejected(state),
        }
    }

    /// Ends the run of an id.
    pub fn end(&mut self, now_ms: u64, seq: u64, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&seq) else {
            return;
        };
        entry.state = match outcome {
            Outcome::Completed => RunState::Completed,
            Outcome::NotRun => RunState::NotRun,
            Outcome::Unknown => RunState::Unknown,
        };
        self.expiry.remove(&(entry.expires_ms, seq));
        entry.expires_ms = now_ms + self.limits.lifetime_ms;
        self.expiry.insert((entry.expires_ms, seq), ());
    }

    /// What became of an id.
    pub fn state(&mut self, now_ms: u64, seq: u64) -> RunState {
        self.expire(now_ms);
        self.entries.get(&seq).map_or(RunState::Unknown, |entry| entry.state)
    }

    /// Number of ids remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// No id is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((&(at_ms, seq), ())) = self.expiry.first_key_value() {
            if at_ms > now_ms {
                return;
            }
            self.expiry.pop_first();
            // A running id is kept until `end` gives it a new expiry.
            if self.entries.get(&seq).is_some_and(|entry| entry.state != RunState::Active) {
                self.entries.remove(&seq);
            }
        }
    }
}
