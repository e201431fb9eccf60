//! `rosemaryspan`: the operators' command line.

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

use span_cli::{Environment, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<ExitCode> {
    let environment = Environment {
        intents: env::var("ROSEMARYSPAN_INTENT").ok(),
        key: env::var("ROSEMARYSPAN_KEY").ok(),
    };
    let printed = run(pico_args::Arguments::from_env(), &environment).await;
    io::stdout().write_all(printed.out.as_bytes())?;
    io::stderr().write_all(printed.err.as_bytes())?;
    Ok(ExitCode::from(printed.exit as u8))
}
