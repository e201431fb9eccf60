//! The upstreams that the platform's store lists.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, ServiceName, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

/// Time after the store's return in which the entries of upstreams that live
/// are back, in milliseconds; stated by the platform as about two seconds.
const ENTRIES_RETURN_MS: u64 = 2_200;

/// Time from the first failed contact on in which an answer to another router
/// shows that the store was away only for this one, in milliseconds; answers
/// before it may have preceded the same outage.
const OTHERS_SERVED_MS: u64 = 800;

/// An upstream as its entry describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub failure_domain: FailureDomain,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Start of the process in milliseconds since the Unix epoch, if stated.
    /// A process that starts again under its name has a later one.
    pub started_unix_ms: Option<u64>,
}

/// What an update did to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new upstream, or a new process under a known name.
    Started(UpstreamName),
    /// The upstream is leaving.
    Leaving(UpstreamName),
    /// The upstream takes no more requests.
    Gone(UpstreamName),
}

#[derive(Debug)]
struct Known {
    entry: UpstreamEntry,
    /// The entry lapsed while the store was away; the upstream is gone if it
    /// is not back by this time.
    lapsed_until_ms: Option<u64>,
}

/// Upstreams by name.
///
/// Entries that vanish while the store is away, or shortly after its return,
/// may have lapsed only because the upstream could not renew them; they are
/// kept until the upstreams that live have had time to write them again.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: BTreeMap<UpstreamName, Known>,
    /// Revision of the store at which the entries were so.
    revision: u64,
    /// Time of the first failed contact since the last good one.
    away_since_ms: Option<u64>,
    /// Latest time at which the store is known to have served another router.
    served_others_ms: u64,
    /// Removals before this time may be lapses.
    settling_until_ms: u64,
}

impl Registry {
    /// Notes that the store did not answer.
    pub fn store_failed(&mut self, now_ms: u64) {
        self.away_since_ms.get_or_insert(now_ms);
    }

    /// Notes that the store served another router at `at_ms`.
    pub fn store_served_others(&mut self, at_ms: u64) {
        self.served_others_ms = self.served_others_ms.max(at_ms);
    }

    /// Notes that the store answered. Entries cannot lapse in an absence
    /// shorter than `lapse_ms`.
    pub fn store_answered(&mut self, now_ms: u64, lapse_ms: u64) {
        let Some(since_ms) = self.away_since_ms.take() else {
            return;
        };
        // A store that serves others takes the renewals of upstreams too.
        let only_here = self.served_others_ms >= since_ms + OTHERS_SERVED_MS;
        if now_ms.saturating_sub(since_ms) >= lapse_ms && !only_here {
            self.settling_until_ms = now_ms + ENTRIES_RETURN_MS;
        }
    }

    /// Notes that the entries are those at a revision of the store.
    pub fn at_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Revision of the store at which the entries were so; 0 before any.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the whole list of entries that another router has, if it is newer.
    /// A router that takes itself for the collector may have an old one, which
    /// would bring back upstreams that drain or are gone.
    pub fn replace_newer(
        &mut self,
        now_ms: u64,
        revision: u64,
        entries: Vec<(UpstreamName, UpstreamEntry)>,
    ) -> Vec<Change> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        self.replace(now_ms, entries)
    }

    /// Takes the whole list of entries.
    pub fn replace(
        &mut self,
        now_ms: u64,
        entries: Vec<(UpstreamName, UpstreamEntry)>,
    ) -> Vec<Change> {
        let listed: BTreeMap<UpstreamName, UpstreamEntry> = entries.into_iter().collect();
        let missing = self.upstreams.keys().filter(|name| !listed.contains_key(*name));
        let missing: Vec<UpstreamName> = missing.cloned().collect();
        let mut changes: Vec<Change> =
            missing.into_iter().filter_map(|name| self.remove(now_ms, &name)).collect();
        for (name, entry) in listed {
            changes.extend(self.update(name, entry));
        }
        changes
    }

    /// Takes a new or changed entry.
    pub fn update(&mut self, name: UpstreamName, entry: UpstreamEntry) -> Option<Change> {
        let change = match self.upstreams.get(&name) {
            None => Some(Change::Started(name.clone())),
            Some(known) if is_new_process(&known.entry, &entry) => {
                Some(Change::Started(name.clone()))
            }
            Some(known) if entry.leaving && !known.entry.leaving => {
                Some(Change::Leaving(name.clone()))
            }
            Some(_) => None,
        };
        self.upstreams.insert(name, Known { entry, lapsed_until_ms: None });
        change
    }

    /// Takes the removal of an entry, or one that cannot be read.
    pub fn remove(&mut self, now_ms: u64, name: &UpstreamName) -> Option<Change> {
        let known = self.upstreams.get_mut(name)?;
        if now_ms < self.settling_until_ms {
            known.lapsed_until_ms.get_or_insert(self.settling_until_ms);
            return None;
        }
        self.upstreams.remove(name);
        Some(Change::Gone(name.clone()))
    }

    /// Removes the upstreams whose entries lapsed and did not come back.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Change> {
        let lapsed = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.lapsed_until_ms.is_some_and(|until_ms| until_ms <= now_ms));
        let lapsed: Vec<UpstreamName> = lapsed.map(|(name, _)| name.clone()).collect();
        for name in &lapsed {
            self.upstreams.remove(name);
        }
        lapsed.into_iter().map(Change::Gone).collect()
    }

    /// An upstream by name.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamEntry> {
        self.upstreams.get(name).map(|known| &known.entry)
    }

    /// Upstreams of a service that take new requests.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a UpstreamEntry)> {
        let entries = self.upstreams.iter().map(|(name, known)| (name, &known.entry));
        entries.filter(move |(_, entry)| entry.service == *service && !entry.leaving)
    }

    /// All entries.
    pub fn entries(&self) -> Vec<(UpstreamName, UpstreamEntry)> {
        let entries = self.upstreams.iter();
        entries.map(|(name, known)| (name.clone(), known.entry.clone())).collect()
    }

    /// Hash of all entries, equal at two routers that know the same.
    pub fn digest(&self) -> u64 {
        let entries = self.upstreams.iter();
        let hashes = entries.map(|(name, known)| {
            let UpstreamEntry { service, address, slots, leaving, started_unix_ms, .. } =
                &known.entry;
            let text = format!("{name} {service} {address} {slots} {leaving} {started_unix_ms:?}");
            xxh3_64(text.as_bytes())
        });
        hashes.fold(0, u64::wrapping_add)
    }

    /// Number of upstreams, the leaving ones included.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}

fn is_new_process(old: &UpstreamEntry, new: &UpstreamEntry) -> bool {
    old.started_unix_ms != new.started_unix_ms
        || old.address != new.address
        || old.service != new.service
}
