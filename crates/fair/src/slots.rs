//! Slots of one shard's upstreams that are allocated to a router.

use std::collections::VecDeque;

use span_types::{Member, ShardId, UpstreamName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Allocation, SlotRow, token_bucket::TokenBucket};

/// Early reports that may follow each other immediately.
const MAX_EARLY_REPORT_BURST: u32 = 4;
/// Sustained rate of early reports, per report period.
const EARLY_REPORTS_PER_PERIOD: u64 = 4;
/// Report period until the owner's first allocation sets it.
const INITIAL_REPORT_PERIOD_MS: u64 = 250;
/// Number of reports whose send times are kept.
const MAX_SENT_REPORTS: usize = 16;

#[derive(Debug)]
struct UpstreamSlots {
    upstream: UpstreamName,
    name_hash: u64,
    allocated: u32,
    in_flight: u32,
}

impl UpstreamSlots {
    fn free_slots(&self) -> u32 {
        self.allocated.saturating_sub(self.in_flight)
    }
}

/// What decides which free slot a request gets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotPreference<'a> {
    pub(crate) prefix_hash: Option<u64>,
    pub(crate) avoided_upstreams: &'a [UpstreamName],
}

/// Slots of one shard at one router, and the state of its reports to the owner.
#[derive(Debug)]
pub(crate) struct ShardSlots {
    pub(crate) id: ShardId,
    pub(crate) owner: Option<Member>,
    pub(crate) applied_seq: u64,
    pub(crate) last_report_seq: u64,
    pub(crate) virtual_time: f64,
    pub(crate) saturated: bool,
    upstreams: Vec<UpstreamSlots>,
    free_slots: u32,
    valid_until_ms: u64,
    period_ms: u64,
    next_report_ms: u64,
    /// Sequence numbers and send times of the latest reports, in milliseconds.
    sent_reports: VecDeque<(u64, u64)>,
    early_report_limiter: TokenBucket,
    /// Something has changed since the last report that affects the owner's
    /// allocations.
    pub(crate) needs_report: bool,
    /// The router no longer uses a slot that it has lost or returned. The owner
    /// can grant the slot to another router after the next report.
    pub(crate) has_returned_slot: bool,
}

impl ShardSlots {
    pub(crate) fn new(id: ShardId) -> Self {
        Self {
            id,
            owner: None,
            applied_seq: 0,
            last_report_seq: 0,
            virtual_time: 0.0,
            saturated: false,
            upstreams: Vec::new(),
            free_slots: 0,
            valid_until_ms: 0,
            period_ms: INITIAL_REPORT_PERIOD_MS,
            next_report_ms: 0,
            sent_reports: VecDeque::new(),
            early_report_limiter: TokenBucket::new(MAX_EARLY_REPORT_BURST),
            needs_report: false,
            has_returned_slot: false,
        }
    }

    /// Slots that can be occupied now; 0 once the allocation has expired.
    pub(crate) fn free_slots(&self, now_ms: u64) -> u32 {
        if now_ms < self.valid_until_ms { self.free_slots } else { 0 }
    }

    /// Whether the router may use a slot of an upstream outside `avoided`, free
    /// or not.
    pub(crate) fn has_alternative(&self, now_ms: u64, avoided: &[UpstreamName]) -> bool {
        now_ms < self.valid_until_ms
            && self.upstreams.iter().any(|up| up.allocated > 0 && !avoided.contains(&up.upstream))
    }

    /// The free slot with the highest score, and that score. Scores are
    /// comparable across shards.
    pub(crate) fn best_free_slot(
        &self,
        now_ms: u64,
        preference: SlotPreference<'_>,
    ) -> Option<(u64, usize)> {
        if self.free_slots(now_ms) == 0 {
            return None;
        }
        let free = self.upstreams.iter().enumerate().filter(|(_, up)| up.free_slots() > 0);
        let allowed = free.filter(|(_, up)| !preference.avoided_upstreams.contains(&up.upstream));
        allowed.map(|(index, up)| (slot_score(up, preference.prefix_hash), index)).max()
    }

    pub(crate) fn occupy(&mut self, index: usize) -> UpstreamName {
        let slots = &mut self.upstreams[index];
        slots.in_flight += 1;
        self.free_slots -= 1;
        slots.upstream.clone()
    }

    /// Frees a slot. Returns whether the router may occupy it again.
    pub(crate) fn release(&mut self, upstream: &UpstreamName) -> bool {
        let Some(slots) = self.upstreams.iter_mut().find(|up| up.upstream == *upstream) else {
            return false;
        };
        let free = slots.free_slots();
        slots.in_flight = slots.in_flight.saturating_sub(1);
        let gained_slots = slots.free_slots() - free;
        self.free_slots += gained_slots;
        gained_slots > 0
    }

