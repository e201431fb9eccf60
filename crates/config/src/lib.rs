//! The configuration document that operators declare and routers apply.
//!
//! - Operators write YAML, which [`parse`] reads and checks.
//! - A [`Plan`] shows what a change does before an operator confirms it.
//! - The object API holds the accepted document as a [`StoredConfig`].
//! - Routers send each other a [`Delta`] instead of complete documents.

mod change;
mod compress;
mod delta;
mod delta_log;
mod digest;
mod document;
mod effect;
mod export;
mod plan;
mod problem;
mod stored;
mod yaml;

pub use change::{Change, FieldChange, ItemKind, diff};
pub use compress::{compress_if_large, decompress};
pub use delta::{Delta, DeltaError};
pub use delta_log::{DeltaLog, VersionedDocument};
pub use digest::Digest;
pub use document::{Document, KeyHash, Operator, Service, Upstream, Workspace};
pub use effect::{AccessLoss, Effects, ServiceEffect, ShareChange};
pub use export::export;
pub use plan::{Plan, PlanId};
pub use problem::{Problem, Problems};
pub use stored::{
    ACCEPTED_CONFIG_KEY, AcceptedConfig, Confirmation, MAX_HISTORY_ENTRIES, StoredConfig,
    StoredConfigError,
};
pub use yaml::{SourceFile, parse};
