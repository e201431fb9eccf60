//! Prompts that crash upstreams.
//!
//! A segment of a prompt may crash each upstream that begins an answer on it. Requests
//! with it come through any router and are otherwise sound, so each crash looks like a
//! failure of one upstream. Routers therefore note which segments the requests had that an
//! upstream was about to answer when it crashed, and tell each other. A segment that was
//! there at several crashes in a row, and on which no upstream has answered since the
//! first of them, is blocked. Crashes at about the same time may have a reason of their own,
//! such as a release; they count one by one only for a segment that is out of the ordinary.
//!
//! Prompts share segments, so a sound one may be at the same crashes as the reason for them. One
//! that was in ordinary use is not blocked if others explain all of its crashes that were not.
//! If that does not tell them apart, sound prompts may be rejected with the others. So routers
//! take turns to let a prompt through that lacks another segment of each crash. An answer shows
//! that its segments are sound, and a crash that they are not.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    rc::Rc,
};

use serde::{Deserialize, Serialize};
use span_types::UpstreamName;
use xxhash_rust::xxh3::xxh3_64;

use crate::wire_format::SegmentId;

/// Points from crashes in a row with which a segment is blocked: three crashes at the
/// start of an answer, or five while requests waited. A prompt that waits is mostly there
/// by chance, but the start of its answer may be lost with the connection.
const POINTS_TO_BLOCK: u32 = 15;
/// Least and greatest time after the last crash for which a segment stays blocked, in
/// milliseconds. In between, a block lasts as long as the segment has been known to crash
/// upstreams: the end of each block may cost another upstream and all its streams.
pub const MIN_AND_MAX_BLOCK_MS: (u64, u64) = (120_000, 3_600_000);
/// Time after the last crash for which a segment is remembered at least, in milliseconds.
const MIN_MEMORY_MS: u64 = 600_000;
/// Time after the start of an answer in which its prompt may be why the upstream crashes,
/// in milliseconds. Covers delays on the way to this router.
pub const RISK_MS: u64 = 250;
/// Time after the first bytes of an answer from which its prompt has not crashed the
/// upstream, in milliseconds.
pub const ANSWERED_MS: u64 = 500;
/// Crashes within this time are a group, in milliseconds. A group counts as one crash unless
/// the segment is out of the ordinary: when many upstreams end at once, their prompts are
/// mostly not the reason.
pub const SEPARATION_MS: u64 = 400;
/// Time for which an answer shows that a segment is in ordinary use, in milliseconds. What
/// several upstreams have at the same time is sent several times a second, so a sound one has
/// been answered within this time, even if answers take long.
pub const ORDINARY_USE_MS: u64 = 60_000;
/// Answers on prompts without a segment from which it is out of the ordinary. A segment that
/// is in half of the prompts is missed in all of them with a chance of 1 in 16, and by all of
/// several routers hardly ever.
pub const MIN_OTHER_ANSWERS: usize = 4;
/// Ends of upstreams without the segment, per end of one with it, from which a group has
/// another reason. Not zero, so that one end by chance hides no group of four or more.
const MAX_OTHER_ENDS: f64 = 0.25;
/// Time after its last news in which a group is judged, in milliseconds. Later, the ends of
/// other upstreams are forgotten.
const JUDGING_MS: u64 = 5_000;
/// Time after the end of a process in which routers find out, in milliseconds, for those on
/// which no request is about to be answered. The entry of a process that renews it no longer
/// lapses within 1.5 s, but a busy one is connected to within less.
const FIND_OUT_MS: u64 = 600;
/// Time for which the end of a process is remembered, in milliseconds. Exceeds
/// [`JUDGING_MS`] and the time in which a group gets further news.
const END_MEMORY_MS: u64 = 15_000;
/// Largest number of ends, and half of the largest number of answered segments, that are
/// remembered, to bound the memory.
const MAX_ENDS: usize = 512;
const MAX_ANSWERED_SEGMENTS: usize = 2_048;
/// Time in which other routers may object that upstreams answer on a segment, before it
/// is blocked, in milliseconds. Must exceed [`TICK_INTERVAL_MS`].
pub const OBJECTION_MS: u64 = 500;
/// Interval at which news is sent to the other routers, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 200;
/// Ticks between two copies of the histories to other routers, which may have missed
/// some news or have just started.
pub const TICKS_PER_COPY: u64 = 5;
/// Routers that get such a copy.
pub const COPY_RECEIVERS: usize = 3;
/// Largest number of segments in one datagram.
pub const MAX_NOTICES: usize = 64;
/// Time after a broken answer in which its upstream must be found to have ended, in
/// milliseconds. The entry of a process that renews it no longer lapses within seconds.
const CONFIRM_MS: u64 = 5_000;
/// Time after a broken answer in which a process that ends has closed its listening socket,
/// in milliseconds.
pub const CLOSE_MS: u64 = 100;
/// Time within which the connections to a process that ends are seen to break, in
/// milliseconds.
const SAME_END_MS: u64 = 250;
/// Crashes of the same process within this time are one that several routers saw at
/// different times, in milliseconds.
const SAME_PROCESS_MS: u64 = 3_000;
/// Largest numbers of segments, of crashes of a segment and of processes of a crash that
/// are kept, to bound the memory.
const MAX_SEGMENTS: usize = 512;
const MAX_CRASHES: usize = 8;
const MAX_PROCESSES: usize = 16;
/// Time for which one router at a time may let a prompt with blocked segments through, in
/// milliseconds, in the first turn. Covers most answers. Each turn is twice as long as the one
/// before.
pub const PROBE_TURN_MS: u64 = 2_000;
/// Turns after the start of a block. Each may cost an upstream.
const PROBE_TURNS: u32 = 4;
/// Time after the start of a block in which prompts that were sent before still crash upstreams,
/// in milliseconds.
const STRAGGLERS_MS: u64 = 1_500;
/// Crashes from which a segment that is not blocked may be the reason for those of another one.
const MIN_OTHER_CRASHES: usize = 2;
/// Largest number of blocked segments; the most suspicious ones. If more seem to crash
/// upstreams, the upstreams rather than the prompts are the reason.
pub const MAX_BLOCKED: usize = 8;

