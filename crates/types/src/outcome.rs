//! What a caller is told about its request.

use serde::{Deserialize, Serialize};

/// The final state of a request as far as it can be known.
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
    /// The whole answer was passed on.
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
    /// Model engines with chat completions.
    Model,
    /// Plain HTTP services.
    Plain,
}
