//! Guards the division of capacity among workspaces and routers.

#![allow(clippy::unwrap_used)]

use span_edge::shares::{Demand, DemandMeter, divide_capacity, fair_level};

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
        Case { name: "nobody asks", demands: &[], capacity: 30.0, level: None },
        Case {
            name: "one large workspace among small ones",
            demands: &[10.0, 10.0, 500.0],
            capacity: 100.0,
            level: Some(80.0),
        },
        Case {
            name: "all ask for more than an even part",
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

/// A large workspace enters through one router; the others must not be held to
/// less there than elsewhere (FAIR on scale-1 of both sites).
#[test]
fn a_router_with_a_large_workspace_gets_what_its_callers_are_entitled_to() {
    let busy = demand(&[("large", 9_000), ("small", 100)]);
    let calm = demand(&[("other", 400)]);
    let fleet = sum(&[&busy, &calm]);
    let at_busy = divide_capacity(&busy, &fleet, 2, 2, Some(1_000));
    let at_calm = divide_capacity(&calm, &fleet, 2, 2, Some(1_000));
    // 1,100 are divided: 100 and 400 are met, 600 are left for the large one.
    assert_eq!(at_busy.limits.get("large").map(|limit| limit.round()), Some(600.0));
    assert!(!at_busy.limits.contains_key("small"));
    assert!(at_calm.limits.is_empty());
    assert!(
        (at_busy.capacity_fraction - 700.0 / 1_100.0).abs() < 0.01,
        "{}",
        at_busy.capacity_fraction
    );
    assert!((at_busy.capacity_fraction + at_calm.capacity_fraction - 1.0).abs() < 0.01);
}

/// A workspace that enters through several routers must not get its share at
/// each of them.
#[test]
fn a_workspace_has_one_limit_over_all_routers() {
    let here = demand(&[("large", 3_000), ("a", 100)]);
    let there = demand(&[("large", 6_000), ("b", 100)]);
    let fleet = sum(&[&here, &there]);
    let limits =
        [&here, &there].map(|own| divide_capacity(own, &fleet, 2, 2, Some(1_000)).limits["large"]);
    assert!((limits[0] + limits[1] - 900.0).abs() < 1.0, "{limits:?}");
    assert!((limits[1] / limits[0] - 2.0).abs() < 0.01, "{limits:?}");
}

#[test]
fn routers_that_are_not_heard_count_as_like_the_others() {
    let own = demand(&[("a", 500)]);
    let other = demand(&[("a", 500)]);
    let shares = divide_capacity(&own, &sum(&[&own, &other]), 2, 10, Some(1_000));
    assert!((shares.limits["a"] - 110.0).abs() < 1.0, "{shares:?}");
    assert!((shares.capacity_fraction - 0.1).abs() < 0.01, "{shares:?}");
}

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

/// All processes were killed and start again under full traffic: demand must
/// not look small until a window has passed.
#[test]
fn demand_is_not_underrated_after_a_start() {
    let mut meter = DemandMeter::default();
    for now_ms in (0..600).step_by(10) {
        meter.add(now_ms, &"a".into(), 10);
    }
    let demand = meter.demand(600)["a"];
    assert!((900..1_100).contains(&demand), "{demand}");
}
