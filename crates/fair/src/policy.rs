//! Order of dispatch.

/// Order in which waiting requests are dispatched.
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
    /// Lowest fleet-wide virtual time first, within the owners' allocations.
    #[default]
    Fleet,
    /// Lowest virtual time at this router first, within fixed slots.
    Local,
    /// Order of arrival at this router, within fixed slots.
    Fcfs,
}
