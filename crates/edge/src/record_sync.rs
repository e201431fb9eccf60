//! Keeps the records about streams in the platform's store.
//!
//! Nothing is read while all upstreams of a service have had one software version for as
//! long as streams last, except once after the start. Records concern the callers of
//! broken streams alone, so a store that does not answer here counts neither as an outage
//! for the entries of upstreams nor as an answer.

use std::{rc::Rc, time::Duration};

use tokio::{
    sync::{Notify, watch},
    time::timeout,
};
use tracing::{info, warn};

use crate::{
    metrics::Counter,
    node::Node,
    origin_log::{FLUSH_INTERVAL_MS, OrphanSweep, SegmentWrite},
    store::{Position, Store, StoreError},
    store_sync::Backoff,
    stream_records::{StreamRecords, VersionRecord},
};

/// Age up to which records need not be read again for one more stream, in milliseconds.
/// Bounds the reads of a router whose callers take up many streams.
pub(crate) const RECORDS_FRESH_MS: u64 = FLUSH_INTERVAL_MS;
/// Interval between two searches for segments of dead routers, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 30_000;

/// The last time that the records were read.
#[derive(Clone, Copy, Debug, Default)]
struct RecordRead {
    started_ms: Option<u64>,
    has_succeeded: bool,
}

/// Demand for the records, and when they were read. One read serves all that wait.
#[derive(Debug, Default)]
pub(crate) struct RecordReads {
    wanted: Notify,
    latest: watch::Sender<RecordRead>,
}

impl Node {
    /// Waits until the records have been read since `since_ms`. Returns false if the store
    /// did not answer.
    pub(crate) async fn read_records(&self, since_ms: u64) -> bool {
        let mut reads = self.record_reads.latest.subscribe();
        let is_recent = |read: &RecordRead| read.started_ms >= Some(since_ms);
        if !is_recent(&reads.borrow()) {
            self.record_reads.wanted.notify_one();
        }
        let read = reads.wait_for(is_recent).await;
        read.is_ok_and(|read| read.has_succeeded)
    }

    fn take_records(&self, records: &StreamRecords) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        state.stream_origins.add_history(now_ms, &records.versions);
        state.version_history.replace(&records.versions);
        state.recorded_origins.replace(&records.segments);
    }

    /// Drops the index of recorded origins if no stream has been searched for in it within
    /// the lifetime of streams.
    fn expire_recorded_origins(&self) {
        let now_ms = self.now_ms();
        let read_ms = self.record_reads.latest.borrow().started_ms.unwrap_or(0);
        let mut state = self.state();
        let lifetime_ms = state.longest_lifetime_ms(state.services.keys());
        if now_ms >= read_ms + lifetime_ms {
            state.recorded_origins.replace(&[]);
        }
    }
}

/// Records the result of a call, and logs the first failure and the recovery.
fn record_result<T>(
    node: &Node,
    what: &'static str,
    result: &Result<T, StoreError>,
    failures: &mut u32,
) {
    node.count(Counter::StoreCalls);
    node.count(Counter::StoreRecordsCalls);
    match result {
        Ok(_) | Err(StoreError::Conflict) => {
            if *failures > 0 {
                info!(what, failures, "the store takes records of streams again");
            }
            *failures = 0;
        }
        Err(error) => {
            node.count(Counter::StoreFailures);
            if *failures == 0 {
                warn!(what, %error, "the store does not answer calls about streams");
            }
            *failures += 1;
        }
    }
}

/// Reads the records whenever somebody waits for them, until the process ends.
pub(crate) async fn read_on_demand(node: Rc<Node>, store: Store) {
    let mut failures = 0;
    loop {
        node.record_reads.wanted.notified().await;
        let started_ms = Some(node.now_ms());
        let read = (store.read_stream_records)().await;
        record_result(&node, "read", &read, &mut failures);
        if let Ok(records) = &read {
            node.take_records(records);
        }
        let has_succeeded = read.is_ok();
        node.record_reads.latest.send_replace(RecordRead { started_ms, has_succeeded });
    }
}

