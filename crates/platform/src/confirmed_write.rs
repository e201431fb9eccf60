//! Writes that are confirmed by reading the object back if the response is lost.

use std::time::Duration;

use bytes::Bytes;

use crate::{Backoff, Condition, Error, Object, PlatformClient};

/// Maximum number of attempts at a write. All but the first read the object back
/// before they write.
const MAX_ATTEMPTS: u32 = 4;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_MAX_MS: u64 = 200;

/// State of a write whose response was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteState {
    /// The write took effect. Holds the object as read back, which may include
    /// later writes.
    Applied(Object),
    /// The write has not taken effect and no longer can, because its condition
    /// does not hold any more. `None` if the object does not exist.
    NotApplied(Option<Object>),
    /// The object does not contain the write, but the condition still holds: the
    /// write may still arrive.
    Pending,
}

/// How it is known that a write took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteConfirmation {
    /// The platform acknowledged the write with this version.
    Acknowledged(u64),
    /// The response was lost, but the object that was read back contains the
    /// write. It may also contain later writes by others.
    ReadBack(Object),
}

impl PlatformClient {
    /// Reads the object back after the response to a write was lost.
    /// `contains_write` tells whether the object contains the write, also after
    /// later writes by others.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`] if the object cannot be read.
    pub async fn read_back(
        &self,
        key: &str,
        condition: Condition,
        contains_write: impl Fn(&Object) -> bool,
    ) -> Result<WriteState, Error> {
        let found = self.get(key).await?;
        Ok(write_state(found, condition, contains_write))
    }

    /// Writes an object under a condition. If the response is lost, reads the
    /// object back and retries the write only while the condition still holds,
    /// so that the write takes effect at most once. `contains_write` is as for
    /// [`PlatformClient::read_back`].
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if another write came first, [`Error::EffectUnknown`]
    /// if reading back fails too, otherwise the errors of
    /// [`PlatformClient::put`].
    pub async fn put_confirmed(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
        contains_write: impl Fn(&Object) -> bool,
    ) -> Result<WriteConfirmation, Error> {
        let mut backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_MAX_MS);
        let mut last_error = match self.put(key, value.clone(), condition).await {
            Err(error @ Error::EffectUnknown { .. }) => error,
            result => return result.map(WriteConfirmation::Acknowledged),
        };
        for _ in 1..MAX_ATTEMPTS {
            match self.read_back(key, condition, &contains_write).await {
                Ok(WriteState::Applied(object)) => return Ok(WriteConfirmation::ReadBack(object)),
                Ok(WriteState::NotApplied(_)) => {
                    return Err(Error::Conflict { key: key.to_owned() });
                }
                Ok(WriteState::Pending) => match self.put(key, value.clone(), condition).await {
                    // The conflict may be with the earlier attempt: read again.
                    Err(Error::Conflict { .. }) => {}
                    Err(error) => last_error = effect_unknown(error),
                    Ok(version) => return Ok(WriteConfirmation::Acknowledged(version)),
                },
                Err(error) => last_error = effect_unknown(error),
            }
            let delay_ms = backoff.next_delay_ms(rand::random());
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        Err(last_error)
    }
}

/// After a write without a response, any later error leaves its effect unknown.
fn effect_unknown(error: Error) -> Error {
    Error::EffectUnknown { reason: error.to_string() }
}

fn write_state(
    found: Option<Object>,
    condition: Condition,
    contains_write: impl Fn(&Object) -> bool,
) -> WriteState {
    if let Some(object) = found.as_ref().filter(|object| contains_write(object)) {
        return WriteState::Applied(object.clone());
    }
    let condition_holds = match (condition, &found) {
        (Condition::Any, _) | (Condition::Absent, None) => true,
        (Condition::Version(version), Some(object)) => object.version == version,
        (Condition::Absent, Some(_)) | (Condition::Version(_), None) => false,
    };
    if condition_holds { WriteState::Pending } else { WriteState::NotApplied(found) }
}
