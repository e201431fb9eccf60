//! Limits on requests per second that upstreams name in their answers.
//!
//! A limit is for all routers together. Routers tell each other what upstreams named last,
//! which part of the fleet's requests each of them has a claim to, and how many it sent
//! lately. Each limit is divided by the claims. Each router then has send slots at the
//! upstream, spread evenly over time. A slot lapses if it is not used, so that idle routers
//! do not save up requests that they would all send at once. The slots of many routers may
//! still meet by chance, so none is used while all routers together have sent too much.
//!
//! A cold upstream counts as one that names a limit. There, any one second counts, and also
//! requests of routers that others do not hear, so slots hardly move and no part grows with
//! the routers that are out of reach.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    cold::{ColdChange, ColdReport, ColdStatement, ColdTerms},
    load_summary::Summary,
};

/// Change of a limit from which it is logged, as a fraction of the limit.
const LOGGED_CHANGE_FRACTION: f64 = 0.2;
/// Least limit that is applied, in requests per second. Only an answer shows that an
/// upstream names no limit any more, so it has to get a request now and then.
const MIN_LIMIT_PER_S: f64 = 0.25;
/// Time for which an unused send slot may still be used, in milliseconds. Requests come at
/// random, and a slot must not be lost because none waits at that moment.
const SLOT_LIFETIME_MS: f64 = 1_000.0;
/// Time before a send slot at which it may be used, in milliseconds: by a stream that
/// continues, which cannot wait longer than that, and by all requests while the fleet uses
/// less than [`FREE_USED_FRACTION`] of the limit.
const EARLY_SLOT_MS: f64 = 1_000.0;
/// Fraction of a limit in use below which it leaves room for requests of any router.
const FREE_USED_FRACTION: f64 = 0.8;
/// Length of the span of time in which the requests of all routers are counted, in
/// milliseconds.
const SPAN_MS: u64 = 4_000;
/// Requests of all routers in a span from which no send slot is used: as a multiple of what
/// the limit allows in that time, and so many more.
const MAX_IN_SPAN_FACTOR_AND_SLACK: (f64, f64) = (1.25, 2.0);
/// Time after which a router looks again whether a span has room, in milliseconds; about
/// the interval at which others tell what they sent.
const SPAN_RECHECK_MS: u64 = 200;
/// Longest interval between two send slots of a router, in milliseconds; for routers
/// without a claim.
const MAX_SLOT_INTERVAL_MS: f64 = 3_600_000.0;
/// Time after a limit became known in which the claims of other routers may not be known,
/// in milliseconds; covers the way over two collectors.
const CLAIMS_SETTLE_MS: u64 = 2_000;
/// What the claims to a cold upstream add up to at most, while no other router has reported
/// its own. How many routers use an upstream is random.
const MAX_UNREPORTED_CLAIMS: f64 = 1.5;
/// Time for which others are told that a limit has ended, in milliseconds.
const REPORT_END_MS: u64 = 3_000;
/// Time after which a limit that ended is forgotten, and that of an upstream without an
/// entry, in milliseconds. Entries may lapse while the store is away.
const FORGET_AFTER_MS: u64 = 60_000;

/// What an upstream said about its limit in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests per second that the upstream takes from all routers together; none if it
    /// named no limit.
    pub per_s: Option<f64>,
    /// When the request was sent whose answer said so.
    pub sent_ms: u64,
    /// When that answer arrived.
    pub received_ms: u64,
}

impl LimitStatement {
    /// The statement about an upstream that has not answered yet.
    const NONE: Self = Self { per_s: None, sent_ms: 0, received_ms: 0 };

    /// Whether this statement replaces `known`. Answers arrive out of order, so only one
    /// to a request that was sent after `known` arrived is certainly newer. Otherwise the
    /// stricter statement counts.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.sent_ms >= known.received_ms {
            return true;
        }
        let is_older = self.received_ms <= known.sent_ms;
        let (own, other) = (self.max_per_s(), known.max_per_s());
        !is_older && (own < other || own == other && self.received_ms >= known.received_ms)
    }

    fn max_per_s(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }

    /// Whether the step from `known` to this statement is worth a log line.
    fn is_notable_after(&self, known: &Self) -> bool {
        match (known.per_s, self.per_s) {
            (None, None) => false,
            (Some(old), Some(new)) => (new - old).abs() > LOGGED_CHANGE_FRACTION * old,
            (None, Some(_)) | (Some(_), None) => true,
        }
    }
}

