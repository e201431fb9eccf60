//! Orders to engines: at most once each, under a lease with a fencing number.
//!
//! Engines that check the number refuse an order from a holder that was
//! overtaken. For the others each order is claimed by a conditional write, and
//! lease and claim are read again right before the order is sent. What remains
//! for such engines is a pause between that read and the sending.

mod claim;
mod engine;
mod lease;
mod steps;

use std::time::Duration;

use span_config::{Document, Upstream};
use span_types::ServiceKind;

use crate::{
    IntentError,
    clock::now_ms,
    message::{OrderAnswer, OrderRequest},
    run::State,
};

pub use claim::{Claim, ClaimState, Claims, Decision};
pub use engine::{EngineOrder, Sent};
pub use lease::{Acquire, LEASE_KEY, LEASE_MS, Lease, LoadRate, acquire, holds};
pub use steps::{Orders, Target};

const MAX_ID_LENGTH: usize = 64;

/// Carries out one order.
pub(crate) async fn run(
    state: &State,
    document: &Document,
    request: OrderRequest,
    operator: &str,
) -> Result<OrderAnswer, IntentError> {
    check_id(&request.id)?;
    let target = target(document, &request)?;
    let _turn = state.order_turn.lock().await;
    let orders = Orders {
        platform: state.platform.clone(),
        client: state.client.clone(),
        holder: state.holder.clone(),
        load_rate: LoadRate { per_minute: state.settings.weight_loads_per_minute },
        timeout: Duration::from_millis(state.settings.order_timeout_ms),
    };
    if let Some(fencing) = orders.carried_out(&target, &request.id).await? {
        return Ok(OrderAnswer { id: request.id, fencing, repeated: true });
    }
    let lease = orders.acquire(request.kind, now_ms()).await?;
    let result = perform(&orders, &lease, &target, &request).await;
    orders.release(&lease).await;
    let (id, upstream) = (&request.id, &request.upstream);
    let ok = result.is_ok();
    tracing::info!(id, %upstream, operator, fencing = lease.fencing, ok, "order ended");
    let earlier = result?;
    Ok(OrderAnswer {
        id: request.id,
        fencing: earlier.unwrap_or(lease.fencing),
        repeated: earlier.is_some(),
    })
}

/// Returns the fencing number of an earlier execution, if there was one.
async fn perform(
    orders: &Orders,
    lease: &Lease,
    target: &Target,
    request: &OrderRequest,
) -> Result<Option<u64>, IntentError> {
    if !target.checks_fencing
        && let Some(earlier) = orders.claim(lease, target, &request.id).await?
    {
        return Ok(Some(earlier));
    }
    if let Err(error) = orders.check(lease, target, &request.id, now_ms()).await {
        orders.close(lease, target, &request.id, ClaimState::NotRun).await;
        return Err(error);
    }
    orders.send(lease, target, request).await?;
    Ok(None)
}

/// The id is part of messages and stored values.
fn check_id(id: &str) -> Result<(), IntentError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    if !id.is_empty() && id.len() <= MAX_ID_LENGTH && id.bytes().all(allowed) {
        return Ok(());
    }
    let message = format!("an order id has 1 to {MAX_ID_LENGTH} letters, digits or '-'");
    Err(IntentError::BadRequest(message))
}

fn target(document: &Document, request: &OrderRequest) -> Result<Target, IntentError> {
    let no = |message: String| IntentError::BadRequest(message);
    let name = &request.upstream;
    let upstream: &Upstream =
        document.upstreams.get(name).ok_or_else(|| no(format!("there is no upstream {name}")))?;
    let kind = document.services.get(&upstream.service).map(|service| service.kind);
    if kind != Some(ServiceKind::Model) {
        return Err(no(format!("upstream {name} is no model engine")));
    }
    Ok(Target {
        upstream: name.clone(),
        address: upstream.address,
        checks_fencing: upstream.checks_fencing,
    })
}
