//! An upstream and a router leave under load.

use std::time::Duration;

use eyre::Result;
use rustix::process::Signal;
use serde_json::json;
use span_load::{AnswerKind, AttemptRecord};
use span_standin::{Execution, unix_us};
use tokio::time::Instant;

use super::{DisturbanceResult, Fields, fields};
use crate::fleet::Fleet;

// Times of leaving, as fractions of the duration of the load.
const UPSTREAM_LEAVES_AT_FRACTION: f64 = 0.3;
const ROUTER_LEAVES_AT_FRACTION: f64 = 0.6;
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The upstream and the router that left, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeavingEvents {
    /// Name of the upstream.
    pub upstream: String,
    /// Time at which the platform accepted the change, in microseconds since the Unix
    /// epoch.
    pub upstream_left_us: u64,
    /// Name of the router.
    pub router: String,
    /// Time of the router's SIGTERM, in microseconds since the Unix epoch.
    pub router_left_us: u64,
}

pub(super) async fn run_disturbance(fleet: &mut Fleet, seconds: u64) -> Result<DisturbanceResult> {
    let started = Instant::now();
    let time_at = |fraction| started + Duration::from_secs_f64(seconds as f64 * fraction);
    tokio::time::sleep_until(time_at(UPSTREAM_LEAVES_AT_FRACTION)).await;
    let upstream = fleet.upstreams[0].name.clone();
    if let Some(upstream_config) = fleet.document.upstreams.get_mut(upstream.as_str()) {
        upstream_config.leaving = true;
    }
    fleet.write_document().await?;
    let upstream_left_us = unix_us();
    tokio::time::sleep_until(time_at(ROUTER_LEAVES_AT_FRACTION)).await;
    let instance = &mut fleet.routers[0];
    let router_left_us = unix_us();
    let router = instance.name.clone();
    let mut exit_ms = None;
    if let Some(mut process) = instance.process.take() {
        process.signal(Signal::TERM)?;
        let ended = process.wait_for_exit(EXIT_TIMEOUT).await;
        exit_ms = ended.then(|| unix_us().saturating_sub(router_left_us) / 1000);
    }
    let leaving_events = LeavingEvents { upstream, upstream_left_us, router, router_left_us };
    let fields = fields(json!({ "router_exit_ms": exit_ms }))?;
    Ok(DisturbanceResult { fields, leaving_events: Some(leaving_events) })
}

/// Returns the report fields: requests interrupted in flight, and requests that arrived
/// at the upstream after the platform accepted that it leaves.
pub(crate) fn report_fields(
    leaving_events: &LeavingEvents,
    records: &[AttemptRecord],
    at_upstream: &[Execution],
) -> Result<Fields> {
    let is_interrupted = |record: &&AttemptRecord| {
        matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing)
    };
    let in_flight =
        |record: &&AttemptRecord, left_us| record.sent_us < left_us && left_us < record.ended_us;
    let interrupted_at_router = records
        .iter()
        .filter(|record| *record.entry == *leaving_events.router)
        .filter(|record| in_flight(record, leaving_events.router_left_us) && is_interrupted(record))
        .count();
    let ran_at_upstream = |record: &&AttemptRecord| {
        at_upstream.iter().any(|execution| execution.nonce == record.nonce)
    };
    let interrupted = records.iter().filter(is_interrupted);
    let interrupted = interrupted.filter(|record| *record.entry != *leaving_events.router);
    let interrupted_at_upstream = interrupted.filter(ran_at_upstream).count();
    let arrivals = at_upstream.iter().map(|execution| execution.arrived_us);
    let last_arrival_us = arrivals.max().unwrap_or(0);
    let late_arrivals = at_upstream
        .iter()
        .filter(|execution| execution.arrived_us > leaving_events.upstream_left_us)
        .count();
    fields(json!({
        "cut_in_flight": interrupted_at_router + interrupted_at_upstream,
        "cut_at_router": interrupted_at_router,
        "cut_at_upstream": interrupted_at_upstream,
        "work_after_leaving_ms": last_arrival_us.saturating_sub(leaving_events.upstream_left_us) as f64 / 1000.0,
        "requests_after_leaving": late_arrivals,
    }))
}
