//! The choice of the upstream for a request.

use span_types::UpstreamName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ChosenUpstream, Placement, PlacementRequest, prefixes::MIN_COPIED_PREFIX_TOKENS};
use crate::lane::PREFILL_TOKENS_PER_MS;

/// Time that a full batch costs a request compared to an empty one, in
/// milliseconds. Weighs the load of an engine against prefill time.
const FULL_BATCH_COST_MS: f64 = 120.0;
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

    fn choose(
        &self,
        now_ms: u64,
        request: PlacementRequest<'_>,
        draw: u64,
        allow_full: bool,
    ) -> Option<UpstreamName> {
        let homes = request.prompt_prefix.map(|prefix| self.home_hashes(prefix));
        let unassigned_home =
            request.prompt_prefix.and_then(|prefix| self.unassigned_home(now_ms, prefix));
        let usable = self.upstreams.iter().filter(|(name, state)| {
            let is_usable = match request.continued_version {
                Some(version) => self.can_continue(now_ms, state, version),
                None => {
                    let may_use =
                        state.is_usable(now_ms) || unassigned_home == Some(state.name_hash);
                    may_use
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
            let away_from_home_cost = match (request.prompt_prefix, homes) {
                (Some(prefix), Some(homes))
                    if !self.has_prefix(now_ms, name, state, prefix, homes.first) =>
                {
                    let repeated_ms = prefix.tokens as f64 / PREFILL_TOKENS_PER_MS;
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
            let tie_breaker =
                xxh3_64_with_seed(&draw.to_le_bytes(), state.name_hash) as f64 / u64::MAX as f64;
            let in_use = state.total_requests(now_ms, self.routers_per_upstream)
                / f64::from(state.slots.max(1));
            let prefill_ms = state.pending_prefill_tokens as f64 / PREFILL_TOKENS_PER_MS
                + state.mean_gap_ms(now_ms);
            let cost = in_use * FULL_BATCH_COST_MS + prefill_ms + away_from_home_cost + tie_breaker;
            (cost, name)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone())
    }
}
