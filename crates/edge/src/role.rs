//! Role of a router in the exchange of load summaries.

use std::{collections::BTreeMap, net::IpAddr};

use span_member::{MembershipView, Router, home_router, task_rank};
use span_types::{FailureDomain, InstanceName};

use crate::store_source::ReadOrder;

/// Role of a router in the exchange of load summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Sends its load summary to the collector of its failure domain.
    Member {
        /// Address of the collector.
        collector_ip: IpAddr,
        /// Place among the members.
        rank: usize,
    },
    /// Collects the load summaries of `members` in its failure domain, and
    /// exchanges sums with the collectors of other domains.
    Collector {
        /// The failure domain.
        domain: FailureDomain,
        /// Names and addresses of the domain's other routers.
        members: Vec<(InstanceName, IpAddr)>,
        /// Addresses of the collectors of other domains.
        other_collectors: Vec<IpAddr>,
        /// Place among all collectors.
        rank: usize,
    },
}

impl Role {
    /// Place of the router in the order in which routers read the store.
    pub fn read_order(&self) -> ReadOrder {
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

/// Fraction of the strongest processor of a failure domain that its collector must
/// have. It sends to the whole domain, which takes much of a small processor.
const MIN_COLLECTOR_PROCESSOR_FRACTION: f64 = 0.5;

/// The collector of a failure domain, chosen by rendezvous hashing among its strong
/// routers.
fn collector<'a>(domain: &[&'a Router]) -> Option<&'a Router> {
    let strongest = domain.iter().map(|router| router.processor_millicores).max()?;
    let min_millicores = f64::from(strongest) * MIN_COLLECTOR_PROCESSOR_FRACTION;
    let is_strong = |router: &&Router| f64::from(router.processor_millicores) >= min_millicores;
    let strong: Vec<&Router> = domain.iter().copied().filter(is_strong).collect();
    home_router(COLLECTOR_BUCKET, &strong)
}

/// Role of the router that `view` belongs to, among the routers that callers may
/// use. None if its failure domain has no such router.
pub fn role(view: &MembershipView) -> Option<Role> {
    let candidates = view.routers_for_callers();
    let mut domains: BTreeMap<&FailureDomain, Vec<&Router>> = BTreeMap::new();
    for router in &candidates {
        domains.entry(&router.failure_domain).or_default().push(router);
    }
    let own_router = &view.own_update().router;
    let own_domain = domains.remove(&own_router.failure_domain).unwrap_or_default();
    let collector = collector(&own_domain)?;
    if collector.member != own_router.member {
        let members: Vec<&Router> =
            own_domain.iter().copied().filter(|router| router.member != collector.member).collect();
        return Some(Role::Member {
            collector_ip: collector.peer_address.ip(),
            rank: task_rank(READ_STORE_TASK, &members, own_router),
        });
    }
    let members = own_domain.iter().filter(|router| router.member != own_router.member);
    let members =
        members.map(|router| (router.member.instance.clone(), router.peer_address.ip())).collect();
    let other_collectors: Vec<&Router> =
        domains.values().filter_map(|routers| self::collector(routers)).collect();
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
