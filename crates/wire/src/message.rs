//! Typed messages of the peer protocol.

use span_member::MemberUpdate;
use span_types::Revision;

/// A heartbeat with piggybacked membership updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's own membership update.
    pub sender: MemberUpdate,
    /// Revision of the configuration that the sender has in force.
    pub revision: Revision,
    /// Hash of the sender's membership view.
    pub view_hash: u64,
    /// Updates about other members.
    pub updates: Vec<MemberUpdate>,
    /// Whether the sender asks for all updates that the receiver has.
    pub wants_all_updates: bool,
}

/// Reply to a request for a configuration newer than a given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigReply {
    /// Revision that the sender has in force.
    pub revision: Revision,
    /// The newer configuration, if there is one.
    pub body: ConfigBody,
}

/// Contents of a [`ConfigReply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigBody {
    /// The sender knows no newer configuration.
    Current,
    /// Changes since the given revision, serialised.
    Delta(Vec<u8>),
    /// The complete configuration document, serialised.
    Document(Vec<u8>),
}