/// Identifies the process of an upstream, for comparisons between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessKey(u32);

impl ProcessKey {
    /// Hashes the name of an upstream.
    pub fn new(upstream: &UpstreamName) -> Self {
        Self(xxh3_64(upstream.as_str().as_bytes()) as u32)
    }
}

/// How far an upstream was with a request when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Progress {
    /// It had not begun to answer, as far as the router knows, or not within
    /// [`RISK_MS`].
    Waiting,
    /// It had just begun to answer.
    Answering,
}

impl Progress {
    fn points(self) -> u32 {
        match self {
            Self::Waiting => 3,
            Self::Answering => 5,
        }
    }
}

/// Crash of an upstream, or of several at about the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// The processes that ended.
    pub processes: Vec<ProcessKey>,
    /// How far they were with a request that has the segment.
    pub progress: Progress,
    /// Whether each process counts in full.
    pub counts_each: bool,
}

/// What a router tells others of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentNotice {
    /// The segment.
    pub segment: SegmentId,
    /// Crashes at which the segment was about to be answered, the oldest first.
    pub crashes: Vec<CrashNotice>,
    /// Time since the last request with the segment was sent that got an answer, in
    /// milliseconds.
    pub answered_age_ms: Option<u64>,
}

/// A crash. Its time is signed, since it may be before the start of this process's clock.
#[derive(Clone, Debug)]
struct Crash {
    at_ms: i64,
    /// When this router learned of it.
    learned_ms: u64,
    /// When this router learned of the last of the processes.
    changed_ms: u64,
    processes: Vec<ProcessKey>,
    progress: Progress,
    /// Whether each process counts in full, since the segment is out of the ordinary.
    counts_each: bool,
}

impl Crash {
    /// Weight of the crash, or of the group if each process counts. A group of four alone does
    /// not suffice to block; two groups do, or five crashes in any order, or three one by one.
    fn points(&self, counts_each: bool) -> u32 {
        let further = self.processes.len().saturating_sub(1) as u32;
        if !counts_each {
            return self.progress.points();
        }
        Progress::Answering.points() + further * Progress::Waiting.points()
    }

    /// Whether an answer at `answered_ms` shows that a segment was in ordinary use.
    fn is_in_ordinary_use(&self, answered_ms: Option<i64>) -> bool {
        is_in_use(answered_ms, self.at_ms)
    }
}

#[derive(Clone, Debug, Default)]
struct History {
    /// The oldest first.
    crashes: Vec<Crash>,
    /// When the last request with the segment was sent that got an answer.
    answered_ms: Option<i64>,
    /// Whether a crash has to be told to the other routers.
    has_untold_crash: bool,
    /// Whether an answer has to be told to the other routers.
    has_untold_answer: bool,
}

/// Whether an answer at `answered_ms` shows that a segment was in ordinary use at `at_ms`.
fn is_in_use(answered_ms: Option<i64>, at_ms: i64) -> bool {
    answered_ms
        .is_some_and(|answered_ms| answered_ms.saturating_add_unsigned(ORDINARY_USE_MS) > at_ms)
}

