//! Where prompt prefixes live: the homes of each prefix, and the upstreams that it was
//! sent to.

use span_types::{SoftwareVersion, UpstreamName};

use super::{Placement, PromptPrefix};
use crate::{lane::Lane, upstream_load::UpstreamState};

/// Smallest prompt prefix that is copied, in tokens. A copy takes two
/// milliseconds to begin, so that prefill is faster for smaller ones.
pub(super) const MIN_COPIED_PREFIX_TOKENS: u64 = 128;
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
/// Smallest prompt prefix, in tokens, whose home is used also by routers that do
/// not use that upstream otherwise. If each router had a home of its own among the
/// upstreams that it uses, each of them would get the prefix too rarely to keep it.
const MIN_UNASSIGNED_HOME_TOKENS: u64 = MIN_COPIED_PREFIX_TOKENS;
/// Fraction of its slots in use from which such a home gets no more requests.
/// Its load is known only from the load summaries of other routers.
const MAX_UNASSIGNED_HOME_IN_USE_FRACTION: f64 = 0.8;

/// Rendezvous hashes of the upstreams that keep a prompt prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeHashes {
    /// Of the home, which gets the prefix while it has a free slot.
    pub(super) first: u64,
    /// Of the second home, which gets most of the rest.
    pub(super) second: u64,
}

/// An upstream that a prompt prefix was sent to.
#[derive(Clone, Debug)]
pub(super) struct PrefixHolder {
    pub(super) upstream: UpstreamName,
    /// When the prefix was last sent there, or read there.
    used_ms: u64,
    /// Whether the upstream has read the prefix.
    has_read: bool,
}

impl Placement {
    /// The upstream from which `upstream` can copy a prompt prefix: one that read the
    /// prefix for this router recently, or else the home of the prefix, which every
    /// router sends it to when it can. Only one of the same software version: what two
    /// versions write does not fit together.
    pub(super) fn copy_source(
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
    pub(super) fn unassigned_home(
        &self,
        now_ms: u64,
        prefix: PromptPrefix,
        version: Option<&SoftwareVersion>,
    ) -> Option<u64> {
        if prefix.tokens < MIN_UNASSIGNED_HOME_TOKENS {
            return None;
        }
        let candidates = self.home_candidates(now_ms, version);
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
    /// homes without a message. With `version`, these are its upstreams.
    pub(super) fn home_hashes(
        &self,
        now_ms: u64,
        prefix: PromptPrefix,
        version: Option<&SoftwareVersion>,
    ) -> HomeHashes {
        let mut homes = HomeHashes { first: 0, second: 0 };
        let allow_unassigned = self.fleet_routers > self.routers_per_upstream
            && prefix.tokens >= MIN_UNASSIGNED_HOME_TOKENS;
        let candidates = self.home_candidates(now_ms, version);
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
    pub(super) fn has_prefix(
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

    /// Records that an upstream has read a prompt prefix that this router sent.
    pub fn record_prefix_read(&mut self, now_ms: u64, name: &UpstreamName, prefix: PromptPrefix) {
        self.record_holder(now_ms, name, prefix.hash, true);
    }

    pub(super) fn record_holder(
        &mut self,
        now_ms: u64,
        name: &UpstreamName,
        hash: u64,
        has_read: bool,
    ) {
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
}
