//! The versions at which streams begin that the store has no record of.
//!
//! While several software versions of a service serve, the id of a request determines at which of
//! them its stream begins, unless the store has recorded another one first. So a router that finds
//! no record of a stream knows its version from the id alone, also after all routers have died.
//! Each version gets a share of the ids, by the slots of its upstreams.
//!
//! The shares follow the upstreams, while routers may still use the shares before. The history
//! lists both until no router does, and only ids on which all listed shares agree say anything.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use span_types::SoftwareVersion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::stream_origin::RequestKey;

/// Sum of the shares of all versions.
pub const TOTAL: u32 = 1_000;
/// Deviation of a share from that of the slots from which the shares are changed, of [`TOTAL`].
/// Each change is a write of the history.
pub const MIN_CHANGE: u32 = 100;
/// Part of the ids that get another version in one change, of [`TOTAL`]. The version of their
/// streams is not known until the change is complete, and more than half must be.
pub const MAX_CHANGE: u32 = 300;
/// Parts into which the way to the wanted shares is divided to find the largest change.
const STEP_PARTS: u32 = 50;
/// Makes the hashes independent of those that rank routers.
const HASH_SEED: u64 = 0x7665_7273_696f_6e73;

/// Shares of the versions of a service; none if streams may have begun anywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShares(BTreeMap<SoftwareVersion, u32>);

impl VersionShares {
    /// All streams begin at `version`.
    pub fn only(version: SoftwareVersion) -> Self {
        Self(BTreeMap::from([(version, TOTAL)]))
    }

    /// Shares in proportion to the slots of each version's upstreams; none without slots.
    pub fn of_slots(slots: &BTreeMap<SoftwareVersion, u32>) -> Self {
        let total: u64 = slots.values().map(|slots| u64::from(*slots)).sum();
        let (mut sum, mut given) = (0, 0);
        let mut shares = BTreeMap::new();
        for (version, slots) in slots.iter().filter(|(_, slots)| **slots > 0) {
            sum += u64::from(*slots);
            // Rounds the sums, so that the shares add up to the total.
            let end = (sum * u64::from(TOTAL) / total) as u32;
            shares.insert(version.clone(), end - given);
            given = end;
        }
        Self(shares)
    }

    /// The versions with the points at which their parts of the range of hashes end.
    fn ends(&self) -> impl Iterator<Item = (&SoftwareVersion, u32)> {
        self.0.iter().scan(0, |end, (version, share)| {
            *end += share;
            Some((version, *end))
        })
    }

    /// The version at which the stream of `request` begins; none if there are no shares.
    pub fn version_of(&self, request: RequestKey) -> Option<&SoftwareVersion> {
        let hash = xxh3_64_with_seed(&request.to_bytes(), HASH_SEED);
        let point = ((u128::from(hash) * u128::from(TOTAL)) >> u64::BITS) as u32;
        self.ends().find(|(_, end)| point < *end).map(|(version, _)| version)
    }

    /// Share of a version, of [`TOTAL`].
    pub fn share(&self, version: &SoftwareVersion) -> u32 {
        self.0.get(version).copied().unwrap_or(0)
    }

    /// The shares that follow these on the way to `wanted`; none if those hardly differ.
    pub fn step_towards(&self, wanted: &Self) -> Option<Self> {
        let changes = self.0.keys().chain(wanted.0.keys());
        let largest = changes.map(|version| self.share(version).abs_diff(wanted.share(version)));
        let goes = self.0.keys().any(|version| wanted.share(version) == 0);
        let is_due = largest.max().unwrap_or(0) >= if goes { 1 } else { MIN_CHANGE };
        if wanted.0.is_empty() || !is_due {
            return None;
        }
        if self.0.is_empty() || self.moved(wanted) <= MAX_CHANGE {
            return Some(wanted.clone());
        }
        let mut steps = (1..STEP_PARTS).rev().map(|part| self.part_way(wanted, part));
        steps.find(|step| self.moved(step) <= MAX_CHANGE)
    }

    /// Shares that are `part` of [`STEP_PARTS`] of the way to `wanted`.
    fn part_way(&self, wanted: &Self, part: u32) -> Self {
        let versions: BTreeMap<SoftwareVersion, u32> = self
            .0
            .keys()
            .chain(wanted.0.keys())
            .map(|version| {
                let (from, to) = (self.share(version), wanted.share(version));
                (version.clone(), from * (STEP_PARTS - part) + to * part)
            })
            .collect();
        Self::of_slots(&versions)
    }

    /// Part of the ids to which `other` gives another version, of [`TOTAL`].
    fn moved(&self, other: &Self) -> u32 {
        let kept = self.ends().map(|(version, end)| {
            let start = end - self.share(version);
            let others = other.ends().filter(|(other_version, _)| *other_version == version);
            let overlaps = others.map(|(_, other_end)| {
                let other_start = other_end - other.share(version);
                end.min(other_end).saturating_sub(start.max(other_start))
            });
            overlaps.sum::<u32>()
        });
        TOTAL - kept.sum::<u32>()
    }
}

impl fmt::Display for VersionShares {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("unknown");
        }
        let texts = self.0.iter().map(|(version, share)| format!("{version}={share}"));
        formatter.write_str(&texts.collect::<Vec<_>>().join(" "))
    }
}

/// The version that all `listed` shares give to `request`; none if they differ.
pub fn agreed_version(listed: &[VersionShares], request: RequestKey) -> Option<&SoftwareVersion> {
    let mut versions = listed.iter().map(|shares| shares.version_of(request));
    let first = versions.next()??;
    versions.all(|version| version == Some(first)).then_some(first)
}
