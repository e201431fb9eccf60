//! `rosemaryspan-router`: one router process.

use eyre::Result;
use span_router::{args::Args, settings};

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt().json().with_writer(std::io::stderr).init();
    let args = Args::parse(pico_args::Arguments::from_env())?;
    let settings = settings::load(&args.settings)?;
    let router = span_router::spawn(settings).await?;
    println!("listening on {}", router.http_address());
    tokio::signal::ctrl_c().await?;
    router.shutdown().await;
    Ok(())
}
