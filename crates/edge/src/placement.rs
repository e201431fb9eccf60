//! Where a request goes: the load of each upstream as this router sees it.

use std::collections::{BTreeMap, HashMap};

use span_types::{InstanceName, UpstreamName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    admission::SlotCounts,
    lane::{Division, Lane, PROMPT_TOKENS_PER_MS},
    load_summary::ReportedLoad,
    upstream_load::{AttemptResult, LoadReport, UpstreamState},
};

/// Age up to which a load report is passed on to other routers, in
/// milliseconds; the period of statements.
const SHARED_REPORT_MS: u64 = 600;
/// Mean pause up to which an engine is sent prompts, as a part of the longest
/// pause that callers accept. Reading a prompt makes all pauses longer.
const PAUSE_PART: f64 = 0.55;
/// Prompt tokens that all routers together let an engine read at once, unless
/// a single prompt is larger; about a third of a second of its work.
const MAX_READING_TOKENS: u64 = 36_000;
/// Requests at an upstream that a router may have, as a multiple of its
/// callers' part of the slots.
const OWN_FACTOR: f64 = 1.6;
/// Requests at an upstream that a router may have however few callers it has.
const MIN_OWN: u32 = 2;
/// Time that a full batch costs a request compared to an empty one, in
/// milliseconds; weighs load against the time to read a prompt.
const FULL_BATCH_MS: f64 = 120.0;
/// Upstreams that a shared part is kept at. One, since engines keep a part only
/// for seconds: with more, each is asked for it too seldom. Others copy it.
const HOMES: usize = 1;
/// Tokens of a shared part from which copying it is worth the two
/// milliseconds that a copy takes to begin.
const MIN_COPIED_TOKENS: u64 = 128;
/// Weight of reading a shared part again, against waiting as long: it delays
/// every other stream at the engine too.
const REREAD_WEIGHT: f64 = 3.0;
/// Requests beyond its slots that an upstream may be sent, as a part of the
/// slots. They cover the time from the end of a request until the next one
/// arrives.
const QUEUED_PART: f64 = 0.04;
/// Prompt parts whose place is remembered.
const MAX_PARTS: usize = 4_096;
/// Time for which an engine surely keeps a part that it was sent, in
/// milliseconds; its memory is read through in about twice that.
const PART_FRESH_MS: u64 = 4_000;
/// Time after which an engine has dropped a part that nobody asked for, in
/// milliseconds.
const PART_LIFETIME_MS: u64 = 20_000;

/// Routers that use an upstream in a large fleet. Each of them sees a tenth of
/// its answers, so that reports of its load are as fresh as in a small fleet.
const MAX_ROUTERS: usize = 10;
/// Upstreams of a service that each router uses on average at least, if there
/// are so many.
const MIN_UPSTREAMS: usize = 12;
/// Factor by which the part of the upstreams in use falls with each division
/// of capacity; a few seconds until a router that was busy has left most.
const SHRINK_FACTOR: f64 = 0.9;
/// Tokens of a shared part from which its home is used also by routers that
/// otherwise do not use that upstream.
const MIN_FAR_TOKENS: u64 = 1_024;
/// Part of its slots up to which such a home is used; its load is known only
/// from the statements of others.
const MAX_FAR_USE: f64 = 0.8;
/// Requests that all routers together send to an upstream that is no engine,
/// as a multiple of its slots. Its requests end within milliseconds, before a
/// report of its load has arrived anywhere, and it queues a few.
const PLAIN_FACTOR: f64 = 2.0;

/// The part of a prompt that a request shares with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash of the last shared part.
    pub hash: u64,
    /// Tokens of all shared parts.
    pub tokens: u64,
}

/// What a request needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Shared part of its prompt.
    pub prompt_prefix: Option<PromptPrefix>,
    /// Prompt tokens that no other request shares.
    pub unread_tokens: u64,
    /// Upstreams that it goes to.
    pub lane: Lane,
    /// Upstreams that were tried already.
    pub avoid: &'a [UpstreamName],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Another upstream that is likely to hold the shared part of its prompt.
    pub holder: Option<UpstreamName>,
    /// Requests at the upstream, as far as is known.
    pub requests: u32,
    /// Age of the report of its load, in milliseconds; none without a report.
    pub report_age_ms: Option<u64>,
}

