//! Messages between operators' programs and the intent API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use span_config::{Plan, PlanId, Problem};
use span_types::{FailureDomain, InstanceName, Revision, UpstreamName};

/// One file of the desired document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name for messages.
    pub name: String,
    /// Contents, YAML.
    pub text: String,
}

/// Body of `POST /v1/plans`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// The desired document.
    pub files: Vec<File>,
}

/// Answer to `POST /v1/plans` and `GET /v1/plans/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanAnswer {
    /// The plan. One without changes is not stored and cannot be confirmed.
    pub plan: Plan,
    /// Revision that confirming it made, if it is confirmed and remembered.
    pub confirmed_as: Option<Revision>,
}

/// Answer to `POST /v1/plans/<id>/confirm`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmAnswer {
    /// The plan.
    pub plan: PlanId,
    /// Revision that it made.
    pub revision: Revision,
    /// It was confirmed before this request.
    pub repeated: bool,
}

/// One confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that it made.
    pub revision: Revision,
    /// The plan.
    pub plan: PlanId,
    /// Who confirmed it.
    pub operator: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it changed.
    pub summary: String,
}

/// Answer to `GET /v1/history`, oldest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// Revision in force.
    pub revision: Revision,
    /// Confirmed plans that are remembered.
    pub entries: Vec<HistoryEntry>,
}

/// Answer to `GET /v1/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportAnswer {
    /// Revision in force.
    pub revision: Revision,
    /// The document, as YAML.
    pub yaml: String,
}

/// What a router says about its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouterState {
    /// The accepted revision is in force.
    InForce,
    /// Another revision is in force.
    Behind,
    /// It answers and does not tell its revision.
    NoRevision,
    /// It does not answer.
    Unreachable,
}

/// One router of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Address that was asked.
    pub http_address: SocketAddr,
    /// The instance is about to go.
    pub leaving: bool,
    /// What was learnt.
    pub state: RouterState,
    /// Revision in force there, if it tells one.
    pub revision: Option<Revision>,
    /// Why the revision is not known.
    pub reason: Option<String>,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Accepted revision.
    pub revision: Revision,
    /// All listed routers, by name.
    pub routers: Vec<RouterStatus>,
}

/// What an order asks of an engine.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Load a version of the model.
    LoadVersion,
    /// Change the engine's role.
    ChangeRole,
}

impl OrderKind {
    /// The order reads from the weight store.
    pub fn loads_weights(self) -> bool {
        self != Self::ChangeRole
    }
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Identifies the order, so that it can be repeated without a second effect.
    pub id: String,
    /// Engine that carries it out.
    pub upstream: UpstreamName,
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter, version or role that the order names.
    pub target: String,
}

/// Answer to `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The order.
    pub id: String,
    /// Fencing number it carried.
    pub fencing: u64,
    /// It had been carried out before this request.
    pub repeated: bool,
}

/// Body of an answer with an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The error.
    pub error: ErrorBody,
}

/// An error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Name of the error for programs.
    #[serde(rename = "type")]
    pub kind: String,
    /// The error in words.
    pub message: String,
    /// False if the intent certainly had no effect; null if that is not known.
    pub accepted: Option<bool>,
    /// Faults of the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// What was confirmed since a stale plan was made.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<HistoryEntry>,
}
