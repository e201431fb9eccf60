//! Division of a shard's slots among routers by weighted virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::ledger::Usage;

/// A workspace with work.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) virtual_time: f64,
    pub(crate) share: u32,
    /// Router's position and what the workspace uses there.
    pub(crate) usage: Vec<(usize, Usage)>,
}

impl Claim {
    /// Slots that reported work can fill. A queue that did not run dry between
    /// two reports may be refilled faster than it is reported, so the slots it
    /// uses may double.
    fn demand(&self) -> u32 {
        self.usage.iter().map(|(_, usage)| wanted(usage)).sum()
    }

    fn waiting(&self) -> u32 {
        self.usage.iter().map(|(_, usage)| usage.waiting).sum()
    }
}

fn wanted(usage: &Usage) -> u32 {
    let growth = if usage.persistent { usage.in_flight } else { 0 };
    usage.in_flight + usage.waiting + growth
}

/// How many slots each router is to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Division {
    /// Slots for work, per router.
    pub(crate) targets: Vec<u32>,
    /// Slots that no work asks for.
    pub(crate) spare: u32,
    /// Some reported work got no slot.
    pub(crate) saturated: bool,
}

/// Divides `capacity` slots. Each assigned slot is charged `slot_cost`, lowest
/// virtual time first. What is left after all demand serves expected growth.
/// `turn` rotates which router is first when a workspace has fewer slots than
/// routers.
pub(crate) fn divide(
    claims: &[Claim],
    routers: usize,
    capacity: u32,
    slot_cost: f64,
    turn: usize,
) -> Division {
    let demands: Vec<u32> = claims.iter().map(Claim::demand).collect();
    let mut slots = fill(claims, &demands, capacity, slot_cost);
    let used: u32 = slots.iter().sum();
    let mut spare = capacity - used;
    let saturated = spare == 0 && used < demands.iter().sum();
    for (claim, slots) in claims.iter().zip(&mut slots) {
        let growth = claim.waiting().min(spare);
        *slots += growth;
        spare -= growth;
    }
    let mut targets = vec![0; routers];
    for (claim, slots) in claims.iter().zip(slots) {
        spread(claim, slots, turn, &mut targets);
    }
    Division { targets, spare, saturated }
}

fn fill(claims: &[Claim], demands: &[u32], capacity: u32, slot_cost: f64) -> Vec<u32> {
    let mut slots = vec![0; claims.len()];
    let total: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
    if total <= u64::from(capacity) {
        return demands.to_vec();
    }
    let wanting = claims.iter().enumerate().filter(|(index, _)| demands[*index] > 0);
    let mut heap: BinaryHeap<Reverse<(u64, usize)>> =
        wanting.map(|(index, claim)| Reverse((claim.virtual_time.to_bits(), index))).collect();
    for _ in 0..capacity {
        let Some(Reverse((key, index))) = heap.pop() else {
            break;
        };
        slots[index] += 1;
        if slots[index] < demands[index] {
            let share = f64::from(claims[index].share.max(1));
            let key = f64::from_bits(key) + slot_cost / share;
            heap.push(Reverse((key.to_bits(), index)));
        }
    }
    slots
}

// Splits a workspace's slots in proportion to its work at each router.
fn spread(claim: &Claim, slots: u32, turn: usize, targets: &mut [u32]) {
    let weights: Vec<u32> = claim.usage.iter().map(|(_, usage)| wanted(usage)).collect();
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    if total == 0 {
        return;
    }
    let mut left = slots;
    for ((router, _), weight) in claim.usage.iter().zip(&weights) {
        let part = (u64::from(slots) * u64::from(*weight) / total) as u32;
        targets[*router] += part;
        left -= part;
    }
    let count = claim.usage.len();
    for step in (0..count).cycle().take(left as usize) {
        targets[claim.usage[(turn + step) % count].0] += 1;
    }
}
