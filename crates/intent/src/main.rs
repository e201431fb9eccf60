//! `rosemaryspan-intent`: one intent process.

use std::process::ExitCode;

use eyre::{Result, WrapErr};
use span_intent::{
    args::{Args, HELP},
    settings,
};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosemaryspan-intent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let mut raw = pico_args::Arguments::from_env();
    if raw.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    tracing_subscriber::fmt().json().with_writer(std::io::stderr).init();
    let args = Args::parse(raw).wrap_err("see --help")?;
    // Until then, a signal ends the process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            tracing::info!("SIGHUP is ignored; the settings are read only at the start");
        }
    });
    let settings = settings::load(&args.settings)?;
    let handle = span_intent::spawn(settings).await?;
    println!("listening on {}", handle.address());
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    handle.shutdown().await;
    Ok(())
}
