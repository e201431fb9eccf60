//! Whether a router reads the store itself, or relies on other routers for what
//! the store holds.
//!
//! Each call to the store has a price, and the store's rate grows more slowly than
//! the fleet. So one router follows the store and the others get the
//! configuration and the upstream entries from it. If no router reports answers of
//! the store any more, the others take over in a fixed order, so that a store that is
//! down is not called by the whole fleet.

use serde::{Deserialize, Serialize};

use crate::store::Position;

/// Time without a message of the collector after which a router reads the store
/// itself, in milliseconds. Two load summaries may be lost. It is less than half of
/// the time within which a leaving upstream must get no more requests.
pub const COLLECTOR_TIMEOUT_MS: u64 = 1_300;
/// Time after the start for which a router that has seeds waits for another
/// router's configuration and entries before it reads the store, in milliseconds.
/// A seed answers within a few milliseconds.
pub const START_WAIT_MS: u64 = 700;
/// Interval between the heartbeats of a router that waits so, in milliseconds. When all
/// routers start together, the seeds know no more than the others for the first ones.
pub const START_HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Age of the last known answer of the store at which the second collector reads the
/// store, and by how much each further one waits longer, in milliseconds.
const COLLECTOR_TAKEOVER_DELAY_MS: (u64, u64) = (800, 200);
/// The same for the first router after the collectors, in each failure domain.
const MEMBER_TAKEOVER_DELAY_MS: (u64, u64) = (1_500, 400);
/// Routers of a failure domain, beside its collector, that read the store if no answer
/// of it is known although the collector is heard. With more, an outage of the store
/// would bring it calls from the whole fleet.
const MAX_STANDBY_MEMBERS: usize = 3;
/// Shortest time for which a router that took over reads the store, in
/// milliseconds.
const MIN_TAKEOVER_MS: u64 = 5_000;

/// Time without an answer of the store from which a router that reads the store
/// takes entries of other routers too, in milliseconds; longer than a watch waits.
const OWN_ANSWER_LIFETIME_MS: u64 = 2_000;

/// What decides whether a starting router waits for other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartState {
    /// Whether other routers find the fleet through this one.
    pub is_seed: bool,
    /// Whether this router knows others that it can ask.
    pub has_other_seeds: bool,
    /// Whether it has a configuration and upstream entries.
    pub is_complete: bool,
}

impl StartState {
    /// Whether the router waits for others to provide what the store holds,
    /// `since_start_ms` after its start. A seed does not: if it started together with
    /// all others, they would all wait for one another.
    pub fn awaits_peers(self, since_start_ms: u64) -> bool {
        let may_get_all = self.has_other_seeds && !self.is_seed && !self.is_complete;
        may_get_all && since_start_ms < START_WAIT_MS
    }
}

/// What a router knows of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreKnowledge {
    /// Version of its configuration; 0 without one.
    pub config_version: u64,
    /// Position of the store that its upstream entries correspond to; the default
    /// one without entries.
    pub registry_position: Position,
    /// Hash of its upstream entries.
    pub registry_digest: u64,
    /// Time since the store last answered it, or a router that it relies on, in
    /// milliseconds.
    pub store_age_ms: u64,
}

/// Place of a router in the order in which routers read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOrder {
    /// It always reads the store: all routers of a small fleet, and the first
    /// collector of a large one.
    Always,
    /// Collector number `rank` of the fleet, counted from 0.
    Collector {
        /// Number of collectors before it.
        rank: usize,
    },
    /// Router number `rank` of its failure domain after the collector, counted
    /// from 0.
    Member {
        /// Number of routers before it, without the collector.
        rank: usize,
    },
}

impl ReadOrder {
    /// Age of the last known answer of the store at which the router reads it itself,
    /// in milliseconds; none if it never does for that reason.
    fn takeover_delay_ms(self) -> Option<u64> {
        match self {
            Self::Always => Some(0),
            Self::Collector { rank } => {
                let (first_ms, step_ms) = COLLECTOR_TAKEOVER_DELAY_MS;
                Some(first_ms + step_ms * rank.saturating_sub(1) as u64)
            }
            Self::Member { rank } => {
                let (first_ms, step_ms) = MEMBER_TAKEOVER_DELAY_MS;
                (rank < MAX_STANDBY_MEMBERS).then_some(first_ms + step_ms * rank as u64)
            }
        }
    }
}

/// From where a router gets what the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreSource {
    /// Latest time at which the store answered this router or another one, as far
    /// as other routers reported it.
    confirmed_ms: Option<u64>,
    /// When the store last answered this router.
    answered_ms: Option<u64>,
    /// When the collector was last heard.
    collector_heard_ms: Option<u64>,
    /// Until when this router reads the store after it took over.
    takeover_until_ms: u64,
    config_fetch_failed: bool,
    upstreams_fetch_failed: bool,
}

impl StoreSource {
    /// Records that another router reported an answer of the store, which was
    /// `store_age_ms` ago. `is_collector` says whether it is the collector of this router's
    /// failure domain.
    pub fn record_peer_report(&mut self, now_ms: u64, store_age_ms: u64, is_collector: bool) {
        self.record_confirmed(now_ms.saturating_sub(store_age_ms));
        if is_collector {
            self.collector_heard_ms = Some(now_ms);
        }
    }

    /// Records that the store answered this router.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.answered_ms = Some(now_ms);
        self.record_confirmed(now_ms);
    }

    fn record_confirmed(&mut self, at_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
    }

    /// Time since the last known answer of the store, in milliseconds.
    pub fn store_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms.unwrap_or(0))
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

    /// Records that newer upstream entries could not be fetched from a peer.
    pub fn record_upstreams_fetch_failure(&mut self) {
        self.upstreams_fetch_failed = true;
    }

    /// Records that the upstream entries were read from the store.
    pub fn record_upstreams_read(&mut self) {
        self.upstreams_fetch_failed = false;
    }

    /// Whether this router reads the configuration from the store.
    pub fn reads_config(&mut self, now_ms: u64, order: ReadOrder) -> bool {
        self.config_fetch_failed || self.reads_store(now_ms, order)
    }

    /// Whether this router reads the upstream entries from the store.
    pub fn reads_upstreams(&mut self, now_ms: u64, order: ReadOrder) -> bool {
        self.upstreams_fetch_failed || self.reads_store(now_ms, order)
    }

    /// Whether this router takes newer entries of other routers: it does not read
    /// the store, or the store does not answer it.
    pub fn accepts_peer_entries(&mut self, now_ms: u64, order: ReadOrder) -> bool {
        let is_answered = self
            .answered_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < OWN_ANSWER_LIFETIME_MS);
        !is_answered || !self.reads_upstreams(now_ms, order)
    }

    /// Whether this router reads from the store what every router needs.
    pub fn reads_store(&mut self, now_ms: u64, order: ReadOrder) -> bool {
        if order == ReadOrder::Always || now_ms < self.takeover_until_ms {
            return true;
        }
        let is_member = matches!(order, ReadOrder::Member { .. });
        let heard_ms = self.collector_heard_ms.unwrap_or(0);
        let collector_is_silent =
            is_member && now_ms.saturating_sub(heard_ms) >= COLLECTOR_TIMEOUT_MS;
        let answer_is_old = order
            .takeover_delay_ms()
            .is_some_and(|takeover_delay_ms| self.store_age_ms(now_ms) >= takeover_delay_ms);
        if answer_is_old {
            self.takeover_until_ms = now_ms + MIN_TAKEOVER_MS;
        }
        collector_is_silent || answer_is_old
    }
}
