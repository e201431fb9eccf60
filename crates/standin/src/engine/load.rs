//! Load reports that tell the state of some time ago.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, PoisonError, Weak,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use serde::Serialize;
use tokio::time::Instant;

use super::State;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_SAMPLES: usize = 1024;

/// The load of an engine at some time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Load {
    /// Requests in execution.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Requests that can execute at the same time.
    pub slots: u32,
    /// Age of the numbers, in milliseconds.
    pub age_ms: u64,
}

/// Recent samples of the load.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    queued: AtomicI64,
    samples: Mutex<VecDeque<(Instant, Load)>>,
}

impl LoadHistory {
    /// Counts requests that join or leave the queue.
    pub fn queued(&self, change: i64) {
        self.queued.fetch_add(change, Ordering::Relaxed);
    }

    /// The newest sample that is at least `lag` old.
    pub fn reported(&self, now: Instant, lag: Duration, slots: u32) -> Load {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let old = samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        match old {
            Some((at, load)) => {
                let age_ms = now.duration_since(*at).as_millis() as u64;
                Load { age_ms, ..*load }
            }
            None => Load { slots, ..Load::default() },
        }
    }

    fn push(&self, now: Instant, load: Load) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, load));
    }
}

/// Samples the load until the engine is dropped.
pub(super) async fn sample(state: Weak<State>) {
    while let Some(state) = state.upgrade() {
        let free = state.slots.available_permits() as u32;
        let load = Load {
            running: state.settings.slots.saturating_sub(free),
            waiting: state.load.queued.load(Ordering::Relaxed).max(0) as u32,
            slots: state.settings.slots,
            age_ms: 0,
        };
        state.load.push(Instant::now(), load);
        drop(state);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
