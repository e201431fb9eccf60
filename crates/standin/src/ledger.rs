//! Ledger of the requests that a stand-in executed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::unix_us;

/// One execution of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Id under which the request arrived.
    pub request_id: String,
    /// Value that the caller chose in order to recognise its answer.
    pub nonce: String,
    /// Arrival time at the stand-in, in microseconds since the Unix epoch.
    pub arrived_us: u64,
    /// Start of execution, in microseconds since the Unix epoch; 0 while queued.
    pub started_us: u64,
    /// End of execution, in microseconds since the Unix epoch; 0 while running.
    pub ended_us: u64,
    /// Cost of the prompt in cost units; charged when execution starts.
    pub prompt_cost: u64,
    /// Cost of the output produced so far, in cost units.
    pub output_cost: u64,
    /// The request was cancelled before it completed.
    pub cancelled: bool,
}

/// Shared list of executions in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl Ledger {
    /// Adds a request that arrived and returns its index.
    pub fn record_arrival(&self, request_id: &str, nonce: &str, prompt_cost: u64) -> usize {
        let mut executions = self.lock();
        executions.push(Execution {
            request_id: request_id.to_owned(),
            nonce: nonce.to_owned(),
            arrived_us: unix_us(),
            prompt_cost,
            ..Execution::default()
        });
        executions.len() - 1
    }

    /// Changes the execution at `index`; does nothing if there is none.
    pub fn update(&self, index: usize, change: impl FnOnce(&mut Execution)) {
        if let Some(execution) = self.lock().get_mut(index) {
            change(execution);
        }
    }

    /// Copies all executions.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