/// Load of the upstreams of one service.
#[derive(Debug)]
pub struct Placement {
    upstreams: HashMap<UpstreamName, UpstreamState>,
    /// Upstream that last read each prompt part.
    parts: HashMap<u64, (UpstreamName, u64)>,
    /// Requests at one upstream that this router may have open.
    max_sent: u32,
    /// Routers that use an upstream.
    routers: usize,
    /// Hash of this router's name.
    me: u64,
    /// Routers in all.
    fleet: usize,
    /// Part of the upstreams that this router uses, 0 to 1.
    used_part: f64,
    /// Connections that all routers together may open to an upstream.
    connections: f64,
    /// Part of the capacity that this router's callers are entitled to.
    part: f64,
    /// Longest mean pause at which an engine is sent prompts.
    max_pause_ms: f64,
    /// Engines for long and short prompts.
    division: Division,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            upstreams: HashMap::new(),
            parts: HashMap::new(),
            max_sent: 1,
            routers: 1,
            me: 0,
            fleet: 1,
            used_part: 1.0,
            connections: f64::INFINITY,
            part: 1.0,
            max_pause_ms: f64::INFINITY,
            division: Division::default(),
        }
    }
}

impl Placement {
    /// Sets the part of the capacity that this router's callers are entitled
    /// to, 0 to 1.
    pub fn set_part(&mut self, part: f64) {
        self.part = part;
        self.assign_routers();
    }

    /// Sets the longest pause between events that callers accept, in
    /// milliseconds; none for a service without streams.
    pub fn set_gap_target(&mut self, gap_ms: Option<u64>) {
        self.max_pause_ms = gap_ms.map_or(f64::INFINITY, |gap_ms| gap_ms as f64 * PAUSE_PART);
        self.division.set_gap_target(gap_ms);
    }

    /// Whether the upstreams stream from model engines.
    fn is_engine(&self) -> bool {
        self.max_pause_ms.is_finite()
    }

    /// The lane of a request whose upstream has to read `unread_tokens`.
    pub fn lane(&self, unread_tokens: u64) -> Lane {
        self.division.lane(unread_tokens)
    }

    /// Whether a prompt is long.
    pub fn is_long(&self, unread_tokens: u64) -> bool {
        self.division.is_long(unread_tokens)
    }

    /// Sets how many engines are kept for long prompts, from the tokens of
    /// long prompts that the whole fleet receives per second.
    pub fn set_long_load(&mut self, now_ms: u64, tokens_per_s: u64) {
        self.division.set_load(now_ms, self.upstreams.len(), tokens_per_s);
        self.assign_lanes();
    }

    /// All routers keep the same engines for long prompts, without a message:
    /// those with the lowest hashes.
    fn assign_lanes(&mut self) {
        let mut hashes: Vec<u64> = self.upstreams.values().map(|load| load.name_hash).collect();
        hashes.sort_unstable();
        let engines = self.division.long_engines();
        let first_short = hashes.get(engines).copied().unwrap_or(u64::MAX);
        for load in self.upstreams.values_mut() {
            let long = load.name_hash < first_short && engines > 0;
            load.lane = if long { Lane::Long } else { Lane::Short };
        }
    }

    /// Takes the pause between two events of a stream, in milliseconds.
    pub fn event(&mut self, now_ms: u64, name: &UpstreamName, pause_ms: u64) {
        if let Some(load) = self.upstreams.get_mut(name) {
            load.event(now_ms, pause_ms);
        }
    }

    /// Notes that an upstream has read a prompt of `tokens`, or never will.
    pub fn read(&mut self, name: &UpstreamName, tokens: u64) {
        if let Some(load) = self.upstreams.get_mut(name) {
            load.reading_tokens = load.reading_tokens.saturating_sub(tokens);
        }
    }