    pub(crate) fn is_report_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_report_ms
    }

    pub(crate) fn next_report_ms(&self) -> u64 {
        self.next_report_ms
    }

    pub(crate) fn may_report_early(&self, now_ms: u64) -> bool {
        self.early_report_limiter.has_token(now_ms, self.period_ms / EARLY_REPORTS_PER_PERIOD)
    }

    /// Records that a report is being sent and returns its sequence number.
    pub(crate) fn start_report(&mut self, now_ms: u64) -> u64 {
        if !self.is_report_due(now_ms) {
            self.early_report_limiter.try_take(now_ms, self.period_ms / EARLY_REPORTS_PER_PERIOD);
        }
        self.needs_report = false;
        self.has_returned_slot = false;
        self.last_report_seq += 1;
        self.next_report_ms = now_ms + self.period_ms;
        if self.sent_reports.len() == MAX_SENT_REPORTS {
            self.sent_reports.pop_front();
        }
        self.sent_reports.push_back((self.last_report_seq, now_ms));
        self.last_report_seq
    }

    pub(crate) fn slot_rows(&self) -> Vec<SlotRow> {
        let used = self.upstreams.iter().filter(|up| up.allocated > 0 || up.in_flight > 0);
        used.map(|up| SlotRow {
            upstream: up.upstream.clone(),
            held: up.allocated,
            in_flight: up.in_flight,
        })
        .collect()
    }

    /// Applies an allocation. Returns false if it is not newer than the applied
    /// one.
    pub(crate) fn apply_allocation(&mut self, now_ms: u64, allocation: &Allocation) -> bool {
        let is_same_owner = self.owner.as_ref() == Some(&allocation.owner);
        if is_same_owner && allocation.seq <= self.applied_seq {
            return false;
        }
        if !is_same_owner {
            self.owner = Some(allocation.owner.clone());
            self.valid_until_ms = 0;
        }
        self.applied_seq = allocation.seq;
        self.saturated = allocation.saturated;
        self.virtual_time = allocation.virtual_time;
        self.extend_validity(allocation);
        if allocation.next_report_ms != self.period_ms {
            self.period_ms = allocation.next_report_ms.max(1);
            self.next_report_ms = self.next_report_ms.min(now_ms + self.period_ms);
        }
        self.has_returned_slot |= self.set_allocated(&allocation.slots) || allocation.confirm;
        true
    }

    /// Returns the free slots to the owner. Called while other routers have
    /// waiting requests and this one has none.
    pub(crate) fn return_free_slots(&mut self) {
        for slots in &mut self.upstreams {
            slots.allocated = slots.allocated.min(slots.in_flight);
        }
        self.free_slots = 0;
    }

    /// Replaces the slots by a fixed set that never expires.
    pub(crate) fn set_fixed_slots(&mut self, rows: &[SlotRow]) {
        self.valid_until_ms = u64::MAX;
        self.next_report_ms = u64::MAX;
        self.set_allocated(rows);
    }

    // The validity starts when the answered report was sent, because the owner
    // may grant the slots to others once the next report is overdue.
    fn extend_validity(&mut self, allocation: &Allocation) {
        let sent = self.sent_reports.iter().find(|(seq, _)| *seq == allocation.answers);
        if let Some((_, sent_ms)) = sent {
            self.valid_until_ms = self.valid_until_ms.max(sent_ms + allocation.valid_for_ms);
        }
    }

    /// Replaces the allocated slots. Returns whether an upstream has fewer free
    /// slots than before.
    fn set_allocated(&mut self, rows: &[SlotRow]) -> bool {
        let before: Vec<u32> = self.upstreams.iter().map(UpstreamSlots::free_slots).collect();
        for slots in &mut self.upstreams {
            slots.allocated = 0;
        }
        for row in rows {
            match self.upstreams.iter_mut().find(|up| up.upstream == row.upstream) {
                Some(slots) => slots.allocated = row.held,
                None => self.upstreams.push(UpstreamSlots {
                    upstream: row.upstream.clone(),
                    name_hash: xxh3_64(row.upstream.as_str().as_bytes()),
                    allocated: row.held,
                    in_flight: 0,
                }),
            }
        }
        let lost_free_slot =
            self.upstreams.iter().zip(before).any(|(up, before)| up.free_slots() < before);
        self.upstreams.retain(|up| up.allocated > 0 || up.in_flight > 0);
        self.free_slots = self.upstreams.iter().map(UpstreamSlots::free_slots).sum();
        lost_free_slot
    }
}

// Rendezvous hashing sends requests with the same prompt prefix to the same
// upstreams. Requests without a prefix go to the upstream with the most free
// slots.
fn slot_score(slots: &UpstreamSlots, prefix_hash: Option<u64>) -> u64 {
    match prefix_hash {
        Some(prefix_hash) => xxh3_64_with_seed(&prefix_hash.to_le_bytes(), slots.name_hash),
        None => slots.free_slots().into(),
    }
}
