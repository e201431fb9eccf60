//! The question where a stream began, and the verdict that follows from the answers.

use std::collections::BTreeSet;

use span_types::InstanceName;

use crate::{
    stream_origin::{AttemptOrigin, OriginAnswer, StreamOrigin},
    stream_records::RecordedOrigin,
};

/// Time after which routers that have not answered are asked again, in milliseconds.
/// The first question or its answer may be lost.
pub const ASK_AGAIN_MS: u64 = 100;
/// Longest time for which answers are awaited, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 400;
/// Time for which further answers are awaited once one says where a stream began, in
/// milliseconds. Others that know answer within a round trip.
pub const AGREEMENT_WAIT_MS: u64 = 30;

/// How a router came to know where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginSource {
    /// It began the stream itself, or was told of it.
    Known,
    /// Another router knew.
    Asked,
    /// The store has a record.
    Recorded,
    /// There is nowhere else where the stream could have begun.
    OnlyCandidate,
}

/// Whether a stream's origin is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginVerdict {
    /// The stream began there.
    Found(AttemptOrigin, OriginSource),
    /// The stream may have begun at several versions, or no other router can be reached.
    Unknown,
    /// Routers or records contradict each other.
    Contradictory,
}

/// State of the search for a stream in the records of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RecordSearch {
    /// The router has no need to search, or another one does.
    NotNeeded,
    /// The records are being read.
    Pending,
    /// The records were read.
    Done,
    /// The store does not answer.
    Failed,
}

/// The question to other routers where a stream began, and their answers so far.
#[derive(Debug)]
pub struct OriginInquiry {
    asked_ms: u64,
    /// Number of routers that are asked.
    asked: usize,
    /// Routers that have not answered.
    awaited: BTreeSet<InstanceName>,
    /// Whether a router has answered that knows upstreams of the services.
    is_confirmed: bool,
    /// Whether any router knows which versions there were before it started.
    knows_history: bool,
    /// The latest attempt that was found, how, and when.
    found: Option<(AttemptOrigin, OriginSource, u64)>,
    is_contradictory: bool,
    /// Whether the store has several records of the stream: its request was sent to upstreams
    /// of several versions before one sent an event.
    has_several_records: bool,
    /// Where the stream may have begun, as far as any router knows.
    candidates: BTreeSet<StreamOrigin>,
    search: RecordSearch,
}

impl OriginInquiry {
    /// Begins an inquiry at `asked` routers. `own` is what this router knows.
    pub fn new(
        now_ms: u64,
        asked: BTreeSet<InstanceName>,
        own: OriginAnswer,
        search: RecordSearch,
    ) -> Self {
        Self {
            asked_ms: now_ms,
            asked: asked.len(),
            awaited: asked,
            is_confirmed: false,
            knows_history: own.knows_history,
            found: None,
            is_contradictory: false,
            has_several_records: false,
            candidates: own.candidates,
            search,
        }
    }

    /// Where the stream may have begun, as far as any router knows.
    pub fn candidates(&self) -> &BTreeSet<StreamOrigin> {
        &self.candidates
    }

    /// Whether any router knows which versions there were before it started.
    pub fn knows_history(&self) -> bool {
        self.knows_history
    }

    /// State of the search in the records of the store.
    pub fn search(&self) -> RecordSearch {
        self.search
    }

    /// Routers that have not answered.
    pub fn awaited(&self) -> &BTreeSet<InstanceName> {
        &self.awaited
    }

    /// Records the answer of a router.
    pub fn record(&mut self, now_ms: u64, from: &InstanceName, answer: OriginAnswer) {
        self.awaited.remove(from);
        if let Some(start) = answer.start {
            self.find(now_ms, start, OriginSource::Asked);
        }
        self.is_confirmed |= !answer.candidates.is_empty();
        self.knows_history |= answer.knows_history;
        self.candidates.extend(answer.candidates);
    }

    /// Records what the store holds about the stream; none if it does not answer. `own` is
    /// what this router knows now.
    pub fn record_search(
        &mut self,
        now_ms: u64,
        recorded: Option<RecordedOrigin>,
        own: OriginAnswer,
    ) {
        self.search = if recorded.is_some() { RecordSearch::Done } else { RecordSearch::Failed };
        self.knows_history |= own.knows_history;
        self.candidates.extend(own.candidates);
        match recorded {
            Some(RecordedOrigin::At(start)) => self.find(now_ms, start, OriginSource::Recorded),
            Some(RecordedOrigin::Several) => self.has_several_records = true,
            Some(RecordedOrigin::None) | None => {}
        }
    }

    fn find(&mut self, now_ms: u64, start: AttemptOrigin, source: OriginSource) {
        match &self.found {
            Some((found, ..)) if start.attempt < found.attempt => {}
            Some((found, ..)) if start.attempt == found.attempt => {
                self.is_contradictory |= *found != start;
            }
            Some(_) | None => {
                self.found = Some((start, source, now_ms));
                self.is_contradictory = false;
            }
        }
    }

    /// When [`OriginInquiry::verdict`] may change without a further answer, in milliseconds.
    pub fn next_change_ms(&self) -> Option<u64> {
        self.found.as_ref().map(|(.., found_ms)| found_ms + AGREEMENT_WAIT_MS)
    }

    /// Where the stream began; none while answers are awaited that may tell.
    ///
    /// A router that no other one answers may not know of a new version, so its own
    /// knowledge counts only if it is alone in the fleet. That all upstreams have one version
    /// says nothing about streams that began before, unless the versions of that time are
    /// known.
    pub fn verdict(&self, now_ms: u64) -> Option<OriginVerdict> {
        if self.is_contradictory {
            return Some(OriginVerdict::Contradictory);
        }
        let is_searching = self.search == RecordSearch::Pending;
        let has_all_answers = self.awaited.is_empty() && !is_searching;
        if let Some((start, source, found_ms)) = &self.found {
            let is_settled = has_all_answers || now_ms >= found_ms + AGREEMENT_WAIT_MS;
            return is_settled.then(|| OriginVerdict::Found(start.clone(), *source));
        }
        let elapsed_ms = now_ms.saturating_sub(self.asked_ms);
        let mut candidates = self.candidates.iter();
        let only = candidates.next().filter(|_| candidates.next().is_none());
        let only = only.filter(|_| self.knows_history && (self.is_confirmed || self.asked == 0));
        let only = only.filter(|_| !self.has_several_records);
        // Routers that have just died do not answer, so most answers are enough for a
        // version of which nobody knows another one.
        let has_most_answers = self.awaited.len() * 2 < self.asked && !is_searching;
        let is_settled = match only {
            Some(_) => has_most_answers || (elapsed_ms >= ASK_AGAIN_MS && !is_searching),
            None => false,
        };
        if !is_settled && !has_all_answers && elapsed_ms < ANSWER_TIMEOUT_MS {
            return None;
        }
        Some(match only {
            Some(origin) => {
                let start = AttemptOrigin { origin: origin.clone(), attempt: 1 };
                OriginVerdict::Found(start, OriginSource::OnlyCandidate)
            }
            None => OriginVerdict::Unknown,
        })
    }
}