    /// Sets how many routers share the upstreams, and how many connections all
    /// of them together may open to one upstream.
    pub fn set_fleet(&mut self, me: &InstanceName, routers: usize, connections: f64) {
        self.me = xxh3_64(me.as_str().as_bytes());
        self.fleet = routers.max(1);
        self.connections = connections;
        self.assign_routers();
    }

    /// Chooses the upstreams that this router uses. In a large fleet each is
    /// used by a few routers: they know its load better, and it has fewer
    /// connections. A router whose callers are entitled to more uses more.
    fn assign_routers(&mut self) {
        let all = self.upstreams.len().max(1);
        let fewest = MIN_UPSTREAMS as f64 / all as f64;
        let wanted = (self.part * MAX_ROUTERS as f64).max(fewest).min(1.0);
        let small = self.fleet <= MAX_ROUTERS;
        self.used_part = if small { 1.0 } else { wanted.max(self.used_part * SHRINK_FACTOR) };
        self.routers = if small { self.fleet } else { MAX_ROUTERS };
        let max_sent = (self.connections / self.routers as f64) as u32;
        self.max_sent = max_sent.max(1);
        for load in self.upstreams.values_mut() {
            let hash = xxh3_64_with_seed(&self.me.to_le_bytes(), load.name_hash);
            load.mine = hash as f64 / u64::MAX as f64 <= self.used_part;
        }
    }

