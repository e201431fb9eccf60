//! Which process of an upstream a connection leads to.
//!
//! An upstream may start again under its name and address with other software. The store tells of
//! that a moment later, or much later if it is away. A router that connects meanwhile takes the new
//! process for the one of the entry that it knows, so the version of that entry counts for the
//! connection only once one of these holds:
//!
//! * The entries, as of [`ENTRY_WRITE_MS`] after the connection was opened, still name that
//!   process: a process writes its entry as soon as it listens.
//! * Another connection, which is known to lead to that process, has carried bytes since: a
//!   process that ends breaks all of its connections before the next one can listen.
//!
//! While the store is away, the version is likely if no connection to the upstream has broken before
//! this one was opened.
//!
//! If the entry of another process comes first, the connection leads to that one if it goes on
//! carrying bytes, and to either if not. Times are those of this router: the clocks of the
//! upstreams may differ and jump.

use std::collections::HashMap;

use span_types::{SoftwareVersion, UpstreamName};

use crate::registry::{ENTRY_RECOVERY_MS, UpstreamEntry, is_new_process};

/// Time within which a process that accepts connections has written its entry, in milliseconds.
pub const ENTRY_WRITE_MS: u64 = 250;
/// Time for which bytes of a process that has ended may wait to be read, in milliseconds.
pub const DELIVERY_MS: u64 = 250;

/// The process that a connection leads to, as far as its router knew when it opened it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectedProcess {
    /// The entry of the upstream before the connection was opened.
    pub entry: UpstreamEntry,
    /// When the connection was open, in milliseconds.
    pub opened_ms: u64,
}

/// Software version of the process that a connection leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessVersion {
    /// It is this one.
    Certain(SoftwareVersion),
    /// It is this one, unless the entry of another process is still to come.
    Assumed(SoftwareVersion),
    /// The same while the store is away, and no other process has shown.
    Likely(SoftwareVersion),
    /// It is this one if the connection goes on carrying bytes, and may be that of the earlier
    /// process if not.
    Ambiguous(SoftwareVersion),
}

impl ProcessVersion {
    /// The version, as far as it is known.
    pub fn version(&self) -> &SoftwareVersion {
        match self {
            Self::Certain(version)
            | Self::Assumed(version)
            | Self::Likely(version)
            | Self::Ambiguous(version) => version,
        }
    }

    /// Whether later news cannot change the version.
    pub fn is_certain(&self) -> bool {
        matches!(self, Self::Certain(_))
    }
}

/// What is known of the present process of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct KnownProcess {
    /// When its entry became known.
    known_ms: u64,
    /// Latest time at which a connection carried bytes that leads to it for certain.
    answered_ms: u64,
    /// When the first connection broke since a later one was known to lead to it for certain.
    broke_ms: Option<u64>,
}

/// What a router knows of when processes of upstreams started.
#[derive(Debug, Default)]
pub struct UpstreamProcesses {
    upstreams: HashMap<UpstreamName, KnownProcess>,
    /// Latest time as of which the entries are known.
    entries_ms: u64,
    /// Earliest time as of which all processes can have written their entries.
    complete_from_ms: u64,
    /// Whether the store answered none of the last calls.
    is_store_away: bool,
    /// Era of the store that the entries are from; none before the first ones.
    era: Option<u64>,
}

impl UpstreamProcesses {
    /// Records that the entry of another process of an upstream became known.
    pub fn record_started(&mut self, now_ms: u64, upstream: &UpstreamName) {
        let process = KnownProcess { known_ms: now_ms, ..KnownProcess::default() };
        self.upstreams.insert(upstream.clone(), process);
    }

    /// Records that an upstream has no entry any more.
    pub fn record_removed(&mut self, upstream: &UpstreamName) {
        self.upstreams.remove(upstream);
    }

    /// Records that the store did not answer. Processes that started meanwhile write their
    /// entries later.
    pub fn store_failed(&mut self) {
        self.is_store_away = true;
    }

    /// Records that the store answered.
    pub fn store_answered(&mut self, now_ms: u64) {
        if std::mem::take(&mut self.is_store_away) {
            self.complete_from_ms = now_ms + ENTRY_RECOVERY_MS;
        }
    }

    /// Whether the store answered none of the last calls.
    pub fn is_store_away(&self) -> bool {
        self.is_store_away
    }

    /// Records that a connection to an upstream broke or was refused.
    pub fn record_broken(&mut self, now_ms: u64, upstream: &UpstreamName) {
        if let Some(process) = self.upstreams.get_mut(upstream) {
            process.broke_ms.get_or_insert(now_ms);
        }
    }

    /// Records that the entries are known as of `as_of_ms`, from the store in `era`. One that was
    /// restored from a copy may lack the entries of the latest processes.
    pub fn record_entries(&mut self, now_ms: u64, as_of_ms: u64, era: u64) {
        if self.era.is_some_and(|known| era > known) {
            self.complete_from_ms = now_ms + ENTRY_RECOVERY_MS;
        }
        self.era = self.era.max(Some(era));
        if as_of_ms >= self.complete_from_ms {
            self.entries_ms = self.entries_ms.max(as_of_ms);
        }
    }

    /// Records that a connection carried bytes whose process is known for certain. `known` is the
    /// present entry of the upstream.
    pub fn record_bytes(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        connection: &ConnectedProcess,
        known: Option<&UpstreamEntry>,
    ) {
        let is_present = known.is_some_and(|known| !is_new_process(&connection.entry, known));
        if let Some(process) = self.upstreams.get_mut(upstream).filter(|_| is_present) {
            process.answered_ms = now_ms;
            process.broke_ms = process.broke_ms.filter(|ms| *ms >= connection.opened_ms);
        }
    }

    /// Version of the process that `connection` leads to, which last carried bytes at
    /// `last_bytes_ms`. `known` is the last known entry of the upstream.
    pub fn version(
        &self,
        upstream: &UpstreamName,
        connection: &ConnectedProcess,
        known: Option<&UpstreamEntry>,
        last_bytes_ms: u64,
    ) -> ProcessVersion {
        let assumed = &connection.entry.software_version;
        // Where processes state no start, one that starts again has another name.
        if connection.entry.started_unix_ms.is_none() {
            return ProcessVersion::Certain(assumed.clone());
        }
        let process = self.upstreams.get(upstream);
        let Some(known) = known else {
            return ProcessVersion::Assumed(assumed.clone());
        };
        if !is_new_process(&connection.entry, known) {
            let answered_ms = process.map_or(0, |process| process.answered_ms);
            let is_listed = self.entries_ms >= connection.opened_ms + ENTRY_WRITE_MS;
            let has_answered = answered_ms >= connection.opened_ms + DELIVERY_MS;
            let broke_ms = process.and_then(|process| process.broke_ms);
            let has_broken = broke_ms.is_some_and(|broke_ms| broke_ms < connection.opened_ms);
            return if is_listed || has_answered {
                ProcessVersion::Certain(assumed.clone())
            } else if self.is_store_away && !has_broken {
                ProcessVersion::Likely(assumed.clone())
            } else {
                ProcessVersion::Assumed(assumed.clone())
            };
        }
        let carries_on =
            process.is_some_and(|process| last_bytes_ms >= process.known_ms + DELIVERY_MS);
        let version = known.software_version.clone();
        if carries_on || version == *assumed {
            ProcessVersion::Certain(version)
        } else {
            ProcessVersion::Ambiguous(version)
        }
    }
}
