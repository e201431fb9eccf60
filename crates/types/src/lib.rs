//! Identifiers, outcomes and header names that all crates share.
//!
//! Times are in milliseconds. Functions that depend on the time read no clock;
//! they take the time as an argument (`now_ms`). Costs are in whole cost units: prompt
//! tokens plus generated tokens for a model call, [`PLAIN_CALL_COST_UNITS`] for
//! a plain call.

mod headers;
mod id;
mod member;
mod name;
mod outcome;

pub use headers::*;
pub use id::{Incarnation, ParseRequestIdError, RequestId, Revision, ShardId};
pub use member::{Member, MemberState};
pub use name::{
    FailureDomain, InstanceName, ServiceName, SoftwareVersion, UpstreamName, WorkspaceName,
};
pub use outcome::{Outcome, ServiceKind};

/// Cost of one call to a plain service, in cost units.
pub const PLAIN_CALL_COST_UNITS: u64 = 100;
