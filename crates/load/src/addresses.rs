//! Addresses that a caller was told to use.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, StatusCode, header::AUTHORIZATION};
use serde::Deserialize;
use span_http::{Client, read_json_body};
use tokio::{sync::Mutex, time::Instant};

use crate::fleet::Entry;

const MAX_ANSWER_BYTES: usize = 64 * 1024;
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until a caller asks again after a router did not tell addresses.
const RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Told {
    addresses: Vec<ToldAddress>,
    lifetime_ms: u64,
}

#[derive(Deserialize)]
struct ToldAddress {
    instance: Arc<str>,
    address: SocketAddr,
}

/// Cached addresses of the callers of one workspace.
#[derive(Debug, Default)]
pub(crate) struct AddressBook {
    cached: Mutex<Cached>,
}

#[derive(Debug, Default)]
struct Cached {
    entries: Vec<Entry>,
    expires: Option<Instant>,
}

impl AddressBook {
    /// Addresses to use, the preferred one first; empty if the router does not
    /// tell any.
    pub async fn entries(
        &self,
        client: &Client,
        ask: &Entry,
        key: &str,
        known: &[Entry],
    ) -> Vec<Entry> {
        let mut cached = self.cached.lock().await;
        if cached.expires.is_some_and(|expires| Instant::now() < expires) {
            return cached.entries.clone();
        }
        let told = tokio::time::timeout(ASK_TIMEOUT, fetch(client, ask, key)).await;
        let (entries, lifetime) = match told.ok().flatten() {
            Some(told) if !told.addresses.is_empty() => {
                let lifetime = Duration::from_millis(told.lifetime_ms);
                (told.addresses.into_iter().map(|told| reach(told, known)).collect(), lifetime)
            }
            _ => (Vec::new(), RETRY_AFTER),
        };
        *cached = Cached { entries, expires: Some(Instant::now() + lifetime) };
        cached.entries.clone()
    }

    /// Forgets the addresses after one of them failed.
    pub async fn forget(&self) {
        self.cached.lock().await.expires = None;
    }
}

/// The relay in front of a known instance, so that its delay applies.
fn reach(told: ToldAddress, known: &[Entry]) -> Entry {
    let found = known.iter().find(|entry| entry.name == told.instance);
    found.cloned().unwrap_or(Entry { name: told.instance, address: told.address })
}

async fn fetch(client: &Client, ask: &Entry, key: &str) -> Option<Told> {
    let request = Request::get(format!("http://{}/v1/addresses", ask.address))
        .header(AUTHORIZATION, format!("Bearer {key}"))
        .body(span_http::empty_body())
        .ok()?;
    let answer = client.request(request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    read_json_body(answer.into_body(), MAX_ANSWER_BYTES).await.ok()
}
