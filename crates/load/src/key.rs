//! Keys under which a request runs at most once.

use std::{sync::Arc, time::Duration};

use http::{Request, header::AUTHORIZATION};
use serde::Deserialize;
use span_http::{Client, read_json_body};

use crate::fleet::Entry;

const MAX_ANSWER_BYTES: usize = 64 * 1024;
const TIMEOUT: Duration = Duration::from_secs(2);

/// A key that a router minted; only that router runs requests with it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MintedKey {
    pub key: String,
    pub instance: Arc<str>,
}

/// Asks a router for a key; `None` if it does not mint any.
pub(crate) async fn mint(client: &Client, router: &Entry, bearer: &str) -> Option<MintedKey> {
    let request = Request::post(format!("http://{}/v1/keys", router.address))
        .header(AUTHORIZATION, format!("Bearer {bearer}"))
        .body(span_http::empty_body())
        .ok()?;
    let answer = tokio::time::timeout(TIMEOUT, client.request(request)).await.ok()?.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    read_json_body(answer.into_body(), MAX_ANSWER_BYTES).await.ok()
}
