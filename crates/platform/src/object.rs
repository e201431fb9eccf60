//! Objects and conditions on writes.

use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::Error;

/// Largest value the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Grows with each change.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

impl Object {
    /// Reads the value as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if the value is not of this form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.value).map_err(|error| Error::Rejected {
            status: 0,
            message: format!("the stored value is not valid: {error}"),
        })
    }
}

/// Condition on a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Write whatever is there.
    Any,
    /// The key must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// Keys are put into paths unescaped.
pub(crate) fn check_key(key: &str) -> Result<(), Error> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    if key.bytes().all(allowed) {
        return Ok(());
    }
    Err(Error::Rejected { status: 0, message: format!("{key:?} is not usable as a key") })
}
