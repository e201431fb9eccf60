//! Cooperation of several control threads: slots, membership, configuration.

mod fleet;

use std::time::Duration;

use fleet::{
    Fleet, SERVICE, admit, forward_permit, idle_engine, next_permit, wait_for, wait_for_permit,
};
use span_fair::DispatchPolicy;
use span_member::MembershipTiming;
use span_router::control::{AttemptResult, MintedState, Rejection};
use span_standin::objects::Faults;
use span_types::{Incarnation, MemberState, RequestId, Revision};
use tokio::sync::mpsc;

const REQUEST_DURATION: Duration = Duration::from_millis(50);

/// Guards against slots that stay idle at two routers while requests wait at the
/// third: its 12 requests need all slots of the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn one_router_can_use_all_slots() {
    let fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let (first, second) = (idle_engine(6).await, idle_engine(6).await);
    let engines = [(first.address(), 6), (second.address(), 6)];
    let revision = fleet.configure(&engines, &["large", "small"]);
    fleet.wait_until_converged(3, revision).await;
    for router in &fleet.routers {
        let requests: Vec<_> = (0..12).map(|_| admit(router, "large")).collect();
        let mut permits = Vec::new();
        for request in requests {
            permits.push(wait_for_permit(request).await);
        }
        let at_first = permits.iter().filter(|permit| permit.address == first.address()).count();
        assert_eq!(at_first, 6, "the limit of an upstream was exceeded");
        permits.iter_mut().for_each(|permit| permit.add_cost(100));
    }
}

/// Guards against a small workspace that waits behind all requests that a large
/// one queued earlier at another router.
#[tokio::test(flavor = "multi_thread")]
async fn small_workspace_at_another_router_gets_its_share() {
    let fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = idle_engine(4).await;
    let revision = fleet.configure(&[(upstream.address(), 4)], &["large", "small"]);
    fleet.wait_until_converged(3, revision).await;
    let (granted, mut grants) = mpsc::unbounded_channel();
    for _ in 0..60 {
        forward_permit(admit(&fleet.routers[0], "large"), "large", &granted);
    }
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(next_permit(&mut grants).await);
    }
    forward_permit(admit(&fleet.routers[1], "small"), "small", &granted);
    let mut finished = 0;
    while held.iter().all(|(workspace, _)| *workspace != "small") {
        // Each request takes some time, because the owner learns of the small
        // workspace only with the next report; 56 requests without a duration
        // would end before.
        tokio::time::sleep(REQUEST_DURATION).await;
        let (_, mut ended) = held.remove(0);
        ended.add_cost(100);
        drop(ended);
        finished += 1;
        held.push(next_permit(&mut grants).await);
    }
    assert!(finished < 56, "the small workspace waited for the whole queue of the large one");
}

/// Guards against shards that keep a dead owner, and against slots that a dead
/// router never releases.
#[tokio::test(flavor = "multi_thread")]
async fn shard_owner_failure_is_recovered() {
    let mut fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = idle_engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.wait_until_converged(3, revision).await;
    let status = wait_for(&fleet.routers[0], |status| !status.services.is_empty()).await;
    let owner = status.services[SERVICE].owners[&0].clone();
    let position = (0..3).find(|index| owner.as_str() == format!("router-{index}"));
    fleet.routers.remove(position.expect("the router is not a member")).stop();
    fleet.wait_until_converged(2, revision).await;
    let requests: Vec<_> = (0..6).map(|_| admit(&fleet.routers[1], "large")).collect();
    for request in requests {
        std::mem::forget(wait_for_permit(request).await);
    }
    let status = fleet.routers[1].status().await.expect("the control thread has ended");
    assert_ne!(status.services[SERVICE].owners[&0], owner);
}

/// Guards against a router that restarts during an outage of the object API and
/// gets no configuration, or that peers take for its earlier incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn restart_during_object_api_outage() {
    let mut fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = idle_engine(6).await;
    fleet.configure(&[(upstream.address(), 6)], &["large"]);
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large", "small"]);
    fleet.wait_until_converged(3, revision).await;
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    let old = fleet.routers.remove(0);
    let address = old.peer_address();
    old.stop();
    wait_for(&fleet.routers[0], |status| {
        status.members.iter().any(|row| row.state == MemberState::Dead)
    })
    .await;
    fleet.routers.push(fleet.start_router(0, 2, address));
    fleet.wait_until_converged(3, revision).await;
    let status = fleet.routers[0].status().await.expect("the control thread has ended");
    let row = status.members.iter().find(|row| row.instance.as_str() == "router-0");
    assert_eq!(row.expect("the router is not a member").incarnation, Incarnation(2));
    let document = fleet.routers[2].watch_document().borrow().clone();
    assert_eq!(document.workspaces.len(), 2);
}

