//! The report of a run: one JSON object.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{Result, eyre};
use serde_json::{Value, json};
use span_load::{AttemptRecord, latency, workload::Workload};
use span_standin::Execution;

use crate::{
    analysis::{
        ServiceRun,
        audit::{audit, is_lost},
        bound::Terms,
        gap::{Gap, gaps},
        join::{Delays, Service, join},
        received::received,
        utilisation::{Utilisation, utilisation},
    },
    args::{Args, Policy},
    experiment::{Disturbance, drain, fields},
    plot,
    probe::Probed,
    snapshot::{ControlTraffic, Rates},
    topology::Topology,
};

/// Report period of a router and the part of it per reporting router, in
/// milliseconds; the longer of the two applies (section 3.3 of the design).
const REPORT_PERIOD_MS: u64 = 250;
const REPORT_PERIOD_PER_ROUTER_MS: u64 = 50;
/// Executions shorter than this do not count for the slots' serving rate.
const MIN_RATE_US: u64 = 10_000;
const US_PER_S: f64 = 1e6;

/// What was measured in a run.
#[derive(Debug)]
pub(crate) struct Measured {
    /// Start of the load, in microseconds since the epoch.
    pub started_us: u64,
    /// End of the load.
    pub ended_us: u64,
    /// Time at which the ledgers were read.
    pub collected_us: u64,
    /// Attempts of the load tool.
    pub records: Vec<AttemptRecord>,
    /// Executions by upstream.
    pub ledgers: BTreeMap<String, Vec<Execution>>,
    /// Latencies of probes.
    pub probed: Probed,
    /// Rates of the processes' counters.
    pub rates: Rates,
    /// What the experiment did beside the load.
    pub disturbance: Disturbance,
}

/// Fairness and use of one service.
struct Judged {
    name: &'static str,
    run: ServiceRun,
    terms: Terms,
    /// The largest gap of all pairs.
    worst: Option<Gap>,
    /// The bound for this pair.
    bound: f64,
    /// The largest gap of a pair divided by the pair's bound.
    over_bound: f64,
    utilisation: Utilisation,
}

impl Judged {
    fn gap(&self) -> f64 {
        self.worst.map_or(0.0, |gap| gap.gap)
    }
}

/// Makes the report and, if asked for, the plot.
pub(crate) fn report(
    args: &Args,
    topology: &Topology,
    workload: &Workload,
    measured: &Measured,
) -> Result<Value> {
    let workspaces: Vec<(String, f64)> = workload
        .workspaces
        .iter()
        .map(|load| (load.name.to_string(), f64::from(load.share)))
        .collect();
    let judged = [
        (topology.model_service, topology.model_slots()),
        (topology.plain_service, topology.plain_slots()),
    ]
    .map(|(name, slots)| judge(args, topology, &workspaces, measured, name, slots));
    if let Some(path) = &args.plot {
        let names: Vec<String> = workspaces.iter().map(|(name, _)| name.clone()).collect();
        let title = format!("{}, seed {}: {}", args.experiment, args.seed, judged[0].name);
        plot::service_received(path, &title, &names, &judged[0].run)?;
    }
    let mut report = summary(args, measured, &judged);
    let object = report.as_object_mut().ok_or_else(|| eyre!("the report is no object"))?;
    object.extend(fields(control(&measured.rates))?);
    object.insert(
        "services".into(),
        judged.iter().map(|j| service(j, measured, &workspaces)).collect(),
    );
    object.extend(measured.disturbance.fields.clone());
    if let Some(drained) = &measured.disturbance.drained {
        let at_upstream = measured.ledgers.get(&drained.upstream);
        let at_upstream = at_upstream.map_or(&[] as &[_], Vec::as_slice);
        object.extend(drain::analyse(drained, &measured.records, at_upstream)?);
    }
    Ok(report)
}

