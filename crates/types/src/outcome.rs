//! Outcomes of requests and kinds of services.

use serde::{Deserialize, Serialize};

/// Final state of a request, as reported to the caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was passed on.
    Completed,
    /// No upstream executed the request.
    NotRun,
    /// An upstream may have executed the request.
    Unknown,
}

/// How the upstreams of a service are called.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceKind {
    /// As model engines, with chat completions.
    Model,
    /// As plain HTTP services.
    Plain,
}
