//! Policies for the dispatch of waiting requests.

/// Order in which waiting requests are dispatched, and whose slots they use.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DispatchPolicy {
    /// Lowest virtual time in the fleet first, within the slots that shard
    /// owners allocate.
    #[default]
    Fleet,
    /// Lowest virtual time at this router first, within fixed slots.
    Local,
    /// First come, first served at this router, within fixed slots.
    Fcfs,
}
