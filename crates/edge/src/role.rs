//! Role of a router in the exchange of load summaries.

use std::{collections::BTreeMap, net::IpAddr};

use span_member::{MembershipView, Router, home_router, task_rank};
use span_types::{FailureDomain, InstanceName, Member};

use crate::store_source::ReadOrder;

/// Role of a router in the exchange of load summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Sends its load summary to the collector of its failure domain. `rank` is its
    /// place among the domain's members.
    Member { collector: Member, collector_ip: IpAddr, rank: usize },
    /// Collects the load summaries of `members` in its failure domain, and
    /// exchanges sums with the collectors of other domains. `rank` is its place
    /// among all collectors.
    Collector {
        domain: FailureDomain,
        members: Vec<(InstanceName, IpAddr)>,
        other_collectors: Vec<IpAddr>,
        rank: usize,
    },
}

impl Role {
    /// Place of the router in the order in which routers read the store.
    pub(crate) fn read_order(&self) -> ReadOrder {
        match self {
            Self::Collector { rank: 0, .. } => ReadOrder::Always,
            Self::Collector { rank, .. } => ReadOrder::Collector { rank: *rank },
            Self::Member { rank, .. } => ReadOrder::Member { rank: *rank },
        }
    }
}

/// Bucket whose home, by rendezvous hashing, is the collector.
const COLLECTOR_BUCKET: u32 = 0;

/// Task for which routers are ranked to read the store.
const READ_STORE_TASK: &str = "read-store";

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
        let members: Vec<&Router> =
            own_domain.iter().copied().filter(|router| router.member != collector.member).collect();
        return Some(Role::Member {
            collector: collector.member.clone(),
            collector_ip: collector.peer_address.ip(),
            rank: task_rank(READ_STORE_TASK, &members, own_router),
        });
    }
    let members = own_domain.iter().filter(|router| router.member != own_router.member);
    let members =
        members.map(|router| (router.member.instance.clone(), router.peer_address.ip())).collect();
    let other_collectors: Vec<&Router> =
        domains.values().filter_map(|routers| home_router(COLLECTOR_BUCKET, routers)).collect();
    Some(Role::Collector {
        domain: own_router.failure_domain.clone(),
        members,
        rank: task_rank(READ_STORE_TASK, &other_collectors, own_router),
        other_collectors: other_collectors
            .into_iter()
            .map(|router| router.peer_address.ip())
            .collect(),
    })
}
