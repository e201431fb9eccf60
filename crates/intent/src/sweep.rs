//! Deletes old plans.

use std::{sync::Arc, time::Duration};

use span_config::Plan;
use span_platform::PlatformClient;

use crate::{IntentError, clock::now_ms, process::SharedState, store};

/// Plans older than this may be deleted and have to be made again.
const MAX_PLAN_AGE_MS: u64 = 24 * 3600 * 1000;
/// Mean time between the sweeps of one instance. All instances sweep at random times,
/// because no single one is responsible for it.
const MEAN_SWEEP_INTERVAL_MS: u64 = 600_000;
/// Limits the reads of one sweep.
const MAX_PLANS_PER_SWEEP: usize = 200;

/// Sweeps periodically until the process ends.
pub(crate) async fn run(state: Arc<SharedState>) {
    loop {
        let wait_ms = (MEAN_SWEEP_INTERVAL_MS as f64 * (0.5 + rand::random::<f64>())) as u64;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if let Err(error) = sweep(&state.platform, rand::random(), now_ms()).await {
            tracing::debug!(%error, "cannot sweep old plans; retrying at the next sweep");
        }
    }
}

/// Deletes the expired plans among a limited number of consecutive plans, and returns
/// how many it deleted. `start_fraction`, from 0 to 1, is where in the list of plans
/// it starts.
///
/// # Errors
///
/// [`IntentError::Platform`] if the object API fails.
pub async fn sweep(
    platform: &PlatformClient,
    start_fraction: f64,
    now_ms: u64,
) -> Result<usize, IntentError> {
    let mut keys = platform.list("plans/").await?;
    let start = (keys.len() as f64 * start_fraction.clamp(0.0, 1.0)) as usize;
    keys.rotate_left(start);
    let mut removed = 0;
    for key in keys.into_iter().take(MAX_PLANS_PER_SWEEP) {
        let Some(object) = platform.get(&key).await? else { continue };
        if store::decode_plan(&object.value).is_ok_and(|plan| is_expired(&plan, now_ms)) {
            platform.delete(&key).await?;
            removed += 1;
        }
    }
    Ok(removed)
}

fn is_expired(plan: &Plan, now_ms: u64) -> bool {
    now_ms.saturating_sub(plan.planned_at_ms) > MAX_PLAN_AGE_MS
}
