//! Runs a workload against a fleet.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use span_http::Client;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    addresses::AddressBook,
    attempt::{self, Context},
    check::MAX_ATTEMPTS,
    fleet::{Entry, Fleet},
    key::{self, MintedKey},
    plan::{Planned, Planner, Repeat},
    record::{Answer, Record},
    workload::{Phase, Workload, WorkspaceLoad},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed attempt and after a rejection without a time.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a rejection, so that short runs keep their load.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after the end of the load in which failed requests are still repeated.
/// It exceeds the 10 s after which a caller gives up on a silent connection:
/// otherwise a request sent shortly before the end on such a connection was
/// never repeated and counted as lost.
const REPEAT_AFTER_END: Duration = Duration::from_secs(15);
/// Open-loop callers have numbers from here.
const OPEN_CALLER: u32 = 1_000_000;

struct Caller {
    client: Client,
    fleet: Arc<Fleet>,
    workspace: WorkspaceLoad,
    book: AddressBook,
    started: Instant,
    last_repeat: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

/// Runs a workload to its end and returns a record of each attempt, in order
/// of ending.
pub async fn run(workload: &Workload, fleet: Arc<Fleet>) -> Vec<Record> {
    let client = span_http::pooled_client(CONNECT_TIMEOUT);
    let records = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let end = started + Duration::from_millis(workload.spec.duration_ms);
    let mut loops = Vec::new();
    for workspace in &workload.workspaces {
        let caller = Arc::new(Caller {
            client: client.clone(),
            fleet: Arc::clone(&fleet),
            workspace: workspace.clone(),
            book: AddressBook::default(),
            started,
            last_repeat: end + REPEAT_AFTER_END,
            records: Arc::clone(&records),
        });
        for number in 0..workspace.callers {
            let planner = Planner::new(&workload.spec, workspace, number);
            loops.push(tokio::spawn(closed_loop(Arc::clone(&caller), planner, number)));
        }
        if workspace.open_per_second > 0.0 {
            let planner = Planner::new(&workload.spec, workspace, OPEN_CALLER);
            loops.push(tokio::spawn(open_loop(caller, planner)));
        }
    }
    join_all(loops).await;
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *records)
}

async fn closed_loop(caller: Arc<Caller>, mut planner: Planner, number: u32) {
    for phase in caller.workspace.phases.clone() {
        let end = caller.enter(phase).await;
        while Instant::now() < end {
            let pause = caller.request(&planner.plan(), number).await;
            tokio::time::sleep(pause).await;
        }
    }
}

async fn open_loop(caller: Arc<Caller>, mut planner: Planner) {
    let mut running = JoinSet::new();
    let mut number = 0;
    for phase in caller.workspace.phases.clone() {
        let end = caller.enter(phase).await;
        let mut due = Instant::now();
        loop {
            let planned = planner.plan();
            due += Duration::from_secs_f64(planned.gap_ms / 1000.0);
            if due >= end {
                break;
            }
            tokio::time::sleep_until(due).await;
            let caller = Arc::clone(&caller);
            running.spawn(async move { caller.request(&planned, number).await });
            number += 1;
        }
    }
    while running.join_next().await.is_some() {}
}

impl Caller {
    /// Waits for the start of a phase and returns its end.
    async fn enter(&self, phase: Phase) -> Instant {
        tokio::time::sleep_until(self.started + Duration::from_millis(phase.from_ms)).await;
        self.started + Duration::from_millis(phase.to_ms)
    }

    /// Sends a request, again if need be, and returns the pause before the
    /// next one.
    async fn request(&self, planned: &Planned, number: u32) -> Duration {
        let minted = self.mint(planned, number).await;
        let mut attempt = 0;
        let mut failed = Vec::new();
        loop {
            let minted = minted.as_ref();
            let mut record = self.attempt(planned, number, attempt, minted, &failed).await;
            attempt += 1;
            if matches!(record.answer, Answer::Partial | Answer::Missing | Answer::Refused) {
                failed.push(Arc::clone(&record.entry));
            }
            let again = attempt < MAX_ATTEMPTS && self.may_repeat(&record);
            record.last = !again;
            let (answer, pause) = (record.answer, pause(&record));
            self.keep(record);
            if again {
                self.book.forget().await;
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            if planned.resend && answer == Answer::Whole {
                let resent = self.attempt(planned, number, attempt, minted, &failed).await;
                self.keep(resent);
            }
            return pause;
        }
    }

    /// A minted key where the request asks for one; without one, the request
    /// is sent under the caller's own key.
    async fn mint(&self, planned: &Planned, number: u32) -> Option<MintedKey> {
        if planned.repeat != Repeat::Minted {
            return None;
        }
        let entry = self.entry(planned, number, 0, &[]).await;
        key::mint(&self.client, &entry, &self.workspace.key).await
    }

    async fn attempt(
        &self,
        planned: &Planned,
        number: u32,
        attempt: u32,
        minted: Option<&MintedKey>,
        failed: &[Arc<str>],
    ) -> Record {
        // Other routers have to find out what became of a minted key, so every
        // second attempt goes to one.
        let minting = minted.filter(|_| attempt.is_multiple_of(2));
        let minting = minting.and_then(|minted| self.known(&minted.instance));
        let entry = match minting.filter(|entry| !failed.contains(&entry.name)) {
            Some(entry) => entry,
            None => self.entry(planned, number, attempt, failed).await,
        };
        let context = Context {
            client: &self.client,
            fleet: &self.fleet,
            workspace: &self.workspace,
            minted,
        };
        attempt::send(&context, planned, &entry, attempt).await
    }

    fn known(&self, instance: &str) -> Option<Entry> {
        self.fleet.entries.iter().find(|entry| &*entry.name == instance).cloned()
    }

    /// The router for an attempt: the addresses told are spread over the
    /// callers of the workspace; each further attempt uses the next address at
    /// which this request has not failed yet. A list that was told before a
    /// router died still names it, and a request must not spend all its
    /// attempts there.
    async fn entry(
        &self,
        planned: &Planned,
        number: u32,
        attempt: u32,
        failed: &[Arc<str>],
    ) -> Entry {
        let given = &self.fleet.entries;
        let first = planned.entry + attempt as usize;
        let ask = &given[first % given.len()];
        let told = self.book.entries(&self.client, ask, &self.workspace.key, given).await;
        let told_from = (number + attempt) as usize;
        let told = (0..told.len()).map(|n| &told[(told_from + n) % told.len()]);
        let given = (0..given.len()).map(|n| &given[(first + n) % given.len()]);
        let mut candidates = told.chain(given).filter(|entry| !failed.contains(&entry.name));
        candidates.next().unwrap_or(ask).clone()
    }

    fn may_repeat(&self, record: &Record) -> bool {
        let repeatable = match record.answer {
            Answer::Whole | Answer::Foreign => false,
            // Nothing was sent.
            Answer::Refused => true,
            Answer::Error => {
                record.repeat != Repeat::Once
                    && record.outcome == Some(span_types::Outcome::Unknown)
            }
            Answer::Partial | Answer::Missing => record.repeat != Repeat::Once,
        };
        repeatable && Instant::now() < self.last_repeat
    }

    fn keep(&self, record: Record) {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}

fn pause(record: &Record) -> Duration {
    match (record.answer, record.retry_after_ms) {
        (Answer::Whole, _) => Duration::ZERO,
        (_, Some(after_ms)) => Duration::from_millis(after_ms).min(MAX_RETRY_AFTER),
        (_, None) => PAUSE,
    }
}
