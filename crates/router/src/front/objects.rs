//! Reads and conditional writes of claim buckets in the object API.

use span_once::ClaimBucket;
use span_platform::{Condition, Error, PlatformClient};

/// A call of the object API gave no certain result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the object API gave no certain answer")]
pub(super) struct Uncertain;

/// A bucket as stored.
#[derive(Clone, Debug, Default)]
pub(super) struct Stored {
    /// Version of the object; `None` if there is none.
    pub version: Option<u64>,
    /// Its claims.
    pub bucket: ClaimBucket,
}

fn key(bucket: u64) -> String {
    format!("claims/{bucket:02x}")
}

/// Reads a bucket.
pub(super) async fn read(platform: &PlatformClient, bucket: u64) -> Result<Stored, Uncertain> {
    match platform.get(&key(bucket)).await {
        Ok(None) => Ok(Stored::default()),
        Ok(Some(object)) => {
            let bucket = object.json().map_err(|_| Uncertain)?;
            Ok(Stored { version: Some(object.version), bucket })
        }
        Err(_) => Err(Uncertain),
    }
}

/// Writes a bucket if it still has the version it was read with.
///
/// # Errors
///
/// `None` if another router changed it or the effect is not known; it has to be
/// read back. [`Uncertain`] if nothing was written and repeating does not help.
pub(super) async fn write(
    platform: &PlatformClient,
    bucket: u64,
    read: Option<u64>,
    value: ClaimBucket,
) -> Result<Option<Stored>, Uncertain> {
    let json = serde_json::to_vec(&value).map_err(|_| Uncertain)?;
    let condition = read.map_or(Condition::Absent, Condition::Version);
    match platform.put(&key(bucket), json, condition).await {
        Ok(version) => Ok(Some(Stored { version: Some(version), bucket: value })),
        Err(Error::Conflict { .. } | Error::EffectUnknown { .. }) => Ok(None),
        Err(Error::Rejected { .. } | Error::Unavailable { .. }) => Err(Uncertain),
    }
}
