//! Builds the report of a run, one JSON object.

use std::collections::{BTreeMap, BTreeSet};

use eyre::{Result, eyre};
use serde_json::{Value, json};
use span_load::{AttemptRecord, latency, workload::Workload};
use span_standin::Execution;

use crate::{
    analysis::{
        ServiceRun,
        audit::{audit, is_lost},
        bound::BoundTerms,
        gap::{ServiceGap, service_gaps},
        join::{NetworkDelays, ServiceDescription, build_service_run},
        received::service_received,
        utilisation::{Utilisation, utilisation},
    },
    args::{Args, Policy},
    experiment::{DisturbanceResult, drain, fields},
    plot,
    probe::ProbeLatencies,
    snapshot::{ControlTraffic, Rates},
    topology::Topology,
};

/// Smallest report period of a router (section 3.3 of the design).
const MIN_REPORT_PERIOD_MS: u64 = 250;
/// The report period is this times the number of reporting routers, but at least
/// [`MIN_REPORT_PERIOD_MS`].
const REPORT_PERIOD_PER_ROUTER_MS: u64 = 50;
/// Executions shorter than this are ignored when the serving rate of a slot is computed.
const MIN_MEASURED_DURATION_US: u64 = 10_000;
const US_PER_S: f64 = 1e6;

/// Measurements of a run.
#[derive(Debug)]
pub(crate) struct Measurements {
    /// Start of the load, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// End of the load, in microseconds since the Unix epoch.
    pub ended_us: u64,
    /// Time at which the ledgers were read, in microseconds since the Unix epoch.
    pub collected_us: u64,
    /// Attempts that the load tool made.
    pub records: Vec<AttemptRecord>,
    /// Executions by upstream name.
    pub ledgers: BTreeMap<String, Vec<Execution>>,
    /// Latencies of the probes.
    pub probe_latencies: ProbeLatencies,
    /// Rates of the counters of the processes.
    pub rates: Rates,
    /// Result of the disturbance during the load.
    pub disturbance: DisturbanceResult,
}

/// Fairness and slot utilisation of one service.
struct ServiceAnalysis {
    name: &'static str,
    run: ServiceRun,
    terms: BoundTerms,
    /// Largest gap of all pairs of workspaces.
    largest_gap: Option<ServiceGap>,
    /// Bound for the pair with the largest gap.
    bound: f64,
    /// Largest ratio of the gap of a pair to the bound of that pair.
    gap_over_bound: f64,
    utilisation: Utilisation,
}

impl ServiceAnalysis {
    fn gap(&self) -> f64 {
        self.largest_gap.map_or(0.0, |gap| gap.gap)
    }
}

/// Builds the report, and writes the plot if `--plot` is set.
pub(crate) fn build_report(
    args: &Args,
    topology: &Topology,
    workload: &Workload,
    measurements: &Measurements,
) -> Result<Value> {
    let workspaces: Vec<(String, f64)> = workload
        .workspaces
        .iter()
        .map(|load| (load.name.to_string(), f64::from(load.share)))
        .collect();
    let analyses = [
        (topology.model_service, topology.model_slots()),
        (topology.plain_service, topology.plain_slots()),
    ]
    .map(|(name, slots)| analyse_service(args, topology, &workspaces, measurements, name, slots));
    if let Some(path) = &args.plot {
        let names: Vec<String> = workspaces.iter().map(|(name, _)| name.clone()).collect();
        let title = format!("{}, seed {}: {}", args.experiment, args.seed, analyses[0].name);
        plot::plot_service_received(path, &title, &names, &analyses[0].run)?;
    }
    let mut report = summary(args, measurements, &analyses);
    let object = report.as_object_mut().ok_or_else(|| eyre!("the report is not a JSON object"))?;
    object.extend(fields(control_cost(&measurements.rates))?);
    object.insert(
        "services".into(),
        analyses
            .iter()
            .map(|analysis| service_report(analysis, measurements, &workspaces))
            .collect(),
    );
    object.extend(measurements.disturbance.fields.clone());
    if let Some(leaving_events) = &measurements.disturbance.leaving_events {
        let at_upstream = measurements.ledgers.get(&leaving_events.upstream);
        let at_upstream = at_upstream.map_or(&[] as &[_], Vec::as_slice);
        object.extend(drain::report_fields(leaving_events, &measurements.records, at_upstream)?);
    }
    Ok(report)
}

