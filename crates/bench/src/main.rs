//! `span-bench`: runs one experiment and prints its report as one line of JSON.

use eyre::Result;
use span_bench::{args::Args, experiment};

#[tokio::main]
async fn main() -> Result<()> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let args = Args::parse(pico_args::Arguments::from_env())?;
    let report = experiment::run(&args).await?;
    println!("{report}");
    Ok(())
}
