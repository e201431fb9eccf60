//! Joins the load tool's records with the stand-ins' ledgers.

use std::collections::HashMap;

use span_load::{AnswerKind, AttemptRecord};
use span_standin::Execution;

use super::{Served, ServiceRun, Wait, interval::Interval};

/// A service whose run is analysed.
#[derive(Clone, Debug)]
pub struct Service<'a> {
    /// Its name.
    pub name: &'a str,
    /// Slots of all its upstreams.
    pub slots: u32,
    /// Names and shares of the workspaces.
    pub workspaces: &'a [(String, f64)],
}

/// Known network delays, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delays {
    /// From a client to a router.
    pub client_us: u64,
    /// From a router to an upstream.
    pub upstream_us: u64,
}

/// Builds the run of one service. An execution without an end lasts until
/// `now_us`.
///
/// A request waits from its arrival at a router (sent, plus the delay from the
/// client) until the router could at the latest have sent it to the upstream
/// (started, less the delay to the upstream). One that never started waits
/// until the router answered; one without an answer until the caller gave up.
pub fn join(
    service: &Service<'_>,
    records: &[AttemptRecord],
    executions: &[Execution],
    delays: Delays,
    now_us: u64,
) -> ServiceRun {
    let positions: HashMap<&str, usize> =
        service.workspaces.iter().enumerate().map(|(i, (name, _))| (name.as_str(), i)).collect();
    let records: Vec<&AttemptRecord> =
        records.iter().filter(|record| &*record.service == service.name).collect();
    let by_nonce: HashMap<&str, &AttemptRecord> =
        records.iter().map(|record| (record.nonce.as_str(), *record)).collect();
    let mut starts: HashMap<&str, u64> = HashMap::new();
    let mut served = Vec::new();
    for execution in executions.iter().filter(|execution| execution.started_us > 0) {
        let Some(record) = by_nonce.get(execution.nonce.as_str()) else {
            continue;
        };
        let start = starts.entry(&record.nonce).or_insert(execution.started_us);
        *start = (*start).min(execution.started_us);
        if let Some(workspace) = positions.get(&*record.workspace) {
            served.push(serve(execution, *workspace, now_us));
        }
    }
    let waits = records.iter().filter_map(|record| {
        let workspace = *positions.get(&*record.workspace)?;
        let interval = wait(record, starts.get(record.nonce.as_str()).copied(), delays)?;
        Some(Wait { workspace, interval })
    });
    ServiceRun {
        shares: service.workspaces.iter().map(|(_, share)| *share).collect(),
        slots: service.slots,
        waits: waits.collect(),
        served,
    }
}

fn serve(execution: &Execution, workspace: usize, now_us: u64) -> Served {
    let end_us = if execution.ended_us == 0 { now_us } else { execution.ended_us };
    let cost = execution.prompt_cost + execution.output_cost;
    Served { workspace, start_us: execution.started_us, end_us, cost }
}

fn wait(record: &AttemptRecord, started_us: Option<u64>, delays: Delays) -> Option<Interval> {
    let from_us = record.sent_us + delays.client_us;
    let to_us = match (started_us, record.answer) {
        (Some(started_us), _) => started_us.saturating_sub(delays.upstream_us),
        // Nothing was sent, or a key that ran before was answered again.
        (None, AnswerKind::Refused | AnswerKind::Complete) => return None,
        (None, _) => record.ended_us.saturating_sub(delays.client_us),
    };
    (from_us < to_us).then_some(Interval { from_us, to_us })
}
