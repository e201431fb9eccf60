//! Stand-in for a plain service.

use eyre::Result;
use span_standin::{
    args::Args,
    service::{self, Settings},
};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = Args::from_env();
    let defaults = Settings::default();
    let address = args.listen_address()?;
    let settings = Settings {
        slots: args.option("--slots", defaults.slots)?,
        call_ms: args.option("--call-ms", defaults.call_ms)?,
    };
    args.finish()?;
    let service = service::bind(address, settings).await?;
    println!("listening on {}", service.address());
    std::future::pending().await
}
