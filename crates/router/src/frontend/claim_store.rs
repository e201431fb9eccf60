//! Reads and conditional writes of claim buckets in the object API.

use span_once::ClaimBucket;
use span_platform::{Condition, Error, PlatformClient};

/// The result of a call of the object API is unknown, or the call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the object API gave no certain answer")]
pub(super) struct UncertainResult;

/// A bucket of claims as stored.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredBucket {
    /// Version of the object; `None` if the object does not exist.
    pub version: Option<u64>,
    /// Claims in the object.
    pub bucket: ClaimBucket,
}

fn object_key(bucket: u64) -> String {
    format!("claims/{bucket:02x}")
}

/// Reads a bucket; it is empty if the object does not exist.
pub(super) async fn read(
    platform: &PlatformClient,
    bucket: u64,
) -> Result<StoredBucket, UncertainResult> {
    match platform.get(&object_key(bucket)).await {
        Ok(None) => Ok(StoredBucket::default()),
        Ok(Some(object)) => {
            let bucket = object.json().map_err(|_| UncertainResult)?;
            Ok(StoredBucket { version: Some(object.version), bucket })
        }
        Err(_) => Err(UncertainResult),
    }
}

/// Writes a bucket if it still has the version it was read with. Returns `None`
/// if another router changed it or the effect is unknown; the bucket must then be
/// read again.
///
/// # Errors
///
/// [`UncertainResult`] if nothing was written and a retry does not help.
pub(super) async fn write(
    platform: &PlatformClient,
    bucket: u64,
    read_version: Option<u64>,
    value: ClaimBucket,
) -> Result<Option<StoredBucket>, UncertainResult> {
    let json = serde_json::to_vec(&value).map_err(|_| UncertainResult)?;
    let condition = read_version.map_or(Condition::Absent, Condition::Version);
    match platform.put(&object_key(bucket), json, condition).await {
        Ok(version) => Ok(Some(StoredBucket { version: Some(version), bucket: value })),
        Err(Error::Conflict { .. } | Error::EffectUnknown { .. }) => Ok(None),
        Err(Error::Rejected { .. } | Error::Unavailable { .. }) => Err(UncertainResult),
    }
}