/// Age at `now_ms` of what happened at `at_ms`, in milliseconds.
fn age_ms(now_ms: u64, at_ms: i64) -> u64 {
    u64::try_from(now_ms as i64 - at_ms).unwrap_or(0)
}

/// Time of what is `age_ms` old at `now_ms`, in milliseconds.
fn time_ms(now_ms: u64, age_ms: u64) -> i64 {
    (now_ms as i64).saturating_sub_unsigned(age_ms)
}

impl History {
    fn last_crash_ms(&self) -> i64 {
        self.crashes.last().map_or(0, |crash| crash.at_ms)
    }

    /// Crashes since the last request that got an answer was sent.
    fn unanswered(&self) -> impl Iterator<Item = &Crash> {
        let answered_ms = self.answered_ms;
        self.crashes
            .iter()
            .filter(move |crash| answered_ms.is_none_or(|answered_ms| crash.at_ms >= answered_ms))
    }

    /// Whether the segment was there when a process of `crash` ended, and is not answered since.
    /// Another process may have had its name.
    fn was_at(&self, crash: &Crash, process: &ProcessKey) -> bool {
        self.unanswered().any(|own| {
            own.at_ms.abs_diff(crash.at_ms) < SAME_PROCESS_MS && own.processes.contains(process)
        })
    }

    /// Whether the segment was in ordinary use at a crash.
    fn is_ordinary_at(&self, crash: &Crash) -> bool {
        crash.is_in_ordinary_use(self.answered_ms)
    }

    /// Weight of a crash.
    fn crash_points(&self, crash: &Crash) -> u32 {
        crash.points(crash.counts_each && !crash.is_in_ordinary_use(self.answered_ms))
    }

    /// Weight of the suspicion.
    fn points(&self) -> u32 {
        self.unanswered().map(|crash| self.crash_points(crash)).sum()
    }

    /// Weight of the suspicion at a router that counts each process and knows of the answer at
    /// `answered_ms`, if any.
    fn greatest_points(&self, answered_ms: Option<i64>) -> u32 {
        let crashes = self.crashes.iter();
        let unanswered = crashes
            .filter(|crash| answered_ms.is_none_or(|answered_ms| crash.at_ms >= answered_ms));
        unanswered.map(|crash| crash.points(!crash.is_in_ordinary_use(answered_ms))).sum()
    }

    /// Time for which a block lasts after the last crash, in milliseconds.
    fn block_ms(&self) -> u64 {
        let last_ms = self.last_crash_ms();
        let first_ms = self.unanswered().next().map_or(last_ms, |crash| crash.at_ms);
        last_ms.abs_diff(first_ms).clamp(MIN_AND_MAX_BLOCK_MS.0, MIN_AND_MAX_BLOCK_MS.1)
    }

    /// End of the block at `now_ms`, if there is one.
    fn blocked_until_ms(&self, now_ms: u64) -> Option<u64> {
        let mut points = 0;
        let decisive = self.unanswered().find(|crash| {
            points += self.crash_points(crash);
            points >= POINTS_TO_BLOCK
        })?;
        let until_ms = self.last_crash_ms().checked_add_unsigned(self.block_ms())?;
        let until_ms = u64::try_from(until_ms).ok()?;
        (now_ms >= decisive.learned_ms + OBJECTION_MS && now_ms < until_ms).then_some(until_ms)
    }

    /// Whether a router that knows the crashes but not the answers would suspect the segment
    /// wrongly.
    fn has_answer_to_tell(&self) -> bool {
        let is_first_crash_answered = self.unanswered().count() < self.crashes.len();
        (self.crashes.len() > 1 && is_first_crash_answered)
            || (self.greatest_points(None) >= POINTS_TO_BLOCK
                && self.greatest_points(self.answered_ms) < POINTS_TO_BLOCK)
    }

    /// Whether a router that does not know of the segment may have to.
    fn has_several_crashes(&self) -> bool {
        self.unanswered().count() > 1
            || self.unanswered().any(|crash| self.crash_points(crash) > crash.progress.points())
    }

    fn is_over(&self, now_ms: u64) -> bool {
        age_ms(now_ms, self.last_crash_ms()) >= MIN_MEMORY_MS.max(2 * self.block_ms())
    }

