//! Experiments: each starts a fleet, runs a load, disturbs the fleet and analyses the
//! run.

mod config;
pub(crate) mod drain;
mod faults;

use std::{fs, path::PathBuf, sync::Arc, time::Duration};

use eyre::{Result, eyre};
use serde_json::{Map, Value};
use span_load::{
    AttemptRecord,
    workload::{Workload, generate},
};
use span_standin::unix_us;
use tokio::time::Instant;

use crate::{
    args::{Args, Experiment},
    fleet::{self, Fleet},
    probe,
    report::{self, Measurements},
    snapshot,
    topology::Topology,
};

/// Report fields of a single experiment.
pub(crate) type Fields = Map<String, Value>;

/// Result of the disturbance during a run.
#[derive(Debug, Default)]
pub(crate) struct DisturbanceResult {
    /// Fields to add to the report.
    pub fields: Fields,
    /// Upstream and router that left; only in the drain experiment.
    pub leaving_events: Option<drain::LeavingEvents>,
}

/// Runs an experiment and returns its report.
///
/// # Errors
///
/// Fails if a process does not start or the stand-ins cannot be read.
pub async fn run(args: &Args) -> Result<Value> {
    let topology = Topology::for_experiment(args.experiment);
    let workload = build_workload(args, &topology);
    let folder = create_folder(args)?;
    let spec = fleet::FleetSpec {
        topology: &topology,
        workload: &workload,
        router_count: args.router_count,
        policy: args.policy,
        control_budget_bytes_per_s: args.control_budget_bytes_per_s,
        relay_upstreams: args.experiment == Experiment::Faults,
        folder: &folder,
    };
    let mut fleet = fleet::start_fleet(&spec).await?;
    let measurements = measure_run(args, &topology, &workload, &mut fleet).await;
    fleet.stop().await;
    let report = report::build_report(args, &topology, &workload, &measurements?)?;
    // The logs of a failed run are kept for inspection.
    if args.keep.is_none() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

fn build_workload(args: &Args, topology: &Topology) -> Workload {
    let mut workload = generate(&topology.workload_spec(args));
    if args.experiment == Experiment::Flood {
        let total = workload.workspaces.iter().map(|load| load.share).sum();
        // The last workspace is small.
        if let Some(flooding) = workload.workspaces.last_mut() {
            flooding.callers = topology.flood_callers(flooding.share, total);
        }
    }
    workload
}

fn create_folder(args: &Args) -> Result<PathBuf> {
    let name = format!("span-bench-{}-{}", args.experiment, std::process::id());
    let folder = args.keep.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

async fn measure_run(
    args: &Args,
    topology: &Topology,
    workload: &Workload,
    fleet: &mut Fleet,
) -> Result<Measurements> {
    let callers = Arc::new(span_load::Fleet {
        routers: fleet.router_endpoints(),
        model_service: topology.model_service.into(),
        model: topology.model_service.into(),
        plain_service: topology.plain_service.into(),
    });
    let before = snapshot::take_snapshot(fleet).await;
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let started_us = unix_us();
    let load = tokio::spawn({
        let workload = workload.clone();
        async move { span_load::run_workload(&workload, callers).await }
    });
    let routers = fleet.routers.iter().map(|router| router.direct_address).collect();
    let probe = tokio::spawn(probe::run_probes(routers, fleet.probe_engine.address, end));
    let disturbance = run_disturbance(args, fleet, end).await;
    tokio::time::sleep_until(end).await;
    let after = snapshot::take_snapshot(fleet).await;
    let records: Vec<AttemptRecord> = load.await?;
    let ledgers = fleet.ledgers().await?;
    Ok(Measurements {
        started_us,
        ended_us: started_us + args.seconds * 1_000_000,
        collected_us: unix_us(),
        records,
        ledgers,
        probe_latencies: probe.await?,
        rates: snapshot::rates(&before, &after),
        disturbance: disturbance?,
    })
}

async fn run_disturbance(
    args: &Args,
    fleet: &mut Fleet,
    end: Instant,
) -> Result<DisturbanceResult> {
    match args.experiment {
        Experiment::Config => config::run_disturbance(fleet, end).await,
        Experiment::Drain => drain::run_disturbance(fleet, args.seconds).await,
        Experiment::Faults => faults::run_disturbance(fleet, args).await,
        Experiment::Magnolia | Experiment::Cordillera | Experiment::Flood => {
            Ok(DisturbanceResult::default())
        }
    }
}

/// Converts a JSON object to report fields.
pub(crate) fn fields(value: Value) -> Result<Fields> {
    value.as_object().cloned().ok_or_else(|| eyre!("the report fields are not a JSON object"))
}
