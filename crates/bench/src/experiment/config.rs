//! Configuration changes under load.
//!
//! Each change gives a workspace without load a new API key. A change is in force at
//! a router once the router accepts the key. It is reverted if the router rejects the
//! key afterwards although no later change was written.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use span_load::latency::percentiles;
use tokio::{sync::watch, task::JoinSet, time::Instant};

use super::{DisturbanceResult, fields};
use crate::{
    fleet::{Fleet, accepts_key, workspace_config},
    intents::IntentProcesses,
    json_client::JsonClient,
};

/// Not a multiple of a polling interval, so that changes occur at different times
/// within it.
const CHANGE_INTERVAL: Duration = Duration::from_millis(730);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a change in force is checked for being reverted.
const REVERT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait for the announcement of a later change, which may be in force before
/// it is announced to the observers.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(200);
const CHANGED_WORKSPACE: &str = "canary";

#[derive(Clone, Debug)]
struct AcceptedChange {
    key: String,
    accepted_at: Instant,
}

#[derive(Debug, Default)]
struct Observations {
    in_force_us: Vec<u64>,
    never_in_force: u64,
    reverts: u64,
}

pub(super) async fn run_disturbance(fleet: &mut Fleet, end: Instant) -> Result<DisturbanceResult> {
    let (announcement, changes) = watch::channel(None);
    let mut watchers = JoinSet::new();
    for router in &fleet.routers {
        watchers.spawn(observe_router(fleet.json_client(router.direct_address), changes.clone()));
    }
    let intents = IntentProcesses::start(fleet).await;
    let mut accepted_count = 0_u64;
    let mut failed_count = 0_u64;
    let mut acceptance_us = Vec::new();
    while Instant::now() + CHANGE_INTERVAL < end {
        let key = format!("key-canary-{accepted_count}");
        let services = [fleet.upstreams[0].service];
        fleet
            .document
            .workspaces
            .insert(CHANGED_WORKSPACE.into(), workspace_config(1, &services, &key));
        let requested_at = Instant::now();
        let result = match &intents {
            Some(intents) => intents.apply_change(&fleet.document).await,
            None => fleet.write_document().await,
        };
        match result {
            Ok(()) => {
                acceptance_us.extend(u64::try_from(requested_at.elapsed().as_micros()));
                announcement
                    .send_replace(Some(AcceptedChange { key, accepted_at: Instant::now() }));
                accepted_count += 1;
            }
            Err(error) => {
                tracing::warn!("configuration change failed: {error}");
                failed_count += 1;
            }
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    drop(announcement);
    let all_observations = watchers.join_all().await;
    let acceptance = percentiles(acceptance_us);
    let in_force = percentiles(
        all_observations.iter().flat_map(|observations| observations.in_force_us.clone()),
    );
    let fields = fields(json!({
        "config_through": if intents.is_some() { "intents" } else { "objects" },
        "config_accepted_ms_p99": acceptance.p99_us as f64 / 1000.0,
        "config_changes": accepted_count,
        "config_changes_failed": failed_count,
        "config_in_force_ms_p50": in_force.p50_us as f64 / 1000.0,
        "config_in_force_ms_p99": in_force.p99_us as f64 / 1000.0,
        "config_in_force_ms_max": in_force.max_us as f64 / 1000.0,
        "config_never_in_force": all_observations.iter().map(|observations| observations.never_in_force).sum::<u64>(),
        "config_reverts": all_observations.iter().map(|observations| observations.reverts).sum::<u64>(),
    }))?;
    Ok(DisturbanceResult { fields, leaving_events: None })
}

/// Observes one router until the last change.
async fn observe_router(
    router: JsonClient,
    mut changes: watch::Receiver<Option<AcceptedChange>>,
) -> Observations {
    let mut observations = Observations::default();
    while changes.changed().await.is_ok() {
        let Some(change) = changes.borrow_and_update().clone() else {
            continue;
        };
        observe_change(&router, &change, &changes, &mut observations).await;
    }
    observations
}

/// Observes one change until the next change or the end of the experiment.
async fn observe_change(
    router: &JsonClient,
    change: &AcceptedChange,
    changes: &watch::Receiver<Option<AcceptedChange>>,
    observations: &mut Observations,
) {
    let superseded = || changes.has_changed().unwrap_or(true);
    while !accepts_key(router, &change.key).await {
        if superseded() {
            observations.never_in_force += 1;
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let in_force = change.accepted_at.elapsed().as_micros();
    observations.in_force_us.push(u64::try_from(in_force).unwrap_or(u64::MAX));
    while !superseded() {
        if !accepts_key(router, &change.key).await {
            tokio::time::sleep(ANNOUNCEMENT_DELAY).await;
            observations.reverts += u64::from(!superseded());
            return;
        }
        tokio::time::sleep(REVERT_POLL_INTERVAL).await;
    }
}
