//! Runs one command.

use std::{fs, path::Path};

use serde::Serialize;
use span_config::{Problems, SourceFile, parse};
use span_intent::message::{
    ConfirmAnswer, ExportAnswer, File, HistoryAnswer, OrderAnswer, OrderRequest, PlanAnswer,
    PlanRequest, RouterState, StatusAnswer,
};

use crate::{
    Args, Command, Exit, Output,
    args::HELP,
    client::{Failure, Intents},
    files, render,
};

/// Values of the environment that matter.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `ROSEMARYSPAN_INTENT`: intent addresses, separated by commas.
    pub intents: Option<String>,
    /// `ROSEMARYSPAN_KEY`: the operator key.
    pub key: Option<String>,
}

/// What to print, and how the command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Printed {
    /// For the standard output.
    pub out: String,
    /// For the standard error output.
    pub err: String,
    /// How the command ended.
    pub exit: Exit,
}

impl Printed {
    fn out(out: impl Into<String>, exit: Exit) -> Self {
        Self { out: out.into(), err: String::new(), exit }
    }

    fn err(err: impl Into<String>, exit: Exit) -> Self {
        Self { out: String::new(), err: err.into(), exit }
    }

    fn usage(error: impl std::fmt::Display) -> Self {
        Self::err(format!("error: {error}\n"), Exit::Usage)
    }
}

/// Runs the command that the arguments name.
pub async fn run(raw: pico_args::Arguments, environment: &Environment) -> Printed {
    let args = match Args::parse(raw, environment.intents.as_deref()) {
        Ok(args) => args,
        Err(error) => return Printed::usage(error),
    };
    match &args.command {
        Command::Help => Printed::out(HELP, Exit::Done),
        Command::Check(path) => check(path, args.output),
        _ => match key(&args, environment) {
            Ok(key) => remote(args, key).await,
            Err(message) => Printed::usage(message),
        },
    }
}

fn key(args: &Args, environment: &Environment) -> Result<String, String> {
    let key = match (&args.key_file, &environment.key) {
        (Some(path), _) => {
            fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
        (None, Some(key)) => key.clone(),
        (None, None) => return Err("give --key-file or set ROSEMARYSPAN_KEY".to_owned()),
    };
    let key = key.trim();
    // A key that is no header value would be reported together with its text.
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("the operator key is empty or has characters that cannot be sent".to_owned());
    }
    Ok(key.to_owned())
}

fn check(path: &Path, output: Output) -> Printed {
    let sources = match files::read(path) {
        Ok(sources) => sources,
        Err(error) => return Printed::usage(error),
    };
    match parse(&sources) {
        Err(problems) => invalid(&problems, output),
        Ok(document) => {
            let (workspaces, services) = (document.workspaces.len(), document.services.len());
            let upstreams = document.upstreams.len();
            let text = format!(
                "valid: {workspaces} workspaces, {services} services, {upstreams} upstreams\n"
            );
            show(output, &document, || text)
        }
    }
}

fn invalid(problems: &Problems, output: Output) -> Printed {
    match output {
        Output::Text => Printed::err(format!("{problems}\n"), Exit::Invalid),
        Output::Json => Printed::out(to_json(problems), Exit::Invalid),
    }
}

async fn remote(args: Args, key: String) -> Printed {
    let intents = Intents::new(args.intents, key);
    let output = args.output;
    let result = match args.command {
        Command::Plan(path) => plan(&intents, &path, output).await,
        Command::Confirm(id) => {
            let answer =
                intents.post::<ConfirmAnswer>(&format!("/v1/plans/{id}/confirm"), &()).await;
            answer.map(|answer| show(output, &answer, || render::confirm(&answer)))
        }
        Command::Status => status(&intents, output).await,
        Command::History => {
            let answer = intents.get::<HistoryAnswer>("/v1/history").await;
            answer.map(|answer| show(output, &answer, || render::history(&answer)))
        }
        Command::Export => {
            let answer = intents.get::<ExportAnswer>("/v1/export").await;
            answer.map(|answer| show(output, &answer, || answer.yaml.clone()))
        }
        Command::Order { kind, upstream, target, id } => {
            let id = id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
            let request = OrderRequest { id, upstream: upstream.into(), kind, target };
            return order(&intents, request, output).await;
        }
        Command::Help | Command::Check(_) => Ok(Printed::out("", Exit::Done)),
    };
    result.unwrap_or_else(|failure| failed(&failure, output))
}

async fn plan(intents: &Intents, path: &Path, output: Output) -> Result<Printed, Failure> {
    let sources = match files::read(path) {
        Ok(sources) => sources,
        Err(error) => return Ok(Printed::usage(error)),
    };
    if let Err(problems) = parse(&sources) {
        return Ok(invalid(&problems, output));
    }
    let files = sources.into_iter().map(|SourceFile { name, text }| File { name, text });
    let request = PlanRequest { files: files.collect() };
    let answer: PlanAnswer = intents.post("/v1/plans", &request).await?;
    Ok(show(output, &answer, || render::plan(&answer)))
}

async fn status(intents: &Intents, output: Output) -> Result<Printed, Failure> {
    let answer: StatusAnswer = intents.get("/v1/status").await?;
    let mut printed = show(output, &answer, || render::status(&answer));
    if answer.routers.iter().any(|router| router.state != RouterState::InForce) {
        printed.exit = Exit::NotInForce;
    }
    Ok(printed)
}

/// A failed order names its id, so that it can be repeated under the same one.
async fn order(intents: &Intents, request: OrderRequest, output: Output) -> Printed {
    match intents.post::<OrderAnswer>("/v1/orders", &request).await {
        Ok(answer) => show(output, &answer, || render::order(&answer)),
        Err(failure) => {
            let mut printed = failed(&failure, output);
            printed.err.push_str(&format!("repeat with: --id {}\n", request.id));
            printed
        }
    }
}

fn show<T: Serialize>(output: Output, value: &T, text: impl FnOnce() -> String) -> Printed {
    match output {
        Output::Text => Printed::out(text(), Exit::Done),
        Output::Json => Printed::out(to_json(value), Exit::Done),
    }
}

fn failed(failure: &Failure, output: Output) -> Printed {
    let exit = Exit::of_kind(&failure.error.kind);
    match output {
        Output::Text => Printed::err(render::failure(failure), exit),
        Output::Json => {
            let answer = span_intent::message::ErrorAnswer { error: failure.error.clone() };
            Printed::out(to_json(&answer), exit)
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    // The values have no maps with keys other than strings, the only cause.
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
