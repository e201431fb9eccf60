//! Division of a shard's slots among routers by weighted virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::accounts::RouterUsage;

/// The requests of one workspace, from the routers' reports.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceDemand {
    pub(crate) virtual_time: f64,
    pub(crate) share: u32,
    /// Usage per router. The first value is the router's position in the
    /// targets.
    pub(crate) usage: Vec<(usize, RouterUsage)>,
}

impl WorkspaceDemand {
    /// Slots that the reported requests can use. A queue that held requests in
    /// two consecutive reports may be refilled faster than reports show, so the
    /// slots in use may double.
    fn wanted_slots(&self) -> u32 {
        self.usage.iter().map(|(_, usage)| wanted_slots(usage)).sum()
    }

    fn waiting_requests(&self) -> u32 {
        self.usage.iter().map(|(_, usage)| usage.waiting).sum()
    }
}

fn wanted_slots(usage: &RouterUsage) -> u32 {
    let expected_growth = if usage.has_persistent_backlog { usage.in_flight } else { 0 };
    usage.in_flight + usage.waiting + expected_growth
}

/// Result of a division: how many slots each router gets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotDivision {
    /// Slots for reported requests and their expected growth, per router.
    pub(crate) targets: Vec<u32>,
    /// Slots that no workspace needs.
    pub(crate) spare_slots: u32,
    /// All slots are assigned, and some demand is unmet. Demand includes
    /// expected growth.
    pub(crate) saturated: bool,
}

/// Divides `capacity` slots among the workspaces, lowest virtual time first,
/// and then among the routers. Each slot raises the virtual time of its
/// workspace by `slot_cost` divided by the share. Slots beyond all demand go to
/// workspaces with waiting requests, in case their demand grows. `rotation`
/// selects the router that is first to get the slots that remain when the slots
/// of a workspace are split in proportion.
pub(crate) fn divide_slots(
    workspaces: &[WorkspaceDemand],
    routers: usize,
    capacity: u32,
    slot_cost: f64,
    rotation: usize,
) -> SlotDivision {
    let demands: Vec<u32> = workspaces.iter().map(WorkspaceDemand::wanted_slots).collect();
    let mut slots = assign_by_virtual_time(workspaces, &demands, capacity, slot_cost);
    let assigned: u32 = slots.iter().sum();
    let mut spare_slots = capacity - assigned;
    let saturated = spare_slots == 0 && assigned < demands.iter().sum();
    for (workspace, slots) in workspaces.iter().zip(&mut slots) {
        let growth = workspace.waiting_requests().min(spare_slots);
        *slots += growth;
        spare_slots -= growth;
    }
    let mut targets = vec![0; routers];
    for (workspace, slots) in workspaces.iter().zip(slots) {
        split_among_routers(workspace, slots, rotation, &mut targets);
    }
    SlotDivision { targets, spare_slots, saturated }
}

fn assign_by_virtual_time(
    workspaces: &[WorkspaceDemand],
    demands: &[u32],
    capacity: u32,
    slot_cost: f64,
) -> Vec<u32> {
    let mut slots = vec![0; workspaces.len()];
    let total: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
    if total <= u64::from(capacity) {
        return demands.to_vec();
    }
    let with_demand = workspaces.iter().enumerate().filter(|(index, _)| demands[*index] > 0);
    let mut heap: BinaryHeap<Reverse<(u64, usize)>> = with_demand
        .map(|(index, workspace)| Reverse((workspace.virtual_time.to_bits(), index)))
        .collect();
    for _ in 0..capacity {
        let Some(Reverse((key, index))) = heap.pop() else {
            break;
        };
        slots[index] += 1;
        if slots[index] < demands[index] {
            let share = f64::from(workspaces[index].share.max(1));
            let key = f64::from_bits(key) + slot_cost / share;
            heap.push(Reverse((key.to_bits(), index)));
        }
    }
    slots
}

// Splits a workspace's slots in proportion to its requests at each router.
fn split_among_routers(
    workspace: &WorkspaceDemand,
    slots: u32,
    rotation: usize,
    targets: &mut [u32],
) {
    let weights: Vec<u32> = workspace.usage.iter().map(|(_, usage)| wanted_slots(usage)).collect();
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    if total == 0 {
        return;
    }
    let mut unassigned = slots;
    for ((router, _), weight) in workspace.usage.iter().zip(&weights) {
        let assigned = (u64::from(slots) * u64::from(*weight) / total) as u32;
        targets[*router] += assigned;
        unassigned -= assigned;
    }
    let count = workspace.usage.len();
    for step in (0..count).cycle().take(unassigned as usize) {
        targets[workspace.usage[(rotation + step) % count].0] += 1;
    }
}