fn analyse_service(
    args: &Args,
    topology: &Topology,
    workspaces: &[(String, f64)],
    measurements: &Measurements,
    name: &'static str,
    slots: u32,
) -> ServiceAnalysis {
    let executions: Vec<Execution> = measurements.ledgers.values().flatten().cloned().collect();
    let delays = NetworkDelays { client_us: topology.client_delay_us, upstream_us: 0 };
    let service = ServiceDescription { name, slots, workspaces };
    let run = build_service_run(
        &service,
        &measurements.records,
        &executions,
        delays,
        measurements.collected_us,
    );
    let terms =
        BoundTerms::from_run(&run, information_age_s(args, topology), MIN_MEASURED_DURATION_US);
    let bound = |gap: &ServiceGap| terms.bound(run.shares[gap.pair.0].min(run.shares[gap.pair.1]));
    let gaps = service_gaps(&run);
    let gap_over_bound = gaps.iter().map(|gap| gap.gap / bound(gap)).fold(0.0, f64::max);
    let largest_gap = gaps.into_iter().max_by(|a, b| a.gap.total_cmp(&b.gap));
    let utilisation = utilisation(&run, measurements.started_us, measurements.ended_us);
    let bound = largest_gap.as_ref().map_or(0.0, bound);
    ServiceAnalysis { name, run, terms, largest_gap, bound, gap_over_bound, utilisation }
}

/// Returns the report period plus the round trip between failure domains, in seconds.
fn information_age_s(args: &Args, topology: &Topology) -> f64 {
    let period_ms =
        MIN_REPORT_PERIOD_MS.max(REPORT_PERIOD_PER_ROUTER_MS * args.router_count as u64);
    (period_ms * 1000 + 2 * topology.inter_domain_delay_us) as f64 / US_PER_S
}

fn summary(args: &Args, measurements: &Measurements, analyses: &[ServiceAnalysis; 2]) -> Value {
    let executions: Vec<Execution> = measurements.ledgers.values().flatten().cloned().collect();
    let audit = audit(&measurements.records, &executions);
    let (rates, probe_latencies) = (&measurements.rates, &measurements.probe_latencies);
    let least_fair =
        if analyses[0].gap() >= analyses[1].gap() { &analyses[0] } else { &analyses[1] };
    json!({
        "experiment": args.experiment.to_string(),
        "seed": args.seed,
        "policy": args.policy.map_or("default".into(), |policy: Policy| policy.to_string()),
        "routers": args.router_count,
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
        "lost_requests": lost_requests(measurements),
        "crossed": audit.crossed,
        "incomplete": audit.incomplete,
        "broken_attempts": audit.broken_attempts,
        "not_run_that_ran": audit.not_run_that_ran,
        "completed_that_did_not_run": audit.completed_that_did_not_run,
        "duplicated_non_idempotent": audit.duplicated_non_idempotent,
        "wrong_outcome": audit.wrong_outcome,
        "fairness_gap": least_fair.gap(),
        "fairness_bound": least_fair.bound,
        "fairness_service": least_fair.name,
        "fairness_gap_over_bound": analyses[0].gap_over_bound.max(analyses[1].gap_over_bound),
        "utilisation_while_waiting": analyses[0].utilisation.busy_fraction,
        "p50_added_latency_us": probe_latencies.added_us(|times| times.p50_us),
        "p95_added_latency_us": probe_latencies.added_us(|times| times.p95_us),
        "probes": probe_latencies.routed.count,
        "probes_failed": probe_latencies.failed,
        "direct_p50_us": probe_latencies.direct.p50_us,
        "direct_p95_us": probe_latencies.direct.p95_us,
        "store_reads_per_second": rates.store_reads_per_second,
        "store_writes_per_second": rates.store_writes_per_second,
        "router_cpu_us_per_request":
            rates.router_cpu_us as f64 / audit.attempts.max(1) as f64,
    })
}

