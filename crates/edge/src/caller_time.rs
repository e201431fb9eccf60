//! Tells how long a caller has waited already when one of its attempts arrives.
//!
//! Callers state the time that they have left. First attempts on a route state whole time
//! limits, which differ between callers but lie in a range. An attempt that states less than
//! the range is a repeat, and the rest has passed. In quiet times nearly all attempts are first
//! ones, so the lower end of the range shows in them. Routers tell each other what they have
//! learnt, since one that starts in an overload sees mostly repeats.

use std::collections::{BTreeMap, HashMap};

use span_types::WorkspaceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::{shares::DecayingRate, stream_records::RouteId};

/// Attempts on a route from which the lower end of its time limits is estimated.
const SAMPLE_ATTEMPTS: usize = 64;
/// Attempts of them that may state less: stragglers and a few repeats.
const MAX_SAMPLE_REPEATS: usize = 3;
/// Time for which a lower end counts that no later sample confirms, in milliseconds. During an
/// overload, samples hold many repeats.
const LIMIT_LIFETIME_MS: u64 = 120_000;
/// Fraction of the known lower end from which a sample confirms it, and from which an attempt
/// may be a first one. A few first attempts state less than the estimated end.
const LIMIT_TOLERANCE_FRACTION: f64 = 0.97;
/// Inverse of the weight that a sample which confirms the lower end has in it.
const SAMPLE_INVERSE_WEIGHT: u64 = 8;
/// Part of a workspace's attempts on a route that can be repeats. If more state little time,
/// its callers have shorter limits than others.
const MAX_REPEATED_FRACTION: f64 = 2.0 / 3.0;
/// Workspaces that are tracked at most, counted once for each route.
const MAX_TRACKED: usize = 4_096;
/// Attempts per second below which a workspace is forgotten if there are too many, and how often
/// that is looked for at most, in milliseconds.
const MIN_ATTEMPTS_PER_S: f64 = 0.1;
const PRUNE_INTERVAL_MS: u64 = 1_000;
/// Routes whose limits are told to other routers at most.
const MAX_REPORTED_ROUTES: usize = 16;

/// Lower ends of callers' time limits in milliseconds, by the low half of the hash of the
/// route's id.
pub type ShortestLimits = BTreeMap<u32, u32>;

/// Adds what other routers learnt: in an overload a router learns too short limits.
pub fn merge_limits(limits: &mut ShortestLimits, others: &ShortestLimits) {
    for (route, limit_ms) in others {
        if limits.len() >= MAX_REPORTED_ROUTES && !limits.contains_key(route) {
            continue;
        }
        let known_ms = limits.entry(*route).or_default();
        *known_ms = (*known_ms).max(*limit_ms);
    }
}

fn route_hash(route: &RouteId) -> u32 {
    xxh3_64(route.as_bytes()) as u32
}

/// Time limits of the callers of one route.
#[derive(Debug, Default)]
struct RouteTimes {
    /// Stated times that the next estimate is made from, in milliseconds.
    samples_ms: Vec<u64>,
    /// Lower end of the time limits, and when a sample last confirmed it.
    shortest_limit: Option<(u64, u64)>,
    /// Longest time that a caller stated, in milliseconds.
    longest_ms: u64,
}

impl RouteTimes {
    fn record(&mut self, now_ms: u64, remaining_ms: u64) {
        self.longest_ms = self.longest_ms.max(remaining_ms);
        self.samples_ms.push(remaining_ms);
        if self.samples_ms.len() < SAMPLE_ATTEMPTS {
            return;
        }
        self.samples_ms.sort_unstable();
        let sampled_ms = self.samples_ms[MAX_SAMPLE_REPEATS];
        self.samples_ms.clear();
        self.shortest_limit = match self.shortest_limit {
            Some((known_ms, at_ms)) if now_ms.saturating_sub(at_ms) < LIMIT_LIFETIME_MS => {
                let tolerated_ms = (known_ms as f64 * LIMIT_TOLERANCE_FRACTION) as u64;
                let longest_ms = (known_ms as f64 / LIMIT_TOLERANCE_FRACTION) as u64;
                if sampled_ms > longest_ms {
                    Some((sampled_ms, now_ms))
                } else if sampled_ms >= tolerated_ms {
                    // The most of many samples would rise further and further.
                    let kept_ms = known_ms * (SAMPLE_INVERSE_WEIGHT - 1);
                    Some(((kept_ms + sampled_ms) / SAMPLE_INVERSE_WEIGHT, now_ms))
                } else {
                    Some((known_ms, at_ms))
                }
            }
            _ => {
                self.longest_ms = remaining_ms;
                Some((sampled_ms, now_ms))
            }
        };
    }
}

