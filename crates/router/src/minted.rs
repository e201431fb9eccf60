//! Request ids that this incarnation minted, shared between the traffic
//! threads and the control thread, which answers peers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use span_once::{BeginResult, MintError, RegistryLimits, RequestIdRegistry, RunState};
use span_types::{Member, Outcome, RequestId, WorkspaceName};

use crate::control::MintedState;

/// Shared handle of the registry.
#[derive(Clone, Debug)]
pub struct MintedIds {
    member: Member,
    registry: Arc<Mutex<RequestIdRegistry>>,
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl MintedIds {
    /// Makes an empty registry for the ids of `member`.
    pub fn new(member: Member, limits: RegistryLimits) -> Self {
        Self { member, registry: Arc::new(Mutex::new(RequestIdRegistry::new(limits))) }
    }

    /// What became of an id; `Unknown` for ids of other incarnations.
    pub fn state(&self, id: &RequestId) -> MintedState {
        if !self.is_own(id) {
            return MintedState::Unknown;
        }
        minted_state(self.lock().state(now_ms(), id.seq))
    }

    /// This incarnation minted the id.
    pub(crate) fn is_own(&self, id: &RequestId) -> bool {
        id.instance == self.member.instance && id.incarnation == self.member.incarnation
    }

    pub(crate) fn mint(&self, id: &RequestId, workspace: &WorkspaceName) -> Result<(), MintError> {
        self.lock().mint(now_ms(), id.seq, workspace.clone())
    }

    pub(crate) fn begin(&self, id: &RequestId, workspace: &WorkspaceName) -> BeginResult {
        self.lock().begin(now_ms(), id.seq, workspace)
    }

    pub(crate) fn end(&self, id: &RequestId, outcome: Outcome) {
        self.lock().end(now_ms(), id.seq, outcome);
    }

    fn lock(&self) -> MutexGuard<'_, RequestIdRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn minted_state(state: RunState) -> MintedState {
    match state {
        RunState::Unused => MintedState::Unused,
        RunState::Active => MintedState::Active,
        RunState::Completed => MintedState::Completed,
        RunState::NotRun => MintedState::NotRun,
        RunState::Unknown => MintedState::Unknown,
    }
}