/// What one or more routers report about the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests per second that the upstream takes; none if its limit has ended.
    per_s: Option<f64>,
    /// Age of the request whose answer said so, in milliseconds.
    sent_age_ms: u32,
    /// Age of that answer, in milliseconds.
    received_age_ms: u32,
    /// Claims of these routers, in parts of the fleet's requests.
    claim: f32,
    /// Requests that these routers sent in the last `SPAN_MS`.
    sent: u32,
    /// Whether the upstream is cold, if it was lately.
    cold: Option<ColdReport>,
}

impl LimitReport {
    fn new(now_ms: u64, limit: &KnownLimit) -> Self {
        // Clocks of routers start with them, so the time of no statement is older than all.
        let age_ms = |at_ms: u64| match at_ms {
            0 => u32::MAX,
            _ => u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX),
        };
        let statement = &limit.statement;
        Self {
            per_s: statement.per_s,
            sent_age_ms: age_ms(statement.sent_ms),
            received_age_ms: age_ms(statement.received_ms),
            claim: if limit.is_limited(now_ms) { limit.claim as f32 } else { 0.0 },
            sent: limit.slots.as_ref().map_or(0, |slots| slots.sent_in_span(now_ms)),
            cold: limit.cold.map(|cold| ColdReport::new(now_ms, &cold)),
        }
    }

    fn statement(&self, now_ms: u64) -> LimitStatement {
        LimitStatement {
            per_s: self.per_s,
            sent_ms: now_ms.saturating_sub(u64::from(self.sent_age_ms)),
            received_ms: now_ms.saturating_sub(u64::from(self.received_age_ms)),
        }
    }

    fn aged(self, age_ms: u64) -> Self {
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        Self {
            sent_age_ms: self.sent_age_ms.saturating_add(age_ms),
            received_age_ms: self.received_age_ms.saturating_add(age_ms),
            cold: self.cold.map(|cold| cold.aged(age_ms)),
            ..self
        }
    }
}

/// Limits as one or more routers report them, by the low half of the hash of the
/// upstream's name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitSummary(BTreeMap<u32, LimitReport>);

impl LimitSummary {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The summary as it is `age_ms` after it was made.
    pub fn aged(&self, age_ms: u64) -> Self {
        Self(self.0.iter().map(|(key, report)| (*key, report.aged(age_ms))).collect())
    }
}

impl Summary for LimitSummary {
    /// Adds claims and requests, and keeps the newer statement about each upstream.
    fn add(&mut self, other: &Self, age_ms: u64) {
        /// Any time that is later than all ages.
        const NOW_MS: u64 = 1 << 40;
        for (key, report) in &other.0 {
            let report = report.aged(age_ms);
            let Some(known) = self.0.get_mut(key) else {
                self.0.insert(*key, report);
                continue;
            };
            let (claim, sent) = (known.claim + report.claim, known.sent + report.sent);
            let cold = match (known.cold, report.cold) {
                (Some(known), Some(new)) => {
                    let is_newer = new.statement(NOW_MS).replaces(&known.statement(NOW_MS));
                    Some(if is_newer { new } else { known })
                }
                (known, new) => known.or(new),
            };
            if report.statement(NOW_MS).replaces(&known.statement(NOW_MS)) {
                *known = report;
            }
            (known.claim, known.sent, known.cold) = (claim, sent, cold);
        }
    }

    fn is_idle(&self) -> bool {
        self.is_empty()
    }
}

/// What this router knows about the limit of one upstream, and its part of it.
#[derive(Clone, Debug)]
struct KnownLimit {
    statement: LimitStatement,
    /// When the upstream was first known to name a limit.
    since_ms: u64,
    /// When the upstream last had an entry.
    present_ms: u64,
    /// Claim of this router, in parts of the fleet's requests.
    claim: f64,
    /// Claims of all routers, as far as they have reported them.
    fleet_claim: f64,
    /// Whether the upstream is cold; none if it was not lately.
    cold: Option<ColdStatement>,
    /// Whether the upstream counted as cold when that was last asked for.
    counted_as_cold: bool,
    /// The limit that is applied, in requests per second from all routers.
    applied_per_s: Option<f64>,
    /// Present while a limit is applied.
    slots: Option<SendSlots>,
}

