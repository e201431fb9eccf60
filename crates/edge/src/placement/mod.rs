//! Placement: which upstream a request goes to, from the load of each upstream
//! as this router knows it.

mod cold;
mod limits;

use std::collections::{BTreeMap, HashMap};

use span_types::{FailureDomain, InstanceName, SoftwareVersion, UpstreamName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    admission::SlotCounts,
    lane::{Lane, LaneSplit, PREFILL_TOKENS_PER_MS},
    load_summary::ReportedLoad,
    upstream_limit::UpstreamLimits,
    upstream_load::{self, AttemptResult, LoadReport, UpstreamState},
};

/// Age up to which a load report is passed on to other routers, in
/// milliseconds; about the interval between load summaries.
const MAX_FORWARDED_REPORT_AGE_MS: u64 = 600;
/// Mean gap between events up to which an engine gets prompts, as a fraction of
/// the longest gap that callers accept. Prefill lengthens all gaps.
const MAX_MEAN_GAP_FRACTION: f64 = 0.55;
/// Prompt tokens whose prefill all routers together may have pending at an
/// engine, unless a single prompt is larger; about a third of a second of its
/// work.
const MAX_PENDING_PREFILL_TOKENS: u64 = 36_000;
/// Requests that a router may have at an engine, as a multiple of its callers'
/// fraction of the slots.
const ENGINE_OWN_REQUESTS_FACTOR: f64 = 1.6;
/// Requests that a router may have at an upstream, however small its fraction of
/// the slots is.
const MIN_OWN_REQUESTS: u32 = 2;
/// Time that a full batch costs a request compared to an empty one, in
/// milliseconds. Weighs the load of an engine against prefill time.
const FULL_BATCH_COST_MS: f64 = 120.0;
/// Time that a cold upstream costs a request, in milliseconds. It is slow for some seconds,
/// as one with a full batch is, so others are taken up to that load.
const COLD_COST_MS: f64 = FULL_BATCH_COST_MS;
/// Fraction of the cost away from home that a request has at the second home of its
/// prefix. Requests for which the home has no slot then meet at one upstream, which
/// keeps the prefix too. Other upstreams copy it from the home.
const SECOND_HOME_COST_FRACTION: f64 = 0.5;
/// Smallest prompt prefix that is copied, in tokens. A copy takes two
/// milliseconds to begin, so that prefill is faster for smaller ones.
const MIN_COPIED_PREFIX_TOKENS: u64 = 128;
/// Weight of the repeated prefill of a prompt prefix against waiting for the
/// same time: it delays every other stream of the engine too.
const REPEATED_PREFILL_WEIGHT: f64 = 3.0;
/// Requests beyond its slots that an engine may get, as a fraction of the slots.
/// They cover the time from the end of a request to the arrival of the next one.
const ENGINE_QUEUE_FRACTION: f64 = 0.04;
/// Prompt prefixes whose upstreams are remembered.
const MAX_TRACKED_PREFIXES: usize = 4_096;
/// Upstreams that are remembered for each of them.
const MAX_HOLDERS_PER_PREFIX: usize = 4;
/// Time for which an engine certainly caches a prompt prefix that it was sent,
/// in milliseconds; its cache turns over in about twice that time.
const PREFIX_CERTAINLY_CACHED_MS: u64 = 4_000;
/// Time after which an engine has evicted a prompt prefix that no request used,
/// in milliseconds.
const PREFIX_CACHE_LIFETIME_MS: u64 = 20_000;