    /// Adds a crash, unless it is known. Returns whether it is news.
    fn add_crash(&mut self, now_ms: u64, at_ms: i64, crash: &CrashNotice) -> bool {
        let CrashNotice { processes, progress, counts_each, .. } = crash;
        let is_shared = |crash: &Crash| {
            crash.at_ms.abs_diff(at_ms) < SAME_PROCESS_MS
                && crash.processes.iter().any(|process| processes.contains(process))
        };
        let is_close = |crash: &Crash| crash.at_ms.abs_diff(at_ms) < SEPARATION_MS;
        let position = self.crashes.iter().position(is_shared);
        let position = position.or_else(|| self.crashes.iter().position(is_close));
        if let Some(known) = position.map(|position| &mut self.crashes[position]) {
            // News takes time, so the earliest time is the most exact.
            known.at_ms = known.at_ms.min(at_ms);
            let mut is_news = *progress > known.progress || (*counts_each && !known.counts_each);
            known.progress = known.progress.max(*progress);
            known.counts_each |= counts_each;
            for process in processes {
                let is_new = !known.processes.contains(process);
                if is_new && known.processes.len() < MAX_PROCESSES {
                    known.processes.push(*process);
                    known.changed_ms = now_ms;
                    is_news = true;
                }
            }
            return is_news;
        }
        self.crashes.push(Crash {
            at_ms,
            learned_ms: now_ms,
            changed_ms: now_ms,
            processes: processes.clone(),
            progress: *progress,
            counts_each: *counts_each,
        });
        self.crashes.sort_by_key(|crash| crash.at_ms);
        if self.crashes.len() > MAX_CRASHES {
            // The first one tells for how long the segment has crashed upstreams.
            self.crashes.remove(1);
        }
        true
    }

    fn notice(&self, now_ms: u64, segment: SegmentId) -> SegmentNotice {
        let crashes = self.crashes.iter().map(|crash| CrashNotice {
            age_ms: age_ms(now_ms, crash.at_ms),
            processes: crash.processes.clone(),
            progress: crash.progress,
            counts_each: crash.counts_each,
        });
        SegmentNotice {
            segment,
            crashes: crashes.collect(),
            answered_age_ms: self.answered_ms.map(|at_ms| age_ms(now_ms, at_ms)),
        }
    }
}

/// Segments on which upstreams have answered, and how many prompts.
#[derive(Debug, Default)]
struct Answers {
    /// When the last request with a segment was sent that got an answer.
    segments: HashMap<SegmentId, i64>,
    /// The same, of longer ago.
    earlier: HashMap<SegmentId, i64>,
    /// When the last [`MIN_OTHER_ANSWERS`] requests with segments were sent that got an
    /// answer.
    sent_ms: VecDeque<u64>,
    /// Whether there was an answer since the last tick.
    is_fresh: bool,
    /// Time of the last tick, and of the last one that an answer followed.
    tick_ms: u64,
    followed_tick_ms: Option<u64>,
}

impl Answers {
    fn tick(&mut self, now_ms: u64) {
        if std::mem::take(&mut self.is_fresh) {
            self.followed_tick_ms = Some(self.tick_ms);
        }
        self.tick_ms = now_ms;
    }

    /// Whether an answer is known to have come after `at_ms`.
    fn has_any_since(&self, at_ms: u64) -> bool {
        self.followed_tick_ms.is_some_and(|tick_ms| tick_ms >= at_ms)
    }

    fn record(&mut self, sent_ms: u64, segments: &[SegmentId]) {
        if segments.is_empty() {
            return;
        }
        if self.sent_ms.len() >= MIN_OTHER_ANSWERS {
            self.sent_ms.pop_front();
        }
        self.sent_ms.push_back(sent_ms);
        self.is_fresh = true;
        for segment in segments {
            let last_ms = self.last_ms(*segment).max(Some(sent_ms as i64));
            if self.segments.len() >= MAX_ANSWERED_SEGMENTS {
                self.earlier = std::mem::take(&mut self.segments);
            }
            self.segments.extend(last_ms.map(|last_ms| (*segment, last_ms)));
        }
    }

    fn last_ms(&self, segment: SegmentId) -> Option<i64> {
        self.segments.get(&segment).or_else(|| self.earlier.get(&segment)).copied()
    }

    /// Whether enough prompts were answered lately to tell what is in ordinary use.
    fn are_enough(&self, now_ms: u64) -> bool {
        let recent = self.sent_ms.iter().filter(|sent_ms| now_ms < **sent_ms + ORDINARY_USE_MS);
        recent.count() >= MIN_OTHER_ANSWERS
    }
}

/// An answer that broke off, or did not come, while its prompt may have been the reason.
#[derive(Clone, Debug)]
struct BrokenAnswer {
    broken_ms: u64,
    segments: Rc<[SegmentId]>,
    progress: Progress,
    /// When the request was sent, if the answer is complete unless the upstream crashed.
    sent_if_complete_ms: Option<u64>,
}

