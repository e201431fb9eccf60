//! Registry of the request ids that this router incarnation minted.

use std::collections::{BTreeMap, HashMap};

use span_types::{Outcome, WorkspaceName};

/// State of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// The id was minted and no request has used it.
    Unused,
    /// A request with the id is waiting or running.
    Active,
    /// The request completed.
    Completed,
    /// The request ended before it ran.
    NotRun,
    /// Whether the request ran is unknown, or the id is not in the registry.
    Unknown,
}

/// Limits of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Largest number of ids in the registry.
    pub max_entries: usize,
    /// Time after which an id expires unless its request is active, in
    /// milliseconds.
    pub lifetime_ms: u64,
}

impl Default for RegistryLimits {
    /// 65,536 ids of about 150 bytes each take 10 MB of the 64 MB that a node
    /// may use for control.
    fn default() -> Self {
        Self { max_entries: 65_536, lifetime_ms: 600_000 }
    }
}

/// The registry is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many request ids are remembered")]
pub struct MintError {
    /// Time until the next id expires, in milliseconds.
    pub retry_after_ms: u64,
}

/// Whether a request may run under an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The request may run. No other request may run under this id.
    Run,
    /// The request must not run, because the id is in this state.
    Rejected(RunState),
}

#[derive(Debug)]
struct Entry {
    workspace: WorkspaceName,
    state: RunState,
    expires_ms: u64,
}

/// Request ids by sequence number.
///
/// An id that is not in the registry has expired or was never minted here. Its
/// state is unknown, and it must not run.
#[derive(Debug)]
pub struct RequestIdRegistry {
    limits: RegistryLimits,
    entries: HashMap<u64, Entry>,
    expirations: BTreeMap<(u64, u64), ()>,
}

impl RequestIdRegistry {
    /// Creates an empty registry.
    pub fn new(limits: RegistryLimits) -> Self {
        Self { limits, entries: HashMap::new(), expirations: BTreeMap::new() }
    }

    /// Registers an unused id.
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
            let next_expiry_ms = self.expirations.first_key_value().map(|((at_ms, _), ())| *at_ms);
            let retry_after_ms = next_expiry_ms.unwrap_or(now_ms).saturating_sub(now_ms).max(1);
            return Err(MintError { retry_after_ms });
        }
        let expires_ms = now_ms + self.limits.lifetime_ms;
        self.entries.insert(seq, Entry { workspace, state: RunState::Unused, expires_ms });
        self.expirations.insert((expires_ms, seq), ());
        Ok(())
    }

    /// Starts the request of an id. It may start again only if it did not run
    /// before. An id of another workspace is rejected as
    /// [`RunState::Unknown`].
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

    /// Records the outcome of an id's request and starts the id's lifetime
    /// again.
    pub fn end(&mut self, now_ms: u64, seq: u64, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&seq) else {
            return;
        };
        entry.state = match outcome {
            Outcome::Completed => RunState::Completed,
            Outcome::NotRun => RunState::NotRun,
            Outcome::Unknown => RunState::Unknown,
        };
        self.expirations.remove(&(entry.expires_ms, seq));
        entry.expires_ms = now_ms + self.limits.lifetime_ms;
        self.expirations.insert((entry.expires_ms, seq), ());
    }

    /// State of an id; [`RunState::Unknown`] if it is not in the registry.
    pub fn state(&mut self, now_ms: u64, seq: u64) -> RunState {
        self.expire(now_ms);
        self.entries.get(&seq).map_or(RunState::Unknown, |entry| entry.state)
    }

    /// Number of ids in the registry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the registry is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((&(at_ms, seq), ())) = self.expirations.first_key_value() {
            if at_ms > now_ms {
                return;
            }
            self.expirations.pop_first();
            // An active id stays until `end` sets its new expiry.
            if self.entries.get(&seq).is_some_and(|entry| entry.state != RunState::Active) {
                self.entries.remove(&seq);
            }
        }
    }
}
