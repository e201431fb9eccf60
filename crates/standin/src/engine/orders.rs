//! Orders to the engine and the ledger of those it carried out.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::unix_us;

/// An order as it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order.
    pub id: String,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// What to do, such as `load_model` or `change_role`.
    pub kind: String,
    /// Model, adapter, version or role that the order names.
    pub target: String,
}

/// An order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// When it was carried out, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// A higher fencing number had been seen before; only possible if the
    /// engine does not check them.
    pub stale: bool,
}

/// The fencing number is lower than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fencing number {given} is older than {highest}")]
pub struct StaleFencing {
    /// Number of the order.
    pub given: u64,
    /// Highest number seen.
    pub highest: u64,
}

/// Orders of one engine.
#[derive(Debug, Default)]
pub struct Orders {
    checks_fencing: bool,
    rows: Mutex<Vec<OrderRow>>,
}

impl Orders {
    /// An engine that refuses old fencing numbers, or ignores the number.
    pub fn new(checks_fencing: bool) -> Self {
        Self { checks_fencing, rows: Mutex::default() }
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// [`StaleFencing`] if the engine checks numbers and this one is old.
    pub fn carry_out(&self, order: Order) -> Result<(), StaleFencing> {
        let mut rows = self.lock();
        let highest = rows.iter().map(|row| row.order.fencing).max().unwrap_or(0);
        let stale = order.fencing < highest;
        if stale && self.checks_fencing {
            return Err(StaleFencing { given: order.fencing, highest });
        }
        rows.push(OrderRow { order, at_us: unix_us(), stale });
        Ok(())
    }

    /// A copy of the ledger, in order of arrival.
    pub fn rows(&self) -> Vec<OrderRow> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<OrderRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
