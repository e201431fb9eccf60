//! Control threads that work together: slots, membership, configuration.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, SERVICE, admit, deliver, engine, next, permit, wait_for};
use span_fair::DispatchPolicy;
use span_member::MembershipTiming;
use span_router::control::{AttemptResult, MintedState, Rejection};
use span_standin::objects::Faults;
use span_types::{Incarnation, MemberState, RequestId, Revision};
use tokio::sync::mpsc;

const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Guards against capacity that stays idle at two routers while work waits at
/// the third: its 12 requests need the slots of all.
#[tokio::test(flavor = "multi_thread")]
async fn work_at_one_router_uses_the_slots_of_all() {
    let fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let (first, second) = (engine(6).await, engine(6).await);
    let engines = [(first.address(), 6), (second.address(), 6)];
    let revision = fleet.configure(&engines, &["large", "small"]);
    fleet.settle(3, revision).await;
    for router in &fleet.routers {
        let requests: Vec<_> = (0..12).map(|_| admit(router, "large")).collect();
        let mut permits = Vec::new();
        for request in requests {
            permits.push(permit(request).await);
        }
        let at_first = permits.iter().filter(|permit| permit.address == first.address()).count();
        assert_eq!(at_first, 6, "the limit of an upstream was passed");
        permits.iter_mut().for_each(|permit| permit.add_cost(100));
    }
}

/// Guards against a small workspace that waits behind all requests which a
/// large one queued earlier at another router.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_workspace_at_another_router_gets_its_share() {
    let fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = engine(4).await;
    let revision = fleet.configure(&[(upstream.address(), 4)], &["large", "small"]);
    fleet.settle(3, revision).await;
    let (granted, mut grants) = mpsc::unbounded_channel();
    for _ in 0..60 {
        deliver(admit(&fleet.routers[0], "large"), "large", &granted);
    }
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(next(&mut grants).await);
    }
    deliver(admit(&fleet.routers[1], "small"), "small", &granted);
    let mut finished = 0;
    while held.iter().all(|(workspace, _)| *workspace != "small") {
        // Requests take their time: an owner learns of new work with the next
        // report, and 56 requests that take none are over before.
        tokio::time::sleep(SERVICE_TIME).await;
        let (_, mut ended) = held.remove(0);
        ended.add_cost(100);
        drop(ended);
        finished += 1;
        held.push(next(&mut grants).await);
    }
    assert!(finished < 56, "the small workspace waited for the whole queue of the large one");
}

/// Guards against a fleet that keeps a dead owner, and slots that never return
/// from a dead router.
#[tokio::test(flavor = "multi_thread")]
async fn loss_of_the_owner() {
    let mut fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.settle(3, revision).await;
    let status = wait_for(&fleet.routers[0], |status| !status.services.is_empty()).await;
    let owner = status.services[SERVICE].owners[&0].clone();
    let position = (0..3).find(|index| owner.as_str() == format!("router-{index}"));
    fleet.routers.remove(position.expect("known")).stop();
    fleet.settle(2, revision).await;
    let requests: Vec<_> = (0..6).map(|_| admit(&fleet.routers[1], "large")).collect();
    for request in requests {
        std::mem::forget(permit(request).await);
    }
    let status = fleet.routers[1].status().await.expect("running");
    assert_ne!(status.services[SERVICE].owners[&0], owner);
}

/// Guards against a router that restarts during an outage of the object API
/// and stays without configuration, or is taken for its earlier process.
#[tokio::test(flavor = "multi_thread")]
async fn restart_during_an_outage() {
    let mut fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = engine(6).await;
    fleet.configure(&[(upstream.address(), 6)], &["large"]);
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large", "small"]);
    fleet.settle(3, revision).await;
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    let old = fleet.routers.remove(0);
    let address = old.peer_address();
    old.stop();
    wait_for(&fleet.routers[0], |status| {
        status.members.iter().any(|row| row.state == MemberState::Dead)
    })
    .await;
    fleet.routers.push(fleet.router(0, 2, address));
    fleet.settle(3, revision).await;
    let status = fleet.routers[0].status().await.expect("running");
    let row = status.members.iter().find(|row| row.instance.as_str() == "router-0");
    assert_eq!(row.expect("known").incarnation, Incarnation(2));
    let document = fleet.routers[2].watch_document().borrow().clone();
    assert_eq!(document.workspaces.len(), 2);
}

