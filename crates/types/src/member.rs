//! A router process as its peers name it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceName};

/// One router process: an instance and the incarnation that runs on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Instance the process runs on.
    pub instance: InstanceName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.instance, self.incarnation.0)
    }
}

/// What is known of a member's health.
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
    /// Finishing its work; takes no new callers.
    Leaving = 1,
    /// Heartbeats are overdue.
    Suspect = 2,
    /// Heartbeats stopped for longer than the removal time.
    Dead = 3,
}
