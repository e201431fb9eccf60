//! Decisions about the order lease, which also holds the weight store's budget.
//!
//! Clocks of instances differ, so that the lease only keeps instances from
//! disturbing each other. Safety rests on the fencing number.

use serde::{Deserialize, Serialize};

/// Key of the lease in the object API.
pub const LEASE_KEY: &str = "orders/lease";
/// Time for which a lease is held, in milliseconds: longer than all calls for
/// one order with their timeouts.
pub const LEASE_MS: u64 = 20_000;
/// An end further away than this was set by a wrong clock and is not honoured.
const MAX_CREDIBLE_MS: u64 = 2 * LEASE_MS;
/// Loads that may start at once after a quiet time.
const LOAD_BURST: u64 = 2;
const MINUTE_MS: u64 = 60_000;

/// The order lease as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Process that holds it.
    pub holder: String,
    /// Grows with each acquisition.
    pub fencing: u64,
    /// End, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// When the loads charged so far have been paid off, in milliseconds since
    /// the Unix epoch.
    pub loads_until_ms: u64,
}

impl Lease {
    /// The lease given back, with its fencing number and budget.
    pub fn released(&self) -> Self {
        Self { expires_ms: 0, ..self.clone() }
    }
}

/// Rate of loads from the weight store, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRate {
    /// Loads in a minute; 0 forbids them.
    pub per_minute: u64,
}

/// Whether the lease can be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acquire {
    /// Write this.
    Take(Lease),
    /// Another process holds it.
    Held {
        /// The process.
        holder: String,
        /// Time until it ends, in milliseconds.
        retry_after_ms: u64,
    },
    /// The weight store's budget is used up.
    RateLimited {
        /// Time until the next load is allowed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether `holder` may take the lease. With `loads`, the acquisition
/// also charges one load, so that one conditional write settles both. A load
/// that is not run afterwards stays charged.
pub fn acquire(
    stored: Option<&Lease>,
    holder: &str,
    now_ms: u64,
    loads: Option<LoadRate>,
) -> Acquire {
    if let Some(lease) = stored {
        let left_ms = lease.expires_ms.saturating_sub(now_ms);
        if lease.holder != holder && left_ms > 0 && left_ms <= MAX_CREDIBLE_MS {
            return Acquire::Held { holder: lease.holder.clone(), retry_after_ms: left_ms };
        }
    }
    let paid_ms = stored.map_or(0, |lease| lease.loads_until_ms);
    let loads_until_ms = match charge(paid_ms, now_ms, loads) {
        Ok(until_ms) => until_ms,
        Err(retry_after_ms) => return Acquire::RateLimited { retry_after_ms },
    };
    Acquire::Take(Lease {
        holder: holder.to_owned(),
        fencing: stored.map_or(0, |lease| lease.fencing) + 1,
        expires_ms: now_ms + LEASE_MS,
        loads_until_ms,
    })
}

/// The new end of the charged loads, or the time to wait.
fn charge(paid_ms: u64, now_ms: u64, loads: Option<LoadRate>) -> Result<u64, u64> {
    let Some(rate) = loads else { return Ok(paid_ms) };
    if rate.per_minute == 0 {
        return Err(MINUTE_MS);
    }
    let interval_ms = MINUTE_MS.div_ceil(rate.per_minute);
    let until_ms = paid_ms.max(now_ms) + interval_ms;
    let latest_ms = now_ms + LOAD_BURST * interval_ms;
    if until_ms > latest_ms { Err(until_ms - latest_ms) } else { Ok(until_ms) }
}

/// Whether `mine` is still in force at `now_ms`, given what is stored. Tells a
/// holder that was paused that it was overtaken or that its time is over.
pub fn holds(stored: Option<&Lease>, mine: &Lease, now_ms: u64) -> bool {
    let same = |lease: &Lease| lease.holder == mine.holder && lease.fencing == mine.fencing;
    stored.is_some_and(same) && now_ms < mine.expires_ms
}
