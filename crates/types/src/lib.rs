//! Identifiers, outcomes and header names shared by all crates.
//!
//! Times are milliseconds on the caller's clock (`now_ms`); deciding functions
//! receive them as arguments. Costs are whole cost units: prompt tokens plus
//! generated tokens for a model call, [`PLAIN_CALL_COST_UNITS`] for a plain call.

mod headers;
mod id;
mod member;
mod name;
mod outcome;

pub use headers::*;
pub use id::{Incarnation, ParseRequestIdError, RequestId, Revision, ShardId};
pub use member::{Member, MemberState};
pub use name::{FailureDomain, InstanceName, ServiceName, UpstreamName, WorkspaceName};
pub use outcome::{Outcome, ServiceKind};

/// Cost units charged for one call to a plain service.
pub const PLAIN_CALL_COST_UNITS: u64 = 100;