/// Attempts of one workspace on one route.
#[derive(Debug, Default)]
struct Attempts {
    all: DecayingRate,
    repeated: DecayingRate,
}

/// Time limits of the callers of a service, by route.
#[derive(Debug, Default)]
pub struct CallerTimes {
    routes: HashMap<RouteId, RouteTimes>,
    /// What the other routers learnt.
    fleet_limits: ShortestLimits,
    attempts: HashMap<(RouteId, WorkspaceName), Attempts>,
    /// When workspaces without recent attempts were last forgotten.
    pruned_ms: u64,
}

impl CallerTimes {
    /// Records the time that a caller stated to have left, in milliseconds, and returns for how
    /// long it has probably waited before this attempt: 0 for what may be a first one.
    pub fn record(
        &mut self,
        now_ms: u64,
        route: &RouteId,
        workspace: &WorkspaceName,
        remaining_ms: u64,
    ) -> u64 {
        let times = self.routes.entry(route.clone()).or_default();
        let own_ms = times.shortest_limit.map_or(0, |(limit_ms, _)| limit_ms);
        let fleet_ms = self.fleet_limits.get(&route_hash(route)).copied().unwrap_or(0);
        let shortest_ms = own_ms.max(u64::from(fleet_ms));
        times.record(now_ms, remaining_ms);
        let mean_limit_ms = (shortest_ms + times.longest_ms.max(shortest_ms)) / 2;
        let is_repeat = (remaining_ms as f64) < shortest_ms as f64 * LIMIT_TOLERANCE_FRACTION;
        let spent_ms = if is_repeat { mean_limit_ms - remaining_ms } else { 0 };
        let key = (route.clone(), workspace.clone());
        if !self.attempts.contains_key(&key) && self.attempts.len() >= MAX_TRACKED {
            if now_ms.saturating_sub(self.pruned_ms) >= PRUNE_INTERVAL_MS {
                self.pruned_ms = now_ms;
                self.attempts
                    .retain(|_, attempts| attempts.all.per_s(now_ms) >= MIN_ATTEMPTS_PER_S);
            }
            if self.attempts.len() >= MAX_TRACKED {
                return 0;
            }
        }
        let attempts = self.attempts.entry(key).or_default();
        attempts.all.add(now_ms, 1);
        attempts.repeated.add(now_ms, u64::from(spent_ms > 0));
        let most = attempts.all.per_s(now_ms) * MAX_REPEATED_FRACTION;
        if attempts.repeated.per_s(now_ms) > most { 0 } else { spent_ms }
    }

    /// What this router learnt, to be told to others.
    pub fn shortest_limits(&self) -> ShortestLimits {
        let learnt = self.routes.iter().filter_map(|(route, times)| {
            let (limit_ms, _) = times.shortest_limit?;
            Some((route_hash(route), u32::try_from(limit_ms).ok()?))
        });
        let learnt: ShortestLimits = learnt.collect();
        learnt.into_iter().take(MAX_REPORTED_ROUTES).collect()
    }

    /// Takes over what the other routers learnt.
    pub fn set_fleet_limits(&mut self, limits: &ShortestLimits) {
        self.fleet_limits.clone_from(limits);
    }

    /// Forgets routes that `keep` does not name.
    pub fn retain_routes(&mut self, keep: impl Fn(&RouteId) -> bool) {
        self.routes.retain(|route, _| keep(route));
        self.attempts.retain(|(route, _), _| keep(route));
    }
}
