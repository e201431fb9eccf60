//! Queries each listed router for the revision that it has in force.

use std::time::Duration;

use futures::{StreamExt, stream};
use http::{HeaderValue, Request, header::AUTHORIZATION};
use serde::Deserialize;
use span_http::{Client, empty_body, read_json_body, root_cause};
use span_platform::Instance;
use span_types::Revision;

use crate::{
    IntentError,
    message::{RouterState, RouterStatus, StatusResponse},
    process::SharedState,
};

const MAX_STATUS_BYTES: usize = 256 * 1024;
/// Maximum number of routers that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// The field of a router's status that is used here.
#[derive(Deserialize)]
struct StatusBody {
    revision: Revision,
}

/// Compares the revision of all listed routers with the accepted one.
///
/// The operator's credentials are forwarded, so that operators only see the status of
/// routers that they may query directly.
pub(crate) async fn status(
    state: &SharedState,
    accepted: Revision,
    credentials: Option<&HeaderValue>,
) -> Result<StatusResponse, IntentError> {
    let instances = state.platform.instances().await?;
    let timeout = Duration::from_millis(state.settings.status_timeout_ms);
    let queries = stream::iter(instances)
        .map(|instance| {
            query_router(state.client.clone(), instance, accepted, timeout, credentials.cloned())
        })
        .buffer_unordered(MAX_CONCURRENT_QUERIES);
    let mut routers: Vec<RouterStatus> = queries.collect().await;
    routers.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(StatusResponse { revision: accepted, routers })
}

async fn query_router(
    client: Client,
    instance: Instance,
    accepted: Revision,
    timeout: Duration,
    credentials: Option<HeaderValue>,
) -> RouterStatus {
    let result =
        tokio::time::timeout(timeout, fetch_revision(&client, &instance, credentials)).await;
    let (state, revision, reason) = match result {
        Ok(Ok(revision)) if revision == accepted => (RouterState::InForce, Some(revision), None),
        Ok(Ok(revision)) => (RouterState::Behind, Some(revision), None),
        Ok(Err((state, reason))) => (state, None, Some(reason)),
        Err(_) => {
            let reason = format!("no answer within {} ms", timeout.as_millis());
            (RouterState::Unreachable, None, Some(reason))
        }
    };
    RouterStatus {
        instance: instance.name,
        failure_domain: instance.failure_domain,
        http_address: instance.http_address,
        leaving: instance.leaving,
        state,
        revision,
        reason,
    }
}

async fn fetch_revision(
    client: &Client,
    instance: &Instance,
    credentials: Option<HeaderValue>,
) -> Result<Revision, (RouterState, String)> {
    let unreachable = |reason: String| (RouterState::Unreachable, reason);
    let no_revision = |reason: String| (RouterState::NoRevision, reason);
    let uri = format!("http://{}/status", instance.http_address);
    let mut request =
        Request::get(uri).body(empty_body()).map_err(|error| unreachable(error.to_string()))?;
    if let Some(credentials) = credentials {
        request.headers_mut().insert(AUTHORIZATION, credentials);
    }
    let response =
        client.request(request).await.map_err(|error| unreachable(root_cause(&error)))?;
    if !response.status().is_success() {
        return Err(no_revision(format!("status {}", response.status().as_u16())));
    }
    let status: StatusBody = read_json_body(response.into_body(), MAX_STATUS_BYTES)
        .await
        .map_err(|error| no_revision(error.to_string()))?;
    Ok(status.revision)
}
