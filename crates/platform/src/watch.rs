//! A watch that survives outages and stale watches.

use std::time::Duration;

use crate::{Backoff, Error, Object, PlatformClient};

const BACKOFF_BASE_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 2_000;

/// Follows one object.
#[derive(Debug)]
pub struct Watch {
    platform: PlatformClient,
    key: String,
    after: u64,
    backoff: Backoff,
    failing: bool,
}

impl Watch {
    pub(crate) fn new(platform: PlatformClient, key: &str, after: u64) -> Self {
        let backoff = Backoff::new(BACKOFF_BASE_MS, BACKOFF_MAX_MS);
        Self { platform, key: key.to_owned(), after, backoff, failing: false }
    }

    /// The next version above the last one returned; skips versions that were
    /// replaced in the meantime. Waits through outages. Dropping the future
    /// loses nothing.
    pub async fn next(&mut self) -> Object {
        loop {
            match self.poll_once().await {
                Ok(Some(object)) => return object,
                Ok(None) => {}
                Err(error) => self.wait_after(&error).await,
            }
        }
    }

    /// One wait and, if it brings nothing, one plain read.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] or [`Error::Rejected`].
    pub async fn poll_once(&mut self) -> Result<Option<Object>, Error> {
        let wait_ms = self.platform.settings().watch_wait_ms;
        let mut found = self.platform.wait_for_change(&self.key, self.after, wait_ms).await?;
        if found.is_none() {
            // A stale watch reports nothing although the object has changed.
            found = self.platform.get(&self.key).await?;
        }
        self.recovered();
        let after = self.after;
        let found = found.filter(|object| object.version > after);
        if let Some(object) = &found {
            self.after = object.version;
        }
        Ok(found)
    }

    fn recovered(&mut self) {
        self.backoff.reset();
        if self.failing {
            tracing::info!(key = %self.key, "watch resumed");
            self.failing = false;
        }
    }

    async fn wait_after(&mut self, error: &Error) {
        if !self.failing {
            tracing::warn!(key = %self.key, %error, "watch interrupted");
            self.failing = true;
        }
        let delay_ms = self.backoff.next_delay_ms(rand::random());
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
