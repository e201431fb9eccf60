//! The upstreams that the platform's store lists.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};
use span_types::{FailureDomain, ServiceName, SoftwareVersion, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

use crate::store::Position;

/// Time after the end of a store outage within which live upstreams have written
/// their entries again, in milliseconds. The platform states about two seconds.
pub(crate) const ENTRY_RECOVERY_MS: u64 = 2_200;

/// Time after the first failed call from which an answer to another router shows
/// that the outage concerned only this router, in milliseconds. An earlier answer
/// may have preceded an outage for all.
const OTHERS_SERVED_AFTER_MS: u64 = 800;

/// Time for which a process is remembered that has no entry any more, in milliseconds.
/// Entries that lapse in an outage, or that a restored store still has, are seconds old.
const GONE_PROCESS_LIFETIME_MS: u64 = 60_000;

/// Renewals after whose absence the store removes an entry.
const MISSED_RENEWALS: u64 = 3;

/// The entry of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Requests that the upstream can process at the same time.
    pub slots: u32,
    /// Whether the upstream takes no new requests.
    pub leaving: bool,
    /// Start of the process in milliseconds since the Unix epoch, if stated. A
    /// process that is restarted under its name has a later one.
    pub started_unix_ms: Option<u64>,
    /// Version of the software that the process runs.
    pub software_version: SoftwareVersion,
    /// Time for which the upstream was still cold when this entry arrived, in milliseconds.
    pub cold_remaining_ms: u64,
}

/// An entry as one router hands it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedEntry {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Its entry.
    pub entry: UpstreamEntry,
    /// Time after which the upstream is removed unless its entry is back, in
    /// milliseconds; none for an entry that is in the store.
    pub expires_in_ms: Option<u64>,
}

/// Effect of an update on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// A new upstream, or a new process under a known name.
    Started(UpstreamName),
    /// The upstream takes no new requests.
    Leaving(UpstreamName),
    /// The upstream has no entry any more.
    Removed(UpstreamName),
}

#[derive(Debug)]
struct KnownUpstream {
    entry: UpstreamEntry,
    /// Set if the entry disappeared after a store outage: the time at which the
    /// upstream is removed unless its entry is back.
    remove_at_ms: Option<u64>,
}

/// A process that stated in an answer that it is leaving, or whose entry was removed.
#[derive(Debug)]
struct PastProcess {
    entry: UpstreamEntry,
    /// Latest time at which it had an entry, or stated that it is leaving.
    seen_ms: u64,
}

/// Upstreams by name.
///
/// A process that stated in an answer that it is leaving takes no new requests,
/// whatever its entry says: the entry is older than the answer, and a process does not
/// come back from leaving. A new process under its name does.
///
/// Entries may disappear during a store outage only because the upstreams could
/// not renew them. Entries that are missing shortly after an outage are therefore
/// kept until live upstreams have had time to write them again.
///
/// A store that was restored from a copy has older entries: of processes that have
/// left since, and none of those that started since. Until upstreams have had time to
/// write theirs again, what is known from before holds where a list contradicts it.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: BTreeMap<UpstreamName, KnownUpstream>,
    leaving_marks: BTreeMap<UpstreamName, PastProcess>,
    /// Processes whose entry was removed.
    removed: BTreeMap<UpstreamName, PastProcess>,
    /// Hash of the entries, computed when it is first asked for after a change.
    digest: Cell<Option<u64>>,
    /// Position of the store that the entries correspond to.
    position: Position,
    /// The same, but kept while a new list is asked for.
    kept_position: Position,
    /// Latest era of the store that is known.
    era: u64,
    /// Until when a list may have entries that are older than what is known.
    stale_until_ms: u64,
    /// Time of the first failed call to the store since the last answer.
    store_down_since_ms: Option<u64>,
    /// Latest time at which the store is known to have served another router.
    served_others_ms: u64,
    /// Until when a missing entry may be due to a store outage.
    recovery_until_ms: u64,
}

impl Registry {
    /// Records that the store did not answer.
    pub fn store_failed(&mut self, now_ms: u64) {
        self.store_down_since_ms.get_or_insert(now_ms);
    }

