//! Conversions between typed messages and capnp messages.

mod allocation;
mod beat;
mod config;
mod cost_tables;
mod report;
mod shared;

pub use allocation::{
    read_allocation, read_allocation_replies, read_allocations, write_allocation,
    write_allocation_replies, write_allocations,
};
pub use beat::{read_heartbeat, write_heartbeat};
pub use config::{read_config, write_config};
pub use cost_tables::{group_by_shard_and_owner, read_cost_tables, write_cost_tables};
pub use report::{read_report, read_reports, write_report, write_reports};

/// A message from a peer cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConvertError {
    /// The message is damaged or passes a limit.
    #[error("the message is damaged: {0}")]
    Damaged(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("a text is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// An address is not an IP address with a port.
    #[error("{0:?} is not an address")]
    Address(String),
    /// The columns of a table differ in length.
    #[error("a column of {column} has {found} rows instead of {expected}")]
    Columns {
        /// Table concerned.
        column: &'static str,
        /// Rows of the first column.
        expected: u32,
        /// Rows of this column.
        found: u32,
    },
    /// A member state is unknown.
    #[error("{0} is not a member state")]
    State(u8),
    /// A virtual time is not a finite number.
    #[error("a virtual time is not finite")]
    NotFinite,
    /// A required part is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The message is of a kind added by a later version.
    #[error(transparent)]
    Kind(#[from] capnp::NotInSchema),
}

impl From<ConvertError> for capnp::Error {
    fn from(error: ConvertError) -> Self {
        capnp::Error::failed(error.to_string())
    }
}
