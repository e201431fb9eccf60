//! The slots that a router holds on the upstreams of one shard.

use std::collections::VecDeque;

use span_types::{Member, ShardId, UpstreamName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Allocation, SlotRow, bucket::TokenBucket};

/// Urgent reports that may follow each other at once.
const URGENT_BURST: u32 = 4;
/// Urgent reports per report period over a longer time.
const URGENT_PER_PERIOD: u64 = 4;
/// Report period until the owner has named one, in milliseconds.
const INITIAL_PERIOD_MS: u64 = 250;
/// Reports whose sending times are kept.
const SENT_REPORTS: usize = 16;

#[derive(Debug)]
struct HeldSlots {
    upstream: UpstreamName,
    name_hash: u64,
    allocated: u32,
    in_flight: u32,
}

impl HeldSlots {
    fn free(&self) -> u32 {
        self.allocated.saturating_sub(self.in_flight)
    }
}

/// How a slot is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice<'a> {
    pub(crate) prefix: Option<u64>,
    pub(crate) avoid: &'a [UpstreamName],
}

/// Slots of one shard at one router, and the state of its reports.
#[derive(Debug)]
pub(crate) struct ShardSlots {
    pub(crate) id: ShardId,
    pub(crate) owner: Option<Member>,
    pub(crate) applied_seq: u64,
    pub(crate) report_seq: u64,
    pub(crate) virtual_time: f64,
    pub(crate) saturated: bool,
    upstreams: Vec<HeldSlots>,
    free: u32,
    valid_until_ms: u64,
    period_ms: u64,
    next_report_ms: u64,
    sent: VecDeque<(u64, u64)>,
    bucket: TokenBucket,
    /// Something changed since the last report that the owner can act on.
    pub(crate) news: bool,
    /// The router lost a slot that it does not use, and the owner can grant it
    /// to another router once it knows.
    pub(crate) returned: bool,
}

impl ShardSlots {
    pub(crate) fn new(id: ShardId) -> Self {
        Self {
            id,
            owner: None,
            applied_seq: 0,
            report_seq: 0,
            virtual_time: 0.0,
            saturated: false,
            upstreams: Vec::new(),
            free: 0,
            valid_until_ms: 0,
            period_ms: INITIAL_PERIOD_MS,
            next_report_ms: 0,
            sent: VecDeque::new(),
            bucket: TokenBucket::new(URGENT_BURST),
            news: false,
            returned: false,
        }
    }

    /// Slots that may be filled now.
    pub(crate) fn free(&self, now_ms: u64) -> u32 {
        if now_ms < self.valid_until_ms { self.free } else { 0 }
    }

    /// Whether the router may use a slot outside `avoid`, free or not.
    pub(crate) fn has_alternative(&self, now_ms: u64, avoid: &[UpstreamName]) -> bool {
        now_ms < self.valid_until_ms
            && self.upstreams.iter().any(|up| up.allocated > 0 && !avoid.contains(&up.upstream))
    }

    /// The best free slot and its score; comparable across shards.
    pub(crate) fn choose(&self, now_ms: u64, choice: Choice<'_>) -> Option<(u64, usize)> {
        if self.free(now_ms) == 0 {
            return None;
        }
        let free = self.upstreams.iter().enumerate().filter(|(_, up)| up.free() > 0);
        let allowed = free.filter(|(_, up)| !choice.avoid.contains(&up.upstream));
        allowed.map(|(index, up)| (score(up, choice.prefix), index)).max()
    }

    pub(crate) fn occupy(&mut self, index: usize) -> UpstreamName {
        let slots = &mut self.upstreams[index];
        slots.in_flight += 1;
        self.free -= 1;
        slots.upstream.clone()
    }

