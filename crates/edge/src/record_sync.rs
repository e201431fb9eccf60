//! Keeps the records about streams in the platform's store.
//!
//! Records are read at the start, to look for segments of dead routers, after a conflict of
//! two writes, and while callers take up streams that may have begun at several places.
//! They concern the callers of broken streams alone, so a store that does not answer here
//! counts neither as an outage for the entries of upstreams nor as an answer.

use std::{
    collections::{BTreeMap, BTreeSet},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use span_types::{ServiceName, SoftwareVersion};
use tokio::{
    sync::{Notify, watch},
    time::{sleep_until, timeout},
};
use tracing::{info, warn};

use crate::{
    metrics::Counter,
    node::Node,
    origin_log::{FLUSH_INTERVAL_MS, OrphanSweep, SegmentWrite},
    store::{Position, Store, StoreError},
    store_sync::Backoff,
    stream_history::ListedShares,
    stream_records::{HistoryRecord, StreamRecords},
};

/// Least time between the starts of two reads of the records, in milliseconds. Bounds the reads of
/// a router whose callers take up streams that no router knows.
const MIN_READ_INTERVAL_MS: u64 = 10;
/// Interval at which routers tell each other which history they use, and ask their collectors for
/// it, in milliseconds.
const HISTORY_USE_INTERVAL_MS: u64 = 1_000;
/// The same while the shares of versions change, in milliseconds.
const CHANGING_USE_INTERVAL_MS: u64 = 250;
/// Time from which a batch counts as late, in milliseconds. The store answers within a few.
const LATE_BATCH_MS: u64 = 100;
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

    /// Whether the records have been read since `since_ms`, or at all if it is before the start of
    /// this process. If not, has them read.
    pub(crate) fn has_read_records_since(&self, since_ms: Option<u64>) -> bool {
        let read = *self.record_reads.latest.borrow();
        let is_recent = read.has_succeeded && read.started_ms >= since_ms;
        if !is_recent {
            self.record_reads.wanted.notify_one();
        }
        is_recent
    }

    fn take_records(&self, records: &StreamRecords) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let history = records.history.as_ref();
        // One from before a restore of the store may lack what was recorded since.
        let is_complete = history.is_some_and(|history| history.complete_era == Some(records.era));
        state.stream_origins.add_history(now_ms, history, is_complete);
        state.refresh_stream_lifetime(now_ms);
        state.stream_history.replace(records.era, records.history.clone());
        state.recorded_origins.replace(&records.segments);
        drop(state);
        self.history_written();
        // The history may name further places where streams may have begun.
        self.tell_stream_origins(false);
    }

    /// Forgets what was gone for the lifetime of streams, and the index of recorded origins if
    /// no stream has been searched for in it for as long.
    fn expire_records(&self) {
        let now_ms = self.now_ms();
        let read_ms = self.record_reads.latest.borrow().started_ms.unwrap_or(0);
        let mut state = self.state();
        let lifetime_ms = state.stream_lifetime_ms;
        state.stream_origins.expire_history(now_ms, lifetime_ms);
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
        let now_ms = node.now_ms();
        let read = (store.read_stream_records)().await;
        record_result(&node, "read", &read, &mut failures);
        if let Ok(records) = &read {
            node.take_records(records);
        }
        let (started_ms, has_succeeded) = (Some(now_ms), read.is_ok());
        node.record_reads.latest.send_replace(RecordRead { started_ms, has_succeeded });
        sleep_until(node.clock.instant(now_ms + MIN_READ_INTERVAL_MS)).await;
    }
}

