//! Role of a router in the exchange of load summaries.

use std::{collections::BTreeMap, net::IpAddr};

use span_member::{MembershipView, Router, home_router};
use span_types::FailureDomain;

/// Role of a router in the exchange of load summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Sends its load summary to the collector of its failure domain.
    Member { collector: IpAddr },
    /// Collects the load summaries of `members` in its failure domain, and
    /// exchanges sums with the collectors of other domains.
    Collector { domain: FailureDomain, members: Vec<IpAddr>, other_collectors: Vec<IpAddr> },
}

/// Bucket whose home, by rendezvous hashing, is the collector.
const COLLECTOR_BUCKET: u32 = 0;

/// Role of the router that `view` belongs to. In each failure domain, rendezvous
/// hashing chooses the collector among the routers that callers may use. None if
/// this domain has no such router.
pub(crate) fn role(view: &MembershipView) -> Option<Role> {
    let candidates = view.routers_for_callers();
    let mut domains: BTreeMap<&FailureDomain, Vec<&Router>> = BTreeMap::new();
    for router in &candidates {
        domains.entry(&router.failure_domain).or_default().push(router);
    }
    let own_router = &view.own_update().router;
    let own_domain = domains.remove(&own_router.failure_domain).unwrap_or_default();
    let collector = home_router(COLLECTOR_BUCKET, &own_domain)?;
    if collector.member != own_router.member {
        return Some(Role::Member { collector: collector.peer_address.ip() });
    }
    let members = own_domain.iter().filter(|router| router.member != own_router.member);
    let members = members.map(|router| router.peer_address.ip()).collect();
    let other_collectors =
        domains.values().filter_map(|routers| home_router(COLLECTOR_BUCKET, routers));
    let other_collectors = other_collectors.map(|router| router.peer_address.ip()).collect();
    Some(Role::Collector { domain: own_router.failure_domain.clone(), members, other_collectors })
}
