//! The question where a stream began, and the verdict that follows from the answers.

use std::collections::BTreeSet;

use span_types::InstanceName;

use crate::{
    stream_origin::{AttemptOrigin, OriginAnswer, StreamOrigin, TOLD_ROUTERS},
    stream_records::RecordedOrigin,
};

/// Time after which routers that have not answered are asked again, in milliseconds.
/// The first question or its answer may be lost.
pub const ASK_AGAIN_MS: u64 = 100;
/// Time after which the records of the store are searched if routers have not answered that
/// would know the stream, in milliseconds; several round trips.
pub const SEARCH_AFTER_MS: u64 = 30;
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
    /// Nobody was told of it, so it began while its router knew no other place.
    Untold,
    /// The store has no record of it, so it began where streams without one do.
    Unrecorded,
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
    /// Nobody has searched.
    NotStarted,
    /// The records are being read.
    Pending,
    /// The records were read.
    Done,
    /// The store does not answer.
    Failed,
}

/// Routers that may know where a stream began, in the order of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InquiryRouters {
    /// This router.
    pub own: InstanceName,
    /// All routers, including this one and those that have died.
    pub ranked: Vec<InstanceName>,
    /// Those that are asked.
    pub asked: BTreeSet<InstanceName>,
    /// Whether the caller names the request that began the stream. Nobody knows a stream
    /// without a name, whether others were told of it or not.
    pub is_named: bool,
}

/// The question to other routers where a stream began, and their answers so far.
#[derive(Debug)]
pub struct OriginInquiry {
    asked_ms: u64,
    routers: InquiryRouters,
    /// Routers that have not answered.
    awaited: BTreeSet<InstanceName>,
    /// Routers that would know the stream if they had been told of it.
    witnesses: BTreeSet<InstanceName>,
    /// Whether any router knows which versions there were before it started.
    knows_history: bool,
    /// The latest attempt that was found, how, and when.
    found: Option<(AttemptOrigin, OriginSource, u64)>,
    is_contradictory: bool,
    /// Whether the store has contradicting records of the stream.
    has_several_records: bool,
    /// Where the stream may have begun, as far as any router knows.
    candidates: BTreeSet<StreamOrigin>,
    /// Where it may have begun without any router having been told.
    untold: BTreeSet<StreamOrigin>,
    /// Where it began if the store has no record of it, as the history tells that was read with
    /// the records.
    unrecorded: Option<StreamOrigin>,
    search: RecordSearch,
}

impl OriginInquiry {
    /// Begins an inquiry at other routers. `own` is what this router knows.
    pub fn new(
        now_ms: u64,
        routers: InquiryRouters,
        own: OriginAnswer,
        search: RecordSearch,
    ) -> Self {
        let mut inquiry = Self {
            asked_ms: now_ms,
            awaited: routers.asked.clone(),
            routers,
            witnesses: BTreeSet::new(),
            knows_history: false,
            found: None,
            is_contradictory: false,
            has_several_records: false,
            candidates: BTreeSet::new(),
            untold: BTreeSet::new(),
            unrecorded: None,
            search,
        };
        let own_name = inquiry.routers.own.clone();
        inquiry.add_answer(now_ms, &own_name, own, OriginSource::Known);
        inquiry
    }

    /// Where the stream may have begun, as far as any router knows.
    pub fn candidates(&self) -> &BTreeSet<StreamOrigin> {
        &self.candidates
    }

