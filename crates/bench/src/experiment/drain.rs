//! An upstream and a router leave under load.

use std::time::Duration;

use eyre::Result;
use rustix::process::Signal;
use serde_json::json;
use span_load::{AnswerKind, AttemptRecord};
use span_standin::{Execution, unix_us};
use tokio::time::Instant;

use super::{Disturbance, Fields, fields};
use crate::fleet::Fleet;

const UPSTREAM_LEAVES_AT: f64 = 0.3;
const ROUTER_LEAVES_AT: f64 = 0.6;
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// What left, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Drained {
    /// Upstream that left.
    pub upstream: String,
    /// Acceptance of the change by the platform, in microseconds since the epoch.
    pub upstream_left_us: u64,
    /// Router that left.
    pub router: String,
    /// Its SIGTERM, in microseconds since the epoch.
    pub router_left_us: u64,
}

pub(super) async fn disturb(fleet: &mut Fleet, seconds: u64) -> Result<Disturbance> {
    let started = Instant::now();
    let at = |fraction| started + Duration::from_secs_f64(seconds as f64 * fraction);
    tokio::time::sleep_until(at(UPSTREAM_LEAVES_AT)).await;
    let upstream = fleet.upstreams[0].name.clone();
    if let Some(configured) = fleet.document.upstreams.get_mut(upstream.as_str()) {
        configured.leaving = true;
    }
    fleet.write_document().await?;
    let upstream_left_us = unix_us();
    tokio::time::sleep_until(at(ROUTER_LEAVES_AT)).await;
    let seat = &mut fleet.routers[0];
    let router_left_us = unix_us();
    let router = seat.name.clone();
    let mut exit_ms = None;
    if let Some(mut process) = seat.process.take() {
        process.signal(Signal::TERM)?;
        let ended = process.ended(EXIT_LIMIT).await;
        exit_ms = ended.then(|| unix_us().saturating_sub(router_left_us) / 1000);
    }
    let drained = Drained { upstream, upstream_left_us, router, router_left_us };
    let fields = fields(json!({ "router_exit_ms": exit_ms }))?;
    Ok(Disturbance { fields, drained: Some(drained) })
}

/// Fields of a drain: requests that were cut, and work that arrived late.
pub(crate) fn analyse(
    drained: &Drained,
    records: &[AttemptRecord],
    at_upstream: &[Execution],
) -> Result<Fields> {
    let cut = |record: &&AttemptRecord| {
        matches!(record.answer, AnswerKind::Partial | AnswerKind::Missing)
    };
    let in_flight =
        |record: &&AttemptRecord, left_us| record.sent_us < left_us && left_us < record.ended_us;
    let at_router = records
        .iter()
        .filter(|record| *record.entry == *drained.router)
        .filter(|record| in_flight(record, drained.router_left_us) && cut(record))
        .count();
    let ran = |record: &&AttemptRecord| at_upstream.iter().any(|row| row.nonce == record.nonce);
    let cut_records = records.iter().filter(cut);
    let cut_records = cut_records.filter(|record| *record.entry != *drained.router);
    let at_leaving_upstream = cut_records.filter(ran).count();
    let arrivals = at_upstream.iter().map(|row| row.arrived_us);
    let last_us = arrivals.max().unwrap_or(0);
    let late = at_upstream.iter().filter(|row| row.arrived_us > drained.upstream_left_us).count();
    fields(json!({
        "cut_in_flight": at_router + at_leaving_upstream,
        "cut_at_router": at_router,
        "cut_at_upstream": at_leaving_upstream,
        "work_after_leaving_ms": last_us.saturating_sub(drained.upstream_left_us) as f64 / 1000.0,
        "requests_after_leaving": late,
    }))
}