impl KnownLimit {
    fn new(now_ms: u64, statement: LimitStatement) -> Self {
        Self {
            statement,
            since_ms: now_ms,
            present_ms: now_ms,
            claim: 0.0,
            fleet_claim: 0.0,
            cold: None,
            counted_as_cold: false,
            applied_per_s: None,
            slots: None,
        }
    }

    fn is_cold(&self, now_ms: u64) -> bool {
        self.cold.is_some_and(|cold| cold.is_cold(now_ms))
    }

    /// Whether the upstream names a limit or is cold.
    fn is_limited(&self, now_ms: u64) -> bool {
        self.statement.per_s.is_some() || self.is_cold(now_ms)
    }

    /// The limit that the upstream names, in requests per second.
    fn named_per_s(&self) -> Option<f64> {
        self.statement.per_s.map(|per_s| per_s.max(MIN_LIMIT_PER_S))
    }

    /// Part of the limit that this router may use, 0 to 1.
    fn own_fraction(&self, now_ms: u64, claim: &Claim) -> f64 {
        let is_cold = self.is_cold(now_ms);
        let is_new = now_ms.saturating_sub(self.since_ms) < CLAIMS_SETTLE_MS;
        let is_unreported = self.fleet_claim <= self.claim;
        let min_fleet_claim = if is_cold && claim.min_fleet == 0.0 && is_unreported {
            MAX_UNREPORTED_CLAIMS
        } else if is_new || is_cold {
            1.0
        } else {
            claim.min_fleet
        };
        let fleet_claim = self.fleet_claim.max(self.claim).max(min_fleet_claim);
        let fraction = if fleet_claim > 0.0 { self.claim / fleet_claim } else { 0.0 };
        if is_cold { fraction * claim.reach } else { fraction }
    }

    /// When what is known of the upstream was last of use, in milliseconds.
    fn last_used_ms(&self, now_ms: u64) -> u64 {
        if self.is_limited(now_ms) {
            return self.present_ms;
        }
        self.statement.received_ms.max(self.cold.map_or(0, |cold| cold.until_ms))
    }
}

/// Claim of a router to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Its part of the fleet's requests to the upstream.
    pub own: f64,
    /// What the claims of all routers add up to at least.
    pub min_fleet: f64,
    /// Part of the fleet that this router and those that it hears are, 0 to 1.
    pub reach: f64,
    /// Part of an interval until its first send slot, 0 to 1. Differs between routers, so
    /// that their slots spread.
    pub phase: f64,
    /// Rate of its requests, per second.
    pub sent_per_s: f64,
}

/// The limits of all upstreams of a service, by the hash of the upstream's name.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    limits: HashMap<u64, KnownLimit>,
    /// What cold upstreams tolerate; none if their service states nothing.
    cold_terms: Option<ColdTerms>,
    /// Newest statements that an upstream is warm. Older ones by which it is cold may come
    /// later.
    warm: HashMap<u64, ColdStatement>,
}

impl UpstreamLimits {
    /// Records what an upstream said. Returns whether that is worth a log line.
    pub fn record(&mut self, now_ms: u64, upstream: u64, statement: LimitStatement) -> bool {
        let Some(known) = self.limits.get_mut(&upstream) else {
            if statement.per_s.is_some() {
                self.limits.insert(upstream, KnownLimit::new(now_ms, statement));
            }
            return statement.per_s.is_some();
        };
        let old = known.statement;
        if !statement.replaces(&old) {
            return false;
        }
        if old.per_s.is_none() {
            known.since_ms = now_ms;
        }
        known.statement = statement;
        statement.is_notable_after(&old)
    }

    /// Sets what cold upstreams tolerate; none if there is no such limit.
    pub fn set_cold_terms(&mut self, terms: Option<ColdTerms>) {
        self.cold_terms = terms;
        if terms.is_none() {
            self.warm.clear();
            self.limits.values_mut().for_each(|known| known.cold = None);
        }
    }

    /// What cold upstreams tolerate.
    pub fn cold_terms(&self) -> Option<ColdTerms> {
        self.cold_terms
    }

