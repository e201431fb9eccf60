//! State of one upstream as this router knows it: load, event gaps, failures.

use span_types::{FailureDomain, SoftwareVersion, UpstreamName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    lane::Lane,
    placement::{PromptPrefix, ReadyUpstream},
    shares::DecayingRate,
    upstream_speed::UpstreamSpeed,
};

/// Weight of the newest gap between two events in the mean gap.
const NEWEST_GAP_WEIGHT: f64 = 0.2;
/// Age from which the mean gap is ignored, in milliseconds.
const MEAN_GAP_LIFETIME_MS: u64 = 600;
/// Age from which a load report is ignored, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 3_000;
/// Consecutive failures after which an upstream is avoided.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Inverse of the weight of the newest result in the failure rate.
const FAILURE_RATE_INVERSE_WEIGHT: f64 = 8.0;
/// Failure rate above which an upstream is avoided, as a fraction of attempts.
const MAX_FAILURE_FRACTION: f64 = 0.3;
/// Shortest and longest time for which an upstream is avoided, in milliseconds. The
/// time doubles with each further failure.
const MIN_AND_MAX_AVOID_MS: (u64, u64) = (500, 4_000);
/// Time for which an upstream that rejected a request for lack of slots gets no
/// requests, in milliseconds; a few batch steps.
const FULL_BACKOFF_MS: u64 = 50;
/// Upper bound on the estimated requests of other routers at an upstream without
/// a recent load report, as a fraction of its slots.
const MAX_ESTIMATED_SLOTS_FRACTION: f64 = 0.5;

/// Load that an upstream reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in processing.
    pub running: u32,
    /// Requests in the upstream's queue.
    pub waiting: u32,
    /// Requests that the upstream can process at the same time.
    pub slots: u32,
    /// How long work takes at the moment, as a percentage of the usual time; none if the
    /// upstream does not state it.
    pub work_time_percent: Option<u16>,
}

/// How an attempt at an upstream ended, as far as it says something about the
/// upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptResult {
    /// The upstream answered properly.
    Good,
    /// The upstream did not answer, or not properly.
    Failed,
    /// The upstream had no free slot.
    Full,
    /// Another process has the upstream's address.
    Replaced,
    /// The attempt says nothing about the upstream.
    Unknown,
}

#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// Hash of the upstream's name.
    pub(crate) name_hash: u64,
    pub(crate) software_version: SoftwareVersion,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) slots: u32,
    /// Requests of this router in flight at the upstream.
    pub(crate) own_requests: u32,
    /// Rate of the requests that this router sends to the upstream.
    pub(crate) sent: DecayingRate,
    /// `own_requests` as other routers were last told.
    pub(crate) reported_own_requests: u32,
    /// Time of the last load report, the report, and `own_requests` at that
    /// time.
    pub(crate) report: Option<(u64, LoadReport, u32)>,
    pub(crate) consecutive_failures: u32,
    /// Moving average of failed attempts, 0 to 1.
    pub(crate) failure_rate: f64,
    /// Time for which the upstream was last avoided; 0 after it recovered.
    pub(crate) avoid_ms: u64,
    pub(crate) avoid_until_ms: u64,
    /// A request in flight probes whether the upstream works again.
    pub(crate) probing: bool,
    pub(crate) full_until_ms: u64,
    /// Until when the upstream asked this router for no requests. It stays set until
    /// the upstream accepts a request after that time; 0 otherwise.
    pub(crate) pause_until_ms: u64,
    /// Another process has the upstream's address.
    pub(crate) replaced: bool,
    /// Whether the store has not recorded its software version.
    pub(crate) is_unrecorded: bool,
    pub(crate) lane: Lane,
    /// Whether the upstream is in the subset that this router uses.
    pub(crate) is_assigned: bool,
    /// Prompt tokens that this router sent and whose prefill has not ended.
    pub(crate) pending_prefill_tokens: u64,
    /// Mean gap between events in milliseconds, and when it was last updated.
    pub(crate) mean_gap: Option<(f64, u64)>,
    /// What is known of the upstream's speed.
    pub(crate) speed: UpstreamSpeed,
    /// Whether the upstream counts as slow against its peers.
    pub(crate) is_slow: bool,
}

