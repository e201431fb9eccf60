//! Origins of streams that this router writes to the store.
//!
//! The store takes a few hundred writes a second from the whole fleet, so streams are
//! written in batches. A batch rewrites the newest segment, which holds the streams of a
//! few seconds, until a new segment begins. A segment is removed when its last stream is
//! over.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    net::IpAddr,
    sync::Arc,
};

use span_types::Member;

use crate::{
    stream_origin::{OriginNotice, StreamAttempt},
    stream_records::OriginSegment,
};

/// Interval between two batches, in milliseconds. Streams whose requests were sent since the
/// last one are lost with the memory of all routers; most of them have no event by then.
pub const FLUSH_INTERVAL_MS: u64 = 250;
/// Time for which streams are added to a segment, in milliseconds. Each batch sends the
/// segment whole, and each segment takes a call more for its removal.
pub const SEGMENT_SPAN_MS: u64 = 3_000;
/// Streams in a segment at most. They take 11 bytes each, a sixth of the size that a store
/// allows for an object.
pub const MAX_SEGMENT_STREAMS: usize = 16_384;
/// Time after which a router that has died is known not to write any more, in milliseconds,
/// with a batch that it had not written. Routers take a silent one for dead after 2.6 s.
const MAX_UNNOTICED_DEATH_MS: u64 = 4_000;
/// Streams in all segments at most, to bound the memory while the store does not answer.
const MAX_STREAMS: usize = 262_144;

#[derive(Debug)]
struct LogSegment {
    segment: OriginSegment,
    begun_ms: u64,
    /// When the last of its streams is over.
    expires_ms: u64,
    len: usize,
    /// Number of its streams that the store has; none before the first write.
    written_len: Option<usize>,
    /// Receipts that are due once the store has the streams, with the position of each.
    receipts: VecDeque<(usize, RecordReceipt)>,
    /// Whether the store may have an object of this name.
    may_exist: bool,
}

impl LogSegment {
    fn new(segment: OriginSegment) -> Self {
        Self {
            segment,
            begun_ms: 0,
            expires_ms: 0,
            len: 0,
            written_len: None,
            receipts: VecDeque::new(),
            may_exist: false,
        }
    }
}

/// Says that the store has the record of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordReceipt {
    /// Router that had it recorded; none for this one.
    pub router: Option<IpAddr>,
    /// The recorded attempt.
    pub stream: StreamAttempt,
}

/// A segment that has to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentWrite {
    /// The segment with all its streams so far.
    pub segment: OriginSegment,
    /// Number of the streams.
    pub len: usize,
    /// Whether the store may have an object of this name.
    pub may_exist: bool,
}

/// Segments of one router.
#[derive(Debug)]
pub struct OriginLog {
    /// Start of the names of all segments, which no other process uses.
    prefix: String,
    next_number: u64,
    segments: VecDeque<LogSegment>,
}

impl OriginLog {
    /// An empty log of a process. The names of its segments begin with `prefix`.
    pub fn new(prefix: String) -> Self {
        Self { prefix, next_number: 0, segments: VecDeque::new() }
    }

    /// Adds streams of `router`, none for this one. They wait for the next batch.
    ///
    /// # Errors
    ///
    /// Returns the number of streams for which there is no room.
    pub fn record(
        &mut self,
        now_ms: u64,
        router: Option<IpAddr>,
        notices: &[OriginNotice],
    ) -> Result<(), usize> {
        let room = MAX_STREAMS.saturating_sub(self.len());
        for notice in notices.iter().take(room) {
            let segment = self.open_segment(now_ms);
            let requests: &mut Vec<_> =
                segment.segment.streams.entry(notice.start.clone()).or_default();
            requests.push(notice.request);
            let receipt = RecordReceipt { router, stream: notice.stream_attempt() };
            segment.receipts.push_back((segment.len, receipt));
            segment.len += 1;
            segment.expires_ms = segment.expires_ms.max(now_ms + notice.lifetime_ms);
        }
        if notices.len() > room { Err(notices.len() - room) } else { Ok(()) }
    }

    fn next_name(&mut self) -> Arc<str> {
        let number = self.next_number;
        self.next_number += 1;
        format!("{}.{number}", self.prefix).into()
    }

