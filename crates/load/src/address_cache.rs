//! Cache of the router addresses that a router told callers to use.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, StatusCode, header::AUTHORIZATION};
use serde::Deserialize;
use span_http::{Client, read_json_body};
use tokio::{sync::Mutex, time::Instant};

use crate::fleet::RouterEndpoint;

const MAX_ANSWER_BYTES: usize = 64 * 1024;
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the next fetch after a fetch failed or returned no addresses.
const FETCH_RETRY_DELAY: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct AddressResponse {
    addresses: Vec<ListedRouter>,
    lifetime_ms: u64,
}

#[derive(Deserialize)]
struct ListedRouter {
    instance: Arc<str>,
    address: SocketAddr,
}

/// Router addresses shared by the callers of one workspace.
#[derive(Debug, Default)]
pub(crate) struct AddressCache {
    cached: Mutex<CachedEndpoints>,
}

#[derive(Debug, Default)]
struct CachedEndpoints {
    endpoints: Vec<RouterEndpoint>,
    expires_at: Option<Instant>,
}

impl AddressCache {
    /// Returns the routers to use, the preferred one first. Fetches them from `router`
    /// if the cached ones have expired. Empty if the last fetch failed or returned none.
    pub async fn endpoints(
        &self,
        client: &Client,
        router: &RouterEndpoint,
        key: &str,
        known_routers: &[RouterEndpoint],
    ) -> Vec<RouterEndpoint> {
        let mut cached = self.cached.lock().await;
        if cached.expires_at.is_some_and(|expires_at| Instant::now() < expires_at) {
            return cached.endpoints.clone();
        }
        let response =
            tokio::time::timeout(FETCH_TIMEOUT, fetch_addresses(client, router, key)).await;
        let (endpoints, lifetime) = match response.ok().flatten() {
            Some(response) if !response.addresses.is_empty() => {
                let lifetime = Duration::from_millis(response.lifetime_ms);
                (
                    response
                        .addresses
                        .into_iter()
                        .map(|listed| resolve_endpoint(listed, known_routers))
                        .collect(),
                    lifetime,
                )
            }
            _ => (Vec::new(), FETCH_RETRY_DELAY),
        };
        *cached = CachedEndpoints { endpoints, expires_at: Some(Instant::now() + lifetime) };
        cached.endpoints.clone()
    }

    /// Expires the cached addresses, for instance after one of them failed.
    pub async fn invalidate(&self) {
        self.cached.lock().await.expires_at = None;
    }
}

/// Returns the known endpoint of an instance, which leads through the relay so that
/// its delay applies; the listed address if the instance is not known.
fn resolve_endpoint(listed: ListedRouter, known_routers: &[RouterEndpoint]) -> RouterEndpoint {
    let found = known_routers.iter().find(|router| router.name == listed.instance);
    found.cloned().unwrap_or(RouterEndpoint { name: listed.instance, address: listed.address })
}

async fn fetch_addresses(
    client: &Client,
    router: &RouterEndpoint,
    key: &str,
) -> Option<AddressResponse> {
    let request = Request::get(format!("http://{}/v1/addresses", router.address))
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .body(span_http::empty_body())
        .ok()?;
    let answer = client.request(request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    read_json_body(answer.into_body(), MAX_ANSWER_BYTES).await.ok()
}
