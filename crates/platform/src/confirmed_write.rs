//! Writes whose answer may be lost.

use std::time::Duration;

use bytes::Bytes;

use crate::{Backoff, Condition, Error, Object, PlatformClient};

const ATTEMPTS: u32 = 4;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_MAX_MS: u64 = 200;

/// What became of a write whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteState {
    /// It took effect; the object is at least as new as the write.
    Applied(Object),
    /// It did not and cannot take effect any more: its condition no longer
    /// holds. `None` if there is no object.
    NotApplied(Option<Object>),
    /// The object is as before. The write may still arrive.
    Pending,
}

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteConfirmation {
    /// The platform acknowledged it with this version.
    Acknowledged(u64),
    /// The answer was lost and the object that was read back contains the
    /// write. Later writes by others may be in it too.
    ReadBack(Object),
}

impl PlatformClient {
    /// Reads back a write whose answer was lost. `mine` recognises the effect
    /// of the write in the stored object, also after later writes by others.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`] if it cannot be read.
    pub async fn read_back(
        &self,
        key: &str,
        condition: Condition,
        mine: impl Fn(&Object) -> bool,
    ) -> Result<WriteState, Error> {
        let found = self.get(key).await?;
        Ok(classify(found, condition, mine))
    }

    /// Writes under a condition; if the answer is lost, reads back and writes
    /// again only while the condition still holds, so that the write takes
    /// effect at most once.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if another write came first, [`Error::EffectUnknown`]
    /// if reading back fails too, otherwise as [`PlatformClient::put`].
    pub async fn put_confirmed(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
        mine: impl Fn(&Object) -> bool,
    ) -> Result<WriteConfirmation, Error> {
        let mut backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_MAX_MS);
        let mut unknown = match self.put(key, value.clone(), condition).await {
            Err(error @ Error::EffectUnknown { .. }) => error,
            result => return result.map(WriteConfirmation::Acknowledged),
        };
        for _ in 1..ATTEMPTS {
            match self.read_back(key, condition, &mine).await {
                Ok(WriteState::Applied(object)) => return Ok(WriteConfirmation::ReadBack(object)),
                Ok(WriteState::NotApplied(_)) => {
                    return Err(Error::Conflict { key: key.to_owned() });
                }
                Ok(WriteState::Pending) => match self.put(key, value.clone(), condition).await {
                    // A conflict may be the first write arriving: read again.
                    Err(Error::Conflict { .. }) => {}
                    Err(error) => unknown = effect_unknown(error),
                    Ok(version) => return Ok(WriteConfirmation::Acknowledged(version)),
                },
                Err(error) => unknown = effect_unknown(error),
            }
            let delay_ms = backoff.next_delay_ms(rand::random());
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Err(unknown)
    }
}

/// After a first write without an answer, a failure of any kind leaves the
/// effect of the first open.
fn effect_unknown(error: Error) -> Error {
    Error::EffectUnknown { reason: error.to_string() }
}

fn classify(
    found: Option<Object>,
    condition: Condition,
    mine: impl Fn(&Object) -> bool,
) -> WriteState {
    if let Some(object) = found.as_ref().filter(|object| mine(object)) {
        return WriteState::Applied(object.clone());
    }
    let holds = match (condition, &found) {
        (Condition::Any, _) | (Condition::Absent, None) => true,
        (Condition::Version(version), Some(object)) => object.version == version,
        (Condition::Absent, Some(_)) | (Condition::Version(_), None) => false,
    };
    if holds { WriteState::Pending } else { WriteState::NotApplied(found) }
}
