//! Guards where requests go: load, long prompts, shared prompt parts, failing
//! upstreams.

#![allow(clippy::unwrap_used)]

use span_edge::{
    lane::Lane,
    placement::{Need, Placement, PromptPrefix},
    upstream_load::{AttemptResult, LoadReport},
};
use span_types::{InstanceName, UpstreamName};

fn names(count: usize) -> Vec<UpstreamName> {
    (0..count).map(|index| format!("u{index}").into()).collect()
}

fn placement(count: usize, slots: u32) -> Placement {
    let mut placement = Placement::default();
    let names = names(count);
    placement.set_upstreams(names.iter().map(|name| (name, slots)));
    placement.set_gap_target(Some(300));
    placement
}

fn fleet(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| format!("r{index}").into()).collect()
}

const NEED: Need<'static> =
    Need { prompt_prefix: None, unread_tokens: 100, lane: Lane::Short, avoid: &[] };

fn shared(part: u64) -> Need<'static> {
    Need { prompt_prefix: Some(PromptPrefix { hash: part, tokens: 5_000 }), ..NEED }
}

#[test]
fn requests_spread_over_upstreams() {
    let mut placement = placement(4, 8);
    let mut counts = std::collections::BTreeMap::new();
    for draw in 0..16 {
        let chosen = placement.place(0, NEED, draw, false).unwrap();
        placement.read(&chosen.upstream, 100);
        *counts.entry(chosen.upstream).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 4), "{counts:?}");
}

/// Requests beyond the slots wait at the router, where they can be refused and
/// put in order; what lies in an engine's queue cannot.
#[test]
fn full_upstreams_have_no_room() {
    let mut placement = placement(2, 4);
    for draw in 0..8 {
        let chosen = placement.place(0, NEED, draw, false).unwrap();
        placement.read(&chosen.upstream, 100);
    }
    assert_eq!(placement.slot_counts(0, Lane::Short).free, 0);
    assert!(placement.place(0, NEED, 9, false).is_none());
    assert!(placement.place(0, NEED, 9, true).is_some());
}

/// Other routers fill an upstream too.
#[test]
fn reported_load_counts_until_it_is_old() {
    let mut placement = placement(2, 4);
    let full = LoadReport { running: 4, waiting: 2, slots: 4 };
    placement.report(0, &"u0".into(), full);
    for draw in 0..4 {
        let chosen = placement.place(100, NEED, draw, false).unwrap();
        assert_eq!(chosen.upstream.as_str(), "u1");
        placement.read(&chosen.upstream, 100);
    }
    assert!(placement.place(5_000, NEED, 9, false).is_some());
}

/// Pattern: a tenth of the prompts is so long that reading one delays all
/// streams at its engine (quiet-1 of magnolia-fit: 2,508 of 8,030 streams had
/// a pause above 300 ms).
#[test]
fn long_prompts_go_to_engines_of_their_own() {
    let mut placement = placement(10, 8);
    placement.set_long_load(0, 150_000);
    let long_tokens = 10_000;
    assert_eq!(placement.lane(long_tokens), Lane::Long);
    assert_eq!(placement.lane(1_000), Lane::Short);
    let mut engines = std::collections::BTreeSet::new();
    for draw in 0..6 {
        let need = Need { unread_tokens: long_tokens, lane: Lane::Long, ..NEED };
        let chosen = placement.place(0, need, draw, false).unwrap();
        placement.read(&chosen.upstream, long_tokens);
        engines.insert(chosen.upstream);
    }
    for draw in 0..30 {
        let chosen = placement.place(0, NEED, draw, false).unwrap();
        placement.read(&chosen.upstream, 100);
        assert!(!engines.contains(&chosen.upstream));
    }
    // 150,000 tokens take 1.7 s to read in each second; three engines do.
    assert_eq!(engines.len(), 3);
}

#[test]
fn small_services_and_calm_times_are_not_divided() {
    struct Case {
        name: &'static str,
        upstreams: usize,
        long_tokens_per_s: u64,
    }
    let cases = [
        Case { name: "few engines", upstreams: 3, long_tokens_per_s: 500_000 },
        Case { name: "no long prompts", upstreams: 18, long_tokens_per_s: 0 },
    ];
    for case in cases {
        let mut placement = placement(case.upstreams, 8);
        placement.set_long_load(0, case.long_tokens_per_s);
        assert_eq!(placement.lane(50_000), Lane::Short, "{}", case.name);
    }
}

/// An engine whose streams pause for nearly as long as callers accept gets no
/// further prompt.
#[test]
fn an_engine_with_long_pauses_has_no_room() {
    let mut placement = placement(1, 8);
    let name: UpstreamName = "u0".into();
    placement.event(0, &name, 250);
    assert_eq!(placement.slot_counts(10, Lane::Short).free, 0);
    for now_ms in 20..60 {
        placement.event(now_ms, &name, 40);
    }
    assert!(placement.slot_counts(60, Lane::Short).free > 0);
}