    /// Records whether an upstream is cold.
    pub fn record_cold(&mut self, now_ms: u64, upstream: u64, statement: ColdStatement) {
        if self.cold_terms.is_none() {
            return;
        }
        let known = self.limits.get(&upstream).and_then(|known| known.cold);
        let warm = self.warm.get(&upstream).copied();
        let replaces = |old: ColdStatement| statement.replaces(&old);
        if !known.is_none_or(replaces) || !warm.is_none_or(replaces) {
            return;
        }
        if !statement.is_cold(now_ms) {
            self.warm.insert(upstream, statement);
            if let Some(known) = self.limits.get_mut(&upstream).filter(|at| at.is_cold(now_ms)) {
                known.cold = Some(statement);
            }
            return;
        }
        let known = self.limits.entry(upstream);
        let known = known.or_insert_with(|| KnownLimit::new(now_ms, LimitStatement::NONE));
        if !known.is_limited(now_ms) {
            known.since_ms = now_ms;
        }
        known.cold = Some(statement);
    }

    /// Whether an upstream is cold.
    pub fn is_cold(&self, now_ms: u64, upstream: u64) -> bool {
        self.limits.get(&upstream).is_some_and(|known| known.is_cold(now_ms))
    }

    /// Time for which an upstream is still cold, in milliseconds; 0 if it is warm.
    pub fn cold_remaining_ms(&self, now_ms: u64, upstream: u64) -> u64 {
        let cold = self.limits.get(&upstream).and_then(|known| known.cold);
        cold.map_or(0, |cold| cold.until_ms.saturating_sub(now_ms))
    }

    /// Number of cold upstreams.
    pub fn cold_count(&self, now_ms: u64) -> usize {
        self.limits.values().filter(|known| known.is_cold(now_ms)).count()
    }

    /// The change of whether an upstream is cold since this was last asked for; none if
    /// there is none.
    pub fn take_cold_change(&mut self, now_ms: u64, upstream: u64) -> Option<ColdChange> {
        let known = self.limits.get_mut(&upstream)?;
        let (statement, is_cold) = (known.cold?, known.is_cold(now_ms));
        let was_cold = std::mem::replace(&mut known.counted_as_cold, is_cold);
        (is_cold != was_cold).then_some(ColdChange { statement, is_cold })
    }

    /// Takes over what the fleet reports about an upstream. Returns whether that is worth a
    /// log line.
    pub fn merge(&mut self, now_ms: u64, upstream: u64, fleet: &LimitSummary) -> bool {
        let report = fleet.0.get(&(upstream as u32));
        let is_notable =
            report.is_some_and(|report| self.record(now_ms, upstream, report.statement(now_ms)));
        if let Some(cold) = report.and_then(|report| report.cold) {
            self.record_cold(now_ms, upstream, cold.statement(now_ms));
        }
        if let Some(known) = self.limits.get_mut(&upstream) {
            known.fleet_claim = report.map_or(0.0, |report| report.claim.into());
            if let Some(slots) = &mut known.slots {
                slots.set_fleet_sent(now_ms, report.map_or(0, |report| report.sent));
            }
        }
        is_notable
    }