/// Routers that use an upstream in a large fleet. Each of them sees a tenth of
/// its answers, so its load reports are as fresh as in a small fleet.
const MAX_ROUTERS_PER_UPSTREAM: usize = 10;
/// Upstreams of a service that each router uses on average at least, if there
/// are as many.
const MIN_UPSTREAMS_PER_ROUTER: usize = 12;
/// Factor by which the fraction of the upstreams in use falls with each division
/// of capacity. A router that was busy leaves most of them within a few seconds.
const UPSTREAMS_SHRINK_FACTOR: f64 = 0.9;
/// Smallest prompt prefix, in tokens, whose home is used also by routers that do
/// not use that upstream otherwise. If each router had a home of its own among the
/// upstreams that it uses, each of them would get the prefix too rarely to keep it.
const MIN_UNASSIGNED_HOME_TOKENS: u64 = MIN_COPIED_PREFIX_TOKENS;
/// Least cost of a request away from the home of its prefix, in milliseconds. The
/// home has to get most requests, or it evicts the prefix and nobody can copy it.
const MIN_AWAY_FROM_HOME_COST_MS: f64 = 40.0;
/// Fraction of its slots in use from which such a home gets no more requests.
/// Its load is known only from the load summaries of other routers.
const MAX_UNASSIGNED_HOME_IN_USE_FRACTION: f64 = 0.8;
/// Requests that all routers together may send to an upstream that is no engine,
/// as a multiple of its slots. Its requests end within milliseconds, before a
/// load report has reached any router, and it queues a few.
const NON_ENGINE_REQUESTS_FACTOR: f64 = 2.0;

/// Longest pause that an upstream can ask for, in milliseconds. A longer one is
/// taken for a mistake.
const MAX_PAUSE_MS: u64 = 3_600_000;
/// Time after a pause over which the first requests of all routers are spread, as a
/// fraction of the pause and the most in milliseconds.
const PAUSE_SPREAD_FRACTION: f64 = 0.1;
const MAX_PAUSE_SPREAD_MS: u64 = 1_000;

/// The beginning of a prompt that it shares with other prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the last segment of the prefix; identifies the prefix.
    pub hash: u64,
    /// Length of the prefix, in tokens.
    pub tokens: u64,
}

/// An upstream that takes requests, as its entry describes it.
#[derive(Clone, Copy, Debug)]
pub struct ReadyUpstream<'a> {
    /// Name of the upstream.
    pub name: &'a UpstreamName,
    /// Requests that it can process at the same time.
    pub slots: u32,
    /// Version of its software.
    pub software_version: &'a SoftwareVersion,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Shared beginning of the prompt, if any.
    pub prompt_prefix: Option<PromptPrefix>,
    /// Prompt tokens beyond the prefix, which any upstream has to process.
    pub prefill_tokens: u64,
    /// Lane of the request.
    pub lane: Lane,
    /// Upstreams that were tried already.
    pub excluded: &'a [UpstreamName],
    /// Software version that began the stream which the request continues: no other one
    /// can. None if the request begins something.
    pub continued_version: Option<&'a SoftwareVersion>,
}

/// The upstream that a request goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Version of its software.
    pub software_version: SoftwareVersion,
    /// Another upstream that probably caches the prompt prefix, to copy it from.
    pub copy_source: Option<UpstreamName>,
    /// Estimated requests of the whole fleet at the upstream, without this one.
    pub requests: u32,
    /// Age of the upstream's load report, in milliseconds; none without a
    /// report.
    pub report_age_ms: Option<u64>,
}

/// Rendezvous hashes of the upstreams that keep a prompt prefix.
#[derive(Clone, Copy, Debug)]
struct HomeHashes {
    /// Of the home, which gets the prefix while it has a free slot.
    first: u64,
    /// Of the second home, which gets most of the rest.
    second: u64,
}

/// An upstream that a prompt prefix was sent to.
#[derive(Clone, Debug)]
struct PrefixHolder {
    upstream: UpstreamName,
    /// When the prefix was last sent there, or read there.
    used_ms: u64,
    /// Whether the upstream has read the prefix.
    has_read: bool,
}

