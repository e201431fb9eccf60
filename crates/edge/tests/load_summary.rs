//! Tests of the sums of load summaries in a large fleet.

#![allow(clippy::unwrap_used)]

use span_edge::load_summary::{
    FleetSummary, LoadSummary, ReceivedSummaries, ReportedLoad, ServiceLoad,
};

fn summary(workspace: &str, rate: u64) -> LoadSummary {
    let load = ServiceLoad {
        demand: [(workspace.into(), rate)].into(),
        long_tokens_per_s: rate / 10,
        ..ServiceLoad::default()
    };
    LoadSummary { routers: 1, loads: [("svc".into(), load)].into(), ..LoadSummary::default() }
}

fn demand(sum: &LoadSummary, workspace: &str) -> Option<u64> {
    sum.loads.get("svc")?.demand.get(workspace).copied()
}

/// A workspace may use routers of several failure domains, none of which gets the
/// summaries of all others. No router may be missed or counted twice.
#[test]
fn fleet_sum_counts_every_router_once() {
    let own = summary("a", 100);
    let mut here = ReceivedSummaries::default();
    here.set_router(0, "r2".into(), summary("a", 50));
    here.set_router(100, "r2".into(), summary("a", 60));
    let mut there = ReceivedSummaries::default();
    there.set_router(0, "r4".into(), summary("a", 7));
    let their_sum = there.domain_sum(100, &summary("b", 5));
    here.set_domain(150, "there".into(), their_sum);
    let sum = here.fleet_sum(200, &own);
    assert_eq!(sum.routers, 4);
    assert_eq!(demand(&sum, "a"), Some(167));
    assert_eq!(demand(&sum, "b"), Some(5));
    assert_eq!(sum.loads["svc"].long_tokens_per_s, 16);
    // The sum for other failure domains does not include theirs.
    assert_eq!(here.domain_sum(200, &own).routers, 2);
}

/// A dead router must not count for long.
#[test]
fn old_summaries_are_ignored() {
    let mut collected = ReceivedSummaries::default();
    collected.set_router(0, "r2".into(), summary("a", 50));
    collected.set_domain(0, "there".into(), summary("a", 50));
    let own = summary("a", 1);
    assert_eq!(demand(&collected.fleet_sum(1_900, &own), "a"), Some(101));
    assert_eq!(demand(&collected.fleet_sum(2_000, &own), "a"), Some(1));
    let mut received = FleetSummary::default();
    received.set(0, own);
    assert!(received.get(1_900).is_some());
    assert!(received.get(2_000).is_none());
}

/// Of several reports of an upstream, the newest must count, including the time
/// since its receipt.
#[test]
fn newest_report_of_an_upstream_counts() {
    let reported = |requests, age_ms| LoadSummary {
        upstreams: [(7, ReportedLoad { requests, age_ms, work_time_percent: None })].into(),
        ..LoadSummary::default()
    };
    let mut collected = ReceivedSummaries::default();
    collected.set_router(100, "r2".into(), reported(5, 10));
    let sum = collected.fleet_sum(200, &reported(9, 400));
    assert_eq!(
        sum.upstreams[&7],
        ReportedLoad { requests: 5, age_ms: 110, work_time_percent: None }
    );
    let sum = collected.fleet_sum(800, &reported(9, 400));
    assert_eq!(
        sum.upstreams[&7],
        ReportedLoad { requests: 9, age_ms: 400, work_time_percent: None }
    );
}