/// A segment that is blocked from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockChange {
    /// The segment.
    pub segment: SegmentId,
    /// Whether it is blocked now.
    pub is_blocked: bool,
    /// Crashes of upstreams that had just begun to answer on it.
    pub while_answering: usize,
    /// Crashes of upstreams at which requests with it waited.
    pub while_waiting: usize,
}

/// A router's place in the order in which they let prompts with blocked segments through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRank {
    /// Number of routers before this one.
    pub rank: usize,
    /// Number of all routers.
    pub routers: usize,
}

impl ProbeRank {
    /// Whether it is this router's turn.
    fn has_turn(self, turn: u32) -> bool {
        turn as usize % self.routers.max(1) == self.rank
    }
}

/// Number of the turn that began when a segment has been blocked for `blocked_ms`; none after the
/// last one.
fn probe_turn(blocked_ms: u64) -> Option<u32> {
    let turn = (blocked_ms / PROBE_TURN_MS + 1).ilog2();
    (turn < PROBE_TURNS).then_some(turn)
}

/// What a router knows of segments that may crash upstreams.
#[derive(Debug, Default)]
pub struct PromptCrashes {
    /// Broken answers by upstream, until the upstream is known to have ended.
    broken: BTreeMap<UpstreamName, Vec<BrokenAnswer>>,
    /// Upstreams that have ended, with the time at which this router found out.
    ended: BTreeMap<UpstreamName, u64>,
    histories: HashMap<SegmentId, History>,
    /// Blocked segments, and since when.
    blocked: BTreeMap<SegmentId, u64>,
    /// When this router last let a prompt with blocked segments through.
    probed_ms: Option<u64>,
    answers: Answers,
    /// Processes that ended lately, whatever they had, and when.
    ends: VecDeque<(ProcessKey, i64)>,
}

impl PromptCrashes {
    /// Records that the connection to an upstream broke before the upstream had answered
    /// for [`ANSWERED_MS`] on a prompt with these segments. Returns whether it is the first
    /// such answer of late, so that somebody has to find out whether the upstream has ended.
    pub fn record_broken(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        segments: &Rc<[SegmentId]>,
        progress: Progress,
    ) -> bool {
        self.record_end(now_ms, upstream, segments, progress, None)
    }

    /// Records that an answer ended with its connection within [`ANSWERED_MS`]: it is
    /// complete, unless the upstream is found to have ended. The request was sent at
    /// `sent_ms`. Returns the same.
    pub fn record_closed(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        segments: &Rc<[SegmentId]>,
        progress: Progress,
        sent_ms: u64,
    ) -> bool {
        self.record_end(now_ms, upstream, segments, progress, Some(sent_ms))
    }

    fn record_end(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        segments: &Rc<[SegmentId]>,
        progress: Progress,
        sent_if_complete_ms: Option<u64>,
    ) -> bool {
        if segments.is_empty() {
            return false;
        }
        let segments = segments.clone();
        let answer = BrokenAnswer { broken_ms: now_ms, segments, progress, sent_if_complete_ms };
        if self.ended.contains_key(upstream) {
            self.add_crash(now_ms, upstream, &[answer]);
            return false;
        }
        let answers = self.broken.entry(upstream.clone()).or_default();
        answers.push(answer);
        answers.len() == 1
    }

    /// Records that the process of an upstream has ended. Returns whether that is news.
    pub fn record_ended(&mut self, now_ms: u64, upstream: &UpstreamName) -> bool {
        let is_new = self.ended.insert(upstream.clone(), now_ms).is_none();
        let first_ms = self.broken.get(upstream).and_then(|answers| answers.first());
        let at_ms = first_ms.map_or(now_ms, |answer| answer.broken_ms);
        self.add_end(ProcessKey::new(upstream), at_ms as i64);
        let mut answers = self.broken.remove(upstream).unwrap_or_default();
        let last_ms = answers.iter().map(|answer| answer.broken_ms).max().unwrap_or(0);
        answers.retain(|answer| {
            answer.broken_ms + SAME_END_MS >= last_ms && now_ms < answer.broken_ms + CONFIRM_MS
        });
        self.add_crash(now_ms, upstream, &answers);
        is_new
    }

    /// Records that an upstream has no entry any more.
    pub fn record_removed(&mut self, now_ms: u64, upstream: &UpstreamName) {
        if self.broken.contains_key(upstream) {
            self.record_ended(now_ms, upstream);
        }
    }

    /// Records that a new process runs under the name of an upstream.
    pub fn record_started(&mut self, now_ms: u64, upstream: &UpstreamName) {
        self.record_removed(now_ms, upstream);
        self.ended.remove(upstream);
    }