    /// Adjusts the send slots of this router at an upstream that has an entry.
    pub fn set_claim(&mut self, now_ms: u64, upstream: u64, claim: Claim) {
        let Some(known) = self.limits.get_mut(&upstream) else {
            return;
        };
        (known.claim, known.present_ms) = (claim.own, now_ms);
        let cold_terms = self.cold_terms.filter(|_| known.is_cold(now_ms));
        let cold_per_s = cold_terms.map(|terms| terms.rate_per_s());
        known.applied_per_s = match (known.named_per_s(), cold_per_s) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        };
        let Some(per_s) = known.applied_per_s else {
            known.slots = None;
            return;
        };
        let own_per_s = per_s * known.own_fraction(now_ms, &claim);
        let slots = known.slots.get_or_insert_with(|| {
            SendSlots::new(now_ms, own_per_s, claim.phase, claim.sent_per_s)
        });
        slots.set_rate(now_ms, own_per_s);
        slots.set_fleet_limit(per_s);
        slots.set_cold_burst(cold_terms.map(|terms| terms.burst_ms()));
    }

    /// Send slots of this router at an upstream; none if no limit is applied.
    pub fn slots(&self, upstream: u64) -> Option<&SendSlots> {
        self.limits.get(&upstream)?.slots.as_ref()
    }

    /// Records that this router sends a request.
    pub fn record_sent(&mut self, now_ms: u64, upstream: u64) {
        let known = self.limits.get_mut(&upstream);
        if let Some(slots) = known.and_then(|known| known.slots.as_mut()) {
            slots.take(now_ms);
        }
    }

    /// Limit that is applied to an upstream, in requests per second from all routers; none
    /// if there is none.
    pub fn per_s(&self, upstream: u64) -> Option<f64> {
        self.limits.get(&upstream)?.applied_per_s
    }

    /// Limit that an upstream names, in requests per second from all routers; none if it
    /// names none.
    pub fn named_per_s(&self, upstream: u64) -> Option<f64> {
        self.limits.get(&upstream)?.named_per_s()
    }

    /// What this router reports to others.
    pub fn summary(&self, now_ms: u64) -> LimitSummary {
        let limits = self.limits.iter().filter(|(_, known)| {
            known.is_limited(now_ms)
                || now_ms.saturating_sub(known.last_used_ms(now_ms)) < REPORT_END_MS
        });
        let reports =
            limits.map(|(upstream, known)| (*upstream as u32, LimitReport::new(now_ms, known)));
        LimitSummary(reports.collect())
    }

    /// Whether no limit is known, nor the end of one.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Number of upstreams that name a limit.
    pub fn count(&self) -> usize {
        self.limits.values().filter(|known| known.statement.per_s.is_some()).count()
    }

    /// Drops what is known about an upstream, whose process has been replaced.
    pub fn forget(&mut self, upstream: u64) {
        self.limits.remove(&upstream);
        self.warm.remove(&upstream);
    }

    /// Drops limits that ended long ago, and those of upstreams that are gone.
    pub fn expire(&mut self, now_ms: u64) {
        self.warm.retain(|_, warm| now_ms.saturating_sub(warm.stated_ms) < FORGET_AFTER_MS);
        self.limits
            .retain(|_, known| now_ms.saturating_sub(known.last_used_ms(now_ms)) < FORGET_AFTER_MS);
    }
}

/// The send slots of one router at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct SendSlots {
    /// Time between two slots, in milliseconds.
    interval_ms: f64,
    /// The oldest slot that was not used, in milliseconds.
    next_ms: f64,
    /// When this router sent requests in the current span.
    sent_ms: VecDeque<u64>,
    /// When the limit began to apply.
    since_ms: u64,
    /// Fraction of its part of the limit that this router used before.
    used_fraction_before: f64,
    /// Requests that the limit allows all routers together in a span.
    allowed_in_span: f64,
    /// Requests that all routers sent in the span that ended at `fleet_sent_at_ms`.
    fleet_sent: u32,
    fleet_sent_at_ms: u64,
    /// Time by which a slot may be used late or early, in milliseconds, if the upstream is
    /// cold.
    cold_burst_ms: Option<f64>,
}

impl SendSlots {
    /// Creates the slots for a rate. `phase`, 0 to 1, is the part of an interval until the
    /// first slot, and `sent_per_s` the rate of this router's requests until now.
    pub fn new(now_ms: u64, own_per_s: f64, phase: f64, sent_per_s: f64) -> Self {
        let interval_ms = interval_ms(own_per_s);
        Self {
            interval_ms,
            next_ms: now_ms as f64 + phase * interval_ms,
            sent_ms: VecDeque::new(),
            since_ms: now_ms,
            used_fraction_before: (sent_per_s / own_per_s.max(f64::MIN_POSITIVE)).min(1.0),
            allowed_in_span: f64::INFINITY,
            fleet_sent: 0,
            fleet_sent_at_ms: now_ms,
            cold_burst_ms: None,
        }
    }

    /// Sets the time by which a slot may be used late, or early by a stream that continues,
    /// in milliseconds, for a cold upstream; none for others.
    pub fn set_cold_burst(&mut self, burst_ms: Option<f64>) {
        self.cold_burst_ms = burst_ms;
    }

    /// Changes this router's rate. The wait for the next slot becomes shorter or longer
    /// with it.
    pub fn set_rate(&mut self, now_ms: u64, own_per_s: f64) {
        let interval_ms = interval_ms(own_per_s);
        if interval_ms == self.interval_ms {
            return;
        }
        let (now, next_ms) = (now_ms as f64, self.next_slot_ms(now_ms));
        let wait_ms = next_ms - now;
        let scale = if wait_ms > 0.0 { interval_ms / self.interval_ms } else { 1.0 };
        self.next_ms = now + wait_ms * scale;
        self.interval_ms = interval_ms;
    }

    /// Sets the limit of the upstream, in requests per second from all routers.
    pub fn set_fleet_limit(&mut self, per_s: f64) {
        self.allowed_in_span = per_s * SPAN_MS as f64 / 1_000.0;
    }

