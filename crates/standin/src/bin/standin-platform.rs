//! Stand-in for the platform: object API and instance list.

use eyre::Result;
use span_standin::{args::Args, objects};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = Args::from_env();
    let address = args.listen_address()?;
    args.finish()?;
    let platform = objects::bind(address).await?;
    println!("listening on {}", platform.address());
    std::future::pending().await
}