/// Writes records until the process ends.
pub(crate) async fn write_records(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff::default();
    let (mut era, mut flushed_ms, mut swept_ms) = (node.state().registry.era(), 0, node.now_ms());
    let mut sweep = OrphanSweep::default();
    let mut failures = 0;
    loop {
        let changed = node.records_changed.notified();
        let _ = timeout(Duration::from_millis(FLUSH_INTERVAL_MS), changed).await;
        let now_ms = node.now_ms();
        let known_era = node.state().registry.era();
        if known_era != era {
            // A restored store may lack what was written shortly before.
            era = known_era;
            let mut state = node.state();
            state.version_history.invalidate();
            state.origin_log.rewrite_all();
        }
        let mut result = write_versions(&node, &store, &mut failures).await;
        if now_ms >= flushed_ms + FLUSH_INTERVAL_MS {
            flushed_ms = now_ms;
            if result.is_ok() {
                result = flush_log(&node, &store, &mut failures).await;
            }
        }
        if now_ms >= swept_ms + SWEEP_INTERVAL_MS {
            swept_ms = now_ms;
            node.expire_recorded_origins();
            if node.state().sweeps_records() {
                remove_orphans(&node, &store, &mut sweep, &mut failures).await;
            }
        }
        match result {
            Ok(()) => backoff.failures = 0,
            Err(_) => backoff.pause(&node).await,
        }
    }
}

/// Brings the record of versions in line with what this router knows.
async fn write_versions(node: &Node, store: &Store, failures: &mut u32) -> Result<(), StoreError> {
    let (is_ready, is_read) = {
        let state = node.state();
        // Before that, there is nothing to record.
        let knows_upstreams = state.registry.position() != Position::default();
        (knows_upstreams && state.record_keeper().is_none(), state.version_history.is_read())
    };
    if !is_ready {
        return Ok(());
    }
    if !is_read && !node.read_records(node.now_ms()).await {
        return Err(StoreError::Unavailable("the records cannot be read".to_owned()));
    }
    let due = {
        let state = node.state();
        state.version_history.due(&state.candidate_versions(node.now_ms()))
    };
    for record in due {
        let written = (store.write_versions)(record.clone()).await;
        record_result(node, "versions", &written, failures);
        match written {
            Ok(revision) => {
                let versions: Vec<&str> =
                    record.versions.iter().map(|version| version.as_str()).collect();
                info!(
                    service = record.service.as_str(),
                    versions = versions.join(", "),
                    revision,
                    "software versions recorded"
                );
                let record = VersionRecord { revision: Some(revision), ..record };
                node.state().version_history.written(record);
            }
            // Another router was first. The next round starts from what it wrote.
            Err(StoreError::Conflict) => node.state().version_history.invalidate(),
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes the streams that wait, and removes the segments whose streams are over.
async fn flush_log(node: &Node, store: &Store, failures: &mut u32) -> Result<(), StoreError> {
    loop {
        let next = node.state().origin_log.next_write();
        let Some(SegmentWrite { segment, len, may_exist }) = next else { break };
        let name = segment.name.clone();
        let written = (store.write_segment)(segment, may_exist).await;
        record_result(node, "segment", &written, failures);
        if let Err(StoreError::Unanswered(_)) = &written {
            node.state().origin_log.unanswered(&name);
        }
        written?;
        node.state().origin_log.written(&name, len);
    }
    let over = node.state().origin_log.expire(node.now_ms());
    for name in over {
        // The sweep removes it if this fails.
        let removed = (store.remove_segment)(name).await;
        record_result(node, "removal", &removed, failures);
    }
    Ok(())
}

/// Removes the segments that routers have left which died.
async fn remove_orphans(node: &Node, store: &Store, sweep: &mut OrphanSweep, failures: &mut u32) {
    let read = (store.read_stream_records)().await;
    record_result(node, "sweep", &read, failures);
    let Ok(records) = read else { return };
    let lifetime_ms = {
        let state = node.state();
        state.longest_lifetime_ms(state.services.keys())
    };
    let orphans = sweep.orphans(node.now_ms(), &records.segments, lifetime_ms);
    if !orphans.is_empty() {
        info!(segments = orphans.len(), "removing records of streams that are over");
    }
    for name in orphans {
        let removed = (store.remove_segment)(name).await;
        record_result(node, "removal", &removed, failures);
    }
}
