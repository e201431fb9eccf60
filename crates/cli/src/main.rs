//! `rosemaryspan`: the command line for operators.

use std::{
    env,
    io::{self, Write},
    process::ExitCode,
};

use span_cli::{Environment, run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<ExitCode> {
    let environment = Environment {
        intent_addresses: env::var("ROSEMARYSPAN_INTENT").ok(),
        key: env::var("ROSEMARYSPAN_KEY").ok(),
    };
    let output = run(pico_args::Arguments::from_env(), &environment).await;
    io::stdout().write_all(output.stdout.as_bytes())?;
    io::stderr().write_all(output.stderr.as_bytes())?;
    Ok(ExitCode::from(output.exit_code as u8))
}
