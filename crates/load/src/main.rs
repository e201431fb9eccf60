//! `span-load`: sends chat completions to one router.

use std::{net::SocketAddr, time::Duration};

use eyre::{Result, ensure};
use futures::future::join_all;
use span_load::{Target, chat};

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    let router: SocketAddr = args.value_from_str("--router")?;
    let target = Target {
        router,
        key: args.value_from_str("--key")?,
        model: args.value_from_str("--model")?,
    };
    let requests: u64 = args.opt_value_from_str("--requests")?.unwrap_or(10);
    let left = args.finish();
    ensure!(left.is_empty(), "unknown arguments: {left:?}");
    let client = span_http::client(Duration::from_secs(1));
    let calls = (0..requests).map(|number| {
        let (client, target) = (client.clone(), target.clone());
        async move { chat(&client, &target, &format!("load-{number}"), 20).await }
    });
    let results = join_all(calls).await;
    let whole = results.iter().filter(|r| r.as_ref().is_ok_and(|r| r.whole)).count();
    println!("{}", serde_json::json!({ "requests": requests, "whole": whole }));
    Ok(())
}
