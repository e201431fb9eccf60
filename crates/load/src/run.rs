//! Runs a workload against a fleet.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use span_http::Client;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    address_cache::AddressCache,
    attempt::{self, AttemptContext},
    check::MAX_ATTEMPTS,
    fleet::{Fleet, RouterEndpoint},
    minted_key::{self, MintedKey},
    record::{AnswerKind, AttemptRecord},
    request_generator::{Idempotency, PlannedRequest, RequestGenerator},
    workload::{Phase, Workload, WorkspaceLoad},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed attempt, and after a rejection without `retry-after`.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper limit of the delay that a `retry-after` causes, so that short runs keep
/// their load.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after the end of the load in which failed requests are still retried. It
/// exceeds the 10 s after which a caller gives up on a silent connection.
/// Otherwise a request sent on such a connection shortly before the end would not
/// be retried and would count as lost.
const RETRY_TIME_AFTER_END: Duration = Duration::from_secs(15);
/// Number of the open-loop caller of a workspace, above those of the closed-loop
/// callers.
const OPEN_LOOP_CALLER_NUMBER: u32 = 1_000_000;

/// Sends the requests of all callers of one workspace.
struct WorkspaceCaller {
    client: Client,
    fleet: Arc<Fleet>,
    workspace: WorkspaceLoad,
    address_cache: AddressCache,
    started: Instant,
    retry_deadline: Instant,
    records: Arc<Mutex<Vec<AttemptRecord>>>,
}

/// Runs a workload to its end. Returns a record of each attempt in the order in
/// which the attempts ended.
pub async fn run_workload(workload: &Workload, fleet: Arc<Fleet>) -> Vec<AttemptRecord> {
    let client = span_http::pooled_client(CONNECT_TIMEOUT);
    let records = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let end = started + Duration::from_millis(workload.spec.duration_ms);
    let mut loops = Vec::new();
    for workspace in &workload.workspaces {
        let caller = Arc::new(WorkspaceCaller {
            client: client.clone(),
            fleet: Arc::clone(&fleet),
            workspace: workspace.clone(),
            address_cache: AddressCache::default(),
            started,
            retry_deadline: end + RETRY_TIME_AFTER_END,
            records: Arc::clone(&records),
        });
        for number in 0..workspace.callers {
            let generator = RequestGenerator::new(&workload.spec, workspace, number);
            loops.push(tokio::spawn(closed_loop(Arc::clone(&caller), generator, number)));
        }
        if workspace.open_per_second > 0.0 {
            let generator =
                RequestGenerator::new(&workload.spec, workspace, OPEN_LOOP_CALLER_NUMBER);
            loops.push(tokio::spawn(open_loop(caller, generator)));
        }
    }
    join_all(loops).await;
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *records)
}

async fn closed_loop(
    caller: Arc<WorkspaceCaller>,
    mut generator: RequestGenerator,
    caller_number: u32,
) {
    for phase in caller.workspace.phases.clone() {
        let end = caller.wait_for_phase(phase).await;
        while Instant::now() < end {
            let delay = caller.send_request(&generator.next_request(), caller_number).await;
            tokio::time::sleep(delay).await;
        }
    }
}

async fn open_loop(caller: Arc<WorkspaceCaller>, mut generator: RequestGenerator) {
    let mut running = JoinSet::new();
    let mut request_number = 0;
    for phase in caller.workspace.phases.clone() {
        let end = caller.wait_for_phase(phase).await;
        let mut send_at = Instant::now();
        loop {
            let planned = generator.next_request();
            send_at += Duration::from_secs_f64(planned.interval_ms / 1000.0);
            if send_at >= end {
                break;
            }
            tokio::time::sleep_until(send_at).await;
            let caller = Arc::clone(&caller);
            running.spawn(async move { caller.send_request(&planned, request_number).await });
            request_number += 1;
        }
    }
    while running.join_next().await.is_some() {}
}

impl WorkspaceCaller {
    /// Waits for the start of a phase and returns its end.
    async fn wait_for_phase(&self, phase: Phase) -> Instant {
        tokio::time::sleep_until(self.started + Duration::from_millis(phase.from_ms)).await;
        self.started + Duration::from_millis(phase.to_ms)
    }

