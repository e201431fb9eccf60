//! Guards the fleet's bound on repeated sends.

#![allow(clippy::unwrap_used)]

use span_edge::budget::{Allowance, RetryBudget};

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 52, window_ms: 10_000 };

fn spend_all(budget: &mut RetryBudget, now_ms: u64, routers: usize) -> u64 {
    (0..10_000).take_while(|_| budget.spend(now_ms, routers)).count() as u64
}

/// Every router spends all it may at the same moment.
#[test]
fn all_routers_together_stay_within_the_bound() {
    for routers in [1, 2, 6, 9, 66] {
        let mut spent = 0;
        for _ in 0..routers {
            let mut budget = RetryBudget::new(ALLOWANCE, 0);
            (0..100).for_each(|_| budget.earn(20_000));
            spent += spend_all(&mut budget, 20_000, routers);
        }
        let bound = 0.2 * 100.0 * routers as f64 + 52.0;
        assert!(spent as f64 <= bound, "{routers} routers: {spent} of {bound}");
    }
}

/// Processes that are killed and started again must not each get new slack.
#[test]
fn a_process_that_has_just_started_has_no_slack() {
    let mut budget = RetryBudget::new(ALLOWANCE, 50_000);
    assert!(!budget.spend(51_000, 1));
    (0..100).for_each(|_| budget.earn(51_000));
    assert_eq!(spend_all(&mut budget, 51_000, 1), 15);
}

#[test]
fn the_window_slides() {
    let mut budget = RetryBudget::new(ALLOWANCE, 0);
    let first = spend_all(&mut budget, 30_000, 1);
    assert_eq!(first, 39);
    assert!(!budget.spend(39_000, 1));
    assert_eq!(spend_all(&mut budget, 40_600, 1), 39);
}
