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
    /// This router. Port 0 in its peer address is replaced by a free port.
    pub router: Router,
    /// Where to listen for other routers, if that is not the peer address that
    /// they are told, as behind address translation.
    pub listen_address: Option<SocketAddr>,
    /// Address of the platform; without one, the configuration comes from
    /// peers or from [`Handle::configure`](super::Handle::configure).
    pub platform_address: Option<SocketAddr>,
    /// Order in which waiting requests are dispatched.
    pub policy: DispatchPolicy,
    /// Where counters are sent by StatsD over UDP; nowhere by default.
    pub statsd_address: Option<SocketAddr>,
    /// Answers peers that ask about a request id minted here.
    pub minted: MintedLookup,
    /// Silence after which members are suspect and removed.
    pub timing: MembershipTiming,
    /// Bytes per second, sent and received, that peer streams may use; by
    /// default [`default_budget_bytes_per_s`] of the number of live routers.
    pub budget_bytes_per_s: Option<u64>,
}

/// Routers up to which a fleet is small.
const SMALL_FLEET_MAX_ROUTERS: usize = 8;
/// Control traffic of a router in a small fleet. At 6 routers 2,500 bytes per
/// second left slots idle while work waited and made the gap 2.8 times larger.
const SMALL_FLEET_BUDGET_BYTES_PER_S: u64 = 12_000;
/// Control traffic of a router in a larger fleet, below the 3,000 bytes per
/// second that a node may use, since pacing reacts only after traffic has risen.
const LARGE_FLEET_BUDGET_BYTES_PER_S: u64 = 2_500;

/// The default target of the control traffic, in bytes per second.
pub fn default_budget_bytes_per_s(live_routers: usize) -> u64 {
    if live_routers <= SMALL_FLEET_MAX_ROUTERS {
        SMALL_FLEET_BUDGET_BYTES_PER_S
    } else {
        LARGE_FLEET_BUDGET_BYTES_PER_S
    }
}

impl Settings {
    /// Settings of a router without platform that knows of no minted ids.
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
