//! Asks each listed router which revision is in force there.

use std::time::Duration;

use futures::{StreamExt, stream};
use http::{HeaderValue, Request, header::AUTHORIZATION};
use serde::Deserialize;
use span_http::{Client, empty_body, read_json_body, root_cause};
use span_platform::Instance;
use span_types::Revision;

use crate::{
    IntentError,
    message::{RouterState, RouterStatus, StatusAnswer},
    run::State,
};

const MAX_STATUS_BYTES: usize = 256 * 1024;
/// Routers asked at the same time.
const CONCURRENCY: usize = 64;

/// The part of a router's status that matters here.
#[derive(Deserialize)]
struct Status {
    revision: Revision,
}

/// State of all listed routers with regard to the accepted revision.
///
/// The operator's own credentials are passed on, so that a router shows its
/// status to nobody whom it would not show it to directly.
pub(crate) async fn status(
    state: &State,
    accepted: Revision,
    credentials: Option<&HeaderValue>,
) -> Result<StatusAnswer, IntentError> {
    let instances = state.platform.instances().await?;
    let timeout = Duration::from_millis(state.settings.status_timeout_ms);
    let asked = stream::iter(instances)
        .map(|instance| {
            ask(state.client.clone(), instance, accepted, timeout, credentials.cloned())
        })
        .buffer_unordered(CONCURRENCY);
    let mut routers: Vec<RouterStatus> = asked.collect().await;
    routers.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(StatusAnswer { revision: accepted, routers })
}

async fn ask(
    client: Client,
    instance: Instance,
    accepted: Revision,
    timeout: Duration,
    credentials: Option<HeaderValue>,
) -> RouterStatus {
    let fetched = tokio::time::timeout(timeout, fetch(&client, &instance, credentials)).await;
    let (state, revision, reason) = match fetched {
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

async fn fetch(
    client: &Client,
    instance: &Instance,
    credentials: Option<HeaderValue>,
) -> Result<Revision, (RouterState, String)> {
    let unreachable = |reason: String| (RouterState::Unreachable, reason);
    let silent = |reason: String| (RouterState::NoRevision, reason);
    let uri = format!("http://{}/status", instance.http_address);
    let mut request =
        Request::get(uri).body(empty_body()).map_err(|error| unreachable(error.to_string()))?;
    if let Some(credentials) = credentials {
        request.headers_mut().insert(AUTHORIZATION, credentials);
    }
    let answer = client.request(request).await.map_err(|error| unreachable(root_cause(&error)))?;
    if !answer.status().is_success() {
        return Err(silent(format!("status {}", answer.status().as_u16())));
    }
    let status: Status = read_json_body(answer.into_body(), MAX_STATUS_BYTES)
        .await
        .map_err(|error| silent(error.to_string()))?;
    Ok(status.revision)
}
