//! Guards the sums of what routers state in a large fleet.

#![allow(clippy::unwrap_used)]

use span_edge::load_summary::{Collected, FleetSum, LoadSummary, ReportedLoad, ServiceLoad};

fn statement(workspace: &str, rate: u64) -> LoadSummary {
    let load =
        ServiceLoad { demand: [(workspace.into(), rate)].into(), long_tokens_per_s: rate / 10 };
    LoadSummary { routers: 1, loads: [("svc".into(), load)].into(), upstreams: [].into() }
}

fn demand(sum: &LoadSummary, workspace: &str) -> Option<u64> {
    sum.loads.get("svc")?.demand.get(workspace).copied()
}

/// A workspace enters through routers of several failure domains, none of which
/// hears all others.
#[test]
fn the_fleet_sum_counts_every_router_once() {
    let own = statement("a", 100);
    let mut here = Collected::default();
    here.router(0, "r2".into(), statement("a", 50));
    here.router(100, "r2".into(), statement("a", 60));
    let mut there = Collected::default();
    there.router(0, "r4".into(), statement("a", 7));
    let their_sum = there.domain_sum(100, &statement("b", 5));
    here.domain(150, "there".into(), their_sum);
    let sum = here.fleet_sum(200, &own);
    assert_eq!(sum.routers, 4);
    assert_eq!(demand(&sum, "a"), Some(167));
    assert_eq!(demand(&sum, "b"), Some(5));
    assert_eq!(sum.loads["svc"].long_tokens_per_s, 16);
    // The sum for other failure domains leaves theirs out.
    assert_eq!(here.domain_sum(200, &own).routers, 2);
}

/// A router that died must not count for long.
#[test]
fn old_statements_do_not_count() {
    let mut collected = Collected::default();
    collected.router(0, "r2".into(), statement("a", 50));
    collected.domain(0, "there".into(), statement("a", 50));
    let own = statement("a", 1);
    assert_eq!(demand(&collected.fleet_sum(1_900, &own), "a"), Some(101));
    assert_eq!(demand(&collected.fleet_sum(2_000, &own), "a"), Some(1));
    let mut received = FleetSum::default();
    received.set(0, own);
    assert!(received.get(1_900).is_some());
    assert!(received.get(2_000).is_none());
}

/// The load of an upstream is what the youngest report says.
#[test]
fn the_youngest_report_of_an_upstream_counts() {
    let reported = |requests, age_ms| LoadSummary {
        upstreams: [(7, ReportedLoad { requests, age_ms })].into(),
        ..LoadSummary::default()
    };
    let mut collected = Collected::default();
    collected.router(100, "r2".into(), reported(5, 10));
    let sum = collected.fleet_sum(200, &reported(9, 400));
    assert_eq!(sum.upstreams[&7], ReportedLoad { requests: 5, age_ms: 110 });
    let sum = collected.fleet_sum(800, &reported(9, 400));
    assert_eq!(sum.upstreams[&7], ReportedLoad { requests: 9, age_ms: 400 });
}
