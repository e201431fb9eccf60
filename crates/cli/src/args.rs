//! Command-line arguments: raw first, then typed.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use span_config::PlanId;
use span_intent::message::OrderKind;

/// Help text.
pub const HELP: &str = "\
rosemaryspan: change and inspect a router fleet

usage:
  rosemaryspan check <file or folder>
  rosemaryspan plan <file or folder>
  rosemaryspan confirm <plan id>
  rosemaryspan status | history | export
  rosemaryspan order <kind> <upstream> <target> [--id <order id>]
      kinds: load_model, load_adapter, load_version, change_role

options:
  --intent <addresses>  intent addresses, separated by commas, tried in turn
                        (or ROSEMARYSPAN_INTENT)
  --key-file <file>     file with the operator key (or ROSEMARYSPAN_KEY)
  --output text|json    form of the output

exit codes:
  0 done                      4 not accepted now, try later
  1 unusable arguments        5 effect not known, repeating is safe
  2 document has faults       6 status: not in force at every router
  3 refused, nothing changed
";

/// The arguments cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is wrong.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// The command is missing or not known.
    #[error("unknown command {0:?}; see --help")]
    Command(String),
    /// A plan id is malformed.
    #[error("{0:?} is no plan id")]
    PlanId(String),
    /// An intent address is malformed.
    #[error("{0:?} is no IP address with port")]
    Address(String),
    /// Arguments that the command does not know.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<OsString>),
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Output {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Check files without any instance.
    Check(PathBuf),
    /// Plan the change to these files.
    Plan(PathBuf),
    /// Confirm a plan.
    Confirm(PlanId),
    /// Show what is in force where.
    Status,
    /// Show who confirmed what.
    History,
    /// Print the accepted document.
    Export,
    /// Give an order to an engine.
    Order {
        /// What to do.
        kind: OrderKind,
        /// Engine that carries it out.
        upstream: String,
        /// Model, adapter, version or role.
        target: String,
        /// Id of the order, to repeat an earlier one.
        id: Option<String>,
    },
}

/// Arguments of the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// What to do.
    pub command: Command,
    /// Intent addresses, in the order in which to try them.
    pub intents: Vec<SocketAddr>,
    /// File with the operator key.
    pub key_file: Option<PathBuf>,
    /// Form of the output.
    pub output: Output,
}

impl Args {
    /// Reads the arguments; `default_intents` counts if no option names any.
    ///
    /// # Errors
    ///
    /// [`ArgsError`].
    pub fn parse(
        mut raw: pico_args::Arguments,
        default_intents: Option<&str>,
    ) -> Result<Self, ArgsError> {
        let help = raw.contains(["-h", "--help"]);
        let intents: Option<String> = raw.opt_value_from_str("--intent")?;
        let key_file = raw.opt_value_from_str("--key-file")?;
        let output = raw.opt_value_from_str("--output")?.unwrap_or_default();
        let command = if help { Command::Help } else { command(&mut raw)? };
        let intents = intents.as_deref().or(default_intents).unwrap_or_default();
        let left = raw.finish();
        if !left.is_empty() {
            return Err(ArgsError::Unknown(left));
        }
        Ok(Self { command, intents: addresses(intents)?, key_file, output })
    }
}

fn command(raw: &mut pico_args::Arguments) -> Result<Command, ArgsError> {
    let name = raw.subcommand()?.unwrap_or_default();
    Ok(match name.as_str() {
        "check" => Command::Check(raw.free_from_str()?),
        "plan" => Command::Plan(raw.free_from_str()?),
        "confirm" => {
            let id: String = raw.free_from_str()?;
            Command::Confirm(PlanId::parse(&id).ok_or(ArgsError::PlanId(id))?)
        }
        "status" => Command::Status,
        "history" => Command::History,
        "export" => Command::Export,
        "order" => {
            let id = raw.opt_value_from_str("--id")?;
            let kind = raw.free_from_str()?;
            let upstream = raw.free_from_str()?;
            Command::Order { kind, upstream, target: raw.free_from_str()?, id }
        }
        _ => return Err(ArgsError::Command(name)),
    })
}

fn addresses(text: &str) -> Result<Vec<SocketAddr>, ArgsError> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| part.parse().map_err(|_| ArgsError::Address(part.to_owned()))).collect()
}