/// Writes records until the process ends.
pub(crate) async fn write_records(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff::default();
    let (mut era, mut flushed_ms, mut swept_ms) = (node.state().registry.era(), 0, node.now_ms());
    let mut sweep = OrphanSweep::default();
    let (mut failures, mut told_use_ms) = (0, 0);
    loop {
        let changed = node.records_changed.notified();
        let _ = timeout(Duration::from_millis(FLUSH_INTERVAL_MS), changed).await;
        let now_ms = node.now_ms();
        let known_era = node.state().registry.era();
        if known_era != era {
            // A restored store may lack what was written shortly before.
            era = known_era;
            let mut state = node.state();
            state.stream_history.store_restored();
            state.origin_log.rewrite_all();
        }
        node.resend_origins();
        node.ask_recorded_versions();
        node.ask_versions_before_start();
        node.state().refresh_stream_lifetime(now_ms);
        node.state().refresh_history_fleet(now_ms);
        let is_changing = node.state().stream_history.is_sharing_changing();
        let interval_ms =
            if is_changing { CHANGING_USE_INTERVAL_MS } else { HISTORY_USE_INTERVAL_MS };
        if now_ms >= told_use_ms + interval_ms {
            told_use_ms = now_ms;
            node.tell_history_use();
            node.ask_version_shares();
        }
        let mut result = write_history(&node, &store, &mut failures).await;
        if now_ms >= flushed_ms + FLUSH_INTERVAL_MS {
            flushed_ms = now_ms;
            // The store may take streams although it does not take the history.
            let batch = node.state().stream_history.batch_begins();
            let flushed = watch_batch(&node, flush_log(&node, &store, &mut failures)).await;
            node.state().stream_history.batch_ended(batch, flushed.is_ok());
            node.store_takes_streams_changed();
            result = result.and(flushed);
        }
        if now_ms >= swept_ms + SWEEP_INTERVAL_MS {
            swept_ms = now_ms;
            node.expire_records();
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

/// Brings the record of where streams may have begun in line with what this router knows.
async fn write_history(node: &Node, store: &Store, failures: &mut u32) -> Result<(), StoreError> {
    let (is_ready, is_read) = {
        let state = node.state();
        // Before that, there is nothing to record.
        let knows_upstreams = state.registry.position() != Position::default();
        (knows_upstreams && state.record_keeper().is_none(), state.stream_history.is_read())
    };
    if !is_ready {
        return Ok(());
    }
    if !is_read && !node.read_records(node.now_ms()).await {
        return Err(StoreError::Unavailable("the records cannot be read".to_owned()));
    }
    let Some(record) = node.state().due_history(node.now_ms()) else {
        return Ok(());
    };
    let written = (store.write_history)(record.clone()).await;
    record_result(node, "history", &written, failures);
    match written {
        Ok(revision) => {
            info!(
                versions = list_values(&record.versions),
                shares = list_shares(&record.shares),
                routes = record.routes.len(),
                complete_era = record.complete_era,
                revision,
                "history of streams recorded"
            );
            let record = HistoryRecord { revision: Some(revision), ..record };
            node.state().stream_history.written(record);
            node.history_written();
            node.tell_history_use();
            Ok(())
        }
        // The store has done nothing.
        Err(error @ StoreError::Unavailable(_)) => Err(error),
        // Another router was first, or the write may be executed later. The next round
        // starts from what the store has.
        Err(error) => {
            node.state().stream_history.invalidate();
            if error == StoreError::Conflict { Ok(()) } else { Err(error) }
        }
    }
}

/// Formats the versions of services for a log line.
fn list_values(versions: &BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>) -> String {
    let texts = versions.iter().flat_map(|(service, versions)| {
        versions.iter().map(move |version| format!("{service} {version}"))
    });
    texts.collect::<Vec<_>>().join(", ")
}

/// Formats the shares of versions for a log line: those that are listed for a service one after
/// another.
fn list_shares(shares: &ListedShares) -> String {
    let texts = shares.iter().map(|(service, listed)| {
        let listed: Vec<String> = listed.iter().map(ToString::to_string).collect();
        format!("{service} {}", listed.join(" then "))
    });
    texts.collect::<Vec<_>>().join(", ")
}

/// Waits for a batch, and notes if the store takes long for it: streams that need a record first
/// had better begin where they need none.
async fn watch_batch<T>(node: &Node, batch: impl Future<Output = T>) -> T {
    let mut batch = pin!(batch);
    let late = Duration::from_millis(LATE_BATCH_MS);
    if let Ok(result) = timeout(late, batch.as_mut()).await {
        return result;
    }
    node.state().stream_history.batch_is_late();
    node.store_takes_streams_changed();
    batch.await
}

/// Writes the streams that wait, each segment once, and removes the segments whose streams
/// are over.
async fn flush_log(node: &Node, store: &Store, failures: &mut u32) -> Result<(), StoreError> {
    let over = node.state().origin_log.expire(node.now_ms());
    // Streams that begin meanwhile wait for the next batch.
    let batch = node.state().origin_log.take_batch();
    for SegmentWrite { segment, len, may_exist } in batch {
        let name = segment.name.clone();
        let written = (store.write_segment)(segment, may_exist).await;
        record_result(node, "segment", &written, failures);
        if let Err(StoreError::Unanswered(_)) = &written {
            node.state().origin_log.unanswered(&name);
        }
        written?;
        let receipts = node.state().origin_log.written(&name, len);
        node.send_receipts(&receipts);
    }
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
    let lifetime_ms = node.state().stream_lifetime_ms;
    let orphans = sweep.orphans(node.now_ms(), &records.segments, lifetime_ms);
    if !orphans.is_empty() {
        info!(segments = orphans.len(), "removing records of streams that are over");
    }
    for name in orphans {
        let removed = (store.remove_segment)(name).await;
        record_result(node, "removal", &removed, failures);
    }
}
