//! Sends orders to engines, each at most once, under a lease with a fencing number.
//!
//! An engine that checks fencing numbers rejects an order from a process that lost the
//! lease, once it has executed an order with a higher number. For other engines, a
//! conditional write claims each order, and the lease and the claim are read again
//! immediately before the order is sent. For these engines, a pause between that read
//! and the send remains undetected.

mod claim;
mod engine;
mod executor;
mod lease;

use std::time::Duration;

use span_config::{Document, Upstream};
use span_types::ServiceKind;

use crate::{
    IntentError,
    clock::now_ms,
    message::{OrderRequest, OrderResponse},
    process::SharedState,
};

pub use claim::{Claim, ClaimDecision, ClaimState, Claims};
pub use engine::{EngineOrder, SendResult};
pub use executor::{OrderExecutor, OrderTarget};
pub use lease::{
    AcquireDecision, LEASE_DURATION_MS, LEASE_KEY, Lease, LoadRate, decide_acquire, is_held,
};

const MAX_ORDER_ID_BYTES: usize = 64;

/// Runs one order, unless the engine already executed an order with this id.
pub(crate) async fn run(
    state: &SharedState,
    document: &Document,
    request: OrderRequest,
    operator: &str,
) -> Result<OrderResponse, IntentError> {
    check_order_id(&request.id)?;
    let target = resolve_target(document, &request)?;
    let _guard = state.order_lock.lock().await;
    let executor = OrderExecutor {
        platform: state.platform.clone(),
        client: state.client.clone(),
        holder: state.holder.clone(),
        load_rate: LoadRate { per_minute: state.settings.weight_loads_per_minute },
        timeout: Duration::from_millis(state.settings.order_timeout_ms),
    };
    if let Some(fencing) = executor.executed_fencing(&target, &request.id).await? {
        return Ok(OrderResponse { id: request.id, fencing, repeated: true });
    }
    let lease = executor.acquire(request.kind, now_ms()).await?;
    let result = run_under_lease(&executor, &lease, &target, &request).await;
    executor.release(&lease).await;
    let (id, upstream) = (&request.id, &request.upstream);
    let ok = result.is_ok();
    tracing::info!(id, %upstream, operator, fencing = lease.fencing, ok, "order ended");
    let earlier_fencing = result?;
    Ok(OrderResponse {
        id: request.id,
        fencing: earlier_fencing.unwrap_or(lease.fencing),
        repeated: earlier_fencing.is_some(),
    })
}

/// Claims, verifies and sends an order under `lease`. Returns the fencing number of
/// the earlier execution if the order was already executed.
async fn run_under_lease(
    executor: &OrderExecutor,
    lease: &Lease,
    target: &OrderTarget,
    request: &OrderRequest,
) -> Result<Option<u64>, IntentError> {
    if !target.checks_fencing
        && let Some(earlier_fencing) = executor.claim(lease, target, &request.id).await?
    {
        return Ok(Some(earlier_fencing));
    }
    if let Err(error) = executor.verify(lease, target, &request.id, now_ms()).await {
        executor.record_outcome(lease, target, &request.id, ClaimState::NotRun).await;
        return Err(error);
    }
    executor.send(lease, target, request).await?;
    Ok(None)
}

/// Limits the length and characters of an order id, because it is used in messages
/// and stored values.
fn check_order_id(id: &str) -> Result<(), IntentError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    if !id.is_empty() && id.len() <= MAX_ORDER_ID_BYTES && id.bytes().all(is_allowed) {
        return Ok(());
    }
    let message = format!("an order id has 1 to {MAX_ORDER_ID_BYTES} letters, digits or '-'");
    Err(IntentError::BadRequest(message))
}

/// Finds the model engine that the request names.
fn resolve_target(document: &Document, request: &OrderRequest) -> Result<OrderTarget, IntentError> {
    let bad_request = |message: String| IntentError::BadRequest(message);
    let name = &request.upstream;
    let upstream: &Upstream = document
        .upstreams
        .get(name)
        .ok_or_else(|| bad_request(format!("there is no upstream {name}")))?;
    let kind = document.services.get(&upstream.service).map(|service| service.kind);
    if kind != Some(ServiceKind::Model) {
        return Err(bad_request(format!("upstream {name} is no model engine")));
    }
    Ok(OrderTarget {
        upstream: name.clone(),
        address: upstream.address,
        checks_fencing: upstream.checks_fencing,
    })
}
