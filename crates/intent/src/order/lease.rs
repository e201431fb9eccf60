//! Decides who may acquire the order lease. The lease also holds the rate limit for
//! loads from the weight store.
//!
//! The clocks of instances differ. Therefore the lease only reduces contention
//! between instances; the fencing number is what ensures safety.

use serde::{Deserialize, Serialize};

/// Key of the lease in the object API.
pub const LEASE_KEY: &str = "orders/lease";
/// Duration of a lease. It is longer than all calls for one order can take together,
/// timeouts included.
pub const LEASE_DURATION_MS: u64 = 20_000;
/// A lease with more time remaining was written by an instance with a wrong clock and
/// is ignored.
const MAX_REMAINING_MS: u64 = 2 * LEASE_DURATION_MS;
/// Number of loads that may start at once if there were none for a while.
const MAX_LOAD_BURST: u64 = 2;
const MS_PER_MINUTE: u64 = 60_000;

/// The order lease as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Process that holds the lease.
    pub holder: String,
    /// Fencing number, which increases with each acquisition.
    pub fencing: u64,
    /// When the lease expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Time up to which the loads charged so far use up the rate, in milliseconds
    /// since the Unix epoch.
    pub loads_until_ms: u64,
}

impl Lease {
    /// Returns the released lease: expired, with the same fencing number and charges.
    pub fn released(&self) -> Self {
        Self { expires_ms: 0, ..self.clone() }
    }
}

/// Fleet-wide limit on the rate of loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRate {
    /// Loads per minute; 0 forbids loads.
    pub per_minute: u64,
}

/// Result of [`decide_acquire`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// The process may hold the lease once it has written this value.
    Grant(Lease),
    /// Another process holds the lease.
    Held {
        /// Process that holds the lease.
        holder: String,
        /// Time until the lease expires, in milliseconds.
        retry_after_ms: u64,
    },
    /// The rate of loads from the weight store is used up.
    RateLimited {
        /// Time until the next load is allowed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether `holder` may acquire the lease. With `load_rate`, the acquisition
/// also charges one load, so that one conditional write does both. The charge remains if
/// the load does not run afterwards.
pub fn decide_acquire(
    stored: Option<&Lease>,
    holder: &str,
    now_ms: u64,
    load_rate: Option<LoadRate>,
) -> AcquireDecision {
    if let Some(lease) = stored {
        let remaining_ms = lease.expires_ms.saturating_sub(now_ms);
        if lease.holder != holder && remaining_ms > 0 && remaining_ms <= MAX_REMAINING_MS {
            return AcquireDecision::Held {
                holder: lease.holder.clone(),
                retry_after_ms: remaining_ms,
            };
        }
    }
    let charged_until_ms = stored.map_or(0, |lease| lease.loads_until_ms);
    let loads_until_ms = match charge_load(charged_until_ms, now_ms, load_rate) {
        Ok(until_ms) => until_ms,
        Err(retry_after_ms) => return AcquireDecision::RateLimited { retry_after_ms },
    };
    AcquireDecision::Grant(Lease {
        holder: holder.to_owned(),
        fencing: stored.map_or(0, |lease| lease.fencing) + 1,
        expires_ms: now_ms + LEASE_DURATION_MS,
        loads_until_ms,
    })
}

/// Returns the new value of [`Lease::loads_until_ms`], or the time in milliseconds
/// until the next load is allowed.
fn charge_load(
    charged_until_ms: u64,
    now_ms: u64,
    load_rate: Option<LoadRate>,
) -> Result<u64, u64> {
    let Some(rate) = load_rate else { return Ok(charged_until_ms) };
    if rate.per_minute == 0 {
        return Err(MS_PER_MINUTE);
    }
    let interval_ms = MS_PER_MINUTE.div_ceil(rate.per_minute);
    let until_ms = charged_until_ms.max(now_ms) + interval_ms;
    let max_until_ms = now_ms + MAX_LOAD_BURST * interval_ms;
    if until_ms > max_until_ms { Err(until_ms - max_until_ms) } else { Ok(until_ms) }
}

/// Returns true if the stored lease is still `mine` and has not expired at `now_ms`.
/// A holder that was paused finds out this way that another process has acquired the
/// lease or that it has expired.
pub fn is_held(stored: Option<&Lease>, mine: &Lease, now_ms: u64) -> bool {
    let is_same = |lease: &Lease| lease.holder == mine.holder && lease.fencing == mine.fencing;
    stored.is_some_and(is_same) && now_ms < mine.expires_ms
}