/// Guards against a configuration that only the watching routers learn, and
/// against one that reverts.
#[tokio::test(flavor = "multi_thread")]
async fn revisions_reach_every_router_and_never_revert() {
    let fleet = Fleet::start(6, DispatchPolicy::Fleet).await;
    let upstream = engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.settle(6, revision).await;
    let mut last = Revision(0);
    for round in 0..5 {
        let name = format!("workspace-{round}");
        let revision = fleet.configure(&[(upstream.address(), 6)], &["large", &name]);
        assert!(revision > last);
        fleet.settle(6, revision).await;
        fleet.routers[round].configure(Default::default());
        let document = fleet.routers[round].watch_document().borrow().clone();
        assert!(document.workspaces.contains_key(name.as_str()));
        last = revision;
    }
}

/// Guards against callers that are sent to a router which is leaving, against
/// shards that stay with it, and against a leaving router that turns callers
/// away while they may still hold its address.
#[tokio::test(flavor = "multi_thread")]
async fn leaving() {
    let fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.settle(3, revision).await;
    assert_eq!(fleet.routers[0].addresses("large".into()).await.addresses.len(), 3);
    fleet.routers[0].start_leaving();
    let is_told = |status: &span_router::control::Status| {
        status.members.iter().any(|row| row.state == MemberState::Leaving)
    };
    for router in &fleet.routers {
        let status = wait_for(router, is_told).await;
        assert_ne!(status.services[SERVICE].owners[&0].as_str(), "router-0");
        let addresses = router.addresses("large".into()).await.addresses;
        assert!(addresses.iter().all(|row| row.instance.as_str() != "router-0"));
    }
    permit(admit(&fleet.routers[0], "large")).await;
}

/// Guards against answers about a minted id from a router that did not mint it.
#[tokio::test(flavor = "multi_thread")]
async fn minted_ids() {
    let fleet = Fleet::start(2, DispatchPolicy::Fleet).await;
    let revision = fleet.configure(&[], &["large"]);
    fleet.settle(2, revision).await;
    let cases = [
        ("router-1", 1, 7, MintedState::Completed),
        ("router-1", 1, 8, MintedState::Unused),
        ("router-1", 2, 7, MintedState::Unknown),
        ("router-9", 1, 7, MintedState::Unknown),
    ];
    for (instance, incarnation, seq, expected) in cases {
        let incarnation = Incarnation(incarnation);
        let id = RequestId { instance: instance.into(), incarnation, seq };
        assert_eq!(fleet.routers[0].query_minted_state(id.clone()).await, expected, "{id}");
    }
    assert!(matches!(
        admit(&fleet.routers[0], "large").await.expect("task"),
        Err(Rejection::NoUpstream)
    ));
}