    fn add_crash(&mut self, now_ms: u64, upstream: &UpstreamName, answers: &[BrokenAnswer]) {
        let Some(at_ms) = answers.iter().map(|answer| answer.broken_ms).min() else {
            return;
        };
        let mut suspects: BTreeMap<SegmentId, Progress> = BTreeMap::new();
        for answer in answers {
            for segment in answer.segments.iter() {
                let progress = suspects.entry(*segment).or_insert(answer.progress);
                *progress = answer.progress.max(*progress);
            }
        }
        // A blocked segment explains the crash, but another one may explain both.
        if suspects.keys().any(|segment| self.blocked.contains_key(segment)) {
            suspects.retain(|segment, _| {
                let last_ms = self.answers.last_ms(*segment);
                self.blocked.contains_key(segment) || !is_in_use(last_ms, at_ms as i64)
            });
        }
        for (segment, progress) in suspects {
            let history = self.history(segment);
            let processes = vec![ProcessKey::new(upstream)];
            let crash = CrashNotice {
                age_ms: age_ms(now_ms, at_ms as i64),
                processes,
                progress,
                counts_each: false,
            };
            let is_news = history.add_crash(now_ms, at_ms as i64, &crash);
            history.has_untold_crash |= is_news;
            history.has_untold_answer |= is_news && history.has_answer_to_tell();
        }
    }

    /// History of a segment; the least suspicious one makes room for a new one.
    fn history(&mut self, segment: SegmentId) -> &mut History {
        if self.histories.len() >= MAX_SEGMENTS && !self.histories.contains_key(&segment) {
            let rank = |history: &History| (history.unanswered().count(), history.last_crash_ms());
            let least = self.histories.iter().min_by_key(|(_, history)| rank(history));
            if let Some(least) = least.map(|(segment, _)| *segment) {
                self.histories.remove(&least);
            }
        }
        let answered_ms = self.answers.last_ms(segment);
        let new = || History { answered_ms, ..History::default() };
        self.histories.entry(segment).or_insert_with(new)
    }

    /// Notes that a process has ended, unless it is known.
    fn add_end(&mut self, process: ProcessKey, at_ms: i64) {
        let is_same = |(known, known_ms): &(ProcessKey, i64)| {
            *known == process && known_ms.abs_diff(at_ms) < SAME_PROCESS_MS
        };
        if self.ends.iter().any(is_same) {
            return;
        }
        if self.ends.len() >= MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back((process, at_ms));
    }

    /// Decides which groups of crashes count one by one for a segment, and which single crashes
    /// count in full although it waited. They do if the segment is not in ordinary use, which other
    /// prompts show that were answered, also since the crashes, and if hardly any upstream without
    /// it ended at the same time.
    fn judge_groups(&mut self, now_ms: u64) {
        if !self.answers.are_enough(now_ms) {
            return;
        }
        let (ends, answers) = (&self.ends, &self.answers);
        for history in self.histories.values_mut() {
            let answered_ms = history.answered_ms;
            let is_due = |crash: &Crash| {
                (crash.processes.len() > 1 || crash.progress == Progress::Waiting)
                    && !crash.counts_each
                    && now_ms >= crash.changed_ms + OBJECTION_MS
                    && now_ms < crash.changed_ms + JUDGING_MS
                    && age_ms(now_ms, crash.at_ms) < END_MEMORY_MS
                    && answers.has_any_since(crash.changed_ms)
                    && !crash.is_in_ordinary_use(answered_ms)
            };
            for index in 0..history.crashes.len() {
                let crash = &history.crashes[index];
                if !is_due(crash) {
                    continue;
                }
                let has_segment = |process: &ProcessKey| {
                    history.crashes.iter().any(|crash| crash.processes.contains(process))
                };
                let earliest_ms = crash.at_ms.saturating_sub_unsigned(SEPARATION_MS);
                let latest_ms = crash.at_ms.saturating_add_unsigned(SEPARATION_MS + FIND_OUT_MS);
                let others = ends.iter().filter(|(process, at_ms)| {
                    (earliest_ms..latest_ms).contains(at_ms) && !has_segment(process)
                });
                let allowed = crash.processes.len() as f64 * MAX_OTHER_ENDS;
                if others.count() as f64 <= allowed {
                    history.crashes[index].counts_each = true;
                    history.has_untold_crash = true;
                }
            }
        }
    }

    /// Records that an upstream has answered on a prompt with these segments, which was
    /// sent at `sent_ms`.
    pub fn record_answered(&mut self, sent_ms: u64, segments: &[SegmentId]) {
        self.answers.record(sent_ms, segments);
        for segment in segments {
            let Some(history) = self.histories.get_mut(segment) else {
                continue;
            };
            let known_points = history.greatest_points(history.answered_ms);
            history.answered_ms = history.answered_ms.max(Some(sent_ms as i64));
            let is_news = history.greatest_points(history.answered_ms) < known_points;
            history.has_untold_answer |= is_news && history.has_answer_to_tell();
        }
    }

