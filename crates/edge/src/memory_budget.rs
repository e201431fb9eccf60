//! The memory that the process may use for what others send: charged before it is allocated,
//! released when it is dropped.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use strum::{EnumCount, IntoEnumIterator};

/// Memory of the program itself with empty state, in bytes. It is set aside first.
const PROGRAM_BYTES: u64 = 12 << 20;
/// Part of the memory that is set aside for the control side: the configuration, the upstream
/// entries, and answers of the store and of other routers.
const CONTROL_DIVISOR: u64 = 8;
/// Fraction of the rest that may be charged. The allocator needs more than what is charged,
/// and keeps some of what is freed.
const CHARGEABLE_FRACTION: f64 = 0.75;
/// Part of the memory that may be charged on a machine that is too small for what is set aside.
const MIN_BUDGET_DIVISOR: u64 = 6;
/// Largest holder that may use all of the budget, in bytes.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Fraction of the budget that larger holders may use, so that ordinary requests still fit
/// beside them.
const BULK_FRACTION: f64 = 0.75;
/// Fraction of what larger holders may use that is for those of one workspace.
const GROUP_BULK_FRACTION: f64 = 0.75;

/// What memory is used for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum MemoryUse {
    /// Connections that were accepted, with their read buffers.
    Connections,
    /// Fields of request heads.
    Heads,
    /// Request bodies.
    Bodies,
    /// Answers that callers have not read.
    Answers,
    /// Connections to upstreams.
    Upstreams,
}

#[derive(Debug)]
struct Inner {
    limit_bytes: u64,
    bulk_limit_bytes: u64,
    used: [AtomicU64; MemoryUse::COUNT],
}

/// What the holders of one workspace use. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Group(Arc<AtomicU64>);

impl Group {
    /// Bytes that are charged.
    pub fn used_bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A budget that charges count against. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Inner>);

impl MemoryBudget {
    /// The budget of a process that may use `memory_bytes`.
    pub fn of_machine(memory_bytes: u64) -> Self {
        let rest = memory_bytes.saturating_sub(PROGRAM_BYTES + memory_bytes / CONTROL_DIVISOR);
        let chargeable = (rest as f64 * CHARGEABLE_FRACTION) as u64;
        Self::new(chargeable.max(memory_bytes / MIN_BUDGET_DIVISOR))
    }

    /// A budget of `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        let bulk_limit_bytes = (limit_bytes as f64 * BULK_FRACTION) as u64;
        Self(Arc::new(Inner { limit_bytes, bulk_limit_bytes, used: Default::default() }))
    }

    /// Bytes that may be charged.
    pub fn limit_bytes(&self) -> u64 {
        self.0.limit_bytes
    }

    /// Bytes that are charged for one use.
    pub fn used_bytes(&self, memory_use: MemoryUse) -> u64 {
        self.0.used[memory_use as usize].load(Ordering::Relaxed)
    }

    /// Bytes that are charged.
    pub fn total_used_bytes(&self) -> u64 {
        MemoryUse::iter().map(|memory_use| self.used_bytes(memory_use)).sum()
    }

    /// Charges nothing yet.
    pub fn start(&self, memory_use: MemoryUse) -> Charge {
        Charge { budget: self.clone(), group: None, memory_use, bytes: 0 }
    }

    /// As [`Self::start`], for a holder of `group`. A group leaves room for others: its larger
    /// holders get no more than three quarters of what is for such holders, and all of its
    /// holders no more than what is for larger ones.
    pub fn start_in_group(&self, memory_use: MemoryUse, group: &Group) -> Charge {
        Charge { budget: self.clone(), group: Some(group.clone()), memory_use, bytes: 0 }
    }

    /// Charges `bytes` if they fit.
    pub fn try_charge(&self, memory_use: MemoryUse, bytes: u64) -> Option<Charge> {
        let mut charge = self.start(memory_use);
        charge.try_grow(bytes).then_some(charge)
    }
}

/// Memory that is charged until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: MemoryBudget,
    group: Option<Group>,
    memory_use: MemoryUse,
    bytes: u64,
}

impl Charge {
    /// Bytes that are charged.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Charges `bytes` more if they fit. Returns whether they do.
    pub fn try_grow(&mut self, bytes: u64) -> bool {
        let Inner { limit_bytes, bulk_limit_bytes, .. } = *self.budget.0;
        let is_small = self.bytes.saturating_add(bytes) <= SMALL_BYTES;
        // The request of an answer is held until the answer is complete, so answers must not wait
        // for each other.
        let is_unbounded = is_small || self.memory_use == MemoryUse::Answers;
        let limit_bytes = if is_unbounded { limit_bytes } else { bulk_limit_bytes };
        let fits = self.budget.total_used_bytes().saturating_add(bytes) <= limit_bytes
            && self.fits_group(bytes);
        if fits {
            self.grow(bytes);
        }
        fits
    }

    /// Whether `bytes` more would leave the group within its part of the budget.
    pub fn fits_group(&self, bytes: u64) -> bool {
        let is_small = self.bytes.saturating_add(bytes) <= SMALL_BYTES;
        let bulk_limit_bytes = self.budget.0.bulk_limit_bytes;
        let limit_bytes = if is_small {
            bulk_limit_bytes
        } else {
            (bulk_limit_bytes as f64 * GROUP_BULK_FRACTION) as u64
        };
        let fits = |group: &Group| group.used_bytes().saturating_add(bytes) <= limit_bytes;
        self.group.as_ref().is_none_or(fits)
    }

    /// Charges `bytes` more, whether they fit or not: for a copy that replaces what is held
    /// already, or if others were closed to make room.
    pub fn grow(&mut self, bytes: u64) {
        self.bytes += bytes;
        self.used().fetch_add(bytes, Ordering::Relaxed);
        if let Some(Group(used)) = &self.group {
            used.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.used().fetch_sub(released, Ordering::Relaxed);
        if let Some(Group(used)) = &self.group {
            used.fetch_sub(released, Ordering::Relaxed);
        }
    }

    fn used(&self) -> &AtomicU64 {
        &self.budget.0.used[self.memory_use as usize]
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