    /// Records that the store served another router at `at_ms`.
    pub fn store_served_others(&mut self, at_ms: u64) {
        self.served_others_ms = self.served_others_ms.max(at_ms);
    }

    /// Records that the store answered. No entry can expire in an outage shorter
    /// than `min_expiry_ms`.
    pub fn store_answered(&mut self, now_ms: u64, min_expiry_ms: u64) {
        let Some(since_ms) = self.store_down_since_ms.take() else {
            return;
        };
        // A store that served other routers took the renewals of upstreams too.
        let served_others = self.served_others_ms >= since_ms + OTHERS_SERVED_AFTER_MS;
        if now_ms.saturating_sub(since_ms) >= min_expiry_ms && !served_others {
            self.recovery_until_ms = now_ms + ENTRY_RECOVERY_MS;
        }
    }

    /// Records that another router has the same entries, which correspond to
    /// `position`. Upstreams renew their entries every `renewal_interval_ms`.
    pub fn confirm(&mut self, now_ms: u64, position: Position, renewal_interval_ms: u64) {
        self.begin_era(now_ms, position.era, renewal_interval_ms);
        self.set_position(self.position.max(position));
    }

    /// Sets the position of the store that the entries correspond to. The default
    /// position asks for a new list.
    pub fn set_position(&mut self, position: Position) {
        self.position = position;
        if position > Position::default() {
            self.kept_position = position;
        }
        self.era = self.era.max(position.era);
    }

    /// Position of the store that the entries correspond to.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Latest era of the store that is known.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Takes over a list from the store. Upstreams renew their entries every
    /// `renewal_interval_ms`. A list of an era that is over changes nothing, nor does one that is
    /// older than what another router has told since the store was asked.
    pub fn replace_from_store(
        &mut self,
        now_ms: u64,
        position: Position,
        entries: Vec<(UpstreamName, UpstreamEntry)>,
        renewal_interval_ms: u64,
    ) -> Vec<UpstreamChange> {
        if position < self.position || position.era < self.era {
            return Vec::new();
        }
        self.begin_era(now_ms, position.era, renewal_interval_ms);
        self.set_position(position);
        self.replace(now_ms, entries)
    }

    /// Notes that the store is in `era`. If that is a new one, its lists are older than
    /// what is known until the upstreams have written their entries again and the store
    /// has removed those that nobody renews.
    fn begin_era(&mut self, now_ms: u64, era: u64, renewal_interval_ms: u64) {
        if era > self.era && !self.upstreams.is_empty() {
            self.recovery_until_ms = now_ms + ENTRY_RECOVERY_MS;
            self.stale_until_ms =
                now_ms + MISSED_RENEWALS * renewal_interval_ms + ENTRY_RECOVERY_MS;
        }
        self.era = self.era.max(era);
    }

    /// Whether a listed entry is older than what is known of its process.
    fn is_stale(&self, now_ms: u64, name: &UpstreamName, listed: &UpstreamEntry) -> bool {
        if now_ms >= self.stale_until_ms {
            return false;
        }
        let is_outdated = self.upstreams.get(name).is_some_and(|known| {
            let left = known.entry.leaving && !listed.leaving;
            is_earlier_process(&known.entry, listed)
                || (left && !is_new_process(&known.entry, listed))
        });
        let was_removed = self.removed.get(name).is_some_and(|gone| {
            !is_new_process(&gone.entry, listed) || is_earlier_process(&gone.entry, listed)
        });
        is_outdated || was_removed
    }

