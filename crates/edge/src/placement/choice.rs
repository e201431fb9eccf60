//! The choice of the upstream for a request.

use span_types::{SoftwareVersion, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    ChosenUpstream, Placement, PlacementRequest,
    prefixes::{HomeHashes, MIN_COPIED_PREFIX_TOKENS},
};
use crate::upstream_load::UpstreamState;

/// Time that a full batch costs a request compared to an empty one, as the number of prompt
/// tokens that the engine could process in that time. Weighs the load of an engine against
/// prefill.
const FULL_BATCH_COST_TOKENS: f64 = 15_000.0;
/// Time that a request to an upstream that is no engine loses if all slots are in use, as a
/// multiple of the time of an answer.
const FULL_LOAD_ANSWERS: f64 = 8.0;
/// Fraction of the cost away from home that a request has at the second home of its
/// prefix. Requests for which the home has no slot then meet at one upstream, which
/// keeps the prefix too. Other upstreams copy it from the home.
const SECOND_HOME_COST_FRACTION: f64 = 0.5;
/// Weight of the repeated prefill of a prompt prefix against waiting for the
/// same time: it delays every other stream of the engine too.
const REPEATED_PREFILL_WEIGHT: f64 = 3.0;
/// Least cost of a request away from the home of its prefix, in milliseconds. The
/// home has to get most requests, or it evicts the prefix and nobody can copy it.
const MIN_AWAY_FROM_HOME_COST_MS: f64 = 40.0;

/// Wait for the record of a stream beyond the time to its first event, in milliseconds: a batch
/// is due within 250 ms, and a typical first event after half of that.
const RECORD_WAIT_MS: f64 = 30.0;

/// The version at which alone a request can begin a stream at the moment.
fn required_version(request: PlacementRequest<'_>) -> Option<&SoftwareVersion> {
    let preferred = request.preferred_version.filter(|preferred| preferred.is_required)?;
    Some(&preferred.version)
}

/// What it costs a request, and others, to go to an upstream. Each term is a time in
/// milliseconds; the upstream with the least sum is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CandidateCost {
    /// Delay by the requests that the upstream has.
    pub load_ms: f64,
    /// Work on prompts that this router sent before.
    pub pending_prefill_ms: f64,
    /// Mean gap between the events of streams at the moment.
    pub event_gap_ms: f64,
    /// Work on the request itself, without its prompt prefix.
    pub own_work_ms: f64,
    /// Repeated work on the prompt prefix, which the upstream does not cache.
    pub away_from_home_ms: f64,
    /// Slowness of an upstream that is cold.
    pub cold_ms: f64,
    /// Wait for the record of a stream that begins at another version than the preferred one.
    pub record_wait_ms: f64,
    /// Random, below a millisecond.
    pub tie_breaker_ms: f64,
}

impl CandidateCost {
    /// Sum of all terms.
    pub fn total_ms(&self) -> f64 {
        let Self {
            load_ms,
            pending_prefill_ms,
            event_gap_ms,
            own_work_ms,
            away_from_home_ms,
            cold_ms,
            record_wait_ms,
            tie_breaker_ms,
        } = *self;
        load_ms
            + pending_prefill_ms
            + event_gap_ms
            + own_work_ms
            + away_from_home_ms
            + cold_ms
            + record_wait_ms
            + tie_breaker_ms
    }
}

impl Placement {
    /// Chooses the upstream for a request and counts the request as sent.
    /// `draw` is random and breaks ties. With `allow_full`, an upstream without
    /// a free slot or of the other lane may be chosen, but none beyond the limit on
    /// requests per second that it names.
    pub fn assign(
        &mut self,
        now_ms: u64,
        request: PlacementRequest<'_>,
        draw: u64,
        allow_full: bool,
    ) -> Option<ChosenUpstream> {
        let upstream = self.choose(now_ms, request, draw, allow_full)?;
        let copy_source =
            request.prompt_prefix.and_then(|prefix| self.copy_source(now_ms, &upstream, prefix));
        let state = self.upstreams.get(&upstream)?;
        let requests = state.total_requests(now_ms, self.routers_per_upstream) as u32;
        let report_age_ms = state.report.map(|(at_ms, _, _)| now_ms.saturating_sub(at_ms));
        let software_version = state.software_version.clone();
        self.record_sent(now_ms, &upstream, request);
        Some(ChosenUpstream { upstream, software_version, copy_source, requests, report_age_ms })
    }