/// Guards against requests that are sent to an upstream which fails, and
/// against an upstream that never gets work again.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_upstream_is_probed_with_one_request() {
    let fleet = Fleet::start(1, DispatchPolicy::Fleet).await;
    let (good, bad) = (engine(3).await, engine(3).await);
    let revision = fleet.configure(&[(good.address(), 3), (bad.address(), 3)], &["large"]);
    fleet.settle(1, revision).await;
    let router = &fleet.routers[0];
    let mut held = Vec::new();
    for request in (0..6).map(|_| admit(router, "large")).collect::<Vec<_>>() {
        held.push(permit(request).await);
    }
    for mut permit in held {
        let failed = permit.address == bad.address();
        permit.set_result(if failed { AttemptResult::Failed } else { AttemptResult::Answered });
        permit.add_cost(10);
    }
    wait_for(router, |status| !status.impaired.is_empty()).await;
    let (granted, mut grants) = mpsc::unbounded_channel();
    for _ in 0..9 {
        deliver(admit(router, "large"), "large", &granted);
    }
    let mut probes = Vec::new();
    for _ in 0..9 {
        let (_, mut permit) = next(&mut grants).await;
        permit.add_cost(10);
        if permit.address == bad.address() {
            probes.push(permit);
        }
    }
    let probes_running = probes.len();
    assert!(probes_running <= 1, "{probes_running} requests were sent to the failed upstream");
    drop(probes);
    // More requests at a time than the other upstream has slots: one of them is
    // the probe, and its answer brings the upstream back.
    for _ in 0..4 {
        deliver(admit(router, "large"), "large", &granted);
    }
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(next(&mut grants).await.1);
    }
    assert!(held.iter().any(|permit| permit.address == bad.address()));
    held.iter_mut().for_each(|permit| permit.add_cost(10));
    drop(held);
    wait_for(router, |status| status.impaired.is_empty()).await;
}

/// Guards against routers that wait for ever on connections which carry nothing
/// any more although new ones would work. Removal of the silent member, which
/// also closes the connection, is put off.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let timing = MembershipTiming { remove_after_ms: 600_000, ..MembershipTiming::default() };
    let (fleet, relays) = Fleet::start_behind_relays(3, timing).await;
    let upstream = engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.settle(3, revision).await;
    relays.iter().for_each(|relay| relay.silence());
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large", "small"]);
    fleet.settle(3, revision).await;
    for router in &fleet.routers {
        let requests: Vec<_> = (0..6).map(|_| admit(router, "large")).collect();
        let mut permits = Vec::new();
        for request in requests {
            permits.push(permit(request).await);
        }
        permits.iter_mut().for_each(|permit| permit.add_cost(100));
    }
}

/// Guards against a side of a partition that serves nothing, and against sides
/// that do not find each other again without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn partition_and_rejoin() {
    let (fleet, relays) = Fleet::start_behind_relays(2, MembershipTiming::default()).await;
    let upstream = engine(4).await;
    let revision = fleet.configure(&[(upstream.address(), 4)], &["large"]);
    fleet.settle(2, revision).await;
    relays.iter().for_each(|relay| relay.cut(true));
    for (index, router) in fleet.routers.iter().enumerate() {
        let status = wait_for(router, |status| {
            status.members.iter().any(|row| row.state == MemberState::Dead)
        })
        .await;
        let owner = status.services[SERVICE].owners[&0].to_string();
        assert_eq!(owner, format!("router-{index}"), "each side owns the shard for itself");
        permit(admit(router, "large")).await.add_cost(100);
    }
    relays.iter().for_each(|relay| relay.cut(false));
    fleet.settle(2, revision).await;
    let mut owners = Vec::new();
    for router in &fleet.routers {
        let status = router.status().await.expect("running");
        owners.push(status.services[SERVICE].owners[&0].clone());
        permit(admit(router, "large")).await.add_cost(100);
    }
    assert_eq!(owners[0], owners[1]);
}

/// Guards against baselines that pass an upstream's limit, or that get slots
/// from owners and so measure the wrong thing.
#[tokio::test(flavor = "multi_thread")]
async fn policies_without_owners_use_fixed_slots() {
    for policy in [DispatchPolicy::Local, DispatchPolicy::Fcfs] {
        let fleet = Fleet::start(3, policy).await;
        let upstream = engine(8).await;
        let revision = fleet.configure(&[(upstream.address(), 8)], &["large"]);
        fleet.settle(3, revision).await;
        let mut total = 0;
        for router in &fleet.routers {
            let status = wait_for(router, |status| {
                let slots: u32 = status.services[SERVICE].allocated.values().sum();
                (2..=3).contains(&slots)
            })
            .await;
            assert!(status.owned.is_empty(), "{policy}");
            total += status.services[SERVICE].allocated.values().sum::<u32>();
        }
        assert_eq!(total, 8, "{policy}");
    }
}
