//! Calls of an engine's order interface.

use std::{net::SocketAddr, time::Duration};

use http::{Method, Request};
use serde::{Deserialize, Serialize};
use span_http::{Client, collect_body, empty_body, full_body, root_cause};

const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// An order as engines read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identifies the order.
    pub id: String,
    /// Fencing number of the lease.
    pub fencing: u64,
    /// What to do.
    pub kind: String,
    /// Model, adapter, version or role that the order names.
    pub target: String,
}

/// What is known after an order was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The engine carried it out.
    Done,
    /// It did not reach the engine, or the engine refused it.
    NotRun(String),
    /// It may have been carried out.
    Unknown(String),
}

/// Sends an order once.
pub(crate) async fn send(
    client: &Client,
    address: SocketAddr,
    order: &EngineOrder,
    timeout: Duration,
) -> Sent {
    let body = match serde_json::to_vec(order) {
        Ok(body) => body,
        Err(error) => return Sent::NotRun(error.to_string()),
    };
    let uri = format!("http://{address}/orders");
    let request = match Request::builder().method(Method::POST).uri(uri).body(full_body(body)) {
        Ok(request) => request,
        Err(error) => return Sent::NotRun(error.to_string()),
    };
    match tokio::time::timeout(timeout, client.request(request)).await {
        Err(_) => Sent::Unknown(format!("no answer within {} ms", timeout.as_millis())),
        Ok(Err(error)) if error.is_connect() => Sent::NotRun(root_cause(&error)),
        Ok(Err(error)) => Sent::Unknown(root_cause(&error)),
        Ok(Ok(answer)) if answer.status().is_success() => Sent::Done,
        Ok(Ok(answer)) => {
            let reason = format!("the engine answered with status {}", answer.status().as_u16());
            // A server's error does not tell how far the order came.
            if answer.status().is_server_error() {
                Sent::Unknown(reason)
            } else {
                Sent::NotRun(reason)
            }
        }
    }
}

/// Fencing number under which the engine carried out order `id`, if it did.
pub(crate) async fn carried_out(
    client: &Client,
    address: SocketAddr,
    id: &str,
    timeout: Duration,
) -> Result<Option<u64>, String> {
    let rows = tokio::time::timeout(timeout, rows(client, address)).await;
    let rows = rows.map_err(|_| format!("no answer within {} ms", timeout.as_millis()))??;
    Ok(rows.iter().find(|row| row.id == id).map(|row| row.fencing))
}

async fn rows(client: &Client, address: SocketAddr) -> Result<Vec<EngineOrder>, String> {
    let request = Request::get(format!("http://{address}/orders"))
        .body(empty_body())
        .map_err(|error| error.to_string())?;
    let answer = client.request(request).await.map_err(|error| root_cause(&error))?;
    if !answer.status().is_success() {
        return Err(format!("the engine answered with status {}", answer.status().as_u16()));
    }
    let body = collect_body(answer.into_body(), MAX_ANSWER_BYTES);
    let body = body.await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
