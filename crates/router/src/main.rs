//! `rosemaryspan-router`: runs one router.

use std::process::ExitCode;

use eyre::{Result, WrapErr};
use span_router::{
    args::{Args, HELP},
    settings, trace,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("rosemaryspan-router: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<ExitCode> {
    let mut raw = pico_args::Arguments::from_env();
    if raw.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let args = Args::parse(raw).wrap_err("see --help")?;
    // Until then, a signal ends the process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let settings = settings::load(&args.settings)?;
    if args.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _telemetry = trace::start(&settings.trace)?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            tracing::info!("SIGHUP is ignored; the settings are read only at the start");
        }
    });
    let router = span_router::spawn(settings).await?;
    println!("listening on {}", router.http_address());
    wait_for_signal(&mut terminate, &mut interrupt).await;
    let interrupted = router.shutdown(wait_for_signal(&mut terminate, &mut interrupt)).await;
    Ok(if interrupted.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
