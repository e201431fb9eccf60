//! Whether a router gets upstreams and configuration from its collector, or
//! watches the store itself.

/// Time without a message of the collector after which a router watches the
/// store itself, in milliseconds. Two load summaries may be lost. It is less than
/// half of the time within which a leaving upstream must get no more requests.
pub const COLLECTOR_TIMEOUT_MS: u64 = 1_300;

/// What a router knows of its collector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CollectorStatus {
    last_message_ms: Option<u64>,
    config_fetch_failed: bool,
    upstreams_fetch_failed: bool,
}

impl CollectorStatus {
    /// Records a message of the collector, whose last answer from the store was
    /// `store_age_ms` ago.
    pub fn record_message(&mut self, now_ms: u64, store_age_ms: u64) {
        if store_age_ms < COLLECTOR_TIMEOUT_MS {
            self.last_message_ms = Some(now_ms);
        }
    }

    /// Records that a newer configuration could not be fetched from a peer. A
    /// small collector may be unable to send a large configuration to its whole
    /// failure domain in time.
    pub fn record_config_fetch_failure(&mut self) {
        self.config_fetch_failed = true;
    }

    /// Records that the configuration was read from the store.
    pub fn record_config_read(&mut self) {
        self.config_fetch_failed = false;
    }

    /// Records that newer upstream entries could not be fetched from the
    /// collector.
    pub fn record_upstreams_fetch_failure(&mut self) {
        self.upstreams_fetch_failed = true;
    }

    /// Records that the upstream entries were read from the store.
    pub fn record_upstreams_read(&mut self) {
        self.upstreams_fetch_failed = false;
    }

    /// Whether the collector has sent a message recently and reaches the store.
    pub fn is_available(&self, now_ms: u64) -> bool {
        self.last_message_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < COLLECTOR_TIMEOUT_MS)
    }

    /// Whether the collector can provide the upstream entries.
    pub fn provides_upstreams(&self, now_ms: u64) -> bool {
        self.is_available(now_ms) && !self.upstreams_fetch_failed
    }

    /// Whether the collector can provide the configuration.
    pub fn provides_config(&self, now_ms: u64) -> bool {
        self.is_available(now_ms) && !self.config_fetch_failed
    }
}
