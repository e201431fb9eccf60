//! Tests of the fleet's limit on retries.

#![allow(clippy::unwrap_used)]

use span_edge::retry_budget::{RetryBudget, RetryLimit};

const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 52, window_ms: 10_000 };

fn retry_all(budget: &mut RetryBudget, now_ms: u64, routers: usize) -> u64 {
    (0..10_000).take_while(|_| budget.try_retry(now_ms, routers)).count() as u64
}

/// The limit must hold even if every router makes all its retries at the same
/// time.
#[test]
fn all_routers_together_stay_within_the_limit() {
    for routers in [1, 2, 6, 9, 66] {
        let mut retries = 0;
        for _ in 0..routers {
            let mut budget = RetryBudget::new(LIMIT, 0);
            (0..100).for_each(|_| budget.record_request(20_000));
            retries += retry_all(&mut budget, 20_000, routers);
        }
        let limit = 0.2 * 100.0 * routers as f64 + 52.0;
        assert!(retries as f64 <= limit, "{routers} routers: {retries} of {limit}");
    }
}

/// Processes that are killed and restarted must not get new slack each time.
#[test]
fn new_process_has_no_slack() {
    let mut budget = RetryBudget::new(LIMIT, 50_000);
    assert!(!budget.try_retry(51_000, 1));
    (0..100).for_each(|_| budget.record_request(51_000));
    assert_eq!(retry_all(&mut budget, 51_000, 1), 15);
}

/// Retries must count for one window, and not for longer.
#[test]
fn retries_count_until_they_leave_the_window() {
    let mut budget = RetryBudget::new(LIMIT, 0);
    let first = retry_all(&mut budget, 30_000, 1);
    assert_eq!(first, 39);
    assert!(!budget.try_retry(39_000, 1));
    assert_eq!(retry_all(&mut budget, 40_600, 1), 39);
}
