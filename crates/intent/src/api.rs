//! HTTP interface for operators.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Method, Request, Response, header::AUTHORIZATION};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use span_config::{AcceptedConfig, PlanId, export};
use span_http::{Body, ReadError, read_json_body};

use crate::{
    IntentError,
    answer::answer,
    auth,
    clock::now_ms,
    confirm,
    message::{ConfirmAnswer, ExportAnswer, HistoryAnswer, PlanAnswer, StatusAnswer},
    order, plan,
    run::State,
    status, store,
};

/// Largest body, in bytes: a document of the object API's limit, as YAML.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one request.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let headers = &parts.headers;
    let path: Vec<&str> = parts.uri.path().split('/').skip(1).collect();
    match (&parts.method, path.as_slice()) {
        (&Method::POST, ["v1", "plans"]) => answer(make_plan(&state, headers, body).await),
        (&Method::GET, ["v1", "plans", id]) => answer(read_plan(&state, headers, id).await),
        (&Method::POST, ["v1", "plans", id, "confirm"]) => {
            answer(confirm_plan(&state, headers, id).await)
        }
        (&Method::GET, ["v1", "status"]) => answer(fleet_status(&state, headers).await),
        (&Method::GET, ["v1", "history"]) => answer(history(&state, headers).await),
        (&Method::GET, ["v1", "export"]) => answer(export_document(&state, headers).await),
        (&Method::POST, ["v1", "orders"]) => answer(give_order(&state, headers, body).await),
        _ => answer::<()>(Err(IntentError::NoSuchPath)),
    }
}

/// The accepted document and the operator. Read anew for each request, so that
/// an operator whose key is gone is refused at every instance at once.
async fn authenticate(
    state: &State,
    headers: &HeaderMap,
) -> Result<(AcceptedConfig, String), IntentError> {
    let current = store::current(&state.platform).await?;
    let bootstrap = state.settings.bootstrap_operator.as_ref();
    let operator = auth::operator(&current.stored.document, bootstrap, headers)?;
    Ok((current, operator))
}

async fn read<T: DeserializeOwned>(body: Incoming) -> Result<T, IntentError> {
    let read = tokio::time::timeout(BODY_TIMEOUT, read_json_body(body, MAX_BODY_BYTES)).await;
    let timed_out = |_| IntentError::BadRequest("the body did not arrive in time".to_owned());
    read.map_err(timed_out)?.map_err(|error| match error {
        ReadError::TooLarge { .. } => IntentError::TooLarge(error.to_string()),
        other => IntentError::BadRequest(other.to_string()),
    })
}

fn plan_id(text: &str) -> Result<PlanId, IntentError> {
    PlanId::parse(text).ok_or_else(|| IntentError::NoSuchPlan(text.to_owned()))
}

async fn make_plan(
    state: &State,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<PlanAnswer, IntentError> {
    let (current, operator) = authenticate(state, headers).await?;
    plan::make(&state.platform, &current, read(body).await?, &operator, now_ms()).await
}

async fn read_plan(
    state: &State,
    headers: &HeaderMap,
    id: &str,
) -> Result<PlanAnswer, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    let plan = store::plan(&state.platform, &plan_id(id)?).await?;
    let confirmed_as = current.confirmed(&plan.id);
    Ok(PlanAnswer { plan, confirmed_as })
}

async fn confirm_plan(
    state: &State,
    headers: &HeaderMap,
    id: &str,
) -> Result<ConfirmAnswer, IntentError> {
    let (current, operator) = authenticate(state, headers).await?;
    confirm::confirm(&state.platform, &current, &plan_id(id)?, &operator, now_ms()).await
}

async fn fleet_status(state: &State, headers: &HeaderMap) -> Result<StatusAnswer, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    status::status(state, current.revision, headers.get(AUTHORIZATION)).await
}

async fn history(state: &State, headers: &HeaderMap) -> Result<HistoryAnswer, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    let entries = store::entries(current.history());
    Ok(HistoryAnswer { revision: current.revision, entries })
}

async fn export_document(state: &State, headers: &HeaderMap) -> Result<ExportAnswer, IntentError> {
    let (current, _) = authenticate(state, headers).await?;
    let yaml = export(&current.stored.document).map_err(IntentError::Corrupt)?;
    Ok(ExportAnswer { revision: current.revision, yaml })
}

/// The order runs in a task of its own: a caller that goes away must not stop
/// it between its claim and its end.
async fn give_order(
    state: &Arc<State>,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<crate::message::OrderAnswer, IntentError> {
    let (current, operator) = authenticate(state, headers).await?;
    let request = read(body).await?;
    let state = Arc::clone(state);
    let task = tokio::spawn(async move {
        order::run(&state, &current.stored.document, request, &operator).await
    });
    task.await.map_err(|error| IntentError::OrderUnknown(error.to_string()))?
}
