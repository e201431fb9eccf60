//! HTTP API for operators.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Method, Request, Response, header::AUTHORIZATION};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use span_config::{AcceptedConfig, PlanId, export};
use span_http::{Body, ReadError, read_json_body};

use crate::{
    IntentError, auth,
    clock::now_ms,
    confirm,
    message::{ConfirmResponse, ExportResponse, HistoryResponse, PlanResponse, StatusResponse},
    order, plan,
    process::SharedState,
    response::into_response,
    status, store,
};

/// Maximum size of a request body: enough for a document at the size limit of the
/// object API, written as YAML.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request.
pub(crate) async fn handle(state: Arc<SharedState>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let headers = &parts.headers;
    let path: Vec<&str> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, path.as_slice()) {
        (&Method::POST, ["v1", "plans"]) => into_response(create_plan(&state, headers, body).await),
        (&Method::GET, ["v1", "plans", id]) => into_response(read_plan(&state, headers, id).await),
        (&Method::POST, ["v1", "plans", id, "confirm"]) => {
            into_response(confirm_plan(&state, headers, id).await)
        }
        (&Method::GET, ["v1", "status"]) => into_response(fleet_status(&state, headers).await),
        (&Method::GET, ["v1", "history"]) => into_response(history(&state, headers).await),
        (&Method::GET, ["v1", "export"]) => into_response(export_document(&state, headers).await),
        (&Method::POST, ["v1", "orders"]) => into_response(run_order(&state, headers, body).await),
        _ => into_response::<()>(Err(IntentError::NoSuchPath)),
    }
}

/// Returns the accepted document and the name of the operator. The document is read
/// for each request, so that all instances reject an operator as soon as the key is
/// removed.
async fn authenticate(
    state: &SharedState,
    headers: &HeaderMap,
) -> Result<(AcceptedConfig, String), IntentError> {
    let current = store::accepted_config(&state.platform).await?;
    let bootstrap = state.settings.bootstrap_operator.as_ref();
    let operator = auth::authenticate_operator(&current.stored.document, bootstrap, headers)?;
    Ok((current, operator))
}

async fn read_body<T: DeserializeOwned>(body: Incoming) -> Result<T, IntentError> {
    let read = tokio::time::timeout(BODY_TIMEOUT, read_json_body(body, MAX_BODY_BYTES)).await;
    let timed_out = |_| IntentError::BadRequest("the body did not arrive in time".to_owned());
    read.map_err(timed_out)?.map_err(|error| match error {
        ReadError::TooLarge { .. } => IntentError::TooLarge(error.to_string()),
        other => IntentError::BadRequest(other.to_string()),
    })
}

fn parse_plan_id(text: &str) -> Result<PlanId, IntentError> {
    PlanId::parse(text).ok_or_else(|| IntentError::NoSuchPlan(text.to_owned()))
}

async fn create_plan(
    state: &SharedState,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<PlanResponse, IntentError> {
    let (current, operator) = authenticate(state, headers).await?;
    plan::create(&state.platform, &current, read_body(body).await?, &operator, now_ms()).await
}

async fn read_plan(
    state: &SharedState,
    headers: &HeaderMap,
    id: &str,
) -> Result<PlanResponse, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    let plan = store::load_plan(&state.platform, &parse_plan_id(id)?).await?;
    let confirmed_as = current.confirmed_revision(&plan.id);
    Ok(PlanResponse { plan, confirmed_as })
}

async fn confirm_plan(
    state: &SharedState,
    headers: &HeaderMap,
    id: &str,
) -> Result<ConfirmResponse, IntentError> {
    let (current, operator) = authenticate(state, headers).await?;
    confirm::confirm(&state.platform, &current, &parse_plan_id(id)?, &operator, now_ms()).await
}

async fn fleet_status(
    state: &SharedState,
    headers: &HeaderMap,
) -> Result<StatusResponse, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    status::status(state, current.revision, headers.get(AUTHORIZATION)).await
}

async fn history(state: &SharedState, headers: &HeaderMap) -> Result<HistoryResponse, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    let entries = store::history_entries(current.history());
    Ok(HistoryResponse { revision: current.revision, entries })
}

async fn export_document(
    state: &SharedState,
    headers: &HeaderMap,
) -> Result<ExportResponse, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    let yaml = export(&current.stored.document).map_err(IntentError::CorruptObject)?;
    Ok(ExportResponse { revision: current.revision, yaml })
}

/// Runs the order in its own task, so that it is not cancelled between its claim and
/// its end when the caller disconnects.
async fn run_order(
    state: &Arc<SharedState>,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<crate::message::OrderResponse, IntentError> {
    let (current, operator) = authenticate(state, headers).await?;
    let request = read_body(body).await?;
    let state = Arc::clone(state);
    let task = tokio::spawn(async move {
        order::run(&state, &current.stored.document, request, &operator).await
    });
    task.await.map_err(|error| IntentError::OrderOutcomeUnknown(error.to_string()))?
}
