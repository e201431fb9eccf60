//! What the accepted connections do, and which are closed first if there is no room for all.

use std::collections::BTreeMap;

/// Identifies an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Shortest time without a request after which a connection may be closed to make room, in
/// milliseconds. The first request of a new one may be about to arrive.
const MIN_IDLE_MS: u64 = 200;
/// Shortest time without progress after which a request or an answer may be given up to make
/// room, in milliseconds. A lost packet is sent again sooner.
const MIN_STALL_MS: u64 = 2_000;
/// Rate of a body below which it makes no progress that counts, in bytes per second. The slowest
/// links carry several times as much, and a body of this rate has few bytes within a time limit.
const MIN_BODY_BYTES_PER_S: u64 = 512;
/// Most that one tick adds to the time that connections are judged by, in milliseconds. A
/// process that could not run has not read what clients sent.
const MAX_TICK_MS: u64 = 500;

/// What a connection does, the cheapest to lose first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Activity {
    /// Waits for a request.
    Idle,
    /// A part of a request's head has arrived.
    ReadingHead,
    /// A part of a request's body has arrived.
    ReadingBody,
    /// Its client does not read the answer.
    AnswerUnread,
    /// Its request is served.
    Working,
}

#[derive(Debug)]
struct Entry<H> {
    /// The listener that accepted it.
    listener: usize,
    handle: H,
    activity: Activity,
    /// When the activity began or last made progress, whichever counts for it.
    since_ms: u64,
    /// When the activity began, and the bytes that arrived since.
    began_ms: u64,
    received_bytes: u64,
    /// Requests whose answer is not complete.
    open_requests: u32,
    is_closing: bool,
}

/// Accepted connections. `H` is what closes one. Its times are those in which the process ran.
#[derive(Debug)]
pub struct ConnectionTable<H> {
    entries: BTreeMap<ConnectionId, Entry<H>>,
    next_id: u64,
    now_ms: u64,
    last_tick_ms: u64,
}

impl<H> Default for ConnectionTable<H> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), next_id: 0, now_ms: 0, last_tick_ms: 0 }
    }
}

