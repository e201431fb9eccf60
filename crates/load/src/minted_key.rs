//! Idempotency keys that routers mint.

use std::{sync::Arc, time::Duration};

use http::{Request, header::AUTHORIZATION};
use serde::Deserialize;
use span_http::{Client, read_json_body};

use crate::fleet::RouterEndpoint;

const MAX_ANSWER_BYTES: usize = 64 * 1024;
const KEY_TIMEOUT: Duration = Duration::from_secs(2);

/// An idempotency key minted by a router. Only that router runs requests with it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MintedKey {
    pub key: String,
    pub instance: Arc<str>,
}

/// Requests a key from a router. Returns `None` if the router does not answer or
/// rejects the request.
pub(crate) async fn request_key(
    client: &Client,
    router: &RouterEndpoint,
    api_key: &str,
) -> Option<MintedKey> {
    let request = Request::post(format!("http://{}/v1/keys", router.address))
        .header(AUTHORIZATION, format!("Bearer {api_key}"))
        .body(span_http::empty_body())
        .ok()?;
    let answer = tokio::time::timeout(KEY_TIMEOUT, client.request(request)).await.ok()?.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    read_json_body(answer.into_body(), MAX_ANSWER_BYTES).await.ok()
}