    /// Takes over what another router tells.
    pub fn learn(&mut self, now_ms: u64, notices: &[SegmentNotice]) {
        for notice in notices {
            let has_recent =
                notice.crashes.iter().any(|crash| crash.age_ms < MIN_AND_MAX_BLOCK_MS.1);
            if !has_recent {
                continue;
            }
            for crash in notice.crashes.iter().filter(|crash| crash.age_ms < END_MEMORY_MS) {
                let at_ms = time_ms(now_ms, crash.age_ms);
                crash.processes.iter().for_each(|process| self.add_end(*process, at_ms));
            }
            let history = self.history(notice.segment);
            let mut has_new_crash = false;
            for crash in &notice.crashes {
                let at_ms = time_ms(now_ms, crash.age_ms);
                has_new_crash |= history.add_crash(now_ms, at_ms, crash);
            }
            history.has_untold_answer |= has_new_crash && history.has_answer_to_tell();
            let told_ms = notice.answered_age_ms.map(|age_ms| time_ms(now_ms, age_ms));
            let own_ms = history.answered_ms;
            if history.greatest_points(told_ms) <= history.greatest_points(own_ms) {
                history.has_untold_answer = false;
            }
            history.answered_ms = told_ms.max(own_ms);
        }
    }

    /// The first segment that is blocked, and for how long, in milliseconds.
    pub fn find_blocked(&self, now_ms: u64, segments: &[SegmentId]) -> Option<(SegmentId, u64)> {
        let segment = segments.iter().find(|segment| self.blocked.contains_key(segment))?;
        let until_ms = self.histories.get(segment)?.blocked_until_ms(now_ms)?;
        Some((*segment, until_ms - now_ms))
    }

    /// Whether a prompt with blocked segments may be sent all the same, to find out whether they
    /// are sound. One router at a time may do so, once in each turn.
    pub fn may_probe(&self, now_ms: u64, segments: &[SegmentId], rank: ProbeRank) -> bool {
        let blocked = || segments.iter().filter(|segment| self.blocked.contains_key(*segment));
        let Some(since_ms) = blocked().filter_map(|segment| self.blocked.get(segment)).max() else {
            return false;
        };
        let turn = |at_ms: u64| probe_turn(at_ms.saturating_sub(*since_ms));
        let Some(now_turn) = turn(now_ms).filter(|now_turn| rank.has_turn(*now_turn)) else {
            return false;
        };
        let has_probed = self.probed_ms.is_some_and(|probed_ms| {
            let was_this_turn = probed_ms >= *since_ms && turn(probed_ms) == Some(now_turn);
            was_this_turn || now_ms < probed_ms + PROBE_TURN_MS
        });
        !has_probed && blocked().all(|segment| self.may_be_sound(*segment, segments))
    }

    /// Records that a prompt with blocked segments is sent all the same.
    pub fn probe_sent(&mut self, now_ms: u64) {
        self.probed_ms = Some(now_ms);
    }

    /// Records that such a prompt did not reach an upstream after all.
    pub fn probe_not_sent(&mut self) {
        self.probed_ms = None;
    }

    /// Whether another segment, which `prompt` lacks, may be the reason for each crash of a blocked
    /// one. A crash on a prompt that was let through leaves none.
    fn may_be_sound(&self, segment: SegmentId, prompt: &[SegmentId]) -> bool {
        let Some(history) = self.histories.get(&segment) else { return false };
        let Some(since_ms) = self.blocked.get(&segment) else { return true };
        let mut is_other_blocked = true;
        let mut most_crashes = 0;
        for crash in history.unanswered() {
            let is_early = crash.learned_ms < since_ms + STRAGGLERS_MS;
            for process in &crash.processes {
                let others = self.histories.iter().filter(|(other, known)| {
                    **other != segment && !prompt.contains(other) && known.was_at(crash, process)
                });
                let (mut is_blocked, mut crashes) = (false, 0);
                for (other, known) in others {
                    is_blocked |= self.blocked.contains_key(other);
                    if is_early && !known.is_ordinary_at(crash) {
                        crashes = crashes.max(known.unanswered().count());
                    }
                }
                if !is_blocked && crashes == 0 {
                    return false;
                }
                is_other_blocked &= is_blocked;
                most_crashes = most_crashes.max(crashes);
            }
        }
        is_other_blocked || most_crashes >= MIN_OTHER_CRASHES
    }

