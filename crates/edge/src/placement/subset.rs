//! The upstreams that this router uses: all of a small fleet's, a part of a large one's.

use span_types::InstanceName;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Placement;

/// Routers that use an upstream in a large fleet. Each of them sees a tenth of
/// its answers, so its load reports are as fresh as in a small fleet.
pub(super) const MAX_ROUTERS_PER_UPSTREAM: usize = 10;
/// Upstreams of a service that each router uses on average at least, if there
/// are as many.
const MIN_UPSTREAMS_PER_ROUTER: usize = 12;
/// Factor by which the fraction of the upstreams in use falls with each division
/// of capacity. A router that was busy leaves most of them within a few seconds.
const UPSTREAMS_SHRINK_FACTOR: f64 = 0.9;

impl Placement {
    /// Sets the fraction of the fleet's capacity that this router's callers are
    /// entitled to, 0 to 1.
    pub fn set_capacity_fraction(&mut self, fraction: f64) {
        self.capacity_fraction = fraction;
        self.assign_upstreams();
    }

    /// Sets how many routers share the upstreams, and how many connections all
    /// of them together may open to one upstream.
    pub fn set_fleet(&mut self, own_name: &InstanceName, routers: usize, max_connections: f64) {
        self.own_hash = xxh3_64(own_name.as_str().as_bytes());
        self.fleet_routers = routers.max(1);
        self.max_connections = max_connections;
        self.assign_upstreams();
    }

    /// Chooses the upstreams that this router uses. In a large fleet only a few
    /// routers use each upstream, so that they know its load better and it has
    /// fewer connections. A router whose callers are entitled to more capacity
    /// uses more upstreams.
    pub(super) fn assign_upstreams(&mut self) {
        let total = self.upstreams.len().max(1);
        let min_fraction = MIN_UPSTREAMS_PER_ROUTER as f64 / total as f64;
        let wanted =
            (self.capacity_fraction * MAX_ROUTERS_PER_UPSTREAM as f64).max(min_fraction).min(1.0);
        let is_small = self.fleet_routers <= MAX_ROUTERS_PER_UPSTREAM;
        self.upstreams_fraction = if is_small {
            1.0
        } else {
            wanted.max(self.upstreams_fraction * UPSTREAMS_SHRINK_FACTOR)
        };
        self.routers_per_upstream =
            if is_small { self.fleet_routers } else { MAX_ROUTERS_PER_UPSTREAM };
        let max_own_requests = (self.max_connections / self.routers_per_upstream as f64) as u32;
        self.max_own_requests = max_own_requests.max(1);
        for state in self.upstreams.values_mut() {
            let hash = xxh3_64_with_seed(&self.own_hash.to_le_bytes(), state.name_hash);
            state.is_assigned = hash as f64 / u64::MAX as f64 <= self.upstreams_fraction;
        }
    }
}
