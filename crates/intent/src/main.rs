//! `rosemaryspan-intent`: one intent process.

use eyre::Result;
use span_intent::{args::Args, settings};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt().json().with_writer(std::io::stderr).init();
    let args = Args::parse(pico_args::Arguments::from_env())?;
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