/// The upstreams of one service, and how many requests this router may send to
/// each.
#[derive(Debug)]
pub struct Placement {
    upstreams: HashMap<UpstreamName, UpstreamState>,
    /// Until when upstreams asked for no requests. Kept apart from their state, which
    /// goes when an entry lapses.
    pauses_until_ms: HashMap<UpstreamName, u64>,
    /// Limits on requests per second that upstreams name. Kept apart from their state,
    /// which goes when an entry lapses.
    limits: UpstreamLimits,
    /// Part of the fleet's routers that this router hears, itself included, 0 to 1.
    reach: f64,
    /// Upstreams that each prompt prefix was sent to, the last one at the end.
    prefix_holders: HashMap<u64, Vec<PrefixHolder>>,
    /// Limit on this router's requests at one upstream, from the limit on
    /// connections.
    max_own_requests: u32,
    /// Routers that use an upstream.
    routers_per_upstream: usize,
    /// Hash of this router's name.
    own_hash: u64,
    /// Routers in the fleet.
    fleet_routers: usize,
    /// Fraction of the upstreams that this router uses, 0 to 1.
    upstreams_fraction: f64,
    /// Connections that all routers together may open to one upstream.
    max_connections: f64,
    /// Fraction of the fleet's capacity that this router's callers are entitled
    /// to, 0 to 1.
    capacity_fraction: f64,
    /// Mean gap between events up to which an engine gets prompts, in
    /// milliseconds; infinite if the upstreams are no engines.
    max_mean_gap_ms: f64,
    lane_split: LaneSplit,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            upstreams: HashMap::new(),
            pauses_until_ms: HashMap::new(),
            limits: UpstreamLimits::default(),
            reach: 1.0,
            prefix_holders: HashMap::new(),
            max_own_requests: 1,
            routers_per_upstream: 1,
            own_hash: 0,
            fleet_routers: 1,
            upstreams_fraction: 1.0,
            max_connections: f64::INFINITY,
            capacity_fraction: 1.0,
            max_mean_gap_ms: f64::INFINITY,
            lane_split: LaneSplit::default(),
        }
    }
}

impl Placement {
    /// Sets the fraction of the fleet's capacity that this router's callers are
    /// entitled to, 0 to 1.
    pub fn set_capacity_fraction(&mut self, fraction: f64) {
        self.capacity_fraction = fraction;
        self.assign_upstreams();
    }

    /// Sets the longest gap between events that callers accept, in
    /// milliseconds; none for a service without streams.
    pub fn set_gap_target(&mut self, gap_ms: Option<u64>) {
        self.max_mean_gap_ms =
            gap_ms.map_or(f64::INFINITY, |gap_ms| gap_ms as f64 * MAX_MEAN_GAP_FRACTION);
        self.lane_split.set_gap_target(gap_ms);
    }

    /// Whether the upstreams are model engines that stream.
    fn is_engine(&self) -> bool {
        self.max_mean_gap_ms.is_finite()
    }

    /// Lane of a request whose upstream has to process `prefill_tokens`.
    pub fn lane(&self, prefill_tokens: u64) -> Lane {
        self.lane_split.lane(prefill_tokens)
    }

    /// Whether a prompt with `prefill_tokens` to process is long.
    pub fn is_long(&self, prefill_tokens: u64) -> bool {
        self.lane_split.is_long(prefill_tokens)
    }

    /// Sets how many engines are reserved for long prompts, from the tokens of
    /// long prompts that the whole fleet receives per second.
    pub fn set_long_prompt_rate(&mut self, now_ms: u64, tokens_per_s: u64) {
        let in_use_fraction = self.in_use_fraction(now_ms);
        self.lane_split.set_long_prompt_rate(
            now_ms,
            self.upstreams.len(),
            tokens_per_s,
            in_use_fraction,
        );
        self.assign_lanes();
    }

    /// Estimated fraction of all slots that the whole fleet uses, 0 to 1.
    fn in_use_fraction(&self, now_ms: u64) -> f64 {
        let states = self.upstreams.values();
        let in_use: f64 = states.map(|state| self.occupied_slots(now_ms, state)).sum();
        let slots: u32 = self.upstreams.values().map(|state| state.slots).sum();
        (in_use / f64::from(slots.max(1))).min(1.0)
    }

