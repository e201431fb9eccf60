//! Watches an object across outages of the platform and stale watches.

use std::time::Duration;

use crate::{Backoff, Error, Object, PlatformClient};

const BACKOFF_BASE_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 2_000;

/// Follows the versions of one object.
#[derive(Debug)]
pub struct Watch {
    platform: PlatformClient,
    key: String,
    after_version: u64,
    backoff: Backoff,
    /// Whether the last call failed.
    is_failing: bool,
}

impl Watch {
    pub(crate) fn new(platform: PlatformClient, key: &str, after_version: u64) -> Self {
        let backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_MAX_MS);
        Self { platform, key: key.to_owned(), after_version, backoff, is_failing: false }
    }

    /// Waits for a version above the last one returned. Skips versions that
    /// were replaced in the meantime. Retries during outages. Cancel safe.
    pub async fn next(&mut self) -> Object {
        loop {
            match self.poll_once().await {
                Ok(Some(object)) => return object,
                Ok(None) => {}
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Waits once for a new version and, if there was none, reads the object
    /// once. Returns `None` if neither found a newer version.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn poll_once(&mut self) -> Result<Option<Object>, Error> {
        let wait_ms = self.platform.settings().watch_wait_ms;
        let mut found =
            self.platform.wait_for_change(&self.key, self.after_version, wait_ms).await?;
        if found.is_none() {
            // A stale watch reports no change although the object has changed.
            found = self.platform.get(&self.key).await?;
        }
        self.note_success();
        let after_version = self.after_version;
        let found = found.filter(|object| object.version > after_version);
        if let Some(object) = &found {
            self.after_version = object.version;
        }
        Ok(found)
    }

    fn note_success(&mut self) {
        self.backoff.reset();
        if self.is_failing {
            tracing::info!(key = %self.key, "watch resumed");
            self.is_failing = false;
        }
    }

    async fn back_off(&mut self, error: &Error) {
        if !self.is_failing {
            tracing::warn!(key = %self.key, %error, "watch interrupted");
            self.is_failing = true;
        }
        let delay_ms = self.backoff.next_delay_ms(rand::random());
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
