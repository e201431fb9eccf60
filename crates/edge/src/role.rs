//! Which routers collect the statements of their failure domain.

use std::{collections::BTreeMap, net::IpAddr};

use span_member::{MembershipView, Router, home_router};
use span_types::FailureDomain;

/// What a router does in the exchange of statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It states its load to the collector of its failure domain.
    Member { collector: IpAddr },
    /// It collects for its failure domain.
    Collector { domain: FailureDomain, members: Vec<IpAddr>, others: Vec<IpAddr> },
}

/// Bucket for the choice of collectors.
const COLLECTOR_BUCKET: u32 = 0;

/// What the router of `view` does: one router of each failure domain, chosen by
/// rendezvous hashing among those that callers are sent to, collects.
pub(crate) fn role(view: &MembershipView) -> Option<Role> {
    let entries = view.routers_for_callers();
    let mut domains: BTreeMap<&FailureDomain, Vec<&Router>> = BTreeMap::new();
    for router in &entries {
        domains.entry(&router.failure_domain).or_default().push(router);
    }
    let me = &view.own_update().router;
    let own = domains.remove(&me.failure_domain).unwrap_or_default();
    let collector = home_router(COLLECTOR_BUCKET, &own)?;
    if collector.member != me.member {
        return Some(Role::Member { collector: collector.peer_address.ip() });
    }
    let members = own.iter().filter(|router| router.member != me.member);
    let members = members.map(|router| router.peer_address.ip()).collect();
    let others = domains.values().filter_map(|all| home_router(COLLECTOR_BUCKET, all));
    let others = others.map(|router| router.peer_address.ip()).collect();
    Some(Role::Collector { domain: me.failure_domain.clone(), members, others })
}
