//! Claims on idempotency keys in the object API. Changes that wait for the same
//! bucket are combined into one conditional write.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use span_once::{CLAIM_BUCKETS, ClaimChange, ClaimKey, ClaimResult};
use span_platform::PlatformClient;
use tokio::sync::{mpsc, oneshot, watch};

use super::claim_store::{self, StoredBucket, UncertainResult};
use crate::minted::now_ms;

/// Maximum of changes that wait for one bucket.
const MAX_QUEUED_CHANGES: usize = 1_024;
/// Maximum of changes in one write.
const MAX_CHANGES_PER_WRITE: usize = 256;
/// Number of object API calls whose time limits add up to the longest wait of a
/// caller: a read and a write.
const MAX_STORE_CALLS_WAITED: u64 = 2;
/// Maximum of attempts to write one batch; each conflict, lost answer or outdated
/// cached bucket uses one.
const MAX_WRITE_ATTEMPTS: u32 = 6;

type Reply = oneshot::Sender<Result<ClaimResult, UncertainResult>>;

struct PendingChange {
    change: ClaimChange,
    reply: Option<Reply>,
}

/// Changes claims, with one worker task per bucket in use.
pub(crate) struct Claims {
    platform: PlatformClient,
    workers: Vec<OnceLock<mpsc::Sender<PendingChange>>>,
    /// Number of changes that are not stored yet.
    pending: Arc<watch::Sender<usize>>,
}

impl Claims {
    /// Creates the claims without workers; the worker of a bucket starts with its
    /// first change.
    pub(super) fn new(platform: PlatformClient) -> Arc<Self> {
        let workers = (0..CLAIM_BUCKETS).map(|_| OnceLock::new()).collect();
        Arc::new(Self { platform, workers, pending: Arc::default() })
    }

    /// Applies a change and waits until it is stored.
    ///
    /// # Errors
    ///
    /// [`UncertainResult`] if the result is unknown or too many changes wait; the
    /// change may still take effect.
    pub(super) async fn apply(
        &self,
        key: &ClaimKey,
        change: ClaimChange,
    ) -> Result<ClaimResult, UncertainResult> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingChange { change, reply: Some(reply) };
        self.send(key, pending).map_err(|_| UncertainResult)?;
        // Several slow calls for one batch must not delay its callers further.
        match tokio::time::timeout(self.wait_limit(), answer).await {
            Ok(Ok(result)) => result,
            _ => Err(UncertainResult),
        }
    }

    /// Applies a change without waiting. If the object API is down or too many
    /// changes wait, the change is lost; the registry of the claim's owner then
    /// still has the outcome.
    pub(super) fn apply_in_background(&self, key: &ClaimKey, change: ClaimChange) {
        let _ = self.send(key, PendingChange { change, reply: None });
    }

    /// Waits until all changes are stored, for as long as a caller would wait. The registry of
    /// a router that has ended cannot tell the outcomes any more.
    pub(crate) async fn flush(&self) {
        let mut pending = self.pending.subscribe();
        let stored = pending.wait_for(|pending| *pending == 0);
        if tokio::time::timeout(self.wait_limit(), stored).await.is_err() {
            let changes = *self.pending.borrow();
            tracing::warn!(changes, "outcomes of idempotency keys are not stored");
        }
    }

    /// Longest wait for a change.
    fn wait_limit(&self) -> Duration {
        let calls_ms = MAX_STORE_CALLS_WAITED * self.platform.settings().call_timeout_ms;
        Duration::from_millis(calls_ms)
    }

    fn send(
        &self,
        key: &ClaimKey,
        change: PendingChange,
    ) -> Result<(), mpsc::error::TrySendError<PendingChange>> {
        let worker = self.worker(key.bucket());
        self.pending.send_modify(|pending| *pending += 1);
        let sent = worker.try_send(change);
        if sent.is_err() {
            self.pending.send_modify(|pending| *pending -= 1);
        }
        sent
    }

    fn worker(&self, bucket: u64) -> &mpsc::Sender<PendingChange> {
        self.workers[bucket as usize].get_or_init(|| {
            let (sender, pending) = mpsc::channel(MAX_QUEUED_CHANGES);
            let counter = Arc::clone(&self.pending);
            tokio::spawn(run_worker(self.platform.clone(), bucket, pending, counter));
            sender
        })
    }
}

async fn run_worker(
    platform: PlatformClient,
    bucket: u64,
    mut pending: mpsc::Receiver<PendingChange>,
    pending_counter: Arc<watch::Sender<usize>>,
) {
    let mut cached = None;
    let mut batch = Vec::new();
    while pending.recv_many(&mut batch, MAX_CHANGES_PER_WRITE).await > 0 {
        let changes: Vec<ClaimChange> =
            batch.iter().map(|pending| pending.change.clone()).collect();
        let results = apply_batch(&platform, bucket, &mut cached, &changes).await;
        pending_counter.send_modify(|pending| *pending -= changes.len());
        for (index, pending) in batch.drain(..).enumerate() {
            let result = results.as_ref().map(|results| results[index].clone()).map_err(|e| *e);
            if let Some(reply) = pending.reply {
                let _ = reply.send(result);
            }
        }
    }
}

/// Applies changes to a bucket and stores it. After a conflict or a lost answer,
/// the bucket is read again; changes that were already stored then have no
/// further effect.
async fn apply_batch(
    platform: &PlatformClient,
    bucket: u64,
    cached: &mut Option<StoredBucket>,
    changes: &[ClaimChange],
) -> Result<Vec<ClaimResult>, UncertainResult> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let cached_bucket = cached.take();
        let is_fresh = cached_bucket.is_none();
        let stored = match cached_bucket {
            Some(stored) => stored,
            None => claim_store::read(platform, bucket).await?,
        };
        let mut updated = stored.bucket.clone();
        updated.expire(now_ms());
        let results: Vec<_> = changes.iter().map(|c| updated.apply(now_ms(), c)).collect();
        if !is_fresh && !results.iter().all(|result| *result == ClaimResult::Applied) {
            // The cached bucket may be outdated; a request may only be rejected
            // because of a bucket just read.
            continue;
        }
        if updated == stored.bucket {
            *cached = Some(stored);
            return Ok(results);
        }
        if let Some(stored) = claim_store::write(platform, bucket, stored.version, updated).await? {
            *cached = Some(stored);
            return Ok(results);
        }
    }
    Err(UncertainResult)
}
