//! Read access to the control state: status, counters and router addresses.

use span_member::ADDRESS_LIFETIME_MS;
use span_types::{FailureDomain, WorkspaceName};

use super::{
    Counter, MemberStatus, RouterAddress, RouterAddresses, ServiceStatus, Status,
    state::ControlState,
};

/// Capacity in other failure domains is divided by this when routers are
/// weighted. Such capacity still counts, so that a router with little capacity
/// in its own failure domain gets callers.
const REMOTE_CAPACITY_DIVISOR: u64 = 4;

impl ControlState {
    /// Copies the byte counts of peer connections and load polls to the
    /// counters.
    pub fn count_bytes(&mut self) {
        let (sent, received) = (self.peer_bytes.sent(), self.peer_bytes.received());
        self.counters.set(Counter::PeerBytesSent, sent);
        self.counters.set(Counter::PeerBytesReceived, received);
        let (sent, received) = (self.load.poll_bytes.sent(), self.load.poll_bytes.received());
        self.counters.set(Counter::LoadPollBytesSent, sent);
        self.counters.set(Counter::LoadPollBytesReceived, received);
    }

    /// The current counters as text, one per line.
    pub fn metrics(&mut self) -> String {
        self.count_bytes();
        self.counters.to_text()
    }

    /// A snapshot of the control state.
    pub fn status(&mut self) -> Status {
        self.count_bytes();
        let now_ms = self.now_ms();
        let impaired = self.health.impaired(now_ms).into_iter();
        Status {
            revision: self.config.revision(),
            members: self.member_rows(),
            owned: self.owned_shards.keys().cloned().collect(),
            services: self.service_rows(now_ms),
            impaired: impaired
                .map(|(name, availability)| (name, availability.to_string()))
                .collect(),
            control_bytes_sent: self.peer_bytes.sent(),
            control_bytes_received: self.peer_bytes.received(),
            control_bytes_per_s: self.pacer.rate_bytes_per_s(),
            counters: self.counters.snapshot(),
        }
    }

    fn member_rows(&self) -> Vec<MemberStatus> {
        let own = self.view.own_update();
        let mut rows = vec![MemberStatus {
            instance: own.router.member.instance.clone(),
            incarnation: own.router.member.incarnation,
            state: own.state,
            revision: Some(self.config.revision()),
        }];
        for status in self.view.member_statuses() {
            let member = status.update.router.member;
            rows.push(MemberStatus {
                revision: self.peer_revisions.get(&member.instance).copied(),
                instance: member.instance,
                incarnation: member.incarnation,
                state: status.update.state,
            });
        }
        rows
    }

    fn service_rows(
        &self,
        now_ms: u64,
    ) -> std::collections::BTreeMap<span_types::ServiceName, ServiceStatus> {
        let mut rows = std::collections::BTreeMap::new();
        for (name, state) in &self.services {
            let mut row = ServiceStatus {
                waiting: state.waiting_count(),
                in_flight: state.in_flight_count(),
                free_slots: state.free_slots(now_ms),
                ..ServiceStatus::default()
            };
            for slots in state.allocated_slots() {
                *row.allocated.entry(slots.upstream.clone()).or_default() += slots.held;
            }
            let shards = self.shards.keys().filter(|shard| shard.service == *name);
            let owners =
                shards.filter_map(|shard| Some((shard.index, self.owner_of(shard)?.instance)));
            row.owners = owners.collect();
            rows.insert(name.clone(), row);
        }
        rows
    }

    /// Router addresses for a caller. The order rotates with each answer, so that
    /// the callers of a workspace spread over its routers.
    pub fn addresses(&mut self, workspace: &WorkspaceName) -> RouterAddresses {
        let entries = self.view.routers_for_callers();
        let chosen = span_member::select_routers(workspace, &entries, |router| {
            self.capacity_weight(workspace, &router.failure_domain)
        });
        let mut addresses: Vec<_> = chosen
            .into_iter()
            .map(|router| RouterAddress {
                instance: router.member.instance.clone(),
                address: router.http_address,
                failure_domain: router.failure_domain.clone(),
            })
            .collect();
        if !addresses.is_empty() {
            let offset = self.address_answers % addresses.len();
            addresses.rotate_left(offset);
        }
        self.address_answers = self.address_answers.wrapping_add(1);
        RouterAddresses { addresses, lifetime_ms: ADDRESS_LIFETIME_MS }
    }

    /// Weight of a failure domain for a workspace: the slots of the workspace's
    /// services, with those in other failure domains reduced.
    fn capacity_weight(&self, workspace: &WorkspaceName, domain: &FailureDomain) -> u64 {
        let document = self.config.document();
        let Some(workspace) = document.workspaces.get(workspace) else {
            return 1;
        };
        let reachable =
            document.upstreams.values().filter(|row| workspace.services.contains(&row.service));
        let (local, total) = reachable.fold((0, 0), |(local, total), row| {
            let slots = u64::from(row.max_concurrency);
            (local + if row.failure_domain == *domain { slots } else { 0 }, total + slots)
        });
        1 + local + (total - local) / REMOTE_CAPACITY_DIVISOR
    }
}
