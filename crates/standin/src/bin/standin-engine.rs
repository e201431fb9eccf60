//! Stand-in for a model engine.

use eyre::Result;
use span_standin::{
    args::Args,
    engine::{self, Faults, Settings},
};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = Args::from_env();
    let defaults = Settings::default();
    let address = args.listen_address()?;
    // `u64::MAX` stands for an absent option.
    let mut event_option = |name| {
        let events = args.option(name, u64::MAX)?;
        Ok::<_, span_standin::args::ArgsError>(Some(events).filter(|events| *events != u64::MAX))
    };
    let faults = Faults {
        break_after: event_option("--break-after")?,
        silence_after: event_option("--silence-after")?,
        cross_after: event_option("--cross-after")?,
        answers: args.option("--faulty-answers", 0)?,
        forget: false,
    };
    let settings = Settings {
        slots: args.option("--slots", defaults.slots)?,
        token_us: args.option("--token-us", defaults.token_us)?,
        prefill_us: args.option("--prefill-us", defaults.prefill_us)?,
        load_lag_ms: args.option("--load-lag-ms", defaults.load_lag_ms)?,
        linger_ms: args.option("--linger-ms", defaults.linger_ms)?,
        faults,
        checks_fencing: args.option("--checks-fencing", defaults.checks_fencing)?,
        lose_order_answers: args.option("--lose-order-answers", defaults.lose_order_answers)?,
    };
    args.finish()?;
    let engine = engine::bind(address, settings).await?;
    println!("listening on {}", engine.address());
    std::future::pending().await
}
