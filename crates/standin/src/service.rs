//! Stand-in for a plain service. It executes each call as soon as a slot is free
//! and answers with the request that it received.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use span_http::{Body, Limits, Server, collect_body, json_response};
use span_types::{PLAIN_CALL_COST_UNITS, REQUEST_ID_HEADER};
use tokio::sync::Semaphore;

use crate::{Ledger, unix_us};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Request header whose value the service copies to the ledger and the answer.
pub const NONCE_HEADER: &str = "x-nonce";

/// Capacity and speed of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest number of concurrent calls.
    pub slots: u32,
    /// Duration of one call, in milliseconds.
    pub call_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { slots: 8, call_ms: 20 }
    }
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    ledger: Ledger,
}

impl Service {
    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the ledger of executed calls.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Closes all connections and stops without waiting for calls.
    pub fn abort(self) {
        self.server.abort();
    }
}

struct State {
    settings: Settings,
    slots: Semaphore,
    queued: AtomicU32,
    ledger: Ledger,
}

/// Starts a service that listens on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Service> {
    let ledger = Ledger::default();
    let state = Arc::new(State {
        slots: Semaphore::new(settings.slots as usize),
        queued: AtomicU32::new(0),
        ledger: ledger.clone(),
        settings,
    });
    let handler = move |request, _peer| handle(Arc::clone(&state), request);
    let server = span_http::serve(address, Limits::default(), handler).await?;
    Ok(Service { server, ledger })
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => load_report(&state),
        (&Method::GET, "/ledger") => json_response(StatusCode::OK, &state.ledger.executions()),
        _ => handle_call(state, request).await,
    }
}

fn load_report(state: &State) -> Response<Body> {
    let free = state.slots.available_permits() as u32;
    let report = json!({
        "running": state.settings.slots - free,
        "waiting": state.queued.load(Ordering::Relaxed),
        "slots": state.settings.slots,
        "age_ms": 0,
    });
    json_response(StatusCode::OK, &report)
}

async fn handle_call(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let header = |name| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, nonce) = (header(REQUEST_ID_HEADER), header(NONCE_HEADER));
    let (method, uri) = (request.method().to_string(), request.uri().to_string());
    let body = match collect_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            let error = json!({ "error": { "message": error.to_string() } });
            return json_response(StatusCode::BAD_REQUEST, &error);
        }
    };
    // Runs in its own task so that the call completes even if the connection
    // closes.
    let execution = tokio::spawn(execute(state, id, nonce.clone()));
    let _ = execution.await;
    json_response(
        StatusCode::OK,
        &json!({
            "nonce": nonce,
            "method": method,
            "uri": uri,
            "body": String::from_utf8_lossy(&body),
        }),
    )
}

async fn execute(state: Arc<State>, id: String, nonce: String) {
    let index = state.ledger.record_arrival(&id, &nonce, PLAIN_CALL_COST_UNITS);
    state.queued.fetch_add(1, Ordering::Relaxed);
    // The semaphore is never closed and grants permits in order of arrival.
    let slot = state.slots.acquire().await;
    state.queued.fetch_sub(1, Ordering::Relaxed);
    state.ledger.update(index, |execution| execution.started_us = unix_us());
    tokio::time::sleep(Duration::from_millis(state.settings.call_ms)).await;
    state.ledger.update(index, |execution| execution.ended_us = unix_us());
    drop(slot);
}