    /// Frees a slot. Returns whether the router may fill it again.
    pub(crate) fn release(&mut self, upstream: &UpstreamName) -> bool {
        let Some(slots) = self.upstreams.iter_mut().find(|up| up.upstream == *upstream) else {
            return false;
        };
        let free = slots.free();
        slots.in_flight = slots.in_flight.saturating_sub(1);
        let gained = slots.free() - free;
        self.free += gained;
        gained > 0
    }

    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_report_ms
    }

    pub(crate) fn next_report_ms(&self) -> u64 {
        self.next_report_ms
    }

    pub(crate) fn may_report_early(&self, now_ms: u64) -> bool {
        self.bucket.has_token(now_ms, self.period_ms / URGENT_PER_PERIOD)
    }

    /// Counts a report that is being sent and returns its sequence number.
    pub(crate) fn start_report(&mut self, now_ms: u64) -> u64 {
        if !self.is_due(now_ms) {
            self.bucket.take(now_ms, self.period_ms / URGENT_PER_PERIOD);
        }
        self.news = false;
        self.returned = false;
        self.report_seq += 1;
        self.next_report_ms = now_ms + self.period_ms;
        if self.sent.len() == SENT_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.report_seq, now_ms));
        self.report_seq
    }

    pub(crate) fn rows(&self) -> Vec<SlotRow> {
        let used = self.upstreams.iter().filter(|up| up.allocated > 0 || up.in_flight > 0);
        used.map(|up| SlotRow {
            upstream: up.upstream.clone(),
            held: up.allocated,
            in_flight: up.in_flight,
        })
        .collect()
    }

    /// Takes an allocation. Returns false if it is older than the applied one.
    pub(crate) fn apply(&mut self, now_ms: u64, allocation: &Allocation) -> bool {
        let same_owner = self.owner.as_ref() == Some(&allocation.owner);
        if same_owner && allocation.seq <= self.applied_seq {
            return false;
        }
        if !same_owner {
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
        self.returned |= self.set_allocated(&allocation.slots) || allocation.confirm;
        true
    }

    /// Gives the free slots back: other routers have waiting work and this one
    /// has none.
    pub(crate) fn return_free(&mut self) {
        for slots in &mut self.upstreams {
            slots.allocated = slots.allocated.min(slots.in_flight);
        }
        self.free = 0;
    }

    /// Replaces the slots by a fixed set that never expires.
    pub(crate) fn fix(&mut self, rows: &[SlotRow]) {
        self.valid_until_ms = u64::MAX;
        self.next_report_ms = u64::MAX;
        self.set_allocated(rows);
    }

    // Counted from the sending of the answered report, because the owner may
    // have given the slots away as soon as it missed the next one.
    fn extend_validity(&mut self, allocation: &Allocation) {
        let sent = self.sent.iter().find(|(seq, _)| *seq == allocation.answers);
        if let Some((_, sent_ms)) = sent {
            self.valid_until_ms = self.valid_until_ms.max(sent_ms + allocation.valid_for_ms);
        }
    }

    /// Returns whether free slots of any upstream were taken away.
    fn set_allocated(&mut self, rows: &[SlotRow]) -> bool {
        let before: Vec<u32> = self.upstreams.iter().map(HeldSlots::free).collect();
        for slots in &mut self.upstreams {
            slots.allocated = 0;
        }
        for row in rows {
            match self.upstreams.iter_mut().find(|up| up.upstream == row.upstream) {
                Some(slots) => slots.allocated = row.held,
                None => self.upstreams.push(HeldSlots {
                    upstream: row.upstream.clone(),
                    name_hash: xxh3_64(row.upstream.as_str().as_bytes()),
                    allocated: row.held,
                    in_flight: 0,
                }),
            }
        }
        let returned = self.upstreams.iter().zip(before).any(|(up, before)| up.free() < before);
        self.upstreams.retain(|up| up.allocated > 0 || up.in_flight > 0);
        self.free = self.upstreams.iter().map(HeldSlots::free).sum();
        returned
    }
}

// Rendezvous hashing keeps requests with one prefix on the same upstreams;
// requests without a prefix go where the most slots are free.
fn score(slots: &HeldSlots, prefix: Option<u64>) -> u64 {
    match prefix {
        Some(prefix) => xxh3_64_with_seed(&prefix.to_le_bytes(), slots.name_hash),
        None => slots.free().into(),
    }
}
