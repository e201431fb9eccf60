//! Tests of which routers collect load summaries and read the store.

use std::collections::BTreeSet;

use span_edge::{
    role::{Role, role},
    store_source::ReadOrder,
};
use span_member::{MemberUpdate, MembershipTiming, MembershipView, Router};
use span_types::{Incarnation, Member, MemberState};

/// Routers of three failure domains; every tenth has half a core, the others an eighth.
fn fleet() -> Vec<Router> {
    let address = "127.0.0.1:1".parse().expect("address");
    let router = |index: usize| Router {
        member: Member { instance: format!("router-{index}").into(), incarnation: Incarnation(1) },
        http_address: address,
        peer_address: address,
        failure_domain: format!("domain-{}", index % 3).into(),
        processor_millicores: if index.is_multiple_of(10) { 500 } else { 120 },
    };
    (0..90).map(router).collect()
}

fn role_of(own: &Router, routers: &[Router]) -> Option<Role> {
    let mut view = MembershipView::new(own.clone(), MembershipTiming::default());
    for router in routers {
        let update = MemberUpdate { router: router.clone(), epoch: 0, state: MemberState::Alive };
        view.apply_direct_update(0, update);
    }
    role(&view)
}

/// Guards against a collector that is too small to serve its failure domain, and
/// against a fleet in which no router, or more than one, always reads the store.
#[test]
fn collectors_are_strong_and_one_always_reads_the_store() {
    let routers = fleet();
    let mut orders = Vec::new();
    for own in &routers {
        let role = role_of(own, &routers).expect("each router has a role");
        if matches!(role, Role::Collector { .. }) {
            assert_eq!(own.processor_millicores, 500, "{}", own.member.instance);
        }
        orders.push((own.failure_domain.clone(), role.read_order()));
    }
    let count =
        |wanted: fn(&ReadOrder) -> bool| orders.iter().filter(|(_, order)| wanted(order)).count();
    assert_eq!(count(|order| *order == ReadOrder::Always), 1);
    assert_eq!(count(|order| matches!(order, ReadOrder::Collector { .. })), 2);
    let first_members = orders.iter().filter(|(_, order)| *order == ReadOrder::Member { rank: 0 });
    let domains: BTreeSet<_> = first_members.map(|(domain, _)| domain).collect();
    assert_eq!(domains.len(), 3, "the members of each domain take over in turn");
}
