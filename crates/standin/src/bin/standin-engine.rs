//! Model engine stand-in.

use eyre::Result;
use span_standin::{
    args::Args,
    engine::{self, Faults, Settings},
};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = Args::from_env();
    let defaults = Settings::default();
    let address = args.listen()?;
    let mut after = |name| {
        let events = args.option(name, u64::MAX)?;
        Ok::<_, span_standin::args::ArgsError>(Some(events).filter(|events| *events != u64::MAX))
    };
    let faults = Faults {
        break_after: after("--break-after")?,
        silence_after: after("--silence-after")?,
        cross_after: after("--cross-after")?,
        answers: args.option("--faulty-answers", 0)?,
        forget: false,
    };
    let settings = Settings {
        slots: args.option("--slots", defaults.slots)?,
        token_us: args.option("--token-us", defaults.token_us)?,
        prefill_us: args.option("--prefill-us", defaults.prefill_us)?,
        load_lag_ms: args.option("--load-lag-ms", defaults.load_lag_ms)?,
        linger_ms: args.option("--linger-ms", defaults.linger_ms)?,
        checks_fencing: args.option("--checks-fencing", defaults.checks_fencing)?,
        lose_order_answers: args.option("--lose-order-answers", defaults.lose_order_answers)?,
        faults,
    };
    args.finish()?;
    let engine = engine::bind(address, settings).await?;
    println!("listening on {}", engine.address());
    std::future::pending().await
}