/// Hash by which routers name an upstream to each other.
pub(crate) fn name_hash(name: &UpstreamName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

impl UpstreamState {
    pub(crate) fn new(upstream: ReadyUpstream<'_>) -> Self {
        Self {
            name_hash: name_hash(upstream.name),
            software_version: upstream.software_version.clone(),
            failure_domain: upstream.failure_domain.clone(),
            slots: upstream.slots,
            own_requests: 0,
            sent: DecayingRate::default(),
            reported_own_requests: 0,
            report: None,
            consecutive_failures: 0,
            failure_rate: 0.0,
            avoid_ms: 0,
            avoid_until_ms: 0,
            probing: false,
            full_until_ms: 0,
            pause_until_ms: 0,
            replaced: false,
            is_unrecorded: false,
            lane: Lane::Short,
            is_assigned: true,
            pending_prefill_tokens: 0,
            mean_gap: None,
            speed: UpstreamSpeed::default(),
            is_slow: false,
        }
    }

    /// Estimated requests of the whole fleet at the upstream.
    pub(crate) fn total_requests(&self, now_ms: u64, routers: usize) -> f64 {
        let own = f64::from(self.own_requests);
        let fresh =
            self.report.filter(|(at_ms, _, _)| now_ms.saturating_sub(*at_ms) < REPORT_LIFETIME_MS);
        let Some((_, report, own_at_report)) = fresh else {
            // Assumes as many requests from each other router, up to a limit: a
            // single request of this router says nothing about a large fleet.
            let others = own * (routers - 1) as f64;
            return own + others.min(f64::from(self.slots) * MAX_ESTIMATED_SLOTS_FRACTION);
        };
        let reported = f64::from(report.running + report.waiting);
        (reported + own - f64::from(own_at_report)).max(own)
    }

    /// Mean gap between events, in milliseconds; 0 if none was seen recently.
    pub(crate) fn mean_gap_ms(&self, now_ms: u64) -> f64 {
        let recent =
            self.mean_gap.filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < MEAN_GAP_LIFETIME_MS);
        recent.map_or(0.0, |(mean, _)| mean)
    }

    /// Rank of the upstream as the home of a prompt prefix; the highest wins.
    pub(crate) fn rendezvous_hash(&self, prefix: PromptPrefix) -> u64 {
        xxh3_64_with_seed(&prefix.hash.to_le_bytes(), self.name_hash)
    }

    /// Whether this router uses the upstream and the upstream is available.
    pub(crate) fn is_usable(&self, now_ms: u64) -> bool {
        self.is_assigned && self.is_available(now_ms)
    }

    /// Whether the upstream can continue a stream that `version` began. A router of a
    /// large fleet may use none of the few that can, so the others count too.
    pub(crate) fn can_continue(&self, now_ms: u64, version: &SoftwareVersion) -> bool {
        self.software_version == *version && self.is_available(now_ms)
    }

    /// Whether the upstream is neither replaced, full, avoided nor probed.
    pub(crate) fn is_available(&self, now_ms: u64) -> bool {
        !self.replaced && now_ms >= self.available_from_ms() && !self.probing
    }

    /// Time from which neither a lack of slots, nor failures, nor the upstream's own
    /// word keep this router from sending requests.
    pub(crate) fn available_from_ms(&self) -> u64 {
        self.full_until_ms.max(self.avoid_until_ms).max(self.pause_until_ms)
    }

    /// Whether the next request shows if the upstream works again, so that no other
    /// one may follow before it ends.
    pub(crate) fn is_next_a_probe(&self) -> bool {
        self.avoid_ms > 0 || self.pause_until_ms > 0
    }

    /// Records the gap between two events of a stream, in milliseconds.
    pub(crate) fn record_event_gap(&mut self, now_ms: u64, gap_ms: u64) {
        let mean = self.mean_gap.map_or(gap_ms as f64, |(mean, _)| mean);
        self.mean_gap = Some((mean + (gap_ms as f64 - mean) * NEWEST_GAP_WEIGHT, now_ms));
    }

    /// Records how an attempt ended. Returns whether the upstream is avoided
    /// from now on.
    pub(crate) fn record_result(&mut self, now_ms: u64, result: AttemptResult) -> bool {
        self.probing = false;
        match result {
            AttemptResult::Good => {
                self.consecutive_failures = 0;
                self.failure_rate -= self.failure_rate / FAILURE_RATE_INVERSE_WEIGHT;
                if self.failure_rate < MAX_FAILURE_FRACTION / 2.0 {
                    self.avoid_ms = 0;
                }
                false
            }
            AttemptResult::Failed => {
                self.consecutive_failures += 1;
                self.failure_rate += (1.0 - self.failure_rate) / FAILURE_RATE_INVERSE_WEIGHT;
                let avoid = self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                    || self.failure_rate > MAX_FAILURE_FRACTION;
                if avoid {
                    self.avoid_ms =
                        (self.avoid_ms * 2).clamp(MIN_AND_MAX_AVOID_MS.0, MIN_AND_MAX_AVOID_MS.1);
                    self.avoid_until_ms = now_ms + self.avoid_ms;
                }
                avoid
            }
            AttemptResult::Full => {
                let report = LoadReport {
                    running: self.slots,
                    waiting: 1,
                    slots: self.slots,
                    work_time_percent: None,
                };
                self.report = Some((now_ms, report, self.own_requests));
                self.full_until_ms = now_ms + FULL_BACKOFF_MS;
                false
            }
            AttemptResult::Replaced => {
                self.replaced = true;
                true
            }
            AttemptResult::Unknown => false,
        }
    }
}
