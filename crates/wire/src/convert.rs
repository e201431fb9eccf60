//! Conversions between typed messages and Cap'n Proto messages.

mod allocation;
mod config;
mod cost_tables;
mod fields;
mod heartbeat;
mod report;

pub use allocation::{
    read_allocation, read_allocation_replies, read_allocations, write_allocation,
    write_allocation_replies, write_allocations,
};
pub use config::{read_config, write_config};
pub use cost_tables::{group_by_shard_and_owner, read_cost_tables, write_cost_tables};
pub use heartbeat::{read_heartbeat, write_heartbeat};
pub use report::{read_report, read_reports, write_report, write_reports};

/// Why a message from a peer cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConvertError {
    /// The message is malformed or exceeds a limit of the reader.
    #[error("the message is damaged: {0}")]
    Malformed(#[from] capnp::Error),
    /// A text is not UTF-8.
    #[error("a text is not UTF-8: {0}")]
    InvalidUtf8(#[from] std::str::Utf8Error),
    /// A text is not an IP address with a port.
    #[error("{0:?} is not an address")]
    InvalidAddress(String),
    /// The columns of a table have different numbers of rows.
    #[error("a column of {column} has {found} rows instead of {expected}")]
    ColumnLength {
        /// What the column holds.
        column: &'static str,
        /// Rows of the table's first column.
        expected: u32,
        /// Rows of this column.
        found: u32,
    },
    /// A number is not a known member state.
    #[error("{0} is not a member state")]
    UnknownMemberState(u8),
    /// A virtual time is infinite or not a number.
    #[error("a virtual time is not finite")]
    NotFinite,
    /// A required field is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A union has a member that this version of the schema does not know.
    #[error(transparent)]
    UnknownUnionMember(#[from] capnp::NotInSchema),
}

impl From<ConvertError> for capnp::Error {
    fn from(error: ConvertError) -> Self {
        capnp::Error::failed(error.to_string())
    }
}
