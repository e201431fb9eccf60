//! Client of the platform: the object API and the instance list.
//!
//! Reads that fail are [`Error::Unavailable`]. Writes whose answer is lost are
//! [`Error::EffectUnknown`]; [`PlatformClient::put_confirmed`] reads back to learn
//! what became of them.

mod backoff;
mod call;
mod client;
mod confirmed_write;
mod counters;
mod error;
mod instance;
mod object;
mod watch;

pub use backoff::Backoff;
pub use client::{PlatformClient, Settings};
pub use confirmed_write::{WriteConfirmation, WriteState};
pub use counters::CallCounts;
pub use error::Error;
pub use instance::Instance;
pub use object::{Condition, MAX_VALUE_BYTES, Object};
pub use watch::Watch;
