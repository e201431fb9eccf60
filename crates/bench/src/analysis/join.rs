//! Joins the records of the load tool with the ledgers of the stand-ins.

use std::collections::HashMap;

use span_load::{AnswerKind, AttemptRecord};
use span_standin::Execution;

use super::{ServedExecution, ServiceRun, WaitingRequest, interval::Interval};

/// A service whose run is analysed.
#[derive(Clone, Debug)]
pub struct ServiceDescription<'a> {
    /// Name of the service.
    pub name: &'a str,
    /// Total number of slots of its upstreams.
    pub slots: u32,
    /// Names and shares of the workspaces.
    pub workspaces: &'a [(String, f64)],
}

/// Known one-way network delays.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkDelays {
    /// From a client to a router, in microseconds.
    pub client_us: u64,
    /// From a router to an upstream, in microseconds.
    pub upstream_us: u64,
}

/// Builds the run of one service. An execution without an end lasts until `now_us`.
///
/// A request waits from its arrival at a router until the latest time at which the
/// router can have sent it to the upstream. The arrival is the time of sending plus the
/// delay from the client. The latest time is the start of the execution minus the delay
/// to the upstream. A request that never started waits until the router answered, or
/// until the caller gave up if there was no answer.
pub fn build_service_run(
    service: &ServiceDescription<'_>,
    records: &[AttemptRecord],
    executions: &[Execution],
    delays: NetworkDelays,
    now_us: u64,
) -> ServiceRun {
    let workspace_indexes: HashMap<&str, usize> =
        service.workspaces.iter().enumerate().map(|(i, (name, _))| (name.as_str(), i)).collect();
    let records: Vec<&AttemptRecord> =
        records.iter().filter(|record| &*record.service == service.name).collect();
    let by_nonce: HashMap<&str, &AttemptRecord> =
        records.iter().map(|record| (record.nonce.as_str(), *record)).collect();
    let mut first_starts_us: HashMap<&str, u64> = HashMap::new();
    let mut served = Vec::new();
    for execution in executions.iter().filter(|execution| execution.started_us > 0) {
        let Some(record) = by_nonce.get(execution.nonce.as_str()) else {
            continue;
        };
        let start = first_starts_us.entry(&record.nonce).or_insert(execution.started_us);
        *start = (*start).min(execution.started_us);
        if let Some(workspace) = workspace_indexes.get(&*record.workspace) {
            served.push(served_execution(execution, *workspace, now_us));
        }
    }
    let waiting_requests = records.iter().filter_map(|record| {
        let workspace = *workspace_indexes.get(&*record.workspace)?;
        let interval =
            waiting_interval(record, first_starts_us.get(record.nonce.as_str()).copied(), delays)?;
        Some(WaitingRequest { workspace, interval })
    });
    ServiceRun {
        shares: service.workspaces.iter().map(|(_, share)| *share).collect(),
        slots: service.slots,
        waiting_requests: waiting_requests.collect(),
        served,
    }
}

fn served_execution(execution: &Execution, workspace: usize, now_us: u64) -> ServedExecution {
    let end_us = if execution.ended_us == 0 { now_us } else { execution.ended_us };
    let cost = execution.prompt_cost + execution.output_cost;
    ServedExecution { workspace, start_us: execution.started_us, end_us, cost }
}

fn waiting_interval(
    record: &AttemptRecord,
    started_us: Option<u64>,
    delays: NetworkDelays,
) -> Option<Interval> {
    let from_us = record.sent_us + delays.client_us;
    let to_us = match (started_us, record.answer) {
        (Some(started_us), _) => started_us.saturating_sub(delays.upstream_us),
        // Nothing was sent, or the answer is that of an earlier request with the same
        // idempotency key.
        (None, AnswerKind::Refused | AnswerKind::Complete) => return None,
        (None, _) => record.ended_us.saturating_sub(delays.client_us),
    };
    (from_us < to_us).then_some(Interval { from_us, to_us })
}
