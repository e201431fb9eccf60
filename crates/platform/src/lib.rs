//! Client of the platform's object API and instance list.
//!
//! A read without a response fails with [`Error::Unavailable`]. A write without a
//! response fails with [`Error::EffectUnknown`], unless it cannot have reached the
//! platform. [`PlatformClient::put_confirmed`] reads the object back to find out
//! whether such a write took effect.

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