    /// Replaces all entries by those of another router, if they are newer. A
    /// router that takes itself for the collector may have old entries, which
    /// would bring back upstreams that are leaving or removed.
    ///
    /// One that was cut off from the store keeps entries that are missing, since it cannot tell
    /// whether they were removed. They bring back no upstream that this router lacks, unless it
    /// has no list of its own yet.
    pub fn replace_if_newer(
        &mut self,
        now_ms: u64,
        position: Position,
        shared: Vec<SharedEntry>,
        renewal_interval_ms: u64,
    ) -> Vec<UpstreamChange> {
        let is_older = position < self.kept_position || position.era < self.era;
        if position <= self.position || is_older {
            return Vec::new();
        }
        let has_list = self.kept_position > Position::default();
        let is_taken = |shared: &SharedEntry| {
            shared.expires_in_ms.is_none() || !has_list || self.upstreams.contains_key(&shared.name)
        };
        let shared: Vec<SharedEntry> = shared.into_iter().filter(is_taken).collect();
        self.begin_era(now_ms, position.era, renewal_interval_ms);
        self.set_position(position);
        let expiries: Vec<(UpstreamName, u64)> = shared
            .iter()
            .filter_map(|shared| Some((shared.name.clone(), now_ms + shared.expires_in_ms?)))
            .collect();
        let entries = shared.into_iter().map(|shared| (shared.name, shared.entry));
        let changes = self.replace(now_ms, entries.collect());
        for (name, remove_at_ms) in expiries {
            if let Some(known) = self.upstreams.get_mut(&name) {
                known.remove_at_ms = Some(remove_at_ms);
                self.digest.set(None);
            }
        }
        changes
    }

    /// Replaces all entries, but for those that are older than what is known.
    pub fn replace(
        &mut self,
        now_ms: u64,
        entries: Vec<(UpstreamName, UpstreamEntry)>,
    ) -> Vec<UpstreamChange> {
        let listed: BTreeMap<UpstreamName, UpstreamEntry> = entries.into_iter().collect();
        let missing = self.upstreams.keys().filter(|name| !listed.contains_key(*name));
        let missing: Vec<UpstreamName> = missing.cloned().collect();
        let mut changes: Vec<UpstreamChange> =
            missing.into_iter().filter_map(|name| self.remove(now_ms, &name)).collect();
        for (name, entry) in listed {
            if !self.is_stale(now_ms, &name, &entry) {
                changes.extend(self.update(name, entry));
            }
        }
        changes
    }

    /// Stores a new or changed entry.
    pub fn update(&mut self, name: UpstreamName, entry: UpstreamEntry) -> Option<UpstreamChange> {
        let change = match self.upstreams.get(&name) {
            None => Some(UpstreamChange::Started(name.clone())),
            Some(known) if is_new_process(&known.entry, &entry) => {
                Some(UpstreamChange::Started(name.clone()))
            }
            Some(known) if entry.leaving && !known.entry.leaving => {
                Some(UpstreamChange::Leaving(name.clone()))
            }
            Some(_) => None,
        };
        self.digest.set(None);
        self.removed.remove(&name);
        self.leaving_marks
            .retain(|marked, mark| *marked != name || !is_new_process(&mark.entry, &entry));
        self.upstreams.insert(name, KnownUpstream { entry, remove_at_ms: None });
        change
    }

    /// Marks the process of an upstream as leaving, since it stated so in an answer.
    /// Returns the change if it took requests until now.
    pub fn mark_leaving(&mut self, now_ms: u64, name: &UpstreamName) -> Option<UpstreamChange> {
        let entry = self.upstreams.get(name)?.entry.clone();
        let was_leaving = self.is_leaving(name, &entry);
        self.leaving_marks.insert(name.clone(), PastProcess { entry, seen_ms: now_ms });
        (!was_leaving).then(|| UpstreamChange::Leaving(name.clone()))
    }

    fn is_leaving(&self, name: &UpstreamName, entry: &UpstreamEntry) -> bool {
        let mark = self.leaving_marks.get(name);
        entry.leaving || mark.is_some_and(|mark| !is_new_process(&mark.entry, entry))
    }

    /// Handles an entry that was removed from the store or cannot be read.
    pub fn remove(&mut self, now_ms: u64, name: &UpstreamName) -> Option<UpstreamChange> {
        let known = self.upstreams.get_mut(name)?;
        if now_ms < self.recovery_until_ms {
            known.remove_at_ms.get_or_insert(self.recovery_until_ms);
            self.digest.set(None);
            return None;
        }
        self.forget(now_ms, name);
        Some(UpstreamChange::Removed(name.clone()))
    }

    fn forget(&mut self, now_ms: u64, name: &UpstreamName) {
        self.digest.set(None);
        if let Some(known) = self.upstreams.remove(name) {
            let gone = PastProcess { entry: known.entry, seen_ms: now_ms };
            self.removed.insert(name.clone(), gone);
        }
    }