    /// Where the stream may have begun without any router having been told.
    pub fn untold(&self) -> &BTreeSet<StreamOrigin> {
        &self.untold
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

    /// Number of routers that would know the stream if they had been told of it.
    pub fn witness_count(&self) -> usize {
        self.witnesses.len()
    }

    /// Records the answer of a router.
    pub fn record(&mut self, now_ms: u64, from: &InstanceName, answer: OriginAnswer) {
        self.awaited.remove(from);
        if answer.has_searched && self.search != RecordSearch::Done {
            self.search = RecordSearch::Done;
        }
        self.add_answer(now_ms, from, answer, OriginSource::Asked);
    }

    fn add_answer(
        &mut self,
        now_ms: u64,
        from: &InstanceName,
        answer: OriginAnswer,
        source: OriginSource,
    ) {
        if let Some(start) = answer.start {
            self.find(now_ms, start, source);
        }
        if answer.is_witness {
            self.witnesses.insert(from.clone());
        }
        self.knows_history |= answer.knows_history;
        self.candidates.extend(answer.candidates);
        self.untold.extend(answer.untold);
    }

    /// Whether the records have to be searched, since the answers do not suffice.
    pub fn wants_search(&self, now_ms: u64) -> bool {
        let is_due = self.awaited.is_empty() || now_ms >= self.asked_ms + SEARCH_AFTER_MS;
        self.search == RecordSearch::NotStarted && is_due && self.verdict(now_ms).is_none()
    }

    /// Records that the records of the store are being searched.
    pub fn search_started(&mut self) {
        self.search = RecordSearch::Pending;
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
        let own_name = self.routers.own.clone();
        self.add_answer(now_ms, &own_name, own, OriginSource::Known);
        match recorded {
            Some(RecordedOrigin::At(start)) => self.find(now_ms, start, OriginSource::Recorded),
            Some(RecordedOrigin::Several) => self.has_several_records = true,
            Some(RecordedOrigin::None) | None => {}
        }
    }

    /// Records where the stream began if the store has no record of it. Only for the history that
    /// was read with the records, later than the stream was taken up.
    pub fn set_unrecorded(&mut self, origin: Option<StreamOrigin>) {
        self.unrecorded = origin;
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

    /// When the inquiry may change without a further answer, in milliseconds; none if that
    /// is not before the routers are asked again.
    pub fn next_change_ms(&self) -> Option<u64> {
        match &self.found {
            Some((.., found_ms)) => Some(found_ms + AGREEMENT_WAIT_MS),
            None if self.search == RecordSearch::NotStarted => {
                Some(self.asked_ms + SEARCH_AFTER_MS)
            }
            None => None,
        }
    }

    /// Where the stream began; none while answers are awaited that may tell.
    pub fn verdict(&self, now_ms: u64) -> Option<OriginVerdict> {
        if self.is_contradictory {
            return Some(OriginVerdict::Contradictory);
        }
        let has_all_answers = self.awaited.is_empty() && self.search != RecordSearch::Pending;
        if let Some((start, source, found_ms)) = &self.found {
            let is_settled = has_all_answers || now_ms >= found_ms + AGREEMENT_WAIT_MS;
            return is_settled.then(|| OriginVerdict::Found(start.clone(), *source));
        }
        let elapsed_ms = now_ms.saturating_sub(self.asked_ms);
        if let Some((origin, source)) = self.infer() {
            // Routers that have just died do not answer.
            let is_settled = has_all_answers || self.would_be_known();
            if is_settled || elapsed_ms >= ASK_AGAIN_MS {
                let start = AttemptOrigin { origin: origin.clone(), attempt: 1 };
                return Some(OriginVerdict::Found(start, source));
            }
        }
        let is_final = has_all_answers && self.search != RecordSearch::NotStarted;
        (is_final || elapsed_ms >= ANSWER_TIMEOUT_MS).then_some(OriginVerdict::Unknown)
    }

    /// Where the stream must have begun although nobody knows it.
    ///
    /// A router that knows of several places tells others of a stream before its first event.
    /// So one that nobody knows who would have been told began while its router knew of one
    /// place only.
    fn infer(&self) -> Option<(&StreamOrigin, OriginSource)> {
        if self.has_several_records || !self.knows_history {
            return None;
        }
        let is_told_by_others = self.witnesses.iter().any(|name| *name != self.routers.own);
        if let Some(only) = single(&self.candidates) {
            let is_certain = match self.search {
                RecordSearch::NotStarted | RecordSearch::Pending => {
                    is_told_by_others && self.routers.is_named && self.all_holders_are_witnesses()
                }
                // The history in the store has each version at which streams have begun.
                RecordSearch::Done => true,
                // A router that is cut off from the store, and from more than one other, is not
                // told of new versions.
                RecordSearch::Failed => {
                    let unheard = self.routers.ranked.len() - self.witnesses.len();
                    is_told_by_others && unheard <= 1 && self.would_be_known()
                }
            };
            return is_certain.then_some((only, OriginSource::OnlyCandidate));
        }
        if self.search != RecordSearch::Done || !self.routers.is_named {
            return None;
        }
        let untold = single(&self.untold).filter(|_| self.would_be_known());
        let unrecorded =
            self.unrecorded.as_ref().filter(|origin| self.candidates.contains(*origin));
        let untold = untold.map(|origin| (origin, OriginSource::Untold));
        untold.or(unrecorded.map(|origin| (origin, OriginSource::Unrecorded)))
    }

    /// Whether all routers that may have been told of the stream would know it.
    fn all_holders_are_witnesses(&self) -> bool {
        // One of them may be the router that began it.
        let mut holders = self.routers.ranked.iter().take(TOLD_ROUTERS + 1);
        holders.all(|name| self.witnesses.contains(name))
    }

    /// Whether a router would know the stream if others had been told of it, whichever began
    /// it.
    fn would_be_known(&self) -> bool {
        let is_witness = |name: &&InstanceName| self.witnesses.contains(*name);
        let ranked = &self.routers.ranked;
        let is_known_if_begun_by = |beginner: Option<&InstanceName>| {
            let others = ranked.iter().filter(|name| Some(*name) != beginner);
            others.take(TOLD_ROUTERS).any(|name| is_witness(&name))
        };
        // One that would know of its own streams did not begin this one.
        let mut beginners = ranked.iter().filter(|name| !is_witness(name)).peekable();
        match beginners.peek() {
            Some(_) => beginners.all(|beginner| is_known_if_begun_by(Some(beginner))),
            None => is_known_if_begun_by(None),
        }
    }
}

/// The only element of a set; none if there are several or none.
fn single<T>(set: &BTreeSet<T>) -> Option<&T> {
    let mut values = set.iter();
    values.next().filter(|_| values.next().is_none())
}
