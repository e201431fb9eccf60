//! The memory budget without a network.

use bytes::Bytes;
use proptest::{collection::vec, prelude::*};
use span_edge::{
    charged_buffer::{ChargedBuffer, charged},
    memory_budget::{Charge, Group, MemoryBudget, MemoryUse, SMALL_BYTES},
};

const MB: u64 = 1 << 20;

/// Load: none. Guards against a budget that leaves nothing for the control side, or that takes
/// no body of the largest size on the smallest machine.
#[test]
fn budget_leaves_memory_for_the_program_and_the_control_side() {
    struct Case {
        memory_mb: u64,
        least_mb: u64,
        most_mb: u64,
    }
    let cases = [
        Case { memory_mb: 120, least_mb: 60, most_mb: 80 },
        Case { memory_mb: 260, least_mb: 130, most_mb: 180 },
        Case { memory_mb: 512, least_mb: 256, most_mb: 360 },
        Case { memory_mb: 12, least_mb: 1, most_mb: 3 },
    ];
    for Case { memory_mb, least_mb, most_mb } in cases {
        let limit_mb = MemoryBudget::of_machine(memory_mb * MB).limit_bytes() / MB;
        assert!((least_mb..=most_mb).contains(&limit_mb), "{memory_mb} MB: {limit_mb} MB");
    }
}

/// Load: bodies of a megabyte until none fits. Guards against large bodies that leave no room
/// for ordinary requests.
#[test]
fn large_holders_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(16 * MB);
    let bodies: Vec<Charge> =
        std::iter::from_fn(|| budget.try_charge(MemoryUse::Bodies, MB)).collect();
    assert_eq!(bodies.len(), 12);
    let small = std::iter::from_fn(|| budget.try_charge(MemoryUse::Bodies, SMALL_BYTES));
    let small: Vec<Charge> = small.collect();
    assert_eq!(small.len() as u64, 4 * MB / SMALL_BYTES);
    assert!(budget.try_charge(MemoryUse::Heads, 1).is_none());
    drop(bodies);
    assert!(budget.try_charge(MemoryUse::Heads, 1).is_some());
}

/// Load: one workspace sends bodies of a megabyte until none fits. Guards against a workspace
/// that takes all memory for large bodies while others ask.
#[test]
fn workspace_leaves_room_for_others() {
    let budget = MemoryBudget::new(16 * MB);
    let (one, other) = (Group::default(), Group::default());
    let take = |group| {
        let mut charge = budget.start_in_group(MemoryUse::Bodies, group);
        charge.try_grow(MB).then_some(charge)
    };
    let bodies: Vec<Charge> = std::iter::from_fn(|| take(&one)).collect();
    assert_eq!(bodies.len(), 9);
    let others: Vec<Charge> = std::iter::from_fn(|| take(&other)).collect();
    assert_eq!(others.len(), 3);
    drop(bodies);
    assert!(take(&one).is_some());
}

/// Load: a body in pieces, kept by two holders. Guards against a charge that ends before the
/// last holder does, as for the body of an open stream.
#[test]
fn bytes_are_charged_until_the_last_holder_is_gone() {
    let budget = MemoryBudget::new(16 * MB);
    let mut buffer = ChargedBuffer::new(budget.start(MemoryUse::Bodies), None);
    for _ in 0..100 {
        buffer.push(&mut Bytes::from(vec![7; 3_000])).expect("it fits");
    }
    let whole = buffer.finish();
    assert_eq!(whole.len(), 300_000);
    assert!(whole.iter().all(|byte| *byte == 7));
    assert_eq!(budget.used_bytes(MemoryUse::Bodies), 300_000);
    let slice = whole.slice(5..6);
    drop(whole);
    assert_eq!(budget.used_bytes(MemoryUse::Bodies), 300_000);
    drop(slice);
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Load: a body larger than the budget. Guards against bytes that are lost or held beyond the
/// budget when it is used up.
#[test]
fn buffer_stops_at_the_budget() {
    let budget = MemoryBudget::new(MB);
    let mut buffer = ChargedBuffer::new(budget.start(MemoryUse::Bodies), Some(4 << 20));
    let mut data = Bytes::from(vec![1; 4 << 20]);
    let error = buffer.push(&mut data).expect_err("it does not fit");
    assert!(error.needed_bytes > 0);
    assert_eq!(buffer.len() + data.len(), 4 << 20);
    assert!(budget.total_used_bytes() <= MB);
    drop(buffer);
    assert_eq!(budget.total_used_bytes(), 0);
}

/// Load: a workspace that has used its part. Guards against connections of others that are
/// closed although the workspace would get no more.
#[test]
fn workspace_without_room_asks_for_none() {
    let budget = MemoryBudget::new(16 * MB);
    let group = Group::default();
    let mut buffer =
        ChargedBuffer::new(budget.start_in_group(MemoryUse::Bodies, &group), Some(16 << 20));
    let error = buffer.push(&mut Bytes::from(vec![1; 16 << 20])).expect_err("it does not fit");
    assert!(!error.can_make_room);
    assert_eq!(buffer.len() as u64, 9 * MB);
}

/// What happens to a holder of memory.
#[derive(Clone, Debug)]
enum Step {
    Start(u64),
    Grow(usize, u64),
    Shrink(usize, u64),
    Keep(usize),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2 * MB).prop_map(Step::Start),
        (any::<usize>(), 0..MB).prop_map(|(holder, bytes)| Step::Grow(holder, bytes)),
        (any::<usize>(), 0..MB).prop_map(|(holder, bytes)| Step::Shrink(holder, bytes)),
        any::<usize>().prop_map(Step::Keep),
        any::<usize>().prop_map(Step::End),
    ]
}

proptest! {
    /// Load: holders that start, grow, shrink and end in any order. Guards against memory that
    /// counts twice, or that still counts after its holder ended.
    #[test]
    fn charges_and_releases_balance(steps in vec(step(), 0..200)) {
        let budget = MemoryBudget::new(8 * MB);
        let group = Group::default();
        let mut charges: Vec<Charge> = Vec::new();
        let mut kept: Vec<(Bytes, u64)> = Vec::new();
        for step in steps {
            let count = charges.len().max(1);
            match step {
                Step::Start(bytes) => {
                    let mut charge = budget.start_in_group(MemoryUse::Bodies, &group);
                    if charge.try_grow(bytes) {
                        charges.push(charge);
                    }
                }
                Step::Grow(holder, bytes) => {
                    if let Some(charge) = charges.get_mut(holder % count) {
                        charge.try_grow(bytes);
                    }
                }
                Step::Shrink(holder, bytes) => {
                    if let Some(charge) = charges.get_mut(holder % count) {
                        charge.shrink_to(bytes);
                    }
                }
                Step::Keep(holder) if !charges.is_empty() => {
                    let charge = charges.swap_remove(holder % count);
                    let bytes = charge.bytes();
                    kept.push((charged(Bytes::from_static(b"x"), charge).slice(0..1), bytes));
                }
                Step::End(holder) if !charges.is_empty() => {
                    charges.swap_remove(holder % count);
                }
                Step::End(_) => {
                    kept.pop();
                }
                Step::Keep(_) => {}
            }
            let charged_bytes: u64 = charges.iter().map(Charge::bytes).sum();
            let kept_bytes: u64 = kept.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.total_used_bytes(), charged_bytes + kept_bytes);
            prop_assert!(budget.total_used_bytes() <= budget.limit_bytes());
        }
        drop((charges, kept));
        prop_assert_eq!(budget.total_used_bytes(), 0);
        prop_assert_eq!(group.used_bytes(), 0);
    }
}
