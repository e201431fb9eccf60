//! Client for the order interface of engines.

use std::{net::SocketAddr, time::Duration};

use http::{Method, Request};
use serde::{Deserialize, Serialize};
use span_http::{Client, collect_body, empty_body, full_body, root_cause};

const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// An order in the form that engines accept and list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Id of the order.
    pub id: String,
    /// Fencing number of the lease under which it is sent.
    pub fencing: u64,
    /// Name of the order's kind.
    pub kind: String,
    /// Model, adapter, version or role to load or change to.
    pub target: String,
}

/// Result of sending an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The engine executed the order.
    Done,
    /// The order did not reach the engine, or the engine rejected it.
    NotRun(String),
    /// The engine may have executed the order.
    Unknown(String),
}

/// Sends an order without any retry.
pub(crate) async fn send(
    client: &Client,
    address: SocketAddr,
    order: &EngineOrder,
    timeout: Duration,
) -> SendResult {
    let body = match serde_json::to_vec(order) {
        Ok(body) => body,
        Err(error) => return SendResult::NotRun(error.to_string()),
    };
    let uri = format!("http://{address}/orders");
    let request = match Request::builder().method(Method::POST).uri(uri).body(full_body(body)) {
        Ok(request) => request,
        Err(error) => return SendResult::NotRun(error.to_string()),
    };
    match tokio::time::timeout(timeout, client.request(request)).await {
        Err(_) => SendResult::Unknown(format!("no answer within {} ms", timeout.as_millis())),
        Ok(Err(error)) if error.is_connect() => SendResult::NotRun(root_cause(&error)),
        Ok(Err(error)) => SendResult::Unknown(root_cause(&error)),
        Ok(Ok(response)) if response.status().is_success() => SendResult::Done,
        Ok(Ok(response)) => {
            let reason = format!("the engine answered with status {}", response.status().as_u16());
            // After a server error, the order may or may not have been executed.
            if response.status().is_server_error() {
                SendResult::Unknown(reason)
            } else {
                SendResult::NotRun(reason)
            }
        }
    }
}

/// Returns the fencing number under which the engine executed order `id`, if it did.
pub(crate) async fn executed_fencing(
    client: &Client,
    address: SocketAddr,
    id: &str,
    timeout: Duration,
) -> Result<Option<u64>, String> {
    let orders = tokio::time::timeout(timeout, fetch_executed_orders(client, address)).await;
    let orders = orders.map_err(|_| format!("no answer within {} ms", timeout.as_millis()))??;
    Ok(orders.iter().find(|order| order.id == id).map(|order| order.fencing))
}

async fn fetch_executed_orders(
    client: &Client,
    address: SocketAddr,
) -> Result<Vec<EngineOrder>, String> {
    let request = Request::get(format!("http://{address}/orders"))
        .body(empty_body())
        .map_err(|error| error.to_string())?;
    let response = client.request(request).await.map_err(|error| root_cause(&error))?;
    if !response.status().is_success() {
        return Err(format!("the engine answered with status {}", response.status().as_u16()));
    }
    let body = collect_body(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
