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

use span_types::{Member, ServiceName, SoftwareVersion};

use crate::{
    stream_origin::{RequestKey, StreamOrigin},
    stream_records::HistoryRecord,
    version_shares::{VersionShares, agreed_version},
};

/// Time from when a router learns of a further version until it is written to the record, in
/// milliseconds. By then all routers have learned of it, which takes half a second after another
/// change of the upstreams, and have had their open streams recorded with the next batch.
pub const NEW_VERSION_DELAY_MS: u64 = 750;

/// Shares of the versions of services, as a record lists them.
pub type ListedShares = BTreeMap<ServiceName, Vec<VersionShares>>;

/// Slots of the upstreams of each version of services.
pub type VersionSlots = BTreeMap<ServiceName, BTreeMap<SoftwareVersion, u32>>;

/// Revision of the record that a router uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecordUse {
    revision: u64,
    /// Number of the batch after which the store has all streams that began under earlier ones.
    batch: u64,
}

/// The shares that the record lists.
#[derive(Debug)]
struct Listing {
    shares: ListedShares,
    /// Revision of the record in which this router found them, and when.
    revision: u64,
    since_ms: u64,
    /// Whether this router knows all that may use earlier ones, or may have begun streams under
    /// them.
    is_witnessed: bool,
}

/// Batches of streams that this router writes to the store, by number.
#[derive(Debug, Default)]
struct Batches {
    begun: u64,
    /// The last one that the store has taken whole.
    written: u64,
}

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
    /// Slots by which the shares of versions are chosen.
    slots: VersionSlots,
    listing: Option<Listing>,
    batches: Batches,
    /// Whether the store has failed to take the last batch, or takes long for the present one.
    is_store_away: bool,
    /// Since when this router uses the record as it is.
    own_use: Option<RecordUse>,
    /// The same of other routers, as they have said.
    other_uses: BTreeMap<Member, RecordUse>,
    /// Other routers that have to use the listed shares before earlier ones are dropped: all, or
    /// in a large fleet those of the failure domain and the collectors of the others.
    fleet: BTreeSet<Member>,
    /// Those for which this router keeps the records.
    kept_for: BTreeSet<Member>,
    /// Whether no router has died of which this one does not know, within the lifetime of
    /// streams.
    knows_the_dead: bool,
    /// The shares that the collector lists which keeps the record for this router, and the
    /// revision.
    collector_shares: Option<(u64, ListedShares)>,
    /// Whether the store takes no streams, as the collector says.
    is_collectors_store_away: bool,
}

