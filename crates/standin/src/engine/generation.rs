//! Generations. Each runs in its own task, independent of the connections that
//! read it.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use super::{ChatRequest, State};
use crate::unix_us;

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Number of tokens generated so far.
    pub tokens: u64,
    /// The generation ended; no further tokens follow.
    pub ended: bool,
    /// The generation was cancelled before it completed.
    pub cancelled: bool,
}

/// One generation, shared by the task that runs it and its readers.
#[derive(Debug)]
pub(super) struct Generation {
    /// Value that the chunk texts are derived from.
    pub nonce: String,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens of the complete answer.
    pub output_tokens: u64,
    progress: watch::Sender<Progress>,
    readers: AtomicU32,
    readers_changed: Notify,
    cancel: Notify,
}

impl Generation {
    /// Adds a reader. The generation is cancelled if it has no reader for
    /// [`linger_ms`](super::Settings::linger_ms).
    pub fn add_reader(self: &Arc<Self>) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        Reader { progress: self.progress.subscribe(), generation: Arc::clone(self) }
    }

    /// Ends the generation before it completes.
    pub fn cancel(&self) {
        self.cancel.notify_one();
    }

    async fn wait_until_abandoned(&self, unread_timeout: Duration) {
        loop {
            if self.readers.load(Ordering::SeqCst) > 0 {
                self.readers_changed.notified().await;
                continue;
            }
            tokio::time::sleep(unread_timeout).await;
            if self.readers.load(Ordering::SeqCst) == 0 {
                return;
            }
        }
    }
}

/// Reads the progress of a generation for one connection.
#[derive(Debug)]
pub(super) struct Reader {
    /// The generation that is read.
    pub generation: Arc<Generation>,
    /// Progress of the generation.
    pub progress: watch::Receiver<Progress>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.generation.readers.fetch_sub(1, Ordering::SeqCst);
        self.generation.readers_changed.notify_one();
    }
}

/// Generations by request id.
#[derive(Debug, Default)]
pub(super) struct Generations {
    by_id: Mutex<HashMap<String, Arc<Generation>>>,
}

impl Generations {
    /// Returns the generation with this request id.
    pub fn get(&self, id: &str) -> Option<Arc<Generation>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    fn insert(&self, id: &str, generation: &Arc<Generation>) {
        let mut by_id = self.by_id.lock().unwrap_or_else(PoisonError::into_inner);
        by_id.insert(id.to_owned(), Arc::clone(generation));
    }

    /// Removes a generation, so that it gets no further readers. Its present readers
    /// continue.
    pub fn remove(&self, id: &str) {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner).remove(id);
    }
}

/// Starts a generation and returns its first reader.
pub(super) fn start(state: &Arc<State>, id: &str, request: &ChatRequest) -> Reader {
    let generation = Arc::new(Generation {
        nonce: request.user.clone().unwrap_or_else(|| id.to_owned()),
        prompt_tokens: request.prompt_tokens(),
        output_tokens: request.output_tokens(),
        progress: watch::Sender::default(),
        readers: AtomicU32::new(0),
        readers_changed: Notify::new(),
        cancel: Notify::new(),
    });
    state.generations.insert(id, &generation);
    let reader = generation.add_reader();
    tokio::spawn(run(Arc::clone(state), id.to_owned(), generation));
    reader
}

async fn run(state: Arc<State>, id: String, generation: Arc<Generation>) {
    let index = state.ledger.record_arrival(&id, &generation.nonce, generation.prompt_tokens);
    let unread_timeout = Duration::from_millis(state.settings.linger_ms);
    let cancelled = tokio::select! {
        () = execute(&state, index, &generation) => false,
        () = generation.wait_until_abandoned(unread_timeout) => true,
        () = generation.cancel.notified() => true,
    };
    state.ledger.update(index, |execution| {
        execution.ended_us = unix_us();
        execution.cancelled = cancelled;
    });
    generation.progress.send_modify(|progress| {
        progress.ended = true;
        progress.cancelled = cancelled;
    });
    // Keeps the finished generation for callers that resume the stream to read
    // the rest of the answer.
    tokio::time::sleep(unread_timeout).await;
    state.generations.remove(&id);
}

async fn execute(state: &State, index: usize, generation: &Generation) {
    state.load.change_queued(1);
    let queued = QueuedGuard(state);
    // The semaphore is never closed and grants permits in order of arrival.
    let Ok(_slot) = state.slots.acquire().await else {
        return;
    };
    drop(queued);
    state.ledger.update(index, |execution| execution.started_us = unix_us());
    let prefill = Duration::from_micros(state.settings.prefill_us * generation.prompt_tokens);
    let mut next_token_at = Instant::now() + prefill;
    tokio::time::sleep_until(next_token_at).await;
    for token in 1..=generation.output_tokens {
        next_token_at += Duration::from_micros(state.settings.token_us);
        tokio::time::sleep_until(next_token_at).await;
        generation.progress.send_modify(|progress| progress.tokens = token);
        state.ledger.update(index, |execution| execution.output_cost = token);
    }
}

/// Removes the request from the number of waiting requests when dropped.
struct QueuedGuard<'a>(&'a State);

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.load.change_queued(-1);
    }
}
