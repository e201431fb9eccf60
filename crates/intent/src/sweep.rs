//! Removes plans that were never confirmed.

use std::{sync::Arc, time::Duration};

use span_config::Plan;
use span_platform::PlatformClient;

use crate::{IntentError, clock::now_ms, run::State, store};

/// A plan older than this has to be made anew.
const PLAN_LIFETIME_MS: u64 = 24 * 3600 * 1000;
/// Mean time between sweeps of one instance. All instances sweep, at random
/// times, because none is reserved for it.
const INTERVAL_MS: u64 = 600_000;
/// Bounds the reads of one sweep.
const PLANS_PER_SWEEP: usize = 200;

/// Sweeps until the process ends.
pub(crate) async fn run(state: Arc<State>) {
    loop {
        let wait_ms = (INTERVAL_MS as f64 * (0.5 + rand::random::<f64>())) as u64;
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        if let Err(error) = sweep(&state.platform, rand::random(), now_ms()).await {
            tracing::debug!(%error, "plans are not swept");
        }
    }
}

/// Removes expired plans among a bounded run of plans that begins at a part
/// `start` of the list, and returns their number.
///
/// # Errors
///
/// [`IntentError::Platform`] if the object API fails.
pub async fn sweep(
    platform: &PlatformClient,
    start: f64,
    now_ms: u64,
) -> Result<usize, IntentError> {
    let mut keys = platform.list("plans/").await?;
    let first = (keys.len() as f64 * start.clamp(0.0, 1.0)) as usize;
    keys.rotate_left(first);
    let mut removed = 0;
    for key in keys.into_iter().take(PLANS_PER_SWEEP) {
        let Some(object) = platform.get(&key).await? else { continue };
        if store::read_plan(&object.value).is_ok_and(|plan| expired(&plan, now_ms)) {
            platform.delete(&key).await?;
            removed += 1;
        }
    }
    Ok(removed)
}

fn expired(plan: &Plan, now_ms: u64) -> bool {
    now_ms.saturating_sub(plan.planned_at_ms) > PLAN_LIFETIME_MS
}