    /// As [`Placement::assign`], for a request that may begin a stream. Upstreams of a version that
    /// it requires queue it if all of them are full; it goes to others only if they do not.
    pub fn assign_new(
        &mut self,
        now_ms: u64,
        request: PlacementRequest<'_>,
        draw: u64,
    ) -> Option<ChosenUpstream> {
        let chosen = self.assign(now_ms, request, draw, false);
        if chosen.is_some() || required_version(request).is_none() {
            return chosen;
        }
        let any = PlacementRequest { preferred_version: None, ..request };
        let queued = self.assign(now_ms, request, draw, true);
        queued.or_else(|| self.assign(now_ms, any, draw, false))
    }

    fn choose(
        &self,
        now_ms: u64,
        request: PlacementRequest<'_>,
        draw: u64,
        allow_full: bool,
    ) -> Option<UpstreamName> {
        let version = required_version(request);
        let homes = request.prompt_prefix.map(|prefix| self.home_hashes(now_ms, prefix, version));
        let unassigned_home =
            request.prompt_prefix.and_then(|prefix| self.unassigned_home(now_ms, prefix, version));
        let skips_unrecorded = self.skips_unrecorded(now_ms);
        let usable = self.upstreams.iter().filter(|(name, state)| {
            let is_usable = match request.continued_version {
                Some(version) => self.can_continue(now_ms, state, version),
                None => {
                    let may_use =
                        state.is_usable(now_ms) || unassigned_home == Some(state.name_hash);
                    may_use
                        && version.is_none_or(|version| state.software_version == *version)
                        && !(skips_unrecorded && state.is_unrecorded)
                        && self.send_slots(state).is_none_or(|slots| slots.available(now_ms) > 0)
                }
            };
            is_usable
                && !request.excluded.contains(name)
                && state.own_requests < self.max_own_requests
                && (allow_full
                    || (state.lane == request.lane && self.free_slots(now_ms, state) > 0))
        });
        let costs = usable.map(|(name, state)| {
            let cost = self.candidate_cost(now_ms, name, state, request, homes, draw);
            (cost.total_ms(), name)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone())
    }

    /// What it costs to send the request to an upstream.
    fn candidate_cost(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        state: &UpstreamState,
        request: PlacementRequest<'_>,
        homes: Option<HomeHashes>,
        draw: u64,
    ) -> CandidateCost {
        let away_from_home_ms = match (request.prompt_prefix, homes) {
            (Some(prefix), Some(homes))
                if !self.has_prefix(now_ms, name, state, prefix, homes.first) =>
            {
                let repeated_ms = self.prefill_ms(now_ms, state, prefix.tokens);
                let cost = repeated_ms * REPEATED_PREFILL_WEIGHT;
                let min_cost = if prefix.tokens < MIN_COPIED_PREFIX_TOKENS {
                    0.0
                } else {
                    MIN_AWAY_FROM_HOME_COST_MS
                };
                let is_second = state.rendezvous_hash(prefix) >= homes.second;
                let fraction = if is_second { SECOND_HOME_COST_FRACTION } else { 1.0 };
                cost.max(min_cost) * fraction
            }
            _ => 0.0,
        };
        let in_use =
            state.total_requests(now_ms, self.routers_per_upstream) / f64::from(state.slots.max(1));
        let own_work_ms = if self.is_engine() {
            self.prefill_ms(now_ms, state, request.prefill_tokens)
        } else {
            self.answer_ms(now_ms, state)
        };
        let is_preferred = request
            .preferred_version
            .is_none_or(|preferred| preferred.version == state.software_version);
        CandidateCost {
            load_ms: in_use * self.full_load_cost_ms() * self.slowness(now_ms, state),
            pending_prefill_ms: self.prefill_ms(now_ms, state, state.pending_prefill_tokens),
            event_gap_ms: state.mean_gap_ms(now_ms),
            own_work_ms,
            away_from_home_ms,
            // It is slow for some seconds, as one with a full batch is, so others are taken up
            // to that load.
            cold_ms: if self.is_cold(now_ms, state) { self.full_load_cost_ms() } else { 0.0 },
            record_wait_ms: if is_preferred { 0.0 } else { RECORD_WAIT_MS },
            tie_breaker_ms: xxh3_64_with_seed(&draw.to_le_bytes(), state.name_hash) as f64
                / u64::MAX as f64,
        }
    }

    /// Time that all slots in use cost a request at a typical upstream, compared to none, in
    /// milliseconds.
    fn full_load_cost_ms(&self) -> f64 {
        if self.is_engine() {
            FULL_BATCH_COST_TOKENS / self.speed.prefill.tokens_per_ms()
        } else {
            self.speed.answer_ms() * FULL_LOAD_ANSWERS
        }
    }
}
