//! Requests and responses of the intent API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use span_config::{Plan, PlanId, Problem};
use span_types::{FailureDomain, InstanceName, Revision, UpstreamName};

/// A YAML file of the desired document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentFile {
    /// File name or path, for messages.
    pub name: String,
    /// Contents of the file.
    pub text: String,
}

/// Body of `POST /v1/plans`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// All files of the desired document.
    pub files: Vec<DocumentFile>,
}

/// Response to `POST /v1/plans` and `GET /v1/plans/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResponse {
    /// The plan. A plan without changes is not stored and cannot be confirmed.
    pub plan: Plan,
    /// Revision that the confirmation created. Absent if the plan is not confirmed or
    /// no longer in the history.
    pub confirmed_as: Option<Revision>,
}

/// Response to `POST /v1/plans/<id>/confirm`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmResponse {
    /// Id of the plan.
    pub plan: PlanId,
    /// Revision that the confirmation created.
    pub revision: Revision,
    /// The plan was already confirmed before this request.
    pub repeated: bool,
}

/// A confirmed plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the confirmation created.
    pub revision: Revision,
    /// Id of the plan.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub operator: String,
    /// Time of the confirmation, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Summary of the changes.
    pub summary: String,
}

/// Response to `GET /v1/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Accepted revision.
    pub revision: Revision,
    /// Confirmed plans that are still in the history, oldest first.
    pub entries: Vec<HistoryEntry>,
}

/// Response to `GET /v1/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportResponse {
    /// Accepted revision.
    pub revision: Revision,
    /// The accepted document, as YAML.
    pub yaml: String,
}

/// State of a router's configuration, compared with the accepted revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouterState {
    /// The router has the accepted revision in force.
    InForce,
    /// The router has another revision in force.
    Behind,
    /// The router responds, but without its revision.
    NoRevision,
    /// The router does not respond.
    Unreachable,
}

/// Status of a router in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomain,
    /// Address that was queried.
    pub http_address: SocketAddr,
    /// The instance finishes its work and takes no new work.
    pub leaving: bool,
    /// Result of the query.
    pub state: RouterState,
    /// Revision that the router has in force. Absent if it is not known.
    pub revision: Option<Revision>,
    /// Why the revision is not known. Absent if it is known.
    pub reason: Option<String>,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Accepted revision.
    pub revision: Revision,
    /// All listed routers, ordered by name.
    pub routers: Vec<RouterStatus>,
}

/// What an engine does for an order.
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
    /// Load another version of the model.
    LoadVersion,
    /// Change the engine's role.
    ChangeRole,
}

impl OrderKind {
    /// Returns true if the engine reads from the weight store.
    pub fn loads_weights(self) -> bool {
        self != Self::ChangeRole
    }
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Id of the order. A repeated order with the same id is not executed again.
    pub id: String,
    /// Engine that executes the order.
    pub upstream: UpstreamName,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Model, adapter, version or role to load or change to.
    pub target: String,
}

/// Response to `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Id of the order.
    pub id: String,
    /// Fencing number under which the engine executed it.
    pub fencing: u64,
    /// The order was already executed before this request.
    pub repeated: bool,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The error.
    pub error: ErrorBody,
}

/// Description of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Machine-readable name of the error.
    #[serde(rename = "type")]
    pub kind: String,
    /// Message for people.
    pub message: String,
    /// False if the intent had no effect; null if that is not known.
    pub accepted: Option<bool>,
    /// Problems of the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// Plans confirmed after the base revision of a stale plan.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<HistoryEntry>,
}