    /// Whether segments of `due`, which were not in ordinary use, explain all crashes of one that
    /// was: prompts without them were answered.
    fn is_explained(&self, segment: SegmentId, due: &[SegmentId]) -> bool {
        let Some(history) = self.histories.get(&segment) else { return false };
        let explains = |other: &SegmentId, crash: &Crash, process: &ProcessKey| {
            let known = self.histories.get(other).filter(|_| *other != segment);
            known.is_some_and(|known| !known.is_ordinary_at(crash) && known.was_at(crash, process))
        };
        history.unanswered().all(|crash| {
            history.is_ordinary_at(crash)
                && crash
                    .processes
                    .iter()
                    .all(|process| due.iter().any(|other| explains(other, crash, process)))
        })
    }

    /// Number of blocked segments.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Crashes without an answer since, by the progress of the upstream.
    fn crash_count(&self, segment: SegmentId, progress: Progress) -> usize {
        let history = self.histories.get(&segment).into_iter();
        let crashes = history.flat_map(History::unanswered);
        let counts = crashes
            .filter(|crash| crash.progress == progress)
            .map(|crash| if crash.counts_each { crash.processes.len() } else { 1 });
        counts.sum()
    }

    /// Forgets what is over, blocks segments and ends blocks. Returns the changes.
    pub fn tick(&mut self, now_ms: u64) -> Vec<BlockChange> {
        self.histories.retain(|_, history| !history.is_over(now_ms));
        self.ended.retain(|_, ended_ms| now_ms < *ended_ms + CONFIRM_MS);
        let mut complete = Vec::new();
        self.broken.retain(|_, answers| {
            answers.retain(|answer| {
                let is_open = now_ms < answer.broken_ms + CONFIRM_MS;
                if let Some(sent_ms) = answer.sent_if_complete_ms.filter(|_| !is_open) {
                    complete.push((sent_ms, answer.segments.clone()));
                }
                is_open
            });
            !answers.is_empty()
        });
        for (sent_ms, segments) in complete {
            self.record_answered(sent_ms, &segments);
        }
        let is_remembered = |at_ms: i64| age_ms(now_ms, at_ms) < END_MEMORY_MS;
        self.ends.retain(|(_, at_ms)| is_remembered(*at_ms));
        self.answers.tick(now_ms);
        self.judge_groups(now_ms);
        let is_due =
            |(_, history): &(&SegmentId, &History)| history.blocked_until_ms(now_ms).is_some();
        let mut due: Vec<(&SegmentId, &History)> = self.histories.iter().filter(is_due).collect();
        due.sort_by_key(|(segment, history)| (Reverse(history.points()), **segment));
        let due: Vec<SegmentId> = due.into_iter().map(|(segment, _)| *segment).collect();
        let unexplained = due.iter().filter(|segment| !self.is_explained(**segment, &due));
        let blocked: BTreeSet<SegmentId> = unexplained.take(MAX_BLOCKED).copied().collect();
        let known: BTreeSet<SegmentId> = self.blocked.keys().copied().collect();
        let changed = blocked.symmetric_difference(&known).map(|segment| BlockChange {
            segment: *segment,
            is_blocked: blocked.contains(segment),
            while_answering: self.crash_count(*segment, Progress::Answering),
            while_waiting: self.crash_count(*segment, Progress::Waiting),
        });
        let changes = changed.collect();
        self.blocked.retain(|segment, _| blocked.contains(segment));
        for segment in blocked {
            self.blocked.entry(segment).or_insert(now_ms);
        }
        changes
    }

    /// News for the other routers since the last call.
    pub fn take_news(&mut self, now_ms: u64) -> Vec<SegmentNotice> {
        let mut news = Vec::new();
        for (segment, history) in &mut self.histories {
            let has_untold_crash = std::mem::take(&mut history.has_untold_crash);
            if std::mem::take(&mut history.has_untold_answer) || has_untold_crash {
                news.push(history.notice(now_ms, *segment));
            }
        }
        news.sort_by_key(|notice| notice.segment);
        news
    }

    /// The segments with more than one crash that counts, the most suspicious first, for a router that
    /// may not know of them.
    pub fn copy(&self, now_ms: u64) -> Vec<SegmentNotice> {
        let mut suspects: Vec<(&SegmentId, &History)> =
            self.histories.iter().filter(|(_, history)| history.has_several_crashes()).collect();
        suspects.sort_by_key(|(segment, history)| (Reverse(history.points()), **segment));
        suspects.truncate(MAX_NOTICES);
        suspects.into_iter().map(|(segment, history)| history.notice(now_ms, *segment)).collect()
    }
}
