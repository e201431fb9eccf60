//! Generations: they run apart from the connections that read them.

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
    /// Tokens generated.
    pub tokens: u64,
    /// No more will come.
    pub ended: bool,
    /// It was cancelled before its end.
    pub cancelled: bool,
}

/// One generation, shared by the task that runs it and those that read it.
#[derive(Debug)]
pub(super) struct Generation {
    /// Value the chunks are signed with.
    pub nonce: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub output_tokens: u64,
    progress: watch::Sender<Progress>,
    readers: AtomicU32,
    readers_changed: Notify,
    cancel: Notify,
}

impl Generation {
    /// Starts reading; the generation is cancelled some time after its last
    /// reader left.
    pub fn read(self: &Arc<Self>) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        Reader { progress: self.progress.subscribe(), generation: Arc::clone(self) }
    }

    /// Ends the generation early.
    pub fn cancel(&self) {
        self.cancel.notify_one();
    }

    async fn abandoned(&self, linger: Duration) {
        loop {
            if self.readers.load(Ordering::SeqCst) > 0 {
                self.readers_changed.notified().await;
                continue;
            }
            tokio::time::sleep(linger).await;
            if self.readers.load(Ordering::SeqCst) == 0 {
                return;
            }
        }
    }
}

/// One connection's view of a generation.
#[derive(Debug)]
pub(super) struct Reader {
    /// What is read.
    pub generation: Arc<Generation>,
    /// Changes of its progress.
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
    /// The generation with this id, if it is known.
    pub fn get(&self, id: &str) -> Option<Arc<Generation>> {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    fn insert(&self, id: &str, generation: &Arc<Generation>) {
        let mut by_id = self.by_id.lock().unwrap_or_else(PoisonError::into_inner);
        by_id.insert(id.to_owned(), Arc::clone(generation));
    }

    /// Forgets a generation; its readers keep it.
    pub fn remove(&self, id: &str) {
        self.by_id.lock().unwrap_or_else(PoisonError::into_inner).remove(id);
    }
}

/// Starts a generation and its first reader.
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
    let reader = generation.read();
    tokio::spawn(run(Arc::clone(state), id.to_owned(), generation));
    reader
}

async fn run(state: Arc<State>, id: String, generation: Arc<Generation>) {
    let row = state.ledger.arrive(&id, &generation.nonce, generation.prompt_tokens);
    let linger = Duration::from_millis(state.settings.linger_ms);
    let cancelled = tokio::select! {
        () = execute(&state, row, &generation) => false,
        () = generation.abandoned(linger) => true,
        () = generation.cancel.notified() => true,
    };
    state.ledger.update(row, |row| {
        row.ended_us = unix_us();
        row.cancelled = cancelled;
    });
    generation.progress.send_modify(|progress| {
        progress.ended = true;
        progress.cancelled = cancelled;
    });
    // Readers that come back for the tail of a finished answer still find it.
    tokio::time::sleep(linger).await;
    state.generations.remove(&id);
}

async fn execute(state: &State, row: usize, generation: &Generation) {
    state.load.queued(1);
    let queued = QueuedGuard(state);
    // The semaphore is never closed; it admits in arrival order.
    let Ok(_slot) = state.slots.acquire().await else {
        return;
    };
    drop(queued);
    state.ledger.update(row, |row| row.started_us = unix_us());
    let prefill = Duration::from_micros(state.settings.prefill_us * generation.prompt_tokens);
    let mut due = Instant::now() + prefill;
    tokio::time::sleep_until(due).await;
    for token in 1..=generation.output_tokens {
        due += Duration::from_micros(state.settings.token_us);
        tokio::time::sleep_until(due).await;
        generation.progress.send_modify(|progress| progress.tokens = token);
        state.ledger.update(row, |row| row.output_cost = token);
    }
}

struct QueuedGuard<'a>(&'a State);

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.load.queued(-1);
    }
}
