//! Claims in the object API: changes that wait for the same bucket go into one
//! conditional write.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use span_once::{BUCKETS, Change, ClaimKey, ClaimResult};
use span_platform::Platform;
use tokio::sync::{mpsc, oneshot};

use super::claim_store::{self, StoredBucket, UncertainResult};
use crate::minted::now_ms;

/// Changes that may wait for one bucket.
const MAX_QUEUED_CHANGES: usize = 1_024;
/// Changes in one write.
const MAX_CHANGES_PER_WRITE: usize = 256;
/// Calls of the object API that a caller waits for: a read and a write at
/// their time limit.
const MAX_STORE_CALLS_WAITED: u64 = 2;
/// Writes tried for one batch; each conflict or lost answer costs one.
const MAX_WRITE_ATTEMPTS: u32 = 6;

type Reply = oneshot::Sender<Result<ClaimResult, UncertainResult>>;

struct PendingChange {
    change: Change,
    reply: Option<Reply>,
}

/// Access to all claims; one worker per bucket in use.
pub(crate) struct Claims {
    platform: Platform,
    workers: Vec<OnceLock<mpsc::Sender<PendingChange>>>,
}

impl Claims {
    /// Makes access without workers.
    pub(super) fn new(platform: Platform) -> Arc<Self> {
        let workers = (0..BUCKETS).map(|_| OnceLock::new()).collect();
        Arc::new(Self { platform, workers })
    }

    /// Makes a change and waits until it is stored.
    ///
    /// # Errors
    ///
    /// [`Uncertain`] if the store gave no certain answer or is overloaded; the
    /// change may still take effect.
    pub(super) async fn apply(
        &self,
        key: &ClaimKey,
        change: Change,
    ) -> Result<ClaimResult, UncertainResult> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingChange { change, reply: Some(reply) };
        self.worker(key.bucket()).try_send(pending).map_err(|_| UncertainResult)?;
        // A batch that meets several slow calls must not hold up its callers.
        let limit_ms = MAX_STORE_CALLS_WAITED * self.platform.settings().call_timeout_ms;
        let limit = Duration::from_millis(limit_ms);
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            _ => Err(UncertainResult),
        }
    }

    /// Makes a change without waiting; it is lost if the store is down, and the
    /// owner's registry then answers in its place.
    pub(super) fn apply_in_background(&self, key: &ClaimKey, change: Change) {
        let _ = self.worker(key.bucket()).try_send(PendingChange { change, reply: None });
    }

    fn worker(&self, bucket: u64) -> &mpsc::Sender<PendingChange> {
        self.workers[bucket as usize].get_or_init(|| {
            let (sender, pending) = mpsc::channel(MAX_QUEUED_CHANGES);
            tokio::spawn(run_worker(self.platform.clone(), bucket, pending));
            sender
        })
    }
}

async fn run_worker(platform: Platform, bucket: u64, mut pending: mpsc::Receiver<PendingChange>) {
    let mut cached = None;
    let mut batch = Vec::new();
    while pending.recv_many(&mut batch, MAX_CHANGES_PER_WRITE).await > 0 {
        let changes: Vec<Change> = batch.iter().map(|pending| pending.change.clone()).collect();
        let results = apply_batch(&platform, bucket, &mut cached, &changes).await;
        for (index, pending) in batch.drain(..).enumerate() {
            let result = results.as_ref().map(|results| results[index].clone()).map_err(|e| *e);
            if let Some(reply) = pending.reply {
                let _ = reply.send(result);
            }
        }
    }
}

/// Applies changes to a bucket and stores it. After a conflict or a lost
/// answer, the bucket is read back; changes that were stored then have no
/// further effect.
async fn apply_batch(
    platform: &Platform,
    bucket: u64,
    cached: &mut Option<StoredBucket>,
    changes: &[Change],
) -> Result<Vec<ClaimResult>, UncertainResult> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let known = cached.take();
        let is_fresh = known.is_none();
        let stored = match known {
            Some(stored) => stored,
            None => claim_store::read(platform, bucket).await?,
        };
        let mut next = stored.bucket.clone();
        next.expire(now_ms());
        let results: Vec<_> = changes.iter().map(|c| next.apply(now_ms(), c)).collect();
        if !is_fresh && !results.iter().all(|result| *result == ClaimResult::Applied) {
            // What is known may be old; only a fresh copy may refuse a request.
            continue;
        }
        if next == stored.bucket {
            *cached = Some(stored);
            return Ok(results);
        }
        if let Some(stored) = claim_store::write(platform, bucket, stored.version, next).await? {
            *cached = Some(stored);
            return Ok(results);
        }
    }
    Err(UncertainResult)
}