impl StreamHistory {
    /// Takes over what the store holds in its `era`.
    pub fn replace(&mut self, era: u64, record: Option<HistoryRecord>) {
        (self.era, self.record, self.is_read) = (era, record, true);
        (self.was_read, self.is_restored) = (true, false);
        self.use_record();
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
        self.other_uses.clear();
        (self.own_use, self.listing, self.collector_shares) = (None, None, None);
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
        let mut wanted = self.without_new_versions(now_ms, wanted);
        wanted.shares = self.due_shares(now_ms, &wanted, knows_history);
        let wanted = &wanted;
        let has_changed = |record: &HistoryRecord| {
            (&record.versions, &record.routes, &record.lifetimes_ms, &record.shares)
                != (&wanted.versions, &wanted.routes, &wanted.lifetimes_ms, &wanted.shares)
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
        self.use_record();
    }

    /// Records that this router uses the record as it is from now on.
    fn use_record(&mut self) {
        let revision = self.record.as_ref().and_then(|record| record.revision);
        if revision != self.own_use.map(|used| used.revision) {
            let batch = self.batches.begun + 1;
            self.own_use = revision.map(|revision| RecordUse { revision, batch });
        }
    }

    /// Sets the slots by which the shares of versions are chosen.
    pub fn set_slots(&mut self, slots: VersionSlots) {
        self.slots = slots;
    }

    /// Sets the other routers that have to use new shares before earlier ones are dropped, and
    /// those of them for which this router keeps the records. `knows_the_dead` says whether this
    /// router would know of each that has died within the lifetime of streams.
    pub fn set_fleet(
        &mut self,
        fleet: BTreeSet<Member>,
        kept_for: BTreeSet<Member>,
        knows_the_dead: bool,
    ) {
        let gone: Vec<Member> = self.fleet.difference(&fleet).cloned().collect();
        if let Some(listing) = &mut self.listing {
            let uses_listed = |member: &Member| {
                self.other_uses.get(member).is_some_and(|used| used.revision >= listing.revision)
            };
            listing.is_witnessed &= gone.iter().all(uses_listed);
        }
        self.other_uses.retain(|member, _| fleet.contains(member));
        (self.fleet, self.kept_for, self.knows_the_dead) = (fleet, kept_for, knows_the_dead);
    }

    /// Records that a batch of streams is about to be written to the store. Returns its number.
    pub fn batch_begins(&mut self) -> u64 {
        self.batches.begun += 1;
        self.batches.begun
    }

    /// Records whether the store has taken all streams of a batch.
    pub fn batch_ended(&mut self, number: u64, is_written: bool) {
        if is_written {
            self.batches.written = number;
        }
        self.is_store_away = !is_written;
    }

    /// Records that the store takes long for a batch.
    pub fn batch_is_late(&mut self) {
        self.is_store_away = true;
    }

    /// Whether the store has failed to take the last batch, or takes long for the present one.
    pub fn is_store_away(&self, has_collector: bool) -> bool {
        if has_collector { self.is_collectors_store_away } else { self.is_store_away }
    }

    /// Revision of the record, if this router knows it.
    pub fn revision(&self) -> Option<u64> {
        self.record.as_ref()?.revision
    }

    /// Revision of the record that this router uses, if the store has all streams that began
    /// under earlier ones.
    pub fn used_revision(&self) -> Option<u64> {
        self.own_use.filter(|used| self.batches.written >= used.batch).map(|used| used.revision)
    }

    /// The same for this router and those for which it keeps the records: the least of them.
    pub fn kept_revision(&self) -> Option<u64> {
        self.least_revision(&self.kept_for)
    }

    fn least_revision(&self, others: &BTreeSet<Member>) -> Option<u64> {
        let mut least = self.used_revision()?;
        for member in others {
            let used = self.other_uses.get(member)?;
            if self.batches.written < used.batch {
                return None;
            }
            least = least.min(used.revision);
        }
        Some(least)
    }

    /// Records that `member` uses a revision of the record, and has passed on all streams that
    /// began under earlier ones.
    pub fn record_use(&mut self, member: &Member, revision: u64) {
        let known = self.other_uses.get(member);
        if known.is_none_or(|known| known.revision < revision) {
            let batch = self.batches.begun + 1;
            self.other_uses.insert(member.clone(), RecordUse { revision, batch });
        }
    }

    /// The shares that the record lists; none if it was not read, or is not complete.
    pub fn listed_shares(&self) -> Option<&ListedShares> {
        let record = self.record.as_ref().filter(|_| self.is_known())?;
        (record.complete_era == Some(self.era)).then_some(&record.shares)
    }

    /// Whether routers may still use earlier shares than the last ones.
    pub fn is_sharing_changing(&self) -> bool {
        self.listed_shares().into_iter().flatten().any(|(_, listed)| listed.len() > 1)
    }

    /// Takes over the shares that the collector lists in a revision of the record, and whether the
    /// store takes no streams from it.
    pub fn set_collector_shares(
        &mut self,
        revision: u64,
        shares: ListedShares,
        is_store_away: bool,
    ) {
        self.is_collectors_store_away = is_store_away;
        if self.collector_shares.as_ref().is_none_or(|(known, _)| *known <= revision) {
            self.collector_shares = Some((revision, shares));
        }
    }

    /// Revision of the shares that the collector has listed.
    pub fn collector_revision(&self) -> Option<u64> {
        self.collector_shares.as_ref().map(|(revision, _)| *revision)
    }

    /// The shares by which streams of `service` begin that are not recorded; none if there are
    /// none. `has_collector` says whether a collector keeps the record for this router.
    fn shares_in_force(
        &self,
        has_collector: bool,
        service: &ServiceName,
    ) -> Option<&VersionShares> {
        self.listed_for(has_collector, service)?.last()
    }

    fn listed_for(
        &self,
        has_collector: bool,
        service: &ServiceName,
    ) -> Option<&Vec<VersionShares>> {
        let collected = self.collector_shares.as_ref().map(|(_, shares)| shares);
        let shares = if has_collector { collected } else { self.listed_shares() };
        shares?.get(service)
    }

    /// Whether streams of `service` begin by shares.
    pub fn has_shares(&self, has_collector: bool, service: &ServiceName) -> bool {
        self.listed_for(has_collector, service).is_some()
    }

    /// The version at which the stream of `request` is to begin, so that it need not be recorded
    /// first; none if `service` has no shares.
    pub fn version_for(
        &self,
        has_collector: bool,
        service: &ServiceName,
        request: RequestKey,
    ) -> Option<&SoftwareVersion> {
        self.shares_in_force(has_collector, service)?.version_of(request)
    }

    /// Whether the stream of `request` may begin at `origin` before it is recorded there: routers
    /// take a stream without a record for one that began at its version by the shares.
    pub fn may_begin_unrecorded(
        &self,
        has_collector: bool,
        request: RequestKey,
        origin: &StreamOrigin,
    ) -> bool {
        // The collector has not answered, or has earlier software.
        if has_collector && self.collector_shares.is_none() {
            return false;
        }
        let version = self.version_for(has_collector, &origin.service, request);
        version.is_none_or(|version| *version == origin.software_version)
    }

    /// The version at which the stream of `request` began if the store has no record of it; none
    /// if that is not certain.
    pub fn unrecorded_version(
        &self,
        has_collector: bool,
        service: &ServiceName,
        request: RequestKey,
    ) -> Option<&SoftwareVersion> {
        agreed_version(self.listed_for(has_collector, service)?, request)
    }

    /// The shares to list: those in the record, without the earlier ones once no router uses
    /// them, and with the next ones if the upstreams have changed.
    fn due_shares(
        &mut self,
        now_ms: u64,
        wanted: &HistoryRecord,
        knows_history: bool,
    ) -> ListedShares {
        let recorded = self.record.as_ref().map(|record| record.shares.clone()).unwrap_or_default();
        let revision = self.revision().unwrap_or(0);
        if self.listing.as_ref().is_none_or(|listing| listing.shares != recorded) {
            // One that was there at the start may have been used by routers that have died.
            let is_witnessed = self.listing.is_some() && self.knows_the_dead;
            let shares = recorded.clone();
            self.listing = Some(Listing { shares, revision, since_ms: now_ms, is_witnessed });
        }
        let lifetime_ms = wanted.lifetimes_ms.last().copied().unwrap_or(u64::MAX);
        let is_in_use = self.is_in_use(now_ms, lifetime_ms);
        let is_complete =
            self.record.as_ref().is_some_and(|record| record.complete_era == Some(self.era));
        let mut shares = ListedShares::new();
        for (service, versions) in wanted.versions.iter().filter(|(_, all)| all.len() > 1) {
            let mut listed = match recorded.get(service) {
                Some(listed) if is_complete || !knows_history => listed.clone(),
                // Streams may have begun anywhere of which a restored store has no record.
                Some(_) => vec![VersionShares::default()],
                None => match self.only_version(service) {
                    Some(version) => vec![VersionShares::only(version.clone())],
                    None => vec![VersionShares::default()],
                },
            };
            if is_in_use && listed.len() > 1 {
                listed.drain(..listed.len() - 1);
            }
            let slots = self.slots.get(service).into_iter().flatten();
            let slots = slots.filter(|(version, _)| versions.contains(*version));
            let slots = slots.map(|(version, slots)| (version.clone(), *slots)).collect();
            let slots_shares = VersionShares::of_slots(&slots);
            if let ([last], true) = (listed.as_slice(), !slots.is_empty())
                && let Some(next) = last.step_towards(&slots_shares)
            {
                listed.push(next);
            }
            if !slots.is_empty() || recorded.contains_key(service) {
                shares.insert(service.clone(), listed);
            }
        }
        shares
    }

    /// Whether all routers use the shares that were listed last, and the store has all streams
    /// that began before. A router that never says so has died, or is cut off from this one; the
    /// others wait for it as long as streams last that it began and those that it still begins.
    fn is_in_use(&self, now_ms: u64, lifetime_ms: u64) -> bool {
        let Some(Listing { revision, since_ms, is_witnessed, .. }) = &self.listing else {
            return false;
        };
        let fleet_revision = self.least_revision(&self.fleet);
        (*is_witnessed && fleet_revision.is_some_and(|used| used >= *revision))
            || now_ms >= since_ms.saturating_add(lifetime_ms.saturating_mul(2))
    }
}

fn names(record: &HistoryRecord, origin: &StreamOrigin) -> bool {
    let versions = record.versions.get(&origin.service);
    versions.is_some_and(|versions| versions.contains(&origin.software_version))
}
