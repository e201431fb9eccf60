//! Membership updates that routers send to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, Member, MemberState};

/// A router process and its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Identity of the process.
    pub member: Member,
    /// Address for HTTP requests of callers.
    pub http_address: SocketAddr,
    /// Address for connections of other routers.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Processor time that the instance gives the process, in thousandths of a
    /// core; 0 if it is not known.
    #[serde(default)]
    pub processor_millicores: u32,
}

/// State of one member, carried by heartbeats.
///
/// Of two updates about an instance, the one with the higher incarnation takes
/// precedence, then the higher epoch, then the worse state. Only the member
/// itself raises its epoch, to refute an update by which it is suspect or dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member that the update is about.
    pub router: Router,
    /// Number of times that the member has refuted an update about itself.
    pub epoch: u32,
    /// State of the member.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this update takes precedence over `other` about the same
    /// instance.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, MemberState) {
        (self.router.member.incarnation.0, self.epoch, self.state)
    }
}