    /// Sets how many requests all routers sent in a span, as is known now.
    pub fn set_fleet_sent(&mut self, now_ms: u64, sent: u32) {
        self.fleet_sent = sent;
        self.fleet_sent_at_ms = now_ms;
    }

    /// Requests that this router sent in the last `SPAN_MS`.
    pub fn sent_in_span(&self, now_ms: u64) -> u32 {
        let begin_ms = (now_ms + 1).saturating_sub(SPAN_MS);
        (self.sent_ms.len() - self.sent_ms.partition_point(|at_ms| *at_ms < begin_ms)) as u32
    }

    /// Requests of all routers in a span: those that are known, and what this router sent
    /// since.
    fn fleet_sent_in_span(&self) -> u32 {
        let known = self.sent_ms.partition_point(|at_ms| *at_ms <= self.fleet_sent_at_ms);
        self.fleet_sent + (self.sent_ms.len() - known) as u32
    }

    /// Whether all routers together have sent so much that no slot may be used.
    fn is_span_full(&self) -> bool {
        let (factor, slack) = MAX_IN_SPAN_FACTOR_AND_SLACK;
        f64::from(self.fleet_sent_in_span()) >= self.allowed_in_span * factor + slack
    }

    /// The oldest slot that was not used and has not lapsed.
    fn next_slot_ms(&self, now_ms: u64) -> f64 {
        let oldest_ms = now_ms as f64 - self.cold_burst_ms.unwrap_or(SLOT_LIFETIME_MS);
        let lapsed = ((oldest_ms - self.next_ms) / self.interval_ms).ceil().max(0.0);
        self.next_ms + lapsed * self.interval_ms
    }

    /// Number of requests that may be sent now.
    pub fn available(&self, now_ms: u64) -> u32 {
        let age_ms = now_ms as f64 + self.early_ms(now_ms) - self.next_slot_ms(now_ms);
        if age_ms < 0.0 || self.is_span_full() {
            return 0;
        }
        (age_ms / self.interval_ms) as u32 + 1
    }

    /// Time until a request may be sent, in milliseconds.
    pub fn wait_ms(&self, now_ms: u64) -> u64 {
        self.wait_until_ms(now_ms, self.next_slot_ms(now_ms) - self.early_ms(now_ms))
    }

    /// Time before a slot at which any request may use it.
    fn early_ms(&self, now_ms: u64) -> f64 {
        // At a cold upstream all routers would use slots early at once.
        let has_room =
            self.cold_burst_ms.is_none() && self.used_fraction(now_ms) < FREE_USED_FRACTION;
        if has_room { EARLY_SLOT_MS } else { 0.0 }
    }

    /// Time until a stream that continues may be sent, in milliseconds.
    pub fn wait_to_continue_ms(&self, now_ms: u64) -> u64 {
        let early_ms = self.cold_burst_ms.unwrap_or(EARLY_SLOT_MS);
        self.wait_until_ms(now_ms, self.next_slot_ms(now_ms) - early_ms)
    }

    fn wait_until_ms(&self, now_ms: u64, at_ms: f64) -> u64 {
        let wait_ms = (at_ms - now_ms as f64).max(0.0).ceil() as u64;
        if self.is_span_full() { wait_ms.max(SPAN_RECHECK_MS) } else { wait_ms }
    }

    /// Fraction of the limit that all routers together use, 0 to 1. Until their requests
    /// have been counted for a span, it is estimated from those of this router.
    pub fn used_fraction(&self, now_ms: u64) -> f64 {
        if now_ms < self.since_ms + SPAN_MS {
            return self.used_fraction_before;
        }
        (f64::from(self.fleet_sent_in_span()) / self.allowed_in_span).min(1.0)
    }

    /// Uses the oldest slot, if need be one that is yet to come.
    pub fn take(&mut self, now_ms: u64) {
        self.next_ms = self.next_slot_ms(now_ms) + self.interval_ms;
        let begin_ms = (now_ms + 1).saturating_sub(SPAN_MS);
        while self.sent_ms.front().is_some_and(|at_ms| *at_ms < begin_ms) {
            self.sent_ms.pop_front();
        }
        self.sent_ms.push_back(now_ms);
    }
}

fn interval_ms(per_s: f64) -> f64 {
    (1_000.0 / per_s).min(MAX_SLOT_INTERVAL_MS)
}