/// Guards against a configuration that reaches only the watchers, and against one
/// that reverts.
#[tokio::test(flavor = "multi_thread")]
async fn revisions_reach_every_router_and_never_revert() {
    let fleet = Fleet::start(6, DispatchPolicy::Fleet).await;
    let upstream = idle_engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.wait_until_converged(6, revision).await;
    let mut last = Revision(0);
    for round in 0..5 {
        let name = format!("workspace-{round}");
        let revision = fleet.configure(&[(upstream.address(), 6)], &["large", &name]);
        assert!(revision > last);
        fleet.wait_until_converged(6, revision).await;
        fleet.routers[round].configure(Default::default());
        let document = fleet.routers[round].watch_document().borrow().clone();
        assert!(document.workspaces.contains_key(name.as_str()));
        last = revision;
    }
}

/// Guards against callers that are sent to a leaving router, against shards that
/// it keeps, and against a leaving router that rejects callers that may have
/// cached its address.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_router_gets_no_new_callers() {
    let fleet = Fleet::start(3, DispatchPolicy::Fleet).await;
    let upstream = idle_engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.wait_until_converged(3, revision).await;
    assert_eq!(fleet.routers[0].addresses("large".into()).await.addresses.len(), 3);
    fleet.routers[0].start_leaving();
    let shows_leaving = |status: &span_router::control::Status| {
        status.members.iter().any(|row| row.state == MemberState::Leaving)
    };
    for router in &fleet.routers {
        let status = wait_for(router, shows_leaving).await;
        assert_ne!(status.services[SERVICE].owners[&0].as_str(), "router-0");
        let addresses = router.addresses("large".into()).await.addresses;
        assert!(addresses.iter().all(|row| row.instance.as_str() != "router-0"));
    }
    wait_for_permit(admit(&fleet.routers[0], "large")).await;
}

/// Guards against states of a minted id from an incarnation that did not mint it.
#[tokio::test(flavor = "multi_thread")]
async fn minted_state_comes_from_minting_incarnation() {
    let fleet = Fleet::start(2, DispatchPolicy::Fleet).await;
    let revision = fleet.configure(&[], &["large"]);
    fleet.wait_until_converged(2, revision).await;
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
        admit(&fleet.routers[0], "large").await.expect("the task failed"),
        Err(Rejection::NoUpstream)
    ));
}

/// Guards against a waiting request of a removed workspace that is told that it waited
/// too long. Its deadline was a minute away.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_a_removed_workspace_is_rejected_as_such() {
    let fleet = Fleet::start(1, DispatchPolicy::Fleet).await;
    let engine = idle_engine(1).await;
    let revision = fleet.configure(&[(engine.address(), 1)], &["large", "removed"]);
    fleet.wait_until_converged(1, revision).await;
    let router = &fleet.routers[0];
    let running = wait_for_permit(admit(router, "large")).await;
    let waiting = admit(router, "removed");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.configure(&[(engine.address(), 1)], &["large"]);
    let rejection = waiting.await.expect("the task failed").expect_err("it got a permit");
    assert!(matches!(rejection, Rejection::NoUpstream), "{rejection:?}");
    drop(running);
}