/// Pattern: many requests share a prompt part of thousands of tokens; each
/// engine that gets one reads the part again.
#[test]
fn requests_with_a_shared_part_go_to_one_home_and_copy_from_it_elsewhere() {
    let mut first = placement(8, 8);
    let mut second = placement(8, 8);
    let home = first.place(0, shared(7), 1, false).unwrap();
    assert_eq!(home.holder, None);
    // Another router chooses the same home without a message.
    assert_eq!(second.place(0, shared(7), 2, false).unwrap().upstream, home.upstream);
    let avoid = [home.upstream.clone()];
    let elsewhere = first.place(100, Need { avoid: &avoid, ..shared(7) }, 3, false).unwrap();
    assert_ne!(elsewhere.upstream, home.upstream);
    assert_eq!(elsewhere.holder, Some(home.upstream));
}

#[test]
fn failing_upstreams_are_left_and_tried_again_one_request_at_a_time() {
    let mut placement = placement(2, 8);
    let bad: UpstreamName = "u0".into();
    for _ in 0..3 {
        placement.judge(0, &bad, AttemptResult::Failed);
    }
    for draw in 0..8 {
        assert_eq!(placement.place(100, NEED, draw, false).unwrap().upstream.as_str(), "u1");
    }
    // After the pause one request is sent there, and no other until it ends.
    let probes: Vec<_> = (0..8)
        .filter_map(|draw| placement.place(600, NEED, draw, true))
        .filter(|chosen| chosen.upstream == bad)
        .collect();
    assert_eq!(probes.len(), 1);
    placement.ended(&bad);
    placement.judge(700, &bad, AttemptResult::Good);
    assert!(placement.place(701, NEED, 1, false).is_some_and(|chosen| chosen.upstream == bad));
}

/// An address that another process has taken over is not used until the
/// entry names a new process.
#[test]
fn a_replaced_upstream_is_not_used_until_it_is_reset() {
    let mut placement = placement(1, 8);
    let name: UpstreamName = "u0".into();
    placement.judge(0, &name, AttemptResult::Replaced);
    assert!(placement.place(60_000, NEED, 1, true).is_none());
    placement.reset(&name);
    placement.set_upstreams([(&name, 8)].into_iter());
    assert!(placement.place(60_000, NEED, 1, true).is_some());
}

/// Connections of all routers to an upstream must stay below what it accepts.
#[test]
fn the_limit_on_connections_holds_even_without_room() {
    let mut placement = placement(1, 48);
    placement.set_fleet(&"r0".into(), 6, 18.0);
    let placed = (0..10).filter_map(|draw| placement.place(0, NEED, draw, true)).count();
    assert_eq!(placed, 3);
}

/// In a large fleet every router opened connections to every upstream and knew
/// the load of none (scale-1 of magnolia-fit-grown).
#[test]
fn in_a_large_fleet_few_routers_use_an_upstream() {
    let routers = fleet(66);
    let mut users = std::collections::BTreeMap::new();
    for me in &routers {
        let mut placement = placement(112, 12);
        placement.set_fleet(me, routers.len(), 400.0);
        (0..40).for_each(|_| placement.set_part(1.0 / 66.0));
        let mut own = std::collections::BTreeSet::new();
        for draw in 0..400 {
            let Some(chosen) = placement.place(0, NEED, draw, false) else { break };
            placement.read(&chosen.upstream, 100);
            own.insert(chosen.upstream);
        }
        assert!(own.len() >= 5, "{me} uses {} upstreams", own.len());
        for upstream in own {
            *users.entry(upstream).or_insert(0) += 1;
        }
    }
    assert_eq!(users.len(), 112);
    let sum: usize = users.values().sum();
    assert!((9..=12).contains(&(sum / 112)), "{sum}");
    assert!(users.values().all(|count| *count <= 24), "{users:?}");
}

/// A service with three upstreams is used by all routers of a large fleet.
#[test]
fn every_router_has_upstreams_of_a_small_service() {
    let routers = fleet(66);
    for me in &routers {
        let mut placement = placement(3, 6);
        placement.set_gap_target(None);
        placement.set_fleet(me, routers.len(), 400.0);
        (0..40).for_each(|_| placement.set_part(1.0 / 66.0));
        assert!(placement.place(0, NEED, 1, false).is_some(), "{me}");
    }
}

/// A large workspace entered through one router, which had a seventh of the
/// engines like every other (FAIR on scale-1 of magnolia-fit-grown).
#[test]
fn a_router_whose_callers_are_entitled_to_more_uses_more_upstreams() {
    let used = |part| {
        let mut placement = placement(112, 12);
        placement.set_fleet(&"r0".into(), 66, 400.0);
        // The part in use falls step by step.
        (0..40).for_each(|_| placement.set_part(part));
        let mut own = std::collections::BTreeSet::new();
        for draw in 0..2_000 {
            let Some(chosen) = placement.place(0, NEED, draw, false) else { break };
            placement.read(&chosen.upstream, 100);
            own.insert(chosen.upstream);
        }
        own.len()
    };
    assert!(used(1.0 / 66.0) < 30);
    assert!(used(0.05) > 40);
    assert_eq!(used(0.2), 112);
}
