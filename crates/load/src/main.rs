//! `span-load`: sends chat completions to one router.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use eyre::{Result, WrapErr, ensure};
use futures::future::join_all;
use span_load::{ChatTarget, send_chat};

const HELP: &str = "\
Sends chat completions to one router.

Usage: span-load --router IP:PORT --key KEY --model MODEL [--requests N]

Options:
  --router IP:PORT  address of the router
  --key KEY         key of a workspace
  --model MODEL     model to ask for, such as stitch-assist-1
  --requests N      requests to send at once [default: 10]
  -h, --help        print this help
";

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("span-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let router: SocketAddr = args.value_from_str("--router").wrap_err("see --help")?;
    let target = ChatTarget {
        router,
        key: args.value_from_str("--key").wrap_err("see --help")?,
        model: args.value_from_str("--model").wrap_err("see --help")?,
    };
    let requests: u64 = args.opt_value_from_str("--requests")?.unwrap_or(10);
    let unknown = args.finish();
    ensure!(unknown.is_empty(), "unknown arguments: {unknown:?}");
    let client = span_http::pooled_client(Duration::from_secs(1));
    let calls = (0..requests).map(|number| {
        let (client, target) = (client.clone(), target.clone());
        async move { send_chat(&client, &target, &format!("load-{number}"), 20).await }
    });
    let results = join_all(calls).await;
    let complete = results.iter().filter(|r| r.as_ref().is_ok_and(|r| r.complete)).count();
    println!("{}", serde_json::json!({ "requests": requests, "whole": complete }));
    Ok(())
}
