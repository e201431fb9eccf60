//! Settings of the control thread.

use std::{fmt, net::SocketAddr, sync::Arc};

use span_fair::DispatchPolicy;
use span_member::{MembershipTiming, Router};
use span_types::RequestId;

use super::MintedState;

/// Looks up a request id that this router minted.
pub type MintedLookup = Arc<dyn Fn(&RequestId) -> MintedState + Send + Sync>;

/// Settings of the control thread.
#[derive(Clone)]
pub struct Settings {
    /// This router, as peers see it. Port 0 in its peer address is replaced by a
    /// free port.
    pub router: Router,
    /// Address to listen on for peers, if it differs from the advertised peer
    /// address, as it does behind network address translation.
    pub listen_address: Option<SocketAddr>,
    /// Address of the platform; without one, the configuration comes from
    /// peers or from [`Handle::configure`](super::Handle::configure).
    pub platform_address: Option<SocketAddr>,
    /// Order in which waiting requests are dispatched.
    pub policy: DispatchPolicy,
    /// Address that counters are sent to by StatsD over UDP; `None` sends none.
    pub statsd_address: Option<SocketAddr>,
    /// State of request ids minted by this router, for queries of peers.
    pub minted: MintedLookup,
    /// Times of silence after which members become suspect and are removed.
    pub timing: MembershipTiming,
    /// Target for the traffic of peer connections, sent and received; by default
    /// [`default_budget_bytes_per_s`] of the number of live routers.
    pub budget_bytes_per_s: Option<u64>,
}

/// Largest number of routers in a small fleet.
const SMALL_FLEET_MAX_ROUTERS: usize = 8;
/// Control traffic of a router in a small fleet. At 6 routers, 2,500 bytes per
/// second left slots idle while requests waited, and the fairness gap was 2.8
/// times larger.
const SMALL_FLEET_BUDGET_BYTES_PER_S: u64 = 12_000;
/// Control traffic of a router in a larger fleet. It is below the limit of 3,000
/// bytes per second for each node, since pacing reacts only after traffic has
/// risen.
const LARGE_FLEET_BUDGET_BYTES_PER_S: u64 = 2_500;

/// Default target for the control traffic of one router, sent and received, in
/// bytes per second.
pub fn default_budget_bytes_per_s(live_routers: usize) -> u64 {
    if live_routers <= SMALL_FLEET_MAX_ROUTERS {
        SMALL_FLEET_BUDGET_BYTES_PER_S
    } else {
        LARGE_FLEET_BUDGET_BYTES_PER_S
    }
}

impl Settings {
    /// Settings of a router without a platform. It has no minted ids and sends
    /// no counters.
    pub fn new(router: Router) -> Self {
        Self {
            router,
            listen_address: None,
            platform_address: None,
            policy: DispatchPolicy::Fleet,
            statsd_address: None,
            minted: Arc::new(|_| MintedState::Unknown),
            timing: MembershipTiming::default(),
            budget_bytes_per_s: None,
        }
    }
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("router", &self.router)
            .field("platform_address", &self.platform_address)
            .field("policy", &self.policy)
            .field("statsd_address", &self.statsd_address)
            .finish_non_exhaustive()
    }
}
