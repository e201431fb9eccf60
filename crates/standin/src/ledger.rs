//! What a stand-in executed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::unix_us;

/// One execution of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Id under which the request arrived.
    pub request_id: String,
    /// Value that the caller chose to recognise its answer.
    pub nonce: String,
    /// Arrival at the stand-in, in microseconds since the Unix epoch.
    pub arrived_us: u64,
    /// Start of execution, or 0 while queued.
    pub started_us: u64,
    /// End of execution, or 0 while running.
    pub ended_us: u64,
    /// Cost of the prompt, charged at the start, in cost units.
    pub prompt_cost: u64,
    /// Cost produced so far, without the prompt, in cost units.
    pub output_cost: u64,
    /// The request was cancelled before its end.
    pub cancelled: bool,
}

/// Shared list of executions, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: Arc<Mutex<Vec<Execution>>>,
}

impl Ledger {
    /// Adds an arrival and returns its position.
    pub fn arrive(&self, request_id: &str, nonce: &str, prompt_cost: u64) -> usize {
        let mut rows = self.lock();
        rows.push(Execution {
            request_id: request_id.to_owned(),
            nonce: nonce.to_owned(),
            arrived_us: unix_us(),
            prompt_cost,
            ..Execution::default()
        });
        rows.len() - 1
    }

    /// Changes one row.
    pub fn update(&self, position: usize, change: impl FnOnce(&mut Execution)) {
        if let Some(row) = self.lock().get_mut(position) {
            change(row);
        }
    }

    /// A copy of all rows.
    pub fn rows(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
