//! Text summary of a run.

use span_bench::analysis::{
    audit::audit,
    join::{NetworkDelays, ServiceDescription, build_service_run},
    received::service_received,
    utilisation::utilisation,
};
use span_load::{AnswerKind, AttemptRecord, workload::Workload};
use span_standin::Execution;

/// Prints the share and the service received of each workspace, then the totals.
pub fn print_summary(
    workload: &Workload,
    service: &str,
    slots: u32,
    records: &[AttemptRecord],
    executions: &[Execution],
) {
    let workspaces: Vec<(String, f64)> = workload
        .workspaces
        .iter()
        .map(|load| (load.name.to_string(), f64::from(load.share)))
        .collect();
    let description = ServiceDescription { name: service, slots, workspaces: &workspaces };
    let now_us = span_standin::unix_us();
    let run =
        build_service_run(&description, records, executions, NetworkDelays::default(), now_us);
    let received = service_received(&run, []);
    println!("workspace  share  callers  completed  not run  service received (cost / share)");
    for (load, service) in workload.workspaces.iter().zip(&received.service) {
        let of_workspace = || records.iter().filter(|r| r.last && r.workspace == load.name);
        let completed =
            of_workspace().filter(|record| record.answer == AnswerKind::Complete).count();
        let not_run = of_workspace().count() - completed;
        let total = service.last().copied().unwrap_or(0.0);
        println!(
            "{:<9}  {:>5}  {:>7}  {completed:>9}  {not_run:>7}  {total:>10.0}",
            load.name, load.share, load.callers
        );
    }
    let audit = audit(records, executions);
    let from_us = received.times_us.first().copied().unwrap_or(0);
    let to_us = received.times_us.last().copied().unwrap_or(0);
    let slot_utilisation = utilisation(&run, from_us, to_us);
    println!();
    println!(
        "{} requests: {} completed, {} not run, {} unknown, {} lost, {} crossed",
        audit.requests, audit.completed, audit.not_run, audit.unknown, audit.lost, audit.crossed
    );
    println!(
        "slots of {service} in use while work waited: {:.1} %",
        slot_utilisation.busy_fraction * 100.0
    );
}
