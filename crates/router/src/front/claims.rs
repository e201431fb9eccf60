//! Claims in the object API: changes that wait for the same bucket go into one
//! conditional write.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use span_once::{CLAIM_BUCKETS, ClaimChange, ClaimKey, ClaimResult};
use span_platform::PlatformClient;
use tokio::sync::{mpsc, oneshot};

use super::objects::{self, Stored, Uncertain};
use crate::minted::now_ms;

/// Changes that may wait for one bucket.
const QUEUE_LENGTH: usize = 1_024;
/// Changes in one write.
const MAX_BATCH: usize = 256;
/// Calls of the object API that a caller waits for: a read and a write at
/// their time limit.
const CALLS_WAITED: u64 = 2;
/// Writes tried for one batch; each conflict or lost answer costs one.
const MAX_ROUNDS: u32 = 6;

type Reply = oneshot::Sender<Result<ClaimResult, Uncertain>>;

struct Job {
    change: ClaimChange,
    reply: Option<Reply>,
}

/// Access to all claims; one worker per bucket in use.
pub(crate) struct Claims {
    platform: PlatformClient,
    workers: Vec<OnceLock<mpsc::Sender<Job>>>,
}

impl Claims {
    /// Makes access without workers.
    pub(super) fn new(platform: PlatformClient) -> Arc<Self> {
        let workers = (0..CLAIM_BUCKETS).map(|_| OnceLock::new()).collect();
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
        change: ClaimChange,
    ) -> Result<ClaimResult, Uncertain> {
        let (reply, answer) = oneshot::channel();
        let job = Job { change, reply: Some(reply) };
        self.worker(key.bucket()).try_send(job).map_err(|_| Uncertain)?;
        // A batch that meets several slow calls must not hold up its callers.
        let limit_ms = CALLS_WAITED * self.platform.settings().call_timeout_ms;
        let limit = Duration::from_millis(limit_ms);
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            _ => Err(Uncertain),
        }
    }

    /// Makes a change without waiting; it is lost if the store is down, and the
    /// owner's registry then answers in its place.
    pub(super) fn post(&self, key: &ClaimKey, change: ClaimChange) {
        let _ = self.worker(key.bucket()).try_send(Job { change, reply: None });
    }

    fn worker(&self, bucket: u64) -> &mpsc::Sender<Job> {
        self.workers[bucket as usize].get_or_init(|| {
            let (sender, jobs) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(work(self.platform.clone(), bucket, jobs));
            sender
        })
    }
}

async fn work(platform: PlatformClient, bucket: u64, mut jobs: mpsc::Receiver<Job>) {
    let mut cached = None;
    let mut batch = Vec::new();
    while jobs.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let changes: Vec<ClaimChange> = batch.iter().map(|job| job.change.clone()).collect();
        let results = write(&platform, bucket, &mut cached, &changes).await;
        for (index, job) in batch.drain(..).enumerate() {
            let result = results.as_ref().map(|results| results[index].clone()).map_err(|e| *e);
            if let Some(reply) = job.reply {
                let _ = reply.send(result);
            }
        }
    }
}

/// Applies changes to a bucket and stores it. After a conflict or a lost
/// answer, the bucket is read back; changes that were stored then have no
/// further effect.
async fn write(
    platform: &PlatformClient,
    bucket: u64,
    cached: &mut Option<Stored>,
    changes: &[ClaimChange],
) -> Result<Vec<ClaimResult>, Uncertain> {
    for _ in 0..MAX_ROUNDS {
        let known = cached.take();
        let fresh = known.is_none();
        let stored = match known {
            Some(stored) => stored,
            None => objects::read(platform, bucket).await?,
        };
        let mut next = stored.bucket.clone();
        next.expire(now_ms());
        let results: Vec<_> = changes.iter().map(|c| next.apply(now_ms(), c)).collect();
        if !fresh && !results.iter().all(|result| *result == ClaimResult::Applied) {
            // What is known may be old; only a fresh copy may refuse a request.
            continue;
        }
        if next == stored.bucket {
            *cached = Some(stored);
            return Ok(results);
        }
        if let Some(stored) = objects::write(platform, bucket, stored.version, next).await? {
            *cached = Some(stored);
            return Ok(results);
        }
    }
    Err(Uncertain)
}
