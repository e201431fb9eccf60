//! Starts and stops a router.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwap;
use http::Request;
use span_config::Document;
use span_http::{Client, Limits, Server, read_json};
use span_types::{Incarnation, Member};

use crate::{
    control,
    front::{self, Front},
    settings::Settings,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// The router could not be started.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// An address cannot be bound or a thread cannot be started.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    server: Server,
}

impl Router {
    /// Address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting, finishes what is in flight, then returns.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

/// Starts a router.
///
/// # Errors
///
/// Fails if an address cannot be bound or a thread cannot be started.
pub async fn spawn(settings: Settings) -> Result<Router, SpawnError> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(incarnation.as_micros()).unwrap_or(u64::MAX));
    let front = Arc::new(Front {
        member: Member { instance: settings.instance.clone(), incarnation },
        document: Arc::default(),
        control: control::spawn()?,
        client: span_http::client(CONNECT_TIMEOUT),
        last_seq: AtomicU64::new(0),
    });
    let document = Arc::clone(&front.document);
    tokio::spawn(follow(front.client.clone(), settings.clone(), document, front.control.clone()));
    let handler = move |request, _peer| front::handle(Arc::clone(&front), request);
    let server = span_http::bind(settings.http_address, Limits::default(), handler).await?;
    Ok(Router { server })
}

async fn follow(
    client: Client,
    settings: Settings,
    current: Arc<ArcSwap<Document>>,
    control: control::Handle,
) {
    loop {
        if let Some(document) = fetch(&client, settings.platform_address).await {
            let document = Arc::new(document);
            current.store(Arc::clone(&document));
            control.configure(document);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn fetch(client: &Client, platform: SocketAddr) -> Option<Document> {
    let uri = format!("http://{platform}/objects/config/current");
    let request = Request::get(uri).body(span_http::empty()).ok()?;
    let answer = client.request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    read_json(answer.into_body(), MAX_DOCUMENT_BYTES).await.ok()
}