impl<H: Clone> ConnectionTable<H> {
    /// Lets the time pass in which the process ran.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms += now_ms.saturating_sub(self.last_tick_ms).min(MAX_TICK_MS);
        self.last_tick_ms = now_ms;
    }

    /// Adds a connection of a listener.
    pub fn add(&mut self, listener: usize, handle: H) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            listener,
            handle,
            activity: Activity::Idle,
            since_ms: self.now_ms,
            began_ms: self.now_ms,
            received_bytes: 0,
            open_requests: 0,
            is_closing: false,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.entries.remove(&id);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of open connections of a listener in each activity.
    pub fn count_activities(&self, listener: usize) -> BTreeMap<Activity, usize> {
        let mut counts = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.listener == listener) {
            *counts.entry(entry.activity).or_default() += 1;
        }
        counts
    }

    /// What a connection does.
    pub fn activity(&self, id: ConnectionId) -> Option<Activity> {
        self.entries.get(&id).map(|entry| entry.activity)
    }

    /// Records that `bytes` arrived.
    pub fn received(&mut self, id: ConnectionId, bytes: u64) {
        let now_ms = self.now_ms;
        self.update(id, |entry| match entry.activity {
            Activity::Idle => entry.change(Activity::ReadingHead, now_ms),
            Activity::ReadingBody => {
                entry.since_ms = now_ms;
                entry.received_bytes += bytes;
            }
            // The time of a head counts from its first byte.
            Activity::ReadingHead | Activity::AnswerUnread | Activity::Working => {}
        });
    }

    /// Records that the head of a request is complete.
    pub fn request_begins(&mut self, id: ConnectionId) {
        let now_ms = self.now_ms;
        self.update(id, |entry| {
            entry.open_requests += 1;
            entry.change(Activity::Working, now_ms);
        });
    }

    /// Records that the body of a request is awaited, or that it is complete.
    pub fn reads_body(&mut self, id: ConnectionId, is_reading: bool) {
        let now_ms = self.now_ms;
        let activity = if is_reading { Activity::ReadingBody } else { Activity::Working };
        self.update(id, |entry| entry.change(activity, now_ms));
    }

    /// Records that the answer to a request was handed over to be written.
    pub fn request_ends(&mut self, id: ConnectionId) {
        let now_ms = self.now_ms;
        self.update(id, |entry| {
            entry.open_requests = entry.open_requests.saturating_sub(1);
            if entry.activity != Activity::AnswerUnread {
                entry.rest(now_ms);
            }
        });
    }

    /// Records that the client took bytes of an answer, or that it takes none at the moment.
    pub fn written(&mut self, id: ConnectionId, takes_bytes: bool) {
        let now_ms = self.now_ms;
        self.update(id, |entry| match (entry.activity, takes_bytes) {
            (Activity::AnswerUnread, true) => entry.rest(now_ms),
            (Activity::AnswerUnread, false) | (_, true) => {}
            (_, false) => entry.change(Activity::AnswerUnread, now_ms),
        });
    }

    /// The connection that is closed first to make room, if any may be; of one listener, or of
    /// all. One that works is never closed.
    pub fn choose_victim(&mut self, listener: Option<usize>) -> Option<(Activity, H)> {
        let now_ms = self.now_ms;
        let candidates = self.entries.iter_mut().filter(|(_, entry)| {
            let stalled_ms = now_ms.saturating_sub(entry.since_ms);
            let may_close = match entry.activity {
                Activity::Idle | Activity::ReadingHead => stalled_ms >= MIN_IDLE_MS,
                Activity::ReadingBody => stalled_ms >= MIN_STALL_MS || entry.trickles(now_ms),
                Activity::AnswerUnread => stalled_ms >= MIN_STALL_MS,
                Activity::Working => false,
            };
            may_close && !entry.is_closing && listener.is_none_or(|own| entry.listener == own)
        });
        // Of bodies, the one with the fewest bytes for its time.
        let rank = |entry: &Entry<H>| match entry.activity {
            Activity::ReadingBody => (entry.body_bytes_per_s(now_ms), entry.began_ms),
            _ => (0, entry.since_ms),
        };
        let first = candidates.min_by_key(|(id, entry)| (entry.activity, rank(entry), **id));
        first.map(|(_, entry)| {
            entry.is_closing = true;
            (entry.activity, entry.handle.clone())
        })
    }

    /// Connections whose head takes longer than `timeout_ms`. Each is named once.
    pub fn late_heads(&mut self, timeout_ms: u64) -> Vec<H> {
        let now_ms = self.now_ms;
        let entries = self.entries.values_mut();
        let late = entries.filter(|entry| {
            entry.activity == Activity::ReadingHead
                && !entry.is_closing
                && now_ms.saturating_sub(entry.since_ms) > timeout_ms
        });
        late.map(|entry| {
            entry.is_closing = true;
            entry.handle.clone()
        })
        .collect()
    }

    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Entry<H>)) {
        if let Some(entry) = self.entries.get_mut(&id) {
            change(entry);
        }
    }
}

impl<H> Entry<H> {
    fn change(&mut self, activity: Activity, now_ms: u64) {
        self.activity = activity;
        (self.since_ms, self.began_ms, self.received_bytes) = (now_ms, now_ms, 0);
    }

    fn body_bytes_per_s(&self, now_ms: u64) -> u64 {
        self.received_bytes * 1_000 / now_ms.saturating_sub(self.began_ms).max(1)
    }

    /// Whether a body has arrived too slowly for as long as one may stall.
    fn trickles(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.began_ms) >= MIN_STALL_MS
            && self.body_bytes_per_s(now_ms) < MIN_BODY_BYTES_PER_S
    }

    /// The client has what was written so far.
    fn rest(&mut self, now_ms: u64) {
        let activity = if self.open_requests > 0 { Activity::Working } else { Activity::Idle };
        self.change(activity, now_ms);
    }
}