    /// The segment that takes further streams.
    fn open_segment(&mut self, now_ms: u64) -> &mut LogSegment {
        let is_open = self.segments.back().is_some_and(|segment| {
            now_ms < segment.begun_ms + SEGMENT_SPAN_MS && segment.len < MAX_SEGMENT_STREAMS
        });
        if !is_open {
            let segment = OriginSegment { name: self.next_name(), streams: BTreeMap::new() };
            self.segments.push_back(LogSegment {
                begun_ms: now_ms,
                expires_ms: now_ms,
                ..LogSegment::new(segment)
            });
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    /// The next batch: all segments with streams that the store does not have, oldest first.
    pub fn take_batch(&mut self) -> Vec<SegmentWrite> {
        let unwritten = self
            .segments
            .iter_mut()
            .filter(|segment| segment.len > 0 && segment.written_len != Some(segment.len));
        let writes = unwritten.map(|unwritten| SegmentWrite {
            segment: unwritten.segment.clone(),
            len: unwritten.len,
            may_exist: mem::replace(&mut unwritten.may_exist, true),
        });
        writes.collect()
    }

    /// Records that the store has the first `len` streams of the segment `name`. Returns the
    /// receipts for those that it did not have before.
    pub fn written(&mut self, name: &str, len: usize) -> Vec<RecordReceipt> {
        let mut segments = self.segments.iter_mut();
        let Some(segment) = segments.find(|segment| *segment.segment.name == *name) else {
            return Vec::new();
        };
        segment.written_len = Some(len);
        let due = segment.receipts.partition_point(|(position, _)| *position < len);
        segment.receipts.drain(..due).map(|(_, receipt)| receipt).collect()
    }

    /// Records that the store did not answer the write of the segment `name`. It may execute
    /// the write later and undo a further one, so the streams move to a segment of another
    /// name.
    pub fn unanswered(&mut self, name: &str) {
        let mut segments = self.segments.iter_mut();
        let Some(segment) = segments.find(|segment| *segment.segment.name == *name) else {
            return;
        };
        let streams = mem::take(&mut segment.segment.streams);
        let receipts = mem::take(&mut segment.receipts);
        let (begun_ms, expires_ms, len) = (segment.begun_ms, segment.expires_ms, segment.len);
        // Stays to be removed from the store.
        (segment.len, segment.written_len) = (0, Some(0));
        let name = self.next_name();
        let moved = OriginSegment { name, streams };
        self.segments.push_back(LogSegment {
            begun_ms,
            expires_ms,
            len,
            receipts,
            ..LogSegment::new(moved)
        });
    }

    /// All segments have to be written again: the store may have lost them.
    pub fn rewrite_all(&mut self) {
        for segment in &mut self.segments {
            segment.written_len = None;
        }
    }

    /// Drops the segments whose streams are over, and returns the names of those that the
    /// store may have.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let segments = mem::take(&mut self.segments).into_iter();
        let (over, left): (Vec<_>, Vec<_>) = segments.partition(|segment| {
            now_ms >= segment.expires_ms && now_ms >= segment.begun_ms + SEGMENT_SPAN_MS
        });
        self.segments = left.into();
        let written = over.into_iter().filter(|segment| segment.may_exist);
        written.map(|segment| segment.segment.name).collect()
    }

    /// Number of streams that the store does not have yet.
    pub fn unwritten_len(&self) -> usize {
        let segments = self.segments.iter();
        segments.map(|segment| segment.len - segment.written_len.unwrap_or(0)).sum()
    }

    fn len(&self) -> usize {
        self.segments.iter().map(|segment| segment.len).sum()
    }
}

/// Streams that a router sent to the one that writes them to the store.
#[derive(Debug, Default)]
pub struct SentOrigins {
    sent: VecDeque<(u64, OriginNotice)>,
    keeper: Option<Member>,
}

impl SentOrigins {
    /// Records that `notices` are sent.
    pub fn push(&mut self, now_ms: u64, notices: &[OriginNotice]) {
        self.sent.extend(notices.iter().map(|notice| (now_ms, notice.clone())));
    }

    /// Sets the router that writes them from now on, none for this one itself, and forgets
    /// what an earlier one has written. If it is another one, returns the streams that the
    /// one before may not have written.
    pub fn set_keeper(&mut self, now_ms: u64, keeper: Option<Member>) -> Vec<OriginNotice> {
        self.sent.retain(|(sent_ms, _)| now_ms < sent_ms + MAX_UNNOTICED_DEATH_MS);
        if mem::replace(&mut self.keeper, keeper.clone()) == keeper {
            return Vec::new();
        }
        mem::take(&mut self.sent).into_iter().map(|(_, notice)| notice).collect()
    }
}

/// Segments in the store whose router has died, or forgot them.
#[derive(Debug, Default)]
pub struct OrphanSweep {
    /// When each segment was first seen.
    seen: BTreeMap<Arc<str>, u64>,
}

impl OrphanSweep {
    /// The segments of `listed`, all that the store has, that were seen for longer than a
    /// live router would keep one whose streams last for `lifetime_ms`.
    pub fn orphans(
        &mut self,
        now_ms: u64,
        listed: &[OriginSegment],
        lifetime_ms: u64,
    ) -> Vec<Arc<str>> {
        let seen = mem::take(&mut self.seen);
        self.seen = listed
            .iter()
            .map(|segment| {
                let first_ms = seen.get(&segment.name).copied().unwrap_or(now_ms);
                (segment.name.clone(), first_ms)
            })
            .collect();
        let keep_ms = lifetime_ms + 2 * SEGMENT_SPAN_MS;
        let orphans = self.seen.iter().filter(|(_, first_ms)| now_ms >= *first_ms + keep_ms);
        orphans.map(|(name, _)| name.clone()).collect()
    }
}
