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
    let settings = settings::load(&args.settings)?;
    let handle = span_intent::spawn(settings).await?;
    println!("listening on {}", handle.address());
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result?,
        _ = terminate.recv() => {}
    }
    handle.shutdown().await;
    Ok(())
}
