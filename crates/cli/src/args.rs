//! Command-line arguments.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use span_config::PlanId;
use span_intent::message::OrderKind;

/// Text that `--help` prints.
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
  --output text|json    output format

exit codes:
  0 done                      4 not accepted now, retry later
  1 invalid arguments         5 effect not known, a retry is safe
  2 document has problems     6 status: not in force at every router
  3 rejected, nothing changed
";

/// The arguments cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is missing or its value is wrong.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// The command is missing or unknown.
    #[error("unknown command {0:?}; see --help")]
    UnknownCommand(String),
    /// A plan id is malformed.
    #[error("{0:?} is not a plan id of 32 lower-case hexadecimal digits")]
    PlanId(String),
    /// An intent address is malformed.
    #[error("{0:?} is not an IP address with a port")]
    Address(String),
    /// There are arguments that the command does not have.
    #[error("unknown arguments: {0:?}")]
    Unknown(Vec<OsString>),
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum OutputFormat {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// A command with its own arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Check a file or folder locally, without the intent API.
    Check(PathBuf),
    /// Plan the change to the document in this file or folder.
    Plan(PathBuf),
    /// Confirm a plan.
    Confirm(PlanId),
    /// Show which revision each router has in force.
    Status,
    /// Show the confirmed plans.
    History,
    /// Print the accepted document as YAML.
    Export,
    /// Send an order to an engine.
    Order {
        /// Kind of the order.
        kind: OrderKind,
        /// Engine that executes the order.
        upstream: String,
        /// Model, adapter, version or role to load or change to.
        target: String,
        /// Id of an earlier order to retry.
        id: Option<String>,
    },
}

/// Parsed command-line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Args {
    /// The command.
    pub command: Command,
    /// Intent addresses, in the order in which to try them.
    pub intent_addresses: Vec<SocketAddr>,
    /// File with the operator key.
    pub key_file: Option<PathBuf>,
    /// Output format.
    pub output_format: OutputFormat,
}

impl Args {
    /// Parses the arguments. Without the option `--intent`, the addresses are taken from
    /// `default_addresses`.
    ///
    /// # Errors
    ///
    /// [`ArgsError`] if the arguments are not valid.
    pub fn parse(
        mut raw: pico_args::Arguments,
        default_addresses: Option<&str>,
    ) -> Result<Self, ArgsError> {
        let help = raw.contains(["-h", "--help"]);
        let addresses: Option<String> = raw.opt_value_from_str("--intent")?;
        let key_file = raw.opt_value_from_str("--key-file")?;
        let output_format = raw.opt_value_from_str("--output")?.unwrap_or_default();
        let command = if help { Command::Help } else { parse_command(&mut raw)? };
        let addresses = addresses.as_deref().or(default_addresses).unwrap_or_default();
        let remaining = raw.finish();
        if !remaining.is_empty() {
            return Err(ArgsError::Unknown(remaining));
        }
        Ok(Self { command, intent_addresses: parse_addresses(addresses)?, key_file, output_format })
    }
}

fn parse_command(raw: &mut pico_args::Arguments) -> Result<Command, ArgsError> {
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
        _ => return Err(ArgsError::UnknownCommand(name)),
    })
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, ArgsError> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| part.parse().map_err(|_| ArgsError::Address(part.to_owned()))).collect()
}
