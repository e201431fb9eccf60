//! Where streams of late may have begun, as the store records it.
//!
//! A router learns from the record which versions services had, and which services routes
//! led to, before it started. So these have to be recorded before streams can outlive the
//! memory of all routers, and stay in the record until all such streams are over. A version counts
//! from when the store has said that it took it: no first event of a stream passes before that, so
//! what a record that names a service lacks has begun no stream, also while the store is away.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use span_types::{ServiceName, SoftwareVersion};

use crate::{stream_origin::StreamOrigin, stream_records::HistoryRecord};

/// Time from when a router learns of a further version until it is written to the record, in
/// milliseconds. By then all routers have learned of it, which takes half a second after another
/// change of the upstreams, and have had their open streams recorded with the next batch.
pub const NEW_VERSION_DELAY_MS: u64 = 750;

/// The record, as this router knows it.
#[derive(Debug, Default)]
pub struct StreamHistory {
    /// When this router learned of versions that the record lacks.
    new_versions: BTreeMap<StreamOrigin, u64>,
    record: Option<HistoryRecord>,
    /// Era of the store that the record was read from.
    era: u64,
    is_read: bool,
    was_read: bool,
    /// Versions that the record names, as the collector says that keeps it for this router.
    confirmed: BTreeSet<StreamOrigin>,
    /// Whether the store was restored from a copy since the record was read.
    is_restored: bool,
}

impl StreamHistory {
    /// Takes over what the store holds in its `era`.
    pub fn replace(&mut self, era: u64, record: Option<HistoryRecord>) {
        (self.era, self.record, self.is_read) = (era, record, true);
        (self.was_read, self.is_restored) = (true, false);
    }

    /// Whether the store was read since the last [`StreamHistory::invalidate`].
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Whether the store was ever read, and not restored since.
    pub fn is_known(&self) -> bool {
        self.was_read && !self.is_restored
    }

    /// Whether a router that starts now would learn from the record that streams may begin at
    /// `origin`, or that there is no record.
    pub fn tells_of(&self, origin: &StreamOrigin) -> bool {
        self.is_known() && self.record.as_ref().is_none_or(|record| names(record, origin))
    }

    /// The only version of `service` that the record names; none if it is not complete, or names
    /// several or none.
    pub fn only_version(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let record = self.record.as_ref().filter(|_| self.is_known())?;
        let is_complete = record.complete_era == Some(self.era);
        let mut versions = record.versions.get(service).filter(|_| is_complete)?.iter();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Whether a router that starts now would take it from the record that no stream began at
    /// `origin`. One that the record does not name a version of counts as unknown.
    pub fn rules_out(&self, origin: &StreamOrigin) -> bool {
        self.record.as_ref().is_some_and(|record| {
            record.versions.contains_key(&origin.service) && !names(record, origin)
        })
    }

    /// The record may have changed, and has to be read again. Other routers remove no version at
    /// which streams begin.
    pub fn invalidate(&mut self) {
        self.is_read = false;
    }

    /// The store may lack what was written last, and has to be read again.
    pub fn store_restored(&mut self) {
        (self.is_read, self.is_restored) = (false, true);
        self.confirmed.clear();
    }

    /// Records what the collector says that the record names.
    pub fn confirm(&mut self, named: impl IntoIterator<Item = StreamOrigin>) {
        self.confirmed.extend(named);
    }

    /// Whether the collector has said that the record names `origin`.
    pub fn is_confirmed(&self, origin: &StreamOrigin) -> bool {
        self.confirmed.contains(origin)
    }

    /// Forgets what the collector said of versions that are no candidates any more: the record
    /// loses them.
    pub fn retain_confirmed(&mut self, is_candidate: impl FnMut(&StreamOrigin) -> bool) {
        self.confirmed.retain(is_candidate);
    }

    /// The record to write so that it agrees with `wanted`, if that is needed.
    ///
    /// A record is complete by its presence. So only a router that `knows_history`, all that
    /// there was within the lifetime of streams, may create one, or say that one from before
    /// a restore of the store is complete.
    ///
    /// Streams that began before a second version came are known to their routers alone. If all
    /// die, the record has to name the one version still, until the streams are recorded.
    pub fn due(
        &mut self,
        now_ms: u64,
        wanted: &HistoryRecord,
        knows_history: bool,
    ) -> Option<HistoryRecord> {
        let wanted = &self.without_new_versions(now_ms, wanted);
        let has_changed = |record: &HistoryRecord| {
            (&record.versions, &record.routes, &record.lifetimes_ms)
                != (&wanted.versions, &wanted.routes, &wanted.lifetimes_ms)
        };
        let is_due = match &self.record {
            None => knows_history && !wanted.versions.is_empty(),
            Some(record) => {
                has_changed(record) || (knows_history && record.complete_era != Some(self.era))
            }
        };
        let known = self.record.as_ref();
        let known_era = known.and_then(|record| record.complete_era);
        let complete_era = if knows_history { Some(self.era) } else { known_era };
        let revision = known.and_then(|record| record.revision);
        let due = HistoryRecord { complete_era, revision, ..wanted.clone() };
        (self.is_read && is_due).then_some(due)
    }

    /// `wanted` without the versions that came less than [`NEW_VERSION_DELAY_MS`] ago to services
    /// which have others in the record.
    fn without_new_versions(&mut self, now_ms: u64, wanted: &HistoryRecord) -> HistoryRecord {
        let mut wanted = wanted.clone();
        let Some(record) = &self.record else {
            return wanted;
        };
        let known = mem::take(&mut self.new_versions);
        for (service, versions) in &mut wanted.versions {
            let Some(recorded) = record.versions.get(service).filter(|all| !all.is_empty()) else {
                continue;
            };
            versions.retain(|version| {
                if recorded.contains(version) {
                    return true;
                }
                let origin =
                    StreamOrigin { service: service.clone(), software_version: version.clone() };
                let since_ms = known.get(&origin).copied().unwrap_or(now_ms);
                self.new_versions.insert(origin, since_ms);
                now_ms >= since_ms + NEW_VERSION_DELAY_MS
            });
        }
        wanted
    }

    /// Records that the store has taken `record`, which has its new revision.
    pub fn written(&mut self, record: HistoryRecord) {
        self.record = Some(record);
    }
}

fn names(record: &HistoryRecord, origin: &StreamOrigin) -> bool {
    let versions = record.versions.get(&origin.service);
    versions.is_some_and(|versions| versions.contains(&origin.software_version))
}
