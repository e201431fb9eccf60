//! Tests of the division of capacity among workspaces and routers.

#![allow(clippy::unwrap_used)]

use span_edge::shares::{Demand, DemandMeter, divide_capacity, fair_level};

/// Small demands must be met, and no capacity may be left unused.
#[test]
fn fair_level_meets_small_demands_and_uses_up_the_capacity() {
    struct Case {
        name: &'static str,
        demands: &'static [f64],
        capacity: f64,
        level: Option<f64>,
    }
    let cases = [
        Case { name: "all demand is met", demands: &[10.0, 20.0], capacity: 30.0, level: None },
        Case { name: "no demand", demands: &[], capacity: 30.0, level: None },
        Case {
            name: "one large workspace among small ones",
            demands: &[10.0, 10.0, 500.0],
            capacity: 100.0,
            level: Some(80.0),
        },
        Case {
            name: "all demands exceed an equal share",
            demands: &[70.0, 80.0, 90.0],
            capacity: 90.0,
            level: Some(30.0),
        },
    ];
    for case in cases {
        assert_eq!(fair_level(case.demands, case.capacity), case.level, "{}", case.name);
    }
}

fn demand(rows: &[(&str, u64)]) -> Demand {
    rows.iter().map(|(name, rate)| ((*name).into(), *rate)).collect()
}

fn sum(demands: &[&Demand]) -> Demand {
    let mut sum = Demand::new();
    for (name, rate) in demands.iter().copied().flatten() {
        *sum.entry(name.clone()).or_default() += rate;
    }
    sum
}

/// If a large workspace uses a single router, the other workspaces must not get
/// less there than elsewhere (scenario scale-1 of both sites).
#[test]
fn router_with_a_large_workspace_gets_its_callers_entitlement() {
    let with_large = demand(&[("large", 9_000), ("small", 100)]);
    let without_large = demand(&[("other", 400)]);
    let fleet = sum(&[&with_large, &without_large]);
    let at_large = divide_capacity(&with_large, &fleet, 2, 2, Some(1_000));
    let at_other = divide_capacity(&without_large, &fleet, 2, 2, Some(1_000));
    // 1,100 units are divided: 100 and 400 are met, 600 remain for the large workspace.
    assert_eq!(at_large.limits.get("large").map(|limit| limit.round()), Some(600.0));
    assert!(!at_large.limits.contains_key("small"));
    assert!(at_other.limits.is_empty());
    assert!(
        (at_large.capacity_fraction - 700.0 / 1_100.0).abs() < 0.01,
        "{}",
        at_large.capacity_fraction
    );
    assert!((at_large.capacity_fraction + at_other.capacity_fraction - 1.0).abs() < 0.01);
}

/// A workspace that uses several routers must not get its share at each of them.
#[test]
fn workspace_has_one_limit_over_all_routers() {
    let here = demand(&[("large", 3_000), ("a", 100)]);
    let there = demand(&[("large", 6_000), ("b", 100)]);
    let fleet = sum(&[&here, &there]);
    let limits =
        [&here, &there].map(|own| divide_capacity(own, &fleet, 2, 2, Some(1_000)).limits["large"]);
    assert!((limits[0] + limits[1] - 900.0).abs() < 1.0, "{limits:?}");
    assert!((limits[1] / limits[0] - 2.0).abs() < 0.01, "{limits:?}");
}

/// Routers without a report must count with the mean demand of the others.
#[test]
fn routers_without_a_report_are_extrapolated() {
    let own = demand(&[("a", 500)]);
    let other = demand(&[("a", 500)]);
    let shares = divide_capacity(&own, &sum(&[&own, &other]), 2, 10, Some(1_000));
    assert!((shares.limits["a"] - 110.0).abs() < 1.0, "{shares:?}");
    assert!((shares.capacity_fraction - 0.1).abs() < 0.01, "{shares:?}");
}

/// A workspace must not count for long after its last request.
#[test]
fn demand_falls_when_requests_stop() {
    let mut meter = DemandMeter::default();
    for now_ms in (0..6_000).step_by(100) {
        meter.add(now_ms, &"a".into(), 100);
    }
    let busy = meter.demand(6_000)["a"];
    assert!((900..1_150).contains(&busy), "{busy}");
    assert!(meter.demand(9_000)["a"] < busy / 5);
    assert!(meter.demand(60_000).is_empty());
}

/// Processes that start under full traffic must not measure too little demand
/// until the mean has settled.
#[test]
fn demand_is_not_underestimated_after_a_start() {
    let mut meter = DemandMeter::default();
    for now_ms in (0..600).step_by(10) {
        meter.add(now_ms, &"a".into(), 10);
    }
    let demand = meter.demand(600)["a"];
    assert!((900..1_100).contains(&demand), "{demand}");
}
