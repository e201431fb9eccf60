//! TCP relay with delay and faults; routes are added over HTTP.

use eyre::Result;
use span_standin::{args::Args, relay};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = Args::from_env();
    let control = args.listen_address()?;
    args.finish()?;
    let relay = relay::bind(control).await?;
    println!("listening on {}", relay.control_address());
    std::future::pending().await
}
