//! Placement: which upstream a request goes to, from the load of each upstream
//! as this router knows it.

mod availability;
mod choice;
mod cold;
mod limits;
mod loads;
mod prefixes;
mod slots;
mod speed;
mod subset;

use std::collections::HashMap;

use span_types::{FailureDomain, SoftwareVersion, UpstreamName};

pub use self::choice::CandidateCost;
use self::{prefixes::PrefixHolder, speed::ServiceSpeed};
use crate::{
    lane::{Lane, LaneSplit},
    upstream_limit::UpstreamLimits,
    upstream_load::{self, AttemptResult, UpstreamState},
};

/// Mean gap between events up to which an engine gets prompts, as a fraction of
/// the longest gap that callers accept. Prefill lengthens all gaps.
const MAX_MEAN_GAP_FRACTION: f64 = 0.55;

/// Prefill rate from which the number of engines for long prompts is computed at least, in
/// tokens per millisecond. Slow engines would else leave too few for all other requests.
const MIN_SPLIT_PREFILL_TOKENS_PER_MS: f64 = 125.0;

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
    /// Software version at which the request is to begin a stream; none if any will do.
    pub preferred_version: Option<&'a PreferredVersion>,
}

/// The software version at which a stream is to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreferredVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// Whether a stream cannot begin at another one at the moment. Otherwise its first event waits
    /// there for the store.
    pub is_required: bool,
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
    /// Longest gap between events that callers accept, in milliseconds; infinite if the upstreams
    /// are no engines.
    gap_target_ms: f64,
    /// Whether streams can begin at one version each only.
    requires_versions: bool,
    lane_split: LaneSplit,
    speed: ServiceSpeed,
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
            gap_target_ms: f64::INFINITY,
            requires_versions: false,
            lane_split: LaneSplit::default(),
            speed: ServiceSpeed::default(),
        }
    }
}

impl Placement {
    /// Sets the longest gap between events that callers accept, in
    /// milliseconds; none for a service without streams.
    pub fn set_gap_target(&mut self, gap_ms: Option<u64>) {
        self.gap_target_ms = gap_ms.map_or(f64::INFINITY, |gap_ms| gap_ms as f64);
        self.lane_split.set_gap_target(gap_ms);
    }

    /// Whether the upstreams are model engines that stream.
    pub fn is_engine(&self) -> bool {
        self.gap_target_ms.is_finite()
    }

    /// Sets whether streams can begin at one version each only. Returns whether that is news.
    pub fn set_requires_versions(&mut self, requires_versions: bool) -> bool {
        std::mem::replace(&mut self.requires_versions, requires_versions) != requires_versions
    }

    /// Mean gap between events up to which an engine gets prompts, in milliseconds. All that
    /// callers accept while others could not take the stream.
    fn max_mean_gap_ms(&self) -> f64 {
        let fraction = if self.requires_versions { 1.0 } else { MAX_MEAN_GAP_FRACTION };
        self.gap_target_ms * fraction
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
            self.speed.prefill.tokens_per_ms().max(MIN_SPLIT_PREFILL_TOKENS_PER_MS),
            in_use_fraction,
        );
        self.assign_lanes();
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

    /// Records that an upstream has processed `tokens` of a prompt, or never
    /// will.
    pub fn prefill_ended(&mut self, name: &UpstreamName, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.pending_prefill_tokens = state.pending_prefill_tokens.saturating_sub(tokens);
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

    /// Records the end of a request at an upstream.
    pub fn request_ended(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_requests = state.own_requests.saturating_sub(1);
        }
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
