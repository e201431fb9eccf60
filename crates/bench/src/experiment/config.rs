//! Configuration changes under load.
//!
//! Each change gives a workspace without load a new key. A change is in force
//! at a router when the router accepts the key, and reverted when the router
//! refuses it although no later change was written.

use std::time::Duration;

use eyre::Result;
use serde_json::json;
use span_load::latency::percentiles;
use tokio::{sync::watch, task::JoinSet, time::Instant};

use super::{Disturbance, fields};
use crate::{
    fleet::{Fleet, knows_key, workspace},
    rest::Rest,
};

const INTERVAL: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(5);
/// Polling after a change is in force, only to see whether it is reverted.
const SLOW_POLL: Duration = Duration::from_millis(100);
/// A change that was just written may be in force before it is announced here.
const ANNOUNCE_GRACE: Duration = Duration::from_millis(200);
const WORKSPACE: &str = "canary";

#[derive(Clone, Debug)]
struct Change {
    key: String,
    accepted: Instant,
}

#[derive(Debug, Default)]
struct Seen {
    in_force_us: Vec<u64>,
    never_in_force: u64,
    reverts: u64,
}

pub(super) async fn disturb(fleet: &mut Fleet, end: Instant) -> Result<Disturbance> {
    let (announce, changes) = watch::channel(None);
    let mut watchers = JoinSet::new();
    for seat in &fleet.routers {
        watchers.spawn(follow(fleet.rest(seat.direct), changes.clone()));
    }
    let mut written = 0_u64;
    let mut failed = 0_u64;
    while Instant::now() + INTERVAL < end {
        let key = format!("key-canary-{written}");
        let services = [fleet.upstreams[0].service];
        fleet.document.workspaces.insert(WORKSPACE.into(), workspace(1, &services, &key));
        match fleet.write_document().await {
            Ok(()) => {
                announce.send_replace(Some(Change { key, accepted: Instant::now() }));
                written += 1;
            }
            Err(error) => {
                tracing::warn!("the change was not accepted: {error}");
                failed += 1;
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
    drop(announce);
    let seen = watchers.join_all().await;
    let in_force = percentiles(seen.iter().flat_map(|seen| seen.in_force_us.clone()));
    let fields = fields(json!({
        "config_changes": written,
        "config_changes_failed": failed,
        "config_in_force_ms_p50": in_force.p50_us as f64 / 1000.0,
        "config_in_force_ms_p99": in_force.p99_us as f64 / 1000.0,
        "config_in_force_ms_max": in_force.max_us as f64 / 1000.0,
        "config_never_in_force": seen.iter().map(|seen| seen.never_in_force).sum::<u64>(),
        "config_reverts": seen.iter().map(|seen| seen.reverts).sum::<u64>(),
    }))?;
    Ok(Disturbance { fields, drained: None })
}

/// Follows one router until no more changes come.
async fn follow(router: Rest, mut changes: watch::Receiver<Option<Change>>) -> Seen {
    let mut seen = Seen::default();
    while changes.changed().await.is_ok() {
        let Some(change) = changes.borrow_and_update().clone() else {
            continue;
        };
        observe(&router, &change, &changes, &mut seen).await;
    }
    seen
}

/// Observes one change until the next one or the end.
async fn observe(
    router: &Rest,
    change: &Change,
    changes: &watch::Receiver<Option<Change>>,
    seen: &mut Seen,
) {
    let superseded = || changes.has_changed().unwrap_or(true);
    while !knows_key(router, &change.key).await {
        if superseded() {
            seen.never_in_force += 1;
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    let in_force = change.accepted.elapsed().as_micros();
    seen.in_force_us.push(u64::try_from(in_force).unwrap_or(u64::MAX));
    while !superseded() {
        if !knows_key(router, &change.key).await {
            tokio::time::sleep(ANNOUNCE_GRACE).await;
            seen.reverts += u64::from(!superseded());
            return;
        }
        tokio::time::sleep(SLOW_POLL).await;
    }
}
