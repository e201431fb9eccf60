//! Model engine stand-in.

use eyre::Result;
use span_standin::{
    args::Args,
    engine::{self, Settings},
};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = Args::from_env();
    let defaults = Settings::default();
    let address = args.listen()?;
    let settings = Settings {
        slots: args.option("--slots", defaults.slots)?,
        token_us: args.option("--token-us", defaults.token_us)?,
        prefill_us: args.option("--prefill-us", defaults.prefill_us)?,
        load_lag_ms: args.option("--load-lag-ms", defaults.load_lag_ms)?,
        linger_ms: args.option("--linger-ms", defaults.linger_ms)?,
        checks_fencing: args.option("--checks-fencing", defaults.checks_fencing)?,
        lose_order_answers: args.option("--lose-order-answers", defaults.lose_order_answers)?,
    };
    args.finish()?;
    let engine = engine::bind(address, settings).await?;
    println!("listening on {}", engine.address());
    std::future::pending().await
}