    /// Sends a request with retries and returns the delay before the next request.
    /// `address_offset` is that of [`WorkspaceCaller::choose_router`].
    async fn send_request(&self, planned: &PlannedRequest, address_offset: u32) -> Duration {
        let minted = self.request_minted_key(planned, address_offset).await;
        let mut attempt = 0;
        let mut failed_routers = Vec::new();
        loop {
            let minted = minted.as_ref();
            let mut record = self
                .attempt_request(planned, address_offset, attempt, minted, &failed_routers)
                .await;
            attempt += 1;
            if matches!(
                record.answer,
                AnswerKind::Partial | AnswerKind::Missing | AnswerKind::Refused
            ) {
                failed_routers.push(Arc::clone(&record.entry));
            }
            let will_retry = attempt < MAX_ATTEMPTS && self.may_retry(&record);
            record.last = !will_retry;
            let (answer, delay) = (record.answer, delay_before_next_request(&record));
            self.add_record(record);
            if will_retry {
                self.address_cache.invalidate().await;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            if planned.resend_after_answer && answer == AnswerKind::Complete {
                let resent = self
                    .attempt_request(planned, address_offset, attempt, minted, &failed_routers)
                    .await;
                self.add_record(resent);
            }
            return delay;
        }
    }

    /// Returns a minted key if the request needs one. If no router mints one, the
    /// request is sent with the caller's own key.
    async fn request_minted_key(
        &self,
        planned: &PlannedRequest,
        address_offset: u32,
    ) -> Option<MintedKey> {
        if planned.idempotency != Idempotency::Minted {
            return None;
        }
        let router = self.choose_router(planned, address_offset, 0, &[]).await;
        minted_key::request_key(&self.client, &router, &self.workspace.key).await
    }

    async fn attempt_request(
        &self,
        planned: &PlannedRequest,
        address_offset: u32,
        attempt: u32,
        minted: Option<&MintedKey>,
        failed_routers: &[Arc<str>],
    ) -> AttemptRecord {
        // Only every second attempt prefers the router that minted the key, to test
        // that other routers find out whether its request ran.
        let minted_here = minted.filter(|_| attempt.is_multiple_of(2));
        let minting_router = minted_here.and_then(|minted| self.known_router(&minted.instance));
        let router = match minting_router.filter(|router| !failed_routers.contains(&router.name)) {
            Some(router) => router,
            None => self.choose_router(planned, address_offset, attempt, failed_routers).await,
        };
        let context = AttemptContext {
            client: &self.client,
            fleet: &self.fleet,
            workspace: &self.workspace,
            minted_key: minted,
        };
        attempt::send_attempt(&context, planned, &router, attempt).await
    }

    fn known_router(&self, instance: &str) -> Option<RouterEndpoint> {
        self.fleet.routers.iter().find(|router| &*router.name == instance).cloned()
    }

    /// Chooses the router for an attempt. `address_offset` spreads the callers of a
    /// workspace over the listed addresses, and each retry uses the next address at
    /// which this request has not failed. A list may still name a router that died
    /// after the list was fetched, and a request must not use up its attempts there.
    async fn choose_router(
        &self,
        planned: &PlannedRequest,
        address_offset: u32,
        attempt: u32,
        failed_routers: &[Arc<str>],
    ) -> RouterEndpoint {
        let known = &self.fleet.routers;
        let first_known = planned.router_index + attempt as usize;
        let asked_router = &known[first_known % known.len()];
        let listed = self
            .address_cache
            .endpoints(&self.client, asked_router, &self.workspace.key, known)
            .await;
        let first_listed = (address_offset + attempt) as usize;
        let listed = (0..listed.len()).map(|n| &listed[(first_listed + n) % listed.len()]);
        let known = (0..known.len()).map(|n| &known[(first_known + n) % known.len()]);
        let mut candidates =
            listed.chain(known).filter(|router| !failed_routers.contains(&router.name));
        candidates.next().unwrap_or(asked_router).clone()
    }

    fn may_retry(&self, record: &AttemptRecord) -> bool {
        let is_retryable = match record.answer {
            AnswerKind::Complete | AnswerKind::Foreign => false,
            // Nothing was sent.
            AnswerKind::Refused => true,
            AnswerKind::Error => {
                record.repeat != Idempotency::Once
                    && record.outcome == Some(span_types::Outcome::Unknown)
            }
            AnswerKind::Partial | AnswerKind::Missing => record.repeat != Idempotency::Once,
        };
        is_retryable && Instant::now() < self.retry_deadline
    }

    fn add_record(&self, record: AttemptRecord) {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

fn delay_before_next_request(record: &AttemptRecord) -> Duration {
    match (record.answer, record.retry_after_ms) {
        (AnswerKind::Complete, _) => Duration::ZERO,
        (_, Some(after_ms)) => Duration::from_millis(after_ms).min(MAX_RETRY_AFTER),
        (_, None) => RETRY_DELAY,
    }
}
