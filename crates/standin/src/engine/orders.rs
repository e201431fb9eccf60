//! Orders to the engine and the ledger of those it executed.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::unix_us;

/// An order as the engine receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique id.
    pub id: String,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Kind of order, such as `load_model` or `change_role`.
    pub kind: String,
    /// Model, adapter, version or role that the order applies to.
    pub target: String,
}

/// An order that the engine executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedOrder {
    /// The order as received.
    #[serde(flatten)]
    pub order: Order,
    /// Time of execution, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// An earlier order had a higher fencing number. Only possible if the engine
    /// does not check fencing numbers.
    pub stale: bool,
}

/// The fencing number of an order is lower than that of an earlier order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fencing number {given} is older than {highest}")]
pub struct StaleFencingNumber {
    /// Fencing number of the order.
    pub given: u64,
    /// Highest fencing number of the earlier orders.
    pub highest: u64,
}

/// Orders that one engine executed.
#[derive(Debug, Default)]
pub struct Orders {
    checks_fencing: bool,
    executed: Mutex<Vec<ExecutedOrder>>,
}

impl Orders {
    /// Creates an empty ledger. `checks_fencing` makes [`Orders::execute`] reject
    /// stale fencing numbers; otherwise it accepts them.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, executed: Mutex::default() }
    }

    /// Executes an order.
    ///
    /// # Errors
    ///
    /// [`StaleFencingNumber`] if the engine checks fencing numbers and
    /// this one is stale.
    pub fn execute(&self, order: Order) -> Result<(), StaleFencingNumber> {
        let mut executed = self.lock();
        let highest = executed.iter().map(|other| other.order.fencing).max().unwrap_or(0);
        let stale = order.fencing < highest;
        if stale && self.checks_fencing {
            return Err(StaleFencingNumber { given: order.fencing, highest });
        }
        executed.push(ExecutedOrder { order, at_us: unix_us(), stale });
        Ok(())
    }

    /// Copies the executed orders in order of arrival.
    pub fn executed(&self) -> Vec<ExecutedOrder> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ExecutedOrder>> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
