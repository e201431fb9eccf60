//! Stored objects and conditions of writes.

use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::Error;

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A stored value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Increases with each change.
    pub version: u64,
    /// Content of the object.
    pub value: Bytes,
}

impl Object {
    /// Parses the value as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the value cannot be parsed as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.value).map_err(|error| Error::Rejected {
            status: 0,
            message: format!("the stored value is not valid: {error}"),
        })
    }
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No condition: the write creates or replaces the object.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// Checks that `key` can be part of a path without escaping.
pub(crate) fn check_key(key: &str) -> Result<(), Error> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    if key.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(Error::Rejected { status: 0, message: format!("{key:?} is not usable as a key") })
}