/// Returns the report fields for the cost of control per router. The message rates are
/// those of the router with the most control bytes per second.
fn control_cost(rates: &Rates) -> Value {
    let bytes_per_s: Vec<f64> = rates.control.iter().map(ControlTraffic::bytes).collect();
    let busiest = rates.control.iter().max_by(|a, b| a.bytes().total_cmp(&b.bytes()));
    let busiest = busiest.cloned().unwrap_or_default();
    let max_rate = |name| rates.control.iter().map(|router| router.counter(name)).reduce(f64::max);
    let poll_bytes = |router: &ControlTraffic| {
        router.counter("load_poll_bytes_sent") + router.counter("load_poll_bytes_received")
    };
    let control_cpu = &rates.control_cpu_us_per_second;
    json!({
        "control_bytes_per_node_second": bytes_per_s.iter().copied().reduce(f64::max),
        "control_bytes_per_node_second_mean": mean(&bytes_per_s),
        "control_bytes_sent_per_second": busiest.sent_bytes,
        "control_bytes_received_per_second": busiest.received_bytes,
        "control_messages_per_second": {
            "heartbeats": busiest.counter("heartbeats"),
            "exchanges": busiest.counter("exchanges"),
            "exchanges_served": busiest.counter("exchanges_served"),
            "pushes": busiest.counter("pushes"),
        },
        "load_polls_per_second": max_rate("load_polls"),
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

/// Describes all attempts of the lost requests, so that they can be found in the logs.
fn lost_requests(measurements: &Measurements) -> Vec<String> {
    let lost = measurements.records.iter().filter(|record| is_lost(record));
    let lost: BTreeSet<&str> = lost.map(|record| record.name.as_str()).collect();
    let attempts = measurements.records.iter().filter(|record| lost.contains(record.name.as_str()));
    let describe = |record: &AttemptRecord| {
        let since_start_ms = |us: u64| us.saturating_sub(measurements.started_us) / 1000;
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

fn service_report(
    analysis: &ServiceAnalysis,
    measurements: &Measurements,
    workspaces: &[(String, f64)],
) -> Value {
    let pair = analysis.largest_gap.map(|gap| {
        let from_s = gap.interval.from_us.saturating_sub(measurements.started_us) as f64 / US_PER_S;
        let to_s = gap.interval.to_us.saturating_sub(measurements.started_us) as f64 / US_PER_S;
        json!({
            "pair": [workspaces[gap.pair.0].0, workspaces[gap.pair.1].0],
            "from_s": from_s,
            "to_s": to_s,
        })
    });
    let received = service_received(&analysis.run, []);
    let totals = received.service.iter().map(|service| service.last().copied().unwrap_or(0.0));
    let totals: BTreeMap<&str, f64> =
        workspaces.iter().map(|(name, _)| name.as_str()).zip(totals.map(f64::round)).collect();
    json!({
        "service": analysis.name,
        "slots": analysis.terms.slots,
        "largest_cost": analysis.terms.largest_cost,
        "slot_rate": analysis.terms.slot_rate,
        "information_age_s": analysis.terms.information_age_s,
        "fairness_gap": analysis.gap(),
        "fairness_bound": analysis.bound,
        "fairness_gap_over_bound": analysis.gap_over_bound,
        "worst": pair,
        "utilisation_while_waiting": analysis.utilisation.busy_fraction,
        "work_conserving": analysis.utilisation.work_conserving_fraction,
        "waiting_s": analysis.utilisation.waiting_us as f64 / US_PER_S,
        "executions": analysis.run.served.len(),
        "latency": latency::complete_answer_percentiles(&measurements.records, analysis.name),
        "service_received": totals,
    })
}
