//! `rosemaryspan-demo`: the whole request path in one process.

use eyre::Result;
use rosemaryspan_demo::{print, start};
use span_load::workload::{Spec, generate};

const SEED: u64 = 1;
const DURATION_MS: u64 = 10_000;

fn spec() -> Spec {
    Spec {
        seed: SEED,
        workspaces: 6,
        large: 2,
        large_callers: 16,
        small_callers: 6,
        open_per_second: 1.0,
        plain_fraction: 0.2,
        routers: 3,
        duration_ms: DURATION_MS,
        max_output_tokens: 200,
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let workload = generate(&spec());
    let world = start(&workload).await?;
    println!(
        "{} routers serve; {} s of traffic follow",
        world.fleet.entries.len(),
        DURATION_MS / 1000
    );
    let records = span_load::run(&workload, world.fleet.clone()).await;
    let executions = world.executions();
    let service = world.fleet.model_service.clone();
    print(&workload, &service, rosemaryspan_demo::MODEL_SLOTS, &records, &executions);
    world.stop().await;
    Ok(())
}