    /// Removes the upstreams whose entries disappeared after a store outage and
    /// did not come back in time, and what is known of processes long gone.
    pub fn expire(&mut self, now_ms: u64) -> Vec<UpstreamChange> {
        let upstreams = &self.upstreams;
        self.leaving_marks.retain(|name, mark| {
            if upstreams.contains_key(name) {
                mark.seen_ms = now_ms;
            }
            now_ms.saturating_sub(mark.seen_ms) < GONE_PROCESS_LIFETIME_MS
        });
        self.removed
            .retain(|_, gone| now_ms.saturating_sub(gone.seen_ms) < GONE_PROCESS_LIFETIME_MS);
        let expired = self
            .upstreams
            .iter()
            .filter(|(_, known)| known.remove_at_ms.is_some_and(|at_ms| at_ms <= now_ms));
        let expired: Vec<UpstreamName> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            self.forget(now_ms, name);
        }
        expired.into_iter().map(UpstreamChange::Removed).collect()
    }

    /// Entry of an upstream; none if the upstream is unknown.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamEntry> {
        self.upstreams.get(name).map(|known| &known.entry)
    }

    /// Entry of an upstream, or the one that it had lately; none if the upstream is unknown.
    pub fn last_entry(&self, name: &UpstreamName) -> Option<&UpstreamEntry> {
        self.get(name).or_else(|| self.removed.get(name).map(|gone| &gone.entry))
    }

    /// Upstreams of a service that take new requests.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a UpstreamName, &'a UpstreamEntry)> {
        let entries = self.upstreams.iter().map(|(name, known)| (name, &known.entry));
        entries
            .filter(move |(name, entry)| entry.service == *service && !self.is_leaving(name, entry))
    }

    /// Software versions of a service's upstreams, also of leaving ones.
    pub fn software_versions(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let entries = self.upstreams.values().map(|known| &known.entry);
        let entries = entries.filter(|entry| entry.service == *service);
        entries.map(|entry| entry.software_version.clone()).collect()
    }

    /// All entries, also of leaving upstreams, for another router.
    pub fn shared_entries(&self, now_ms: u64) -> Vec<SharedEntry> {
        let entries = self.upstreams.iter();
        entries
            .map(|(name, known)| SharedEntry {
                name: name.clone(),
                entry: known.entry.clone(),
                expires_in_ms: known.remove_at_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
            })
            .collect()
    }

    /// Hash of all entries, without their order and failure domains. Routers with
    /// the same entries have the same hash.
    pub fn digest(&self) -> u64 {
        let digest = self.digest.get().unwrap_or_else(|| self.compute_digest());
        self.digest.set(Some(digest));
        digest
    }

    fn compute_digest(&self) -> u64 {
        let entries = self.upstreams.iter();
        let hashes = entries.map(|(name, known)| {
            let UpstreamEntry { service, address, slots, leaving, started_unix_ms, .. } =
                &known.entry;
            let version = &known.entry.software_version;
            let expires = known.remove_at_ms.is_some();
            let text = format!(
                "{name} {service} {address} {slots} {leaving} {started_unix_ms:?} {expires} {version}"
            );
            xxh3_64(text.as_bytes())
        });
        hashes.fold(0, u64::wrapping_add)
    }

    /// Number of upstreams in a failure domain, including leaving ones.
    pub fn count_in(&self, failure_domain: &FailureDomain) -> usize {
        let entries = self.upstreams.values().map(|known| &known.entry);
        entries.filter(|entry| entry.failure_domain == *failure_domain).count()
    }

    /// Number of upstreams, including leaving ones.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }
}

/// Whether two entries of an upstream are of different processes.
pub(crate) fn is_new_process(old: &UpstreamEntry, new: &UpstreamEntry) -> bool {
    old.started_unix_ms != new.started_unix_ms
        || old.address != new.address
        || old.service != new.service
        || old.software_version != new.software_version
}

/// Whether `listed` is of a process that started before that of `known`. If the clock of the
/// upstream's machine was set back, that holds for its successor too, until it renews its entry.
fn is_earlier_process(known: &UpstreamEntry, listed: &UpstreamEntry) -> bool {
    let started_ms = known.started_unix_ms.zip(listed.started_unix_ms);
    started_ms.is_some_and(|(known_ms, listed_ms)| listed_ms < known_ms)
}
