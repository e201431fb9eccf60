//! Load reports with a configurable age, as those of a real engine lag behind its
//! state.

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

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct LoadReport {
    /// Number of requests that are being executed.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Recent samples of the load.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    queued: AtomicI64,
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
}

impl LoadHistory {
    /// Adds `change` to the number of waiting requests.
    pub fn change_queued(&self, change: i64) {
        self.queued.fetch_add(change, Ordering::Relaxed);
    }

    /// Returns the newest sample that is at least `lag` old; an idle engine if there
    /// is none.
    pub fn report(&self, now: Instant, lag: Duration, slots: u32) -> LoadReport {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let old = samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        match old {
            Some((at, load)) => {
                let age_ms = now.duration_since(*at).as_millis() as u64;
                LoadReport { age_ms, ..*load }
            }
            None => LoadReport { slots, ..LoadReport::default() },
        }
    }

    fn add_sample(&self, now: Instant, load: LoadReport) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, load));
    }
}

/// Samples the load periodically until the engine is dropped.
pub(super) async fn record_samples(state: Weak<State>) {
    while let Some(state) = state.upgrade() {
        let free = state.slots.available_permits() as u32;
        let load = LoadReport {
            running: state.settings.slots.saturating_sub(free),
            waiting: state.load.queued.load(Ordering::Relaxed).max(0) as u32,
            slots: state.settings.slots,
            age_ms: 0,
        };
        state.load.add_sample(Instant::now(), load);
        drop(state);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