    /// Replaces the upstreams that take requests. What is known of those that
    /// stay is kept.
    pub fn set_upstreams<'a>(&mut self, ready: impl Iterator<Item = (&'a UpstreamName, u32)>) {
        let mut known = std::mem::take(&mut self.upstreams);
        for (name, slots) in ready {
            let mut load = known.remove(name).unwrap_or_else(|| UpstreamState::new(name, slots));
            load.slots = slots;
            self.upstreams.insert(name.clone(), load);
        }
        self.assign_lanes();
        self.assign_routers();
    }

    /// Forgets what was learned of an upstream whose process is new.
    pub fn reset(&mut self, name: &UpstreamName) {
        self.upstreams.remove(name);
        self.parts.retain(|_, (upstream, _)| upstream != name);
    }

    /// SlotCounts of the upstreams of a lane.
    pub fn slot_counts(&self, now_ms: u64, lane: Lane) -> SlotCounts {
        let usable = self.upstreams.values();
        let usable = usable.filter(|load| load.lane == lane && load.may_use(now_ms));
        let mut counts = SlotCounts { free: 0, in_use: 0, total: 0 };
        for load in usable {
            counts.free += self.room_at(now_ms, load);
            counts.in_use += load.total(now_ms, self.routers) as u32;
            counts.total += load.slots;
        }
        counts
    }

    /// Requests that may be sent if every usable upstream were empty.
    pub fn capacity(&self, now_ms: u64) -> u32 {
        let open = self.upstreams.values().filter(|load| load.may_use(now_ms));
        open.map(|load| load.slots).sum()
    }

    fn room_at(&self, now_ms: u64, load: &UpstreamState) -> u32 {
        let pauses = load.lane == Lane::Short && load.pause_ms(now_ms) > self.max_pause_ms;
        let part = self.part / self.used_part;
        let reading_limit = (MAX_READING_TOKENS as f64 * part) as u64;
        if load.reading_tokens > reading_limit || pauses {
            return 0;
        }
        if !self.is_engine() {
            return self.own_limit(load).saturating_sub(load.sent);
        }
        let limit = f64::from(load.slots) * (1.0 + QUEUED_PART);
        let room = (limit - load.total(now_ms, self.routers)).max(0.0) as u32;
        room.min(self.own_limit(load).saturating_sub(load.sent))
    }

    /// Requests that this router may have at an upstream. It knows the others'
    /// only from reports that are old, so it keeps to somewhat more than its
    /// callers' part.
    fn own_limit(&self, load: &UpstreamState) -> u32 {
        let factor = if self.is_engine() { OWN_FACTOR } else { PLAIN_FACTOR };
        // What the callers are entitled to is spread over the upstreams in use.
        let part = (self.part / self.used_part * factor).min(1.0);
        let share = (f64::from(load.slots) * part).ceil() as u32;
        share.max(MIN_OWN).min(self.max_sent)
    }

    /// Chooses the upstream for a request and counts the request as sent;
    /// `draw` breaks ties. With `crowd`, an upstream without room may be
    /// chosen.
    pub fn place(&mut self, now_ms: u64, need: Need<'_>, draw: u64, crowd: bool) -> Option<Chosen> {
        let upstream = self.choose(now_ms, need, draw, crowd)?;
        let holder = need.prompt_prefix.and_then(|prefix| self.holder(now_ms, &upstream, prefix));
        let load = self.upstreams.get(&upstream)?;
        let requests = load.total(now_ms, self.routers) as u32;
        let report_age_ms = load.report.map(|(at_ms, _, _)| now_ms.saturating_sub(at_ms));
        self.sent(now_ms, &upstream, need);
        Some(Chosen { upstream, holder, requests, report_age_ms })
    }

    fn choose(&self, now_ms: u64, need: Need<'_>, draw: u64, crowd: bool) -> Option<UpstreamName> {
        let homes = need.prompt_prefix.map(|prefix| self.homes_from(prefix));
        let far_home = need.prompt_prefix.and_then(|prefix| self.far_home(now_ms, prefix));
        let usable = self.upstreams.iter().filter(|(name, load)| {
            (load.may_use(now_ms) || far_home == Some(load.name_hash))
                && !need.avoid.contains(name)
                && load.sent < self.max_sent
                && (crowd || (load.lane == need.lane && self.room_at(now_ms, load) > 0))
        });
        let costs = usable.map(|(name, load)| {
            let reread_ms = match (need.prompt_prefix, homes) {
                (Some(prefix), Some(homes)) if !self.holds(now_ms, name, load, prefix, homes) => {
                    prefix.tokens as f64 / PROMPT_TOKENS_PER_MS
                }
                _ => 0.0,
            };
            let tie =
                xxh3_64_with_seed(&draw.to_le_bytes(), load.name_hash) as f64 / u64::MAX as f64;
            let used = load.total(now_ms, self.routers) / f64::from(load.slots.max(1));
            let reading_ms =
                load.reading_tokens as f64 / PROMPT_TOKENS_PER_MS + load.pause_ms(now_ms);
            let cost = used * FULL_BATCH_MS + reading_ms + reread_ms * REREAD_WEIGHT + tie;
            (cost, name)
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone())
    }

    /// The upstream from which `upstream` can copy a shared part: the home of
    /// the part, which every router sends it to when it can.
    fn holder(
        &self,
        now_ms: u64,
        upstream: &UpstreamName,
        prefix: PromptPrefix,
    ) -> Option<UpstreamName> {
        if prefix.tokens < MIN_COPIED_TOKENS {
            return None;
        }
        let sent = self.parts.get(&prefix.hash);
        let recent = sent.filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < PART_FRESH_MS);
        if let Some((last, _)) = recent {
            return (last != upstream && self.upstreams.contains_key(last)).then(|| last.clone());
        }
        let usable = self.upstreams.iter();
        let usable = usable.filter(|(_, load)| load.lane == Lane::Short && !load.replaced);
        let (home, _) = usable.max_by_key(|(_, load)| load.hash(prefix))?;
        (home != upstream).then(|| home.clone())
    }

    /// The home of a large shared part if other routers use it: reading the
    /// part at an upstream of this router's own costs more than a connection.
    fn far_home(&self, now_ms: u64, prefix: PromptPrefix) -> Option<u64> {
        if prefix.tokens < MIN_FAR_TOKENS {
            return None;
        }
        let short = self.upstreams.values().filter(|load| load.lane == Lane::Short);
        let home = short.max_by_key(|load| load.hash(prefix))?;
        let used = home.total(now_ms, self.routers) / f64::from(home.slots.max(1));
        let usable = !home.mine && home.is_sound(now_ms) && used < MAX_FAR_USE;
        usable.then_some(home.name_hash)
    }

    /// Lowest hash of the upstreams that keep a shared part. All routers choose
    /// the same ones without a message, by rendezvous hashing.
    fn homes_from(&self, prefix: PromptPrefix) -> u64 {
        let mut best = [0; HOMES];
        let short = self.upstreams.values().filter(|load| load.lane == Lane::Short);
        let far = self.fleet > self.routers && prefix.tokens >= MIN_FAR_TOKENS;
        for load in short.filter(|load| load.mine || far) {
            let hash = load.hash(prefix);
            if hash > best[0] {
                best[0] = hash;
                best.sort_unstable();
            }
        }
        best[0]
    }

    /// Whether an upstream is likely to have a shared part in memory.
    fn holds(
        &self,
        now_ms: u64,
        name: &UpstreamName,
        load: &UpstreamState,
        prefix: PromptPrefix,
        homes: u64,
    ) -> bool {
        load.hash(prefix) >= homes
            || self.parts.get(&prefix.hash).is_some_and(|(upstream, at_ms)| {
                upstream == name && now_ms.saturating_sub(*at_ms) < PART_LIFETIME_MS
            })
    }

    fn sent(&mut self, now_ms: u64, name: &UpstreamName, need: Need<'_>) {
        if let Some(load) = self.upstreams.get_mut(name) {
            load.sent += 1;
            load.reading_tokens += need.unread_tokens;
            if load.avoid_ms > 0 {
                load.probing = true;
            }
        }
        if let Some(prefix) = need.prompt_prefix {
            if self.parts.len() >= MAX_PARTS {
                self.parts
                    .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < PART_LIFETIME_MS / 2);
            }
            self.parts.insert(prefix.hash, (name.clone(), now_ms));
        }
    }

    /// Counts the end of a request.
    pub fn ended(&mut self, name: &UpstreamName) {
        if let Some(load) = self.upstreams.get_mut(name) {
            load.sent = load.sent.saturating_sub(1);
        }
    }

    /// Takes the load that an upstream stated.
    pub fn report(&mut self, now_ms: u64, name: &UpstreamName, report: LoadReport) {
        if let Some(load) = self.upstreams.get_mut(name) {
            load.report = Some((now_ms, report, load.sent));
        }
    }

    /// What the upstreams stated lately, by the hash of their name.
    pub fn reported_loads(&self, now_ms: u64) -> Vec<(u32, ReportedLoad)> {
        let loads = self.upstreams.values();
        let reports = loads.filter_map(|load| load.report.map(|report| (load, report)));
        let recent = reports.filter_map(|(load, (at_ms, report, _))| {
            let age_ms = now_ms.saturating_sub(at_ms);
            let requests = report.running + report.waiting;
            let reported = ReportedLoad { requests, age_ms: age_ms as u32 };
            (age_ms < SHARED_REPORT_MS).then_some((load.name_hash as u32, reported))
        });
        recent.collect()
    }

    /// Takes what other routers heard from the upstreams, where it is newer.
    pub fn hear(&mut self, now_ms: u64, reported: &BTreeMap<u32, ReportedLoad>) {
        for load in self.upstreams.values_mut() {
            let Some(newest) = reported.get(&(load.name_hash as u32)) else {
                continue;
            };
            let at_ms = now_ms.saturating_sub(u64::from(newest.age_ms));
            if load.report.is_none_or(|(known_ms, _, _)| known_ms < at_ms) {
                let report = LoadReport { running: newest.requests, waiting: 0, slots: load.slots };
                load.report = Some((at_ms, report, load.sent));
            }
        }
    }

    /// Judges an upstream by the end of an attempt. Returns whether it is
    /// avoided from now on.
    pub fn judge(&mut self, now_ms: u64, name: &UpstreamName, result: AttemptResult) -> bool {
        self.upstreams.get_mut(name).is_some_and(|load| load.judge(now_ms, result))
    }
}