    /// Reserves the engines with the lowest hashes for long prompts, so that all
    /// routers choose the same ones without a message.
    fn assign_lanes(&mut self) {
        let mut hashes: Vec<u64> = self.upstreams.values().map(|state| state.name_hash).collect();
        hashes.sort_unstable();
        let engines = self.lane_split.long_engines();
        let first_short = hashes.get(engines).copied().unwrap_or(u64::MAX);
        for state in self.upstreams.values_mut() {
            let is_long = state.name_hash < first_short && engines > 0;
            state.lane = if is_long { Lane::Long } else { Lane::Short };
        }
    }

    /// Records the gap between two events of a stream, in milliseconds.
    pub fn record_event_gap(&mut self, now_ms: u64, name: &UpstreamName, gap_ms: u64) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.record_event_gap(now_ms, gap_ms);
        }
    }

    /// Records that an upstream has processed `tokens` of a prompt, or never
    /// will.
    pub fn prefill_ended(&mut self, name: &UpstreamName, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.pending_prefill_tokens = state.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Sets how many routers share the upstreams, and how many connections all
    /// of them together may open to one upstream.
    pub fn set_fleet(&mut self, own_name: &InstanceName, routers: usize, max_connections: f64) {
        self.own_hash = xxh3_64(own_name.as_str().as_bytes());
        self.fleet_routers = routers.max(1);
        self.max_connections = max_connections;
        self.assign_upstreams();
    }

    /// Chooses the upstreams that this router uses. In a large fleet only a few
    /// routers use each upstream, so that they know its load better and it has
    /// fewer connections. A router whose callers are entitled to more capacity
    /// uses more upstreams.
    fn assign_upstreams(&mut self) {
        let total = self.upstreams.len().max(1);
        let min_fraction = MIN_UPSTREAMS_PER_ROUTER as f64 / total as f64;
        let wanted =
            (self.capacity_fraction * MAX_ROUTERS_PER_UPSTREAM as f64).max(min_fraction).min(1.0);
        let is_small = self.fleet_routers <= MAX_ROUTERS_PER_UPSTREAM;
        self.upstreams_fraction = if is_small {
            1.0
        } else {
            wanted.max(self.upstreams_fraction * UPSTREAMS_SHRINK_FACTOR)
        };
        self.routers_per_upstream =
            if is_small { self.fleet_routers } else { MAX_ROUTERS_PER_UPSTREAM };
        let max_own_requests = (self.max_connections / self.routers_per_upstream as f64) as u32;
        self.max_own_requests = max_own_requests.max(1);
        for state in self.upstreams.values_mut() {
            let hash = xxh3_64_with_seed(&self.own_hash.to_le_bytes(), state.name_hash);
            state.is_assigned = hash as f64 / u64::MAX as f64 <= self.upstreams_fraction;
        }
    }

    /// Replaces the upstreams that take requests. The state of those that stay is kept.
    pub fn set_upstreams<'a>(&mut self, ready: impl Iterator<Item = ReadyUpstream<'a>>) {
        let mut known = std::mem::take(&mut self.upstreams);
        for upstream in ready {
            let name = upstream.name;
            let mut state = known.remove(name).unwrap_or_else(|| UpstreamState::new(upstream));
            state.slots = upstream.slots;
            state.software_version = upstream.software_version.clone();
            state.failure_domain = upstream.failure_domain.clone();
            let pause_until_ms = self.pauses_until_ms.get(name).copied().unwrap_or(0);
            state.pause_until_ms = state.pause_until_ms.max(pause_until_ms);
            self.upstreams.insert(name.clone(), state);
        }
        self.assign_lanes();
        self.assign_upstreams();
    }

    /// Drops the state of an upstream whose process has been replaced.
    pub fn reset(&mut self, name: &UpstreamName) {
        self.upstreams.remove(name);
        self.limits.forget(upstream_load::name_hash(name));
        self.prefix_holders.retain(|_, holders| {
            holders.retain(|holder| holder.upstream != *name);
            !holders.is_empty()
        });
    }

    /// Slots of the usable upstreams of a lane.
    pub fn slot_counts(&self, now_ms: u64, lane: Lane) -> SlotCounts {
        let usable = self.upstreams.values();
        let usable = usable.filter(|state| state.lane == lane && state.is_usable(now_ms));
        let is_limited = self.is_limited();
        let mut counts = SlotCounts { free: 0, in_use: 0, total: 0, free_in_ms: 0, is_limited };
        let mut free_in_ms = None;
        for state in usable {
            let wait_ms = self.send_slots(state).map_or(0, |slots| slots.wait_ms(now_ms));
            free_in_ms = Some(free_in_ms.map_or(wait_ms, |least: u64| least.min(wait_ms)));
            counts.free += self.free_slots(now_ms, state);
            counts.in_use += self.occupied_slots(now_ms, state) as u32;
            counts.total += state.slots;
        }
        counts.free_in_ms = free_in_ms.unwrap_or(0);
        counts
    }

    /// Slots of all usable upstreams, free or in use: of those that can continue a
    /// stream of `continued_version`, if that is given.
    pub fn usable_slots(&self, now_ms: u64, continued_version: Option<&SoftwareVersion>) -> u32 {
        let usable = self.upstreams.values().filter(|state| match continued_version {
            Some(version) => self.can_continue(now_ms, state, version),
            None => state.is_usable(now_ms),
        });
        usable.map(|state| state.slots).sum()
    }

    /// Slots of an upstream that count as in use: those of its requests, or more if its
    /// streams are slow. An engine with many slots is slow long before they are in use.
    /// Of an upstream with a limit on requests per second, as large a part as of the limit.
    fn occupied_slots(&self, now_ms: u64, state: &UpstreamState) -> f64 {
        let requests = state.total_requests(now_ms, self.routers_per_upstream);
        let slowness = if self.is_prefill_behind(now_ms, state) {
            1.0
        } else {
            (state.mean_gap_ms(now_ms) / self.max_mean_gap_ms).min(1.0)
        };
        let used_limit = self.send_slots(state).map_or(0.0, |slots| slots.used_fraction(now_ms));
        requests.max(f64::from(state.slots) * slowness.max(used_limit))
    }

    /// Whether an upstream has so many prompt tokens to process that it takes no
    /// further prompts of this router.
    fn is_prefill_behind(&self, now_ms: u64, state: &UpstreamState) -> bool {
        let has_long_gaps =
            state.lane == Lane::Short && state.mean_gap_ms(now_ms) > self.max_mean_gap_ms;
        let fraction = self.capacity_fraction / self.upstreams_fraction;
        let prefill_limit = (MAX_PENDING_PREFILL_TOKENS as f64 * fraction) as u64;
        state.pending_prefill_tokens > prefill_limit || has_long_gaps
    }

    /// Requests that this router may send to an upstream now.
    fn free_slots(&self, now_ms: u64, state: &UpstreamState) -> u32 {
        if self.is_prefill_behind(now_ms, state) {
            return 0;
        }
        let sendable = self.send_slots(state).map_or(u32::MAX, |slots| slots.available(now_ms));
        let own_free = self.own_limit(state).saturating_sub(state.own_requests).min(sendable);
        if !self.is_engine() {
            return own_free;
        }
        let limit = f64::from(state.slots) * (1.0 + ENGINE_QUEUE_FRACTION);
        let free =
            (limit - state.total_requests(now_ms, self.routers_per_upstream)).max(0.0) as u32;
        free.min(own_free)
    }

    /// Requests that this router may have at an upstream. The requests of other
    /// routers are known only from reports that are out of date, so each router
    /// keeps to somewhat more than its callers' fraction of the slots.
    fn own_limit(&self, state: &UpstreamState) -> u32 {
        let factor =
            if self.is_engine() { ENGINE_OWN_REQUESTS_FACTOR } else { NON_ENGINE_REQUESTS_FACTOR };
        // The capacity that the callers are entitled to is spread over the
        // upstreams that this router uses.
        let fraction = (self.capacity_fraction / self.upstreams_fraction * factor).min(1.0);
        let limit = (f64::from(state.slots) * fraction).ceil() as u32;
        limit.max(MIN_OWN_REQUESTS).min(self.max_own_requests)
    }

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
        let homes = request.prompt_prefix.map(|prefix| self.home_hashes(now_ms, prefix));
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
            let cold_cost = if self.is_cold(now_ms, state) { COLD_COST_MS } else { 0.0 };
            let cost = in_use * FULL_BATCH_COST_MS
                + prefill_ms
                + away_from_home_cost
                + cold_cost
                + tie_breaker;
            (cost, name)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone())
    }

    /// The upstream from which `upstream` can copy a prompt prefix: one that read the
    /// prefix for this router recently, or else the home of the prefix, which every
    /// router sends it to when it can. Only one of the same software version: what two
    /// versions write does not fit together.
    fn copy_source(
        &self,
        now_ms: u64,
        upstream: &UpstreamName,
        prefix: PromptPrefix,
    ) -> Option<UpstreamName> {
        if prefix.tokens < MIN_COPIED_PREFIX_TOKENS {
            return None;
        }
        let version = &self.upstreams.get(upstream)?.software_version;
        let is_recent = |holder: &&PrefixHolder| {
            let state = self.upstreams.get(&holder.upstream);
            now_ms.saturating_sub(holder.used_ms) < PREFIX_CERTAINLY_CACHED_MS
                && state.is_some_and(|state| state.software_version == *version)
        };
        let holders = self.prefix_holders.get(&prefix.hash).into_iter().flatten();
        let recent: Vec<&PrefixHolder> = holders.filter(is_recent).collect();
        if recent.iter().any(|holder| holder.upstream == *upstream) {
            return None;
        }
        // An engine that has not read the prefix yet has nothing to copy.
        if let Some(holder) = recent.iter().rev().find(|holder| holder.has_read) {
            return Some(holder.upstream.clone());
        }
        let usable = self.upstreams.iter().filter(|(_, state)| {
            state.lane == Lane::Short && !state.replaced && !self.is_cold(now_ms, state)
        });
        // If the home itself is chosen, it may have evicted the prefix.
        let others =
            usable.filter(|(name, state)| *name != upstream && state.software_version == *version);
        let (home, _) = others.max_by_key(|(_, state)| state.rendezvous_hash(prefix))?;
        Some(home.clone())
    }

    /// Name hash of the home of a large prompt prefix, if this router does not
    /// use that upstream otherwise and it is available and not nearly full.
    /// Processing the prefix again at an upstream that this router uses costs more
    /// than a further connection.
    fn unassigned_home(&self, now_ms: u64, prefix: PromptPrefix) -> Option<u64> {
        if prefix.tokens < MIN_UNASSIGNED_HOME_TOKENS {
            return None;
        }
        let candidates = self.home_candidates(now_ms);
        let home = candidates.max_by_key(|state| state.rendezvous_hash(prefix))?;
        let in_use =
            home.total_requests(now_ms, self.routers_per_upstream) / f64::from(home.slots.max(1));
        let usable = !home.is_assigned
            && self.send_slots(home).is_none()
            && home.is_available(now_ms)
            && in_use < MAX_UNASSIGNED_HOME_IN_USE_FRACTION;
        usable.then_some(home.name_hash)
    }

    /// Rendezvous hashes of the homes of a prompt prefix. All routers choose the same
    /// homes without a message.
    fn home_hashes(&self, now_ms: u64, prefix: PromptPrefix) -> HomeHashes {
        let mut homes = HomeHashes { first: 0, second: 0 };
        let allow_unassigned = self.fleet_routers > self.routers_per_upstream
            && prefix.tokens >= MIN_UNASSIGNED_HOME_TOKENS;
        let candidates = self.home_candidates(now_ms);
        for state in candidates.filter(|state| state.is_assigned || allow_unassigned) {
            let hash = state.rendezvous_hash(prefix);
            if hash > homes.first {
                homes = HomeHashes { first: hash, second: homes.first };
            } else {
                homes.second = homes.second.max(hash);
            }
        }
        homes
    }

    /// Whether an upstream probably caches a prompt prefix.
    fn has_prefix(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        state: &UpstreamState,
        prefix: PromptPrefix,
        home_hash: u64,
    ) -> bool {
        state.rendezvous_hash(prefix) >= home_hash
            || self.prefix_holders.get(&prefix.hash).into_iter().flatten().any(|holder| {
                holder.upstream == *name
                    && now_ms.saturating_sub(holder.used_ms) < PREFIX_CACHE_LIFETIME_MS
            })
    }

    fn record_sent(&mut self, now_ms: u64, name: &UpstreamName, request: PlacementRequest<'_>) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_requests += 1;
            state.sent.add(now_ms, 1);
            self.limits.record_sent(now_ms, state.name_hash);
            state.pending_prefill_tokens += request.prefill_tokens;
            state.probing |= state.is_next_a_probe();
        }
        if let Some(prefix) = request.prompt_prefix {
            self.record_holder(now_ms, name, prefix.hash, false);
        }
    }

    /// Records that an upstream has read a prompt prefix that this router sent.
    pub fn record_prefix_read(&mut self, now_ms: u64, name: &UpstreamName, prefix: PromptPrefix) {
        self.record_holder(now_ms, name, prefix.hash, true);
    }

    fn record_holder(&mut self, now_ms: u64, name: &UpstreamName, hash: u64, has_read: bool) {
        if self.prefix_holders.len() >= MAX_TRACKED_PREFIXES {
            self.prefix_holders.retain(|_, holders| {
                let last = holders.last().map_or(0, |holder| holder.used_ms);
                now_ms.saturating_sub(last) < PREFIX_CACHE_LIFETIME_MS / 2
            });
        }
        let holders = self.prefix_holders.entry(hash).or_default();
        let known = holders.iter().position(|holder| holder.upstream == *name);
        let mut holder = match known {
            Some(index) => holders.remove(index),
            None => PrefixHolder { upstream: name.clone(), used_ms: now_ms, has_read: false },
        };
        holder.used_ms = now_ms;
        holder.has_read |= has_read;
        holders.push(holder);
        if holders.len() > MAX_HOLDERS_PER_PREFIX {
            holders.remove(0);
        }
    }

    /// Records the end of a request at an upstream.
    pub fn request_ended(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_requests = state.own_requests.saturating_sub(1);
        }
    }

    /// Records the load that an upstream reported.
    pub fn record_report(&mut self, now_ms: u64, name: &UpstreamName, report: LoadReport) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.report = Some((now_ms, report, state.own_requests));
        }
    }

    /// Recent load reports of the upstreams, with the low half of the upstream's
    /// name hash.
    pub fn reported_loads(&self, now_ms: u64) -> Vec<(u32, ReportedLoad)> {
        let states = self.upstreams.values();
        let reports = states.filter_map(|state| state.report.map(|report| (state, report)));
        let recent = reports.filter_map(|(state, (at_ms, report, _))| {
            let age_ms = now_ms.saturating_sub(at_ms);
            let requests = report.running + report.waiting;
            let reported = ReportedLoad { requests, age_ms: age_ms as u32 };
            (age_ms < MAX_FORWARDED_REPORT_AGE_MS).then_some((state.name_hash as u32, reported))
        });
        recent.collect()
    }

    /// Takes over load reports that other routers received, where they are
    /// newer than this router's.
    pub fn merge_reported_loads(
        &mut self,
        now_ms: u64,
        reported_loads: &BTreeMap<u32, ReportedLoad>,
    ) {
        for state in self.upstreams.values_mut() {
            let Some(reported) = reported_loads.get(&(state.name_hash as u32)) else {
                continue;
            };
            let at_ms = now_ms.saturating_sub(u64::from(reported.age_ms));
            if state.report.is_none_or(|(known_ms, _, _)| known_ms < at_ms) {
                let report =
                    LoadReport { running: reported.requests, waiting: 0, slots: state.slots };
                state.report = Some((at_ms, report, state.own_requests));
            }
        }
    }

    /// Requests of this router in flight at each upstream, with the low half of the
    /// upstream's name hash, to be told to other routers.
    pub fn report_in_flight(&mut self) -> Vec<(u32, u32)> {
        let mut in_flight = Vec::new();
        for state in self.upstreams.values_mut() {
            state.reported_own_requests = state.own_requests;
            if state.own_requests > 0 {
                in_flight.push((state.name_hash as u32, state.own_requests));
            }
        }
        in_flight
    }

    /// Takes over the requests that all routers had in flight at `taken_ms`, for
    /// upstreams without a newer load report.
    pub fn merge_in_flight(&mut self, taken_ms: u64, in_flight: &BTreeMap<u32, u32>) {
        for state in self.upstreams.values_mut() {
            if state.report.is_some_and(|(known_ms, _, _)| known_ms >= taken_ms) {
                continue;
            }
            let running = in_flight.get(&(state.name_hash as u32)).copied().unwrap_or(0);
            let report = LoadReport { running, waiting: 0, slots: state.slots };
            state.report = Some((taken_ms, report, state.reported_own_requests));
        }
    }

    /// Records that an upstream asked for no requests for `pause_ms`. `draw`, uniform
    /// in 0 to 1, spreads the first requests of all routers after that time.
    pub fn record_pause(&mut self, now_ms: u64, name: &UpstreamName, pause_ms: u64, draw: f64) {
        let spread_ms = (pause_ms as f64 * PAUSE_SPREAD_FRACTION * draw) as u64;
        let until_ms =
            now_ms.saturating_add(pause_ms.min(MAX_PAUSE_MS)) + spread_ms.min(MAX_PAUSE_SPREAD_MS);
        self.pauses_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let pause = self.pauses_until_ms.entry(name.clone()).or_default();
        *pause = until_ms.max(*pause);
        if let Some(state) = self.upstreams.get_mut(name) {
            state.pause_until_ms = state.pause_until_ms.max(until_ms);
        }
    }

    /// Records that an upstream has accepted a request: if it had asked for a pause that
    /// is over, further requests may follow.
    pub fn record_accepted(&mut self, now_ms: u64, name: &UpstreamName) {
        let state = self.upstreams.get_mut(name).filter(|state| state.pause_until_ms > 0);
        if let Some(state) = state.filter(|state| now_ms >= state.pause_until_ms) {
            state.pause_until_ms = 0;
            state.probing = state.avoid_ms > 0;
        }
    }

    /// Time until one of the upstreams takes requests of this router, in milliseconds;
    /// 0 if one does, none if that is not known.
    pub fn available_in_ms(&self, now_ms: u64) -> Option<u64> {
        let used = self.upstreams.values().filter(|state| state.is_assigned && !state.replaced);
        used.map(|state| state.available_from_ms().saturating_sub(now_ms)).min()
    }

    /// Time until an upstream that is not `excluded` can continue a stream of `version`, in
    /// milliseconds: 0 if one can now, none if there is no such upstream.
    pub fn can_continue_in_ms(
        &self,
        now_ms: u64,
        version: &SoftwareVersion,
        excluded: &[UpstreamName],
    ) -> Option<u64> {
        let able = self.upstreams.iter().filter(|(name, state)| {
            state.software_version == *version && !state.replaced && !excluded.contains(name)
        });
        let waits = able.map(|(_, state)| {
            let is_able_now = self.can_continue(now_ms, state, version);
            let slot_wait_ms =
                self.send_slots(state).map_or(0, |slots| slots.wait_to_continue_ms(now_ms));
            let wait_ms = state.available_from_ms().saturating_sub(now_ms).max(slot_wait_ms);
            if is_able_now { 0 } else { wait_ms.max(1) }
        });
        waits.min()
    }

    /// Records how an attempt at an upstream ended. Returns whether the upstream
    /// is avoided from now on.
    pub fn record_result(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        result: AttemptResult,
    ) -> bool {
        self.upstreams.get_mut(name).is_some_and(|state| state.record_result(now_ms, result))
    }
}
