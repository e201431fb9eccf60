//! The software versions that services had lately, as the store records them.
//!
//! A router learns from the record what served before it started. So a version has to be
//! recorded before its streams can outlive the memory of all routers, and stays in the
//! record until all of them are over. Routers write the record with the revision that they
//! read, so that none removes a version that another one has just added.

use std::collections::{BTreeMap, BTreeSet};

use span_types::{ServiceName, SoftwareVersion};

use crate::stream_records::VersionRecord;

/// The record of each service, as this router knows it.
#[derive(Debug, Default)]
pub struct VersionHistory {
    records: BTreeMap<ServiceName, VersionRecord>,
    is_read: bool,
}

impl VersionHistory {
    /// Takes over what the store holds.
    pub fn replace(&mut self, records: &[VersionRecord]) {
        let by_service = records.iter().map(|record| (record.service.clone(), record.clone()));
        self.records = by_service.collect();
        self.is_read = true;
    }

    /// Whether the store was read since the last [`VersionHistory::invalidate`].
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// The record may have changed, and has to be read again.
    pub fn invalidate(&mut self) {
        self.is_read = false;
    }

    /// The records to write so that they agree with `candidates`, the versions at which open
    /// streams of each service may have begun. Empty while the store has not been read.
    pub fn due(
        &self,
        candidates: &BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
    ) -> Vec<VersionRecord> {
        let is_due = |service: &ServiceName, versions: &BTreeSet<SoftwareVersion>| {
            let record = self.records.get(service);
            !versions.is_empty() && record.is_none_or(|record| record.versions != *versions)
        };
        let due = candidates
            .iter()
            .filter(|(service, versions)| self.is_read && is_due(service, versions));
        due.map(|(service, versions)| VersionRecord {
            service: service.clone(),
            versions: versions.clone(),
            revision: self.records.get(service).and_then(|record| record.revision),
        })
        .collect()
    }

    /// Records that the store has taken `record`, which has its new revision.
    pub fn written(&mut self, record: VersionRecord) {
        self.records.insert(record.service.clone(), record);
    }
}
