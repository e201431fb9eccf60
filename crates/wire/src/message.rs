//! Typed messages that exist only between routers.

use span_member::MemberUpdate;
use span_types::Revision;

/// A sign of life with piggybacked news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's statement about itself.
    pub sender: MemberUpdate,
    /// Configuration that the sender has in force.
    pub revision: Revision,
    /// Hash of the sender's live view.
    pub view_hash: u64,
    /// News about other members.
    pub updates: Vec<MemberUpdate>,
    /// The sender asks for all statements of the receiver.
    pub wants_all_updates: bool,
}

/// Answer to a request for a configuration newer than a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigReply {
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// The configuration, if it is newer.
    pub body: ConfigBody,
}

/// Contents of a [`ConfigReply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigBody {
    /// Nothing newer is known.
    Current,
    /// Changes since the revision asked for, serialised.
    Delta(Vec<u8>),
    /// The whole document, serialised.
    Document(Vec<u8>),
}
