//! Runs the command that the arguments name.

use std::{fs, path::Path};

use serde::Serialize;
use span_config::{Problems, SourceFile, parse};
use span_intent::message::{
    ConfirmResponse, DocumentFile, ExportResponse, HistoryResponse, OrderRequest, OrderResponse,
    PlanRequest, PlanResponse, RouterState, StatusResponse,
};

use crate::{
    Args, Command, ExitCode, OutputFormat,
    args::HELP,
    client::{CallFailure, IntentClient},
    files, render,
};

/// The environment variables that the commands use.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `ROSEMARYSPAN_INTENT`: intent addresses, separated by commas.
    pub intent_addresses: Option<String>,
    /// `ROSEMARYSPAN_KEY`: the operator key.
    pub key: Option<String>,
}

/// Output and exit code of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for the standard output.
    pub stdout: String,
    /// Text for the standard error.
    pub stderr: String,
    /// Exit code of the process.
    pub exit_code: ExitCode,
}

impl CommandOutput {
    fn to_stdout(text: impl Into<String>, exit_code: ExitCode) -> Self {
        Self { stdout: text.into(), stderr: String::new(), exit_code }
    }

    fn to_stderr(text: impl Into<String>, exit_code: ExitCode) -> Self {
        Self { stdout: String::new(), stderr: text.into(), exit_code }
    }

    fn usage_error(error: impl std::fmt::Display) -> Self {
        Self::to_stderr(format!("error: {error}\n"), ExitCode::Usage)
    }
}

/// Parses the arguments and runs the command. Errors are part of the output.
pub async fn run(raw: pico_args::Arguments, environment: &Environment) -> CommandOutput {
    let args = match Args::parse(raw, environment.intent_addresses.as_deref()) {
        Ok(args) => args,
        Err(error) => return CommandOutput::usage_error(error),
    };
    match &args.command {
        Command::Help => CommandOutput::to_stdout(HELP, ExitCode::Done),
        Command::Check(path) => check_files(path, args.output_format),
        _ => match read_key(&args, environment) {
            Ok(key) => run_remote(args, key).await,
            Err(message) => CommandOutput::usage_error(message),
        },
    }
}

fn read_key(args: &Args, environment: &Environment) -> Result<String, String> {
    let key = match (&args.key_file, &environment.key) {
        (Some(path), _) => {
            fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
        (None, Some(key)) => key.clone(),
        (None, None) => {
            return Err(
                "no operator key is given; use --key-file or set ROSEMARYSPAN_KEY".to_owned()
            );
        }
    };
    let key = key.trim();
    // The HTTP library would quote a key that is not a valid header value in its error.
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(
            "the operator key is empty or has characters other than visible ASCII".to_owned()
        );
    }
    Ok(key.to_owned())
}

fn check_files(path: &Path, format: OutputFormat) -> CommandOutput {
    let sources = match files::read_sources(path) {
        Ok(sources) => sources,
        Err(error) => return CommandOutput::usage_error(error),
    };
    match parse(&sources) {
        Err(problems) => invalid_document(&problems, format),
        Ok(document) => {
            let (workspaces, services) = (document.workspaces.len(), document.services.len());
            let upstreams = document.upstreams.len();
            let text = format!(
                "valid: {workspaces} workspaces, {services} services, {upstreams} upstreams\n"
            );
            success(format, &document, || text)
        }
    }
}

fn invalid_document(problems: &Problems, format: OutputFormat) -> CommandOutput {
    match format {
        OutputFormat::Text => CommandOutput::to_stderr(format!("{problems}\n"), ExitCode::Invalid),
        OutputFormat::Json => CommandOutput::to_stdout(to_json(problems), ExitCode::Invalid),
    }
}

async fn run_remote(args: Args, key: String) -> CommandOutput {
    let client = IntentClient::new(args.intent_addresses, key);
    let format = args.output_format;
    let result = match args.command {
        Command::Plan(path) => plan(&client, &path, format).await,
        Command::Confirm(id) => {
            let response =
                client.post::<ConfirmResponse>(&format!("/v1/plans/{id}/confirm"), &()).await;
            response.map(|response| success(format, &response, || render::confirm(&response)))
        }
        Command::Status => status(&client, format).await,
        Command::History => {
            let response = client.get::<HistoryResponse>("/v1/history").await;
            response.map(|response| success(format, &response, || render::history(&response)))
        }
        Command::Export => {
            let response = client.get::<ExportResponse>("/v1/export").await;
            response.map(|response| success(format, &response, || response.yaml.clone()))
        }
        Command::Order { kind, upstream, target, id } => {
            let id = id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
            let request = OrderRequest { id, upstream: upstream.into(), kind, target };
            return order(&client, request, format).await;
        }
        Command::Help | Command::Check(_) => Ok(CommandOutput::to_stdout("", ExitCode::Done)),
    };
    result.unwrap_or_else(|failure| failure_output(&failure, format))
}

async fn plan(
    client: &IntentClient,
    path: &Path,
    format: OutputFormat,
) -> Result<CommandOutput, CallFailure> {
    let sources = match files::read_sources(path) {
        Ok(sources) => sources,
        Err(error) => return Ok(CommandOutput::usage_error(error)),
    };
    if let Err(problems) = parse(&sources) {
        return Ok(invalid_document(&problems, format));
    }
    let files = sources.into_iter().map(|SourceFile { name, text }| DocumentFile { name, text });
    let request = PlanRequest { files: files.collect() };
    let response: PlanResponse = client.post("/v1/plans", &request).await?;
    Ok(success(format, &response, || render::plan(&response)))
}

async fn status(client: &IntentClient, format: OutputFormat) -> Result<CommandOutput, CallFailure> {
    let response: StatusResponse = client.get("/v1/status").await?;
    let mut output = success(format, &response, || render::status(&response));
    if response.routers.iter().any(|router| router.state != RouterState::InForce) {
        output.exit_code = ExitCode::NotInForce;
    }
    Ok(output)
}

/// Sends an order. On failure, prints its id, so that it can be retried with the same id.
async fn order(
    client: &IntentClient,
    request: OrderRequest,
    format: OutputFormat,
) -> CommandOutput {
    match client.post::<OrderResponse>("/v1/orders", &request).await {
        Ok(response) => success(format, &response, || render::order(&response)),
        Err(failure) => {
            let mut output = failure_output(&failure, format);
            output.stderr.push_str(&format!("retry the same order with: --id {}\n", request.id));
            output
        }
    }
}

fn success<T: Serialize>(
    format: OutputFormat,
    value: &T,
    text: impl FnOnce() -> String,
) -> CommandOutput {
    match format {
        OutputFormat::Text => CommandOutput::to_stdout(text(), ExitCode::Done),
        OutputFormat::Json => CommandOutput::to_stdout(to_json(value), ExitCode::Done),
    }
}

fn failure_output(failure: &CallFailure, format: OutputFormat) -> CommandOutput {
    let exit_code = ExitCode::of_kind(&failure.error.kind);
    match format {
        OutputFormat::Text => CommandOutput::to_stderr(render::failure(failure), exit_code),
        OutputFormat::Json => {
            let response = span_intent::message::ErrorResponse { error: failure.error.clone() };
            CommandOutput::to_stdout(to_json(&response), exit_code)
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    // Serialisation only fails for maps with keys other than strings, which the values do
    // not have.
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
