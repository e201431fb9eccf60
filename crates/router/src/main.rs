//! `rosemaryspan-router`: one router process.

use std::process::ExitCode;

use eyre::Result;
use span_router::{args::Args, settings, trace};
use tokio::signal::unix::{Signal, SignalKind, signal};

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args = Args::parse(pico_args::Arguments::from_env())?;
    let settings = settings::load(&args.settings)?;
    if args.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _telemetry = trace::start(&settings.trace)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let router = span_router::spawn(settings).await?;
    println!("listening on {}", router.http_address());
    next(&mut terminate, &mut interrupt).await;
    let cut = router.shutdown(next(&mut terminate, &mut interrupt)).await;
    Ok(if cut.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn next(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
