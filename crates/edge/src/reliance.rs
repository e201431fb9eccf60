//! Whether a router relies on its collector or follows the store itself.

/// Time without news of the collector after which a router follows the store
/// itself, in milliseconds; two statements may be lost. Less than half of the
/// time in which an upstream that leaves has to be left.
pub const COLLECTOR_SILENCE_MS: u64 = 1_300;

/// What a router knows of its collector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reliance {
    heard_ms: Option<u64>,
    config_missing: bool,
    upstreams_missing: bool,
}

impl Reliance {
    /// Notes news of a collector that the store last answered `store_age_ms`
    /// ago.
    pub fn heard(&mut self, now_ms: u64, store_age_ms: u64) {
        if store_age_ms < COLLECTOR_SILENCE_MS {
            self.heard_ms = Some(now_ms);
        }
    }

    /// Notes that a newer configuration could not be fetched from a peer. A
    /// large one may be more than a small collector can hand to its whole
    /// failure domain in time.
    pub fn config_not_fetched(&mut self) {
        self.config_missing = true;
    }

    /// Notes that the configuration was read from the store.
    pub fn config_read(&mut self) {
        self.config_missing = false;
    }

    /// Notes that newer entries of upstreams could not be fetched from the
    /// collector.
    pub fn upstreams_not_fetched(&mut self) {
        self.upstreams_missing = true;
    }

    /// Notes that the entries of upstreams were read from the store.
    pub fn upstreams_read(&mut self) {
        self.upstreams_missing = false;
    }

    /// Whether the collector is heard and reaches the store.
    pub fn relies(&self, now_ms: u64) -> bool {
        self.heard_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < COLLECTOR_SILENCE_MS)
    }

    /// Whether the collector can be relied on for upstreams.
    pub fn relies_for_upstreams(&self, now_ms: u64) -> bool {
        self.relies(now_ms) && !self.upstreams_missing
    }

    /// Whether the collector can be relied on for the configuration.
    pub fn relies_for_config(&self, now_ms: u64) -> bool {
        self.relies(now_ms) && !self.config_missing
    }
}
