//! What routers tell each other about a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, Member, MemberState};

/// A router process and where it can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// Identity of the process.
    pub member: Member,
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Failure domain the instance stands in.
    pub failure_domain: FailureDomain,
    /// Processor time that the instance gives the process, in thousandths of a
    /// core; 0 if it is not told.
    #[serde(default)]
    pub processor_millicores: u32,
}

/// A statement about one member, piggybacked on heartbeats.
///
/// Of two statements about an instance, the one with the higher incarnation
/// counts, then the one with the higher epoch, then the one with the worse
/// state. Only the member itself raises its epoch, to contradict a statement
/// that it is suspect or dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member the statement is about.
    pub router: Router,
    /// Number of times that the member contradicted such statements.
    pub epoch: u32,
    /// State of the member.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this statement replaces `other` about the same instance.
    pub fn supersedes(&self, other: &MemberUpdate) -> bool {
        self.order() > other.order()
    }

    fn order(&self) -> (u64, u32, MemberState) {
        (self.router.member.incarnation.0, self.epoch, self.state)
    }
}