fn judge(
    args: &Args,
    topology: &Topology,
    workspaces: &[(String, f64)],
    measured: &Measured,
    name: &'static str,
    slots: u32,
) -> Judged {
    let executions: Vec<Execution> = measured.ledgers.values().flatten().cloned().collect();
    let delays = Delays { client_us: topology.client_delay_us, upstream_us: 0 };
    let service = Service { name, slots, workspaces };
    let run = join(&service, &measured.records, &executions, delays, measured.collected_us);
    let terms = Terms::of(&run, information_age_s(args, topology), MIN_RATE_US);
    let bound = |gap: &Gap| terms.bound(run.shares[gap.pair.0].min(run.shares[gap.pair.1]));
    let gaps = gaps(&run);
    let over_bound = gaps.iter().map(|gap| gap.gap / bound(gap)).fold(0.0, f64::max);
    let worst = gaps.into_iter().max_by(|a, b| a.gap.total_cmp(&b.gap));
    let utilisation = utilisation(&run, measured.started_us, measured.ended_us);
    let bound = worst.as_ref().map_or(0.0, bound);
    Judged { name, run, terms, worst, bound, over_bound, utilisation }
}

/// Report period plus round trip, as the design sets them.
fn information_age_s(args: &Args, topology: &Topology) -> f64 {
    let period_ms = REPORT_PERIOD_MS.max(REPORT_PERIOD_PER_ROUTER_MS * args.routers as u64);
    (period_ms * 1000 + 2 * topology.domain_delay_us) as f64 / US_PER_S
}

fn summary(args: &Args, measured: &Measured, judged: &[Judged; 2]) -> Value {
    let executions: Vec<Execution> = measured.ledgers.values().flatten().cloned().collect();
    let audit = audit(&measured.records, &executions);
    let (rates, probed) = (&measured.rates, &measured.probed);
    let worst = if judged[0].gap() >= judged[1].gap() { &judged[0] } else { &judged[1] };
    json!({
        "experiment": args.experiment.to_string(),
        "seed": args.seed,
        "policy": args.policy.map_or("default".into(), |policy: Policy| policy.to_string()),
        "routers": args.routers,
        "seconds": args.seconds,
        "requests": audit.requests,
        "attempts": audit.attempts,
        "completed": audit.completed,
        "not_run": audit.not_run,
        "told_completed": audit.told_completed,
        "unknown": audit.unknown,
        "other_errors": audit.other_errors,
        "broken_once": audit.broken_once,
        "lost": audit.lost,
        "lost_requests": lost_requests(measured),
        "crossed": audit.crossed,
        "incomplete": audit.incomplete,
        "broken_attempts": audit.broken_attempts,
        "not_run_that_ran": audit.not_run_that_ran,
        "completed_that_did_not_run": audit.completed_that_did_not_run,
        "duplicated_non_idempotent": audit.duplicated_non_idempotent,
        "wrong_outcome": audit.wrong_outcome,
        "fairness_gap": worst.gap(),
        "fairness_bound": worst.bound,
        "fairness_service": worst.name,
        "fairness_gap_over_bound": judged[0].over_bound.max(judged[1].over_bound),
        "utilisation_while_waiting": judged[0].utilisation.busy,
        "p50_added_latency_us": probed.added_us(|times| times.p50_us),
        "p95_added_latency_us": probed.added_us(|times| times.p95_us),
        "probes": probed.routed.count,
        "probes_failed": probed.failed,
        "direct_p50_us": probed.direct.p50_us,
        "direct_p95_us": probed.direct.p95_us,
        "store_reads_per_second": rates.store_reads_per_second,
        "store_writes_per_second": rates.store_writes_per_second,
        "router_cpu_us_per_request":
            rates.router_cpu_us as f64 / audit.attempts.max(1) as f64,
    })
}