/// Guards against requests that are sent to a failed upstream, and against a
/// recovered upstream that gets no requests, also if it answers its probe with an
/// error.
#[tokio::test(flavor = "multi_thread")]
async fn failed_upstream_is_probed_with_one_request() {
    let fleet = Fleet::start(1, DispatchPolicy::Fleet).await;
    let (healthy, failing) = (idle_engine(3).await, idle_engine(3).await);
    let revision = fleet.configure(&[(healthy.address(), 3), (failing.address(), 3)], &["large"]);
    fleet.wait_until_converged(1, revision).await;
    let router = &fleet.routers[0];
    let mut held = Vec::new();
    for request in (0..6).map(|_| admit(router, "large")).collect::<Vec<_>>() {
        held.push(wait_for_permit(request).await);
    }
    for mut permit in held {
        let failed = permit.address == failing.address();
        permit.set_result(if failed { AttemptResult::Failed } else { AttemptResult::Answered });
        permit.add_cost(10);
    }
    wait_for(router, |status| !status.impaired.is_empty()).await;
    let (granted, mut grants) = mpsc::unbounded_channel();
    for _ in 0..9 {
        forward_permit(admit(router, "large"), "large", &granted);
    }
    let mut probes = Vec::new();
    for _ in 0..9 {
        let (_, mut permit) = next_permit(&mut grants).await;
        permit.add_cost(10);
        if permit.address == failing.address() {
            probes.push(permit);
        }
    }
    let probes_running = probes.len();
    assert!(probes_running <= 1, "{probes_running} requests were sent to the failed upstream");
    drop(probes);
    // More concurrent requests than the other upstream has slots. One of them is
    // the probe, and its answer makes the upstream usable again.
    for _ in 0..4 {
        forward_permit(admit(router, "large"), "large", &granted);
    }
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(next_permit(&mut grants).await.1);
    }
    assert!(held.iter().any(|permit| permit.address == failing.address()));
    // An error of the engine is an answer too, although it costs nothing.
    held.iter_mut().for_each(|permit| permit.set_result(AttemptResult::Answered));
    drop(held);
    wait_for(router, |status| status.impaired.is_empty()).await;
}

/// Guards against routers that keep using connections that no longer deliver
/// bytes although new ones would work. The time until silent members are removed
/// is long, because removal also closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let timing = MembershipTiming { remove_after_ms: 600_000, ..MembershipTiming::default() };
    let (fleet, relays) = Fleet::start_behind_relays(3, timing).await;
    let upstream = idle_engine(6).await;
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large"]);
    fleet.wait_until_converged(3, revision).await;
    relays.iter().for_each(|relay| relay.silence_open_connections());
    let revision = fleet.configure(&[(upstream.address(), 6)], &["large", "small"]);
    fleet.wait_until_converged(3, revision).await;
    for router in &fleet.routers {
        let requests: Vec<_> = (0..6).map(|_| admit(router, "large")).collect();
        let mut permits = Vec::new();
        for request in requests {
            permits.push(wait_for_permit(request).await);
        }
        permits.iter_mut().for_each(|permit| permit.add_cost(100));
    }
}

/// Guards against a side of a partition that serves no requests, and against
/// sides that do not rejoin without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn routers_rejoin_after_partition() {
    let (fleet, relays) = Fleet::start_behind_relays(2, MembershipTiming::default()).await;
    let upstream = idle_engine(4).await;
    let revision = fleet.configure(&[(upstream.address(), 4)], &["large"]);
    fleet.wait_until_converged(2, revision).await;
    relays.iter().for_each(|relay| relay.set_partitioned(true));
    for (index, router) in fleet.routers.iter().enumerate() {
        let status = wait_for(router, |status| {
            status.members.iter().any(|row| row.state == MemberState::Dead)
        })
        .await;
        let owner = status.services[SERVICE].owners[&0].to_string();
        assert_eq!(owner, format!("router-{index}"), "each side must own the shard itself");
        wait_for_permit(admit(router, "large")).await.add_cost(100);
    }
    relays.iter().for_each(|relay| relay.set_partitioned(false));
    fleet.wait_until_converged(2, revision).await;
    let mut owners = Vec::new();
    for router in &fleet.routers {
        let status = router.status().await.expect("the control thread has ended");
        owners.push(status.services[SERVICE].owners[&0].clone());
        wait_for_permit(admit(router, "large")).await.add_cost(100);
    }
    assert_eq!(owners[0], owners[1]);
}

/// Guards against baseline policies that exceed an upstream's limit, or that get
/// slots from shard owners and therefore do not measure a baseline.
#[tokio::test(flavor = "multi_thread")]
async fn policies_without_owners_use_fixed_slots() {
    for policy in [DispatchPolicy::Local, DispatchPolicy::Fcfs] {
        let fleet = Fleet::start(3, policy).await;
        let upstream = idle_engine(8).await;
        let revision = fleet.configure(&[(upstream.address(), 8)], &["large"]);
        fleet.wait_until_converged(3, revision).await;
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
