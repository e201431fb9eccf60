//! Experiments: start a fleet, load it, disturb it, analyse the run.

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
    report::{self, Measured},
    snapshot,
    topology::Topology,
};

/// Fields that only one experiment has.
pub(crate) type Fields = Map<String, Value>;

/// What the disturbance of a run left for the analysis.
#[derive(Debug, Default)]
pub(crate) struct Disturbance {
    /// Fields for the report.
    pub fields: Fields,
    /// What left in a drain.
    pub drained: Option<drain::Drained>,
}

/// Runs an experiment and returns its report.
///
/// # Errors
///
/// Fails if a process does not start or the stand-ins cannot be read.
pub async fn run(args: &Args) -> Result<Value> {
    let topology = Topology::of(args.experiment);
    let workload = workload(args, &topology);
    let folder = folder(args)?;
    let plan = fleet::Plan {
        topology: &topology,
        workload: &workload,
        routers: args.routers,
        policy: args.policy,
        control_budget: args.control_budget,
        relay_upstreams: args.experiment == Experiment::Faults,
        folder: &folder,
    };
    let mut fleet = fleet::start(&plan).await?;
    let measured = measure(args, &topology, &workload, &mut fleet).await;
    fleet.stop().await;
    let report = report::report(args, &topology, &workload, &measured?)?;
    // The logs of a failed run stay for inspection.
    if args.keep.is_none() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

fn workload(args: &Args, topology: &Topology) -> Workload {
    let mut workload = generate(&topology.spec(args));
    if args.experiment == Experiment::Flood {
        let total = workload.workspaces.iter().map(|load| load.share).sum();
        // The last workspace is a small one.
        if let Some(flooding) = workload.workspaces.last_mut() {
            flooding.callers = topology.flood_callers(flooding.share, total);
        }
    }
    workload
}

fn folder(args: &Args) -> Result<PathBuf> {
    let name = format!("span-bench-{}-{}", args.experiment, std::process::id());
    let folder = args.keep.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

async fn measure(
    args: &Args,
    topology: &Topology,
    workload: &Workload,
    fleet: &mut Fleet,
) -> Result<Measured> {
    let callers = Arc::new(span_load::Fleet {
        routers: fleet.entries(),
        model_service: topology.model_service.into(),
        model: topology.model_service.into(),
        plain_service: topology.plain_service.into(),
    });
    let before = snapshot::take(fleet).await;
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let started_us = unix_us();
    let load = tokio::spawn({
        let workload = workload.clone();
        async move { span_load::run_workload(&workload, callers).await }
    });
    let routers = fleet.routers.iter().map(|seat| seat.direct).collect();
    let probe = tokio::spawn(probe::probe(routers, fleet.probe.address, end));
    let disturbance = disturb(args, fleet, end).await;
    tokio::time::sleep_until(end).await;
    let after = snapshot::take(fleet).await;
    let records: Vec<AttemptRecord> = load.await?;
    let ledgers = fleet.ledgers().await?;
    Ok(Measured {
        started_us,
        ended_us: started_us + args.seconds * 1_000_000,
        collected_us: unix_us(),
        records,
        ledgers,
        probed: probe.await?,
        rates: snapshot::rates(&before, &after),
        disturbance: disturbance?,
    })
}

async fn disturb(args: &Args, fleet: &mut Fleet, end: Instant) -> Result<Disturbance> {
    match args.experiment {
        Experiment::Config => config::disturb(fleet, end).await,
        Experiment::Drain => drain::disturb(fleet, args.seconds).await,
        Experiment::Faults => faults::disturb(fleet, args).await,
        Experiment::Magnolia | Experiment::Cordillera | Experiment::Flood => {
            Ok(Disturbance::default())
        }
    }
}

/// Fields of an object literal.
pub(crate) fn fields(value: Value) -> Result<Fields> {
    value.as_object().cloned().ok_or_else(|| eyre!("the report's part is no object"))
}
