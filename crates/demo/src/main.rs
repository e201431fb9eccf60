//! `rosemaryspan-demo`: runs the complete request path in one process.

use eyre::Result;
use rosemaryspan_demo::{print_summary, start};
use span_load::workload::{WorkloadSpec, generate};

const SEED: u64 = 1;
const DURATION_MS: u64 = 10_000;

fn workload_spec() -> WorkloadSpec {
    WorkloadSpec {
        seed: SEED,
        workspace_count: 6,
        large_workspace_count: 2,
        large_callers: 16,
        small_callers: 6,
        open_per_second: 1.0,
        plain_fraction: 0.2,
        router_count: 3,
        duration_ms: DURATION_MS,
        max_output_tokens: 200,
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::WARN)
        .with_writer(std::io::stderr)
        .init();
    let workload = generate(&workload_spec());
    let demo_fleet = start(&workload).await?;
    println!(
        "{} routers are ready; sending {} s of traffic",
        demo_fleet.fleet.routers.len(),
        DURATION_MS / 1000
    );
    let records = span_load::run_workload(&workload, demo_fleet.fleet.clone()).await;
    let executions = demo_fleet.executions();
    let service = demo_fleet.fleet.model_service.clone();
    print_summary(&workload, &service, rosemaryspan_demo::MODEL_SLOTS, &records, &executions);
    demo_fleet.stop().await;
    Ok(())
}
