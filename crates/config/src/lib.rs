//! The configuration document: what operators declare and routers follow.
//!
//! Operators write YAML ([`parse`]); the object API holds a [`StoredConfig`] document;
//! a change is shown as a [`Plan`] before it is confirmed; routers pass each
//! other a [`Delta`] instead of whole documents.

mod change;
mod delta;
mod digest;
mod document;
mod effect;
mod export;
mod pack;
mod plan;
mod problem;
mod revised;
mod stored;
mod yaml;

pub use change::{Change, Field, ItemKind, changes};
pub use delta::{Delta, DeltaError};
pub use digest::Digest;
pub use document::{Document, KeyHash, Operator, Service, Upstream, Workspace};
pub use effect::{Effects, ServiceEffect, ShareChange, WorkspaceLoss};
pub use export::export;
pub use pack::{pack, unpack};
pub use plan::{Plan, PlanId};
pub use problem::{Problem, Problems};
pub use revised::{DeltaLog, Revised};
pub use stored::{
    ACCEPTED_CONFIG_KEY, AcceptedConfig, Confirmation, HISTORY_LIMIT, StoredConfig,
    StoredConfigError,
};
pub use yaml::{SourceFile, parse};