/// Cost of control per router; the messages are those of the router with the
/// most bytes.
fn control(rates: &Rates) -> Value {
    let control: Vec<f64> = rates.control.iter().map(ControlTraffic::bytes).collect();
    let most = rates.control.iter().max_by(|a, b| a.bytes().total_cmp(&b.bytes()));
    let most = most.cloned().unwrap_or_default();
    let polls = |name| rates.control.iter().map(|row| row.counter(name)).reduce(f64::max);
    let poll_bytes = |row: &ControlTraffic| {
        row.counter("load_poll_bytes_sent") + row.counter("load_poll_bytes_received")
    };
    let control_cpu = &rates.control_cpu_us_per_second;
    json!({
        "control_bytes_per_node_second": control.iter().copied().reduce(f64::max),
        "control_bytes_per_node_second_mean": mean(&control),
        "control_bytes_sent_per_second": most.sent_bytes,
        "control_bytes_received_per_second": most.received_bytes,
        "control_messages_per_second": {
            "heartbeats": most.counter("heartbeats"),
            "exchanges": most.counter("exchanges"),
            "exchanges_served": most.counter("exchanges_served"),
            "pushes": most.counter("pushes"),
        },
        "load_polls_per_second": polls("load_polls"),
        "load_poll_bytes_per_second": rates.control.iter().map(poll_bytes).reduce(f64::max),
        "control_cpu_us_per_second": control_cpu.iter().copied().reduce(f64::max),
        "control_cpu_us_per_second_mean": mean(control_cpu),
        "router_memory_kb": rates.router_memory_kb,
        "router_peak_memory_kb": rates.router_peak_memory_kb,
    })
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// All attempts of the requests that were lost, to trace them in the logs.
fn lost_requests(measured: &Measured) -> Vec<String> {
    let lost = measured.records.iter().filter(|record| is_lost(record));
    let lost: BTreeSet<&str> = lost.map(|record| record.name.as_str()).collect();
    let attempts = measured.records.iter().filter(|record| lost.contains(record.name.as_str()));
    let describe = |record: &AttemptRecord| {
        let since_start_ms = |us: u64| us.saturating_sub(measured.started_us) / 1000;
        format!(
            "{} {} at {} from {} ms to {} ms: {} status {} outcome {:?}",
            record.nonce,
            record.repeat,
            record.entry,
            since_start_ms(record.sent_us),
            since_start_ms(record.ended_us),
            record.answer,
            record.status,
            record.outcome,
        )
    };
    attempts.map(describe).collect()
}

fn service(judged: &Judged, measured: &Measured, workspaces: &[(String, f64)]) -> Value {
    let pair = judged.worst.map(|gap| {
        let from_s = gap.interval.from_us.saturating_sub(measured.started_us) as f64 / US_PER_S;
        let to_s = gap.interval.to_us.saturating_sub(measured.started_us) as f64 / US_PER_S;
        json!({
            "pair": [workspaces[gap.pair.0].0, workspaces[gap.pair.1].0],
            "from_s": from_s,
            "to_s": to_s,
        })
    });
    let service = received(&judged.run, []);
    let totals = service.service.iter().map(|service| service.last().copied().unwrap_or(0.0));
    let totals: BTreeMap<&str, f64> =
        workspaces.iter().map(|(name, _)| name.as_str()).zip(totals.map(f64::round)).collect();
    json!({
        "service": judged.name,
        "slots": judged.terms.slots,
        "largest_cost": judged.terms.largest_cost,
        "slot_rate": judged.terms.slot_rate,
        "information_age_s": judged.terms.information_age_s,
        "fairness_gap": judged.gap(),
        "fairness_bound": judged.bound,
        "fairness_gap_over_bound": judged.over_bound,
        "worst": pair,
        "utilisation_while_waiting": judged.utilisation.busy,
        "work_conserving": judged.utilisation.work_conserving,
        "waiting_s": judged.utilisation.waiting_us as f64 / US_PER_S,
        "executions": judged.run.served.len(),
        "latency": latency::complete_answers(&measured.records, judged.name),
        "service_received": totals,
    })
}
