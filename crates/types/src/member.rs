//! Identity and state of a router process.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceName};

/// Identity of one router process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance that the process runs on.
    pub instance: InstanceName,
    /// Distinguishes the process from earlier ones on the instance.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.instance, self.incarnation.0)
    }
}

/// State of a member as its peers see it, from the best to the worst. Of two
/// updates that are equally recent, the one with the worse state takes precedence.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::FromRepr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum MemberState {
    /// Heartbeats arrive.
    Alive = 0,
    /// Finishes its work and takes no new callers.
    Leaving = 1,
    /// Heartbeats are overdue.
    Suspect = 2,
    /// No heartbeat has arrived for longer than the removal time.
    Dead = 3,
}
