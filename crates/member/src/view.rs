//! The live view: instance list, heartbeats and what peers tell.

use std::collections::BTreeMap;

use span_types::{InstanceName, Member, MemberState};

use crate::{
    MemberUpdate, Router,
    hash::{Purpose, hash},
};

/// Time limits of the view.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// Silence after which a monitored member is suspect, in milliseconds.
    pub suspect_after_ms: u64,
    /// Silence after which it is dead, in milliseconds.
    pub remove_after_ms: u64,
    /// Time for which a dead member is remembered, in milliseconds. It has to
    /// exceed the time that an old update can circulate, or the update would
    /// bring the member back.
    pub forget_after_ms: u64,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self { suspect_after_ms: 1_500, remove_after_ms: 3_000, forget_after_ms: 60_000 }
    }
}

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance, with incarnation 0, which the list does not know.
    pub router: Router,
    /// The platform is about to take the instance away.
    pub leaving: bool,
}

/// A change of state that others may have to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Member whose state changed.
    pub member: Member,
    /// State before; `None` if the member is new.
    pub from: Option<MemberState>,
    /// State now.
    pub to: MemberState,
}

/// What is known of one member, for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Latest statement about it.
    pub update: MemberUpdate,
    /// Time of the last direct message from it, in milliseconds.
    pub last_heard_ms: Option<u64>,
    /// The platform lists it as leaving.
    pub listed_leaving: bool,
}

#[derive(Debug)]
struct Row {
    update: MemberUpdate,
    heard_ms: Option<u64>,
    monitored_since_ms: Option<u64>,
    changed_ms: u64,
    refusals: u32,
    sends_left: u32,
    listed_leaving: bool,
}

/// Refused connections in a row after which a member is dead.
const REFUSALS: u32 = 2;
/// Heartbeats that carry an update beyond log2 of the number of members; each
/// update reaches all members with high probability well before.
const EXTRA_SENDS: u32 = 6;

/// Combines the instance list, heartbeats and peers' statements.
#[derive(Debug)]
pub struct MembershipView {
    me: MemberUpdate,
    timing: MembershipTiming,
    rows: BTreeMap<InstanceName, Row>,
    listed: BTreeMap<InstanceName, ListedInstance>,
}

impl MembershipView {
    /// Makes a view that knows only this router.
    pub fn new(me: Router, timing: MembershipTiming) -> Self {
        let me = MemberUpdate { router: me, epoch: 0, state: MemberState::Alive };
        Self { me, timing, rows: BTreeMap::new(), listed: BTreeMap::new() }
    }

    /// The statement that this router makes about itself.
    pub fn own_update(&self) -> &MemberUpdate {
        &self.me
    }

    /// Announces that this router is leaving.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
    }

    /// Takes a new instance list. The list lags, so an instance that is
    /// missing from it stays a member for as long as it sends heartbeats.
    pub fn set_listed_instances(&mut self, listed: Vec<ListedInstance>) {
        self.listed = listed
            .into_iter()
            .filter(|row| row.router.member.instance != self.me.router.member.instance)
            .map(|row| (row.router.member.instance.clone(), row))
            .collect();
        for (instance, row) in &mut self.rows {
            row.listed_leaving = self.listed.get(instance).is_some_and(|listed| listed.leaving);
        }
    }

    /// Takes a message that came from the member itself.
    pub fn apply_direct_update(
        &mut self,
        now_ms: u64,
        update: MemberUpdate,
    ) -> Option<MemberChange> {
        let instance = update.router.member.instance.clone();
        if instance == self.me.router.member.instance || is_absurd(&update) {
            return None;
        }
        let older = self.rows.get(&instance).is_some_and(|row| {
            row.update.router.member.incarnation > update.router.member.incarnation
        });
        // A message of a process that has since been replaced on its instance.
        if older {
            return None;
        }
        let change = self.set(now_ms, update);
        if let Some(row) = self.rows.get_mut(&instance) {
            row.heard_ms = Some(now_ms);
            row.refusals = 0;
        }
        change
    }

    /// Notes that a known process sent some other message, which shows that it
    /// runs just as a heartbeat does.
    pub fn record_message(&mut self, now_ms: u64, member: &Member) {
        if let Some(row) = self.rows.get_mut(&member.instance)
            && row.update.router.member == *member
        {
            row.heard_ms = Some(now_ms);
            row.refusals = 0;
        }
    }

    /// Takes a statement that a peer passed on.
    pub fn apply_relayed_update(
        &mut self,
        now_ms: u64,
        update: MemberUpdate,
    ) -> Option<MemberChange> {
        if update.router.member.instance == self.me.router.member.instance {
            self.contradict(&update);
            return None;
        }
        let known = self.rows.get(&update.router.member.instance);
        let newer = known.is_none_or(|row| update.supersedes(&row.update));
        // A dead stranger is of no use, and would circulate for ever.
        let stranger = known.is_none() && update.state == MemberState::Dead;
        if !newer || stranger { None } else { self.set(now_ms, update) }
    }

    /// Counts a refused connection to an instance: nothing listens there.
    pub fn record_refused_connection(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
    ) -> Option<MemberChange> {
        let row = self.rows.get_mut(instance)?;
        row.refusals += 1;
        let gone = row.refusals >= REFUSALS;
        if gone { self.degrade(now_ms, instance, MemberState::Dead) } else { None }
    }

    /// Suspects and removes silent members. Only `monitored` members, whose
    /// heartbeats this router should receive, are judged by their silence.
    pub fn check_timeouts(&mut self, now_ms: u64, monitored: &[InstanceName]) -> Vec<MemberChange> {
        let overdue = self.overdue(now_ms, monitored);
        let changes =
            overdue.into_iter().filter_map(|(name, state)| self.degrade(now_ms, &name, state));
        let changes = changes.collect();
        self.remove_suspects(now_ms, changes)
    }

    /// Monitored members that are about to be suspected. A heartbeat asks them
    /// for an answer: one whose view differs may send its own to others.
    pub fn nearly_suspect(&self, now_ms: u64) -> Vec<InstanceName> {
        let silent_ms = |row: &Row| {
            let since_ms = row.monitored_since_ms?;
            Some(now_ms.saturating_sub(row.heard_ms.unwrap_or(0).max(since_ms)))
        };
        let rows = self.rows.iter().filter(|(_, row)| {
            row.update.state != MemberState::Dead
                && silent_ms(row)
                    .is_some_and(|silent_ms| silent_ms >= self.timing.suspect_after_ms / 2)
        });
        rows.map(|(instance, _)| instance.clone()).collect()
    }

    fn overdue(
        &mut self,
        now_ms: u64,
        monitored: &[InstanceName],
    ) -> Vec<(InstanceName, MemberState)> {
        let timing = self.timing;
        let mut overdue = Vec::new();
        for (instance, row) in &mut self.rows {
            if !monitored.contains(instance) {
                row.monitored_since_ms = None;
                continue;
            }
            let since_ms = *row.monitored_since_ms.get_or_insert(now_ms);
            let silent_ms = now_ms.saturating_sub(row.heard_ms.unwrap_or(0).max(since_ms));
            if silent_ms >= timing.remove_after_ms {
                overdue.push((instance.clone(), MemberState::Dead));
            } else if silent_ms >= timing.suspect_after_ms {
                overdue.push((instance.clone(), MemberState::Suspect));
            }
        }
        overdue
    }

    /// Declares members dead that others suspected and nobody contradicted, and
    /// forgets those that have been dead for long.
    fn remove_suspects(
        &mut self,
        now_ms: u64,
        mut changes: Vec<MemberChange>,
    ) -> Vec<MemberChange> {
        // The member's contradiction may have to travel over several heartbeats.
        let grace_ms = 2 * self.timing.remove_after_ms;
        let is_silent = |row: &Row| {
            let heard_since = row.heard_ms.is_some_and(|heard_ms| heard_ms >= row.changed_ms);
            row.update.state == MemberState::Suspect
                && !heard_since
                && now_ms.saturating_sub(row.changed_ms) >= grace_ms
        };
        let silent = self.rows.iter().filter(|(_, row)| is_silent(row));
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            changes.extend(self.degrade(now_ms, &instance, MemberState::Dead));
        }
        let forget_after_ms = self.timing.forget_after_ms;
        self.rows.retain(|_, row| {
            row.update.state != MemberState::Dead
                || now_ms.saturating_sub(row.changed_ms) < forget_after_ms
        });
        changes
    }

    /// Routers that are believed to run, this one included, by name. Suspect
    /// members still count: passing their work on at the first lost heartbeat
    /// would move ownership needlessly.
    pub fn live_routers(&self) -> Vec<&Router> {
        let others = self.rows.values().filter(|row| row.update.state != MemberState::Dead);
        let mut live: Vec<&Router> = others.map(|row| &row.update.router).collect();
        live.push(&self.me.router);
        live.sort_by(|a, b| a.member.instance.cmp(&b.member.instance));
        live
    }

    /// Live routers that may own shards: the leaving ones pass them on early.
    /// If all are leaving, they keep them.
    pub fn eligible_owners(&self) -> Vec<&Router> {
        let stays =
            |router: &&Router| !self.is_leaving(&router.member.instance).unwrap_or_default();
        let owners: Vec<_> = self.live_routers().into_iter().filter(stays).collect();
        if owners.is_empty() { self.live_routers() } else { owners }
    }

    /// Routers that callers may be sent to.
    pub fn routers_for_callers(&self) -> Vec<&Router> {
        let usable = |router: &&Router| {
            let instance = &router.member.instance;
            self.state(instance) == Some(MemberState::Alive)
                && !self.is_leaving(instance).unwrap_or_default()
        };
        self.live_routers().into_iter().filter(usable).collect()
    }

    fn is_leaving(&self, instance: &InstanceName) -> Option<bool> {
        if *instance == self.me.router.member.instance {
            return Some(self.me.state == MemberState::Leaving);
        }
        let row = self.rows.get(instance)?;
        Some(row.listed_leaving || row.update.state == MemberState::Leaving)
    }

    /// State of an instance; `None` if it is unknown.
    pub fn state(&self, instance: &InstanceName) -> Option<MemberState> {
        if *instance == self.me.router.member.instance {
            return Some(self.me.state);
        }
        self.rows.get(instance).map(|row| row.update.state)
    }

    /// When what is known of another member last changed, in milliseconds;
    /// `None` if it is unknown.
    pub fn last_changed_ms(&self, instance: &InstanceName) -> Option<u64> {
        self.rows.get(instance).map(|row| row.changed_ms)
    }

    /// The live process on an instance.
    pub fn router(&self, instance: &InstanceName) -> Option<&Router> {
        if *instance == self.me.router.member.instance {
            return Some(&self.me.router);
        }
        let row = self.rows.get(instance)?;
        (row.update.state != MemberState::Dead).then_some(&row.update.router)
    }

    /// Listed instances that are not live members. They are worth a contact
    /// attempt: they may have just started, or a partition may have ended.
    pub fn unjoined_instances(&self) -> Vec<&Router> {
        let unknown = |instance: &InstanceName| {
            self.rows.get(instance).is_none_or(|row| row.update.state == MemberState::Dead)
        };
        let rows = self.listed.iter().filter(|(instance, _)| unknown(instance));
        rows.map(|(_, row)| &row.router).collect()
    }

    /// Whether a member sent any message at `since_ms` or later.
    pub fn has_heard_since(&self, instance: &InstanceName, since_ms: u64) -> bool {
        let row = self.rows.get(instance);
        row.and_then(|row| row.heard_ms).is_some_and(|heard_ms| heard_ms >= since_ms)
    }

    /// Whether there are statements that peers have not been told often enough.
    pub fn has_pending_updates(&self) -> bool {
        self.rows.values().any(|row| row.sends_left > 0)
    }

    /// Statements to piggyback on the next heartbeat to `peer`, newest first.
    /// A statement that contradicts the peer's own is repeated until the peer
    /// raises its epoch.
    pub fn next_updates(&mut self, peer: &InstanceName, limit: usize) -> Vec<MemberUpdate> {
        let mut pending: Vec<_> = self
            .rows
            .iter_mut()
            .filter(|(name, row)| row.sends_left > 0 && *name != peer)
            .collect();
        pending.sort_by_key(|(_, row)| std::cmp::Reverse(row.sends_left));
        pending.truncate(limit);
        let mut updates = Vec::with_capacity(pending.len() + 1);
        for (_, row) in pending {
            row.sends_left -= 1;
            updates.push(row.update.clone());
        }
        let about_peer = self.rows.get(peer).filter(|row| row.update.state >= MemberState::Suspect);
        updates.extend(about_peer.map(|row| row.update.clone()));
        updates
    }

    /// All statements, for a peer that has just started or that differs.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        self.rows.values().map(|row| row.update.clone()).collect()
    }

    /// Hash of the live members and their states, equal at two routers that
    /// believe the same.
    pub fn view_hash(&self) -> u64 {
        let others = self.rows.values().map(|row| &row.update);
        let all = others.chain([&self.me]);
        let live = all.filter(|update| update.state < MemberState::Suspect);
        live.fold(0, |sum: u64, update| sum.wrapping_add(statement_hash(update)))
    }

    /// All known members, this router excluded.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let status = |row: &Row| MemberStatus {
            update: row.update.clone(),
            last_heard_ms: row.heard_ms,
            listed_leaving: row.listed_leaving,
        };
        self.rows.values().map(status).collect()
    }

    fn contradict(&mut self, update: &MemberUpdate) {
        let about_me = update.router.member == self.me.router.member;
        if about_me && update.state >= MemberState::Suspect && update.epoch >= self.me.epoch {
            self.me.epoch = update.epoch.saturating_add(1);
        }
    }

    fn degrade(
        &mut self,
        now_ms: u64,
        name: &InstanceName,
        state: MemberState,
    ) -> Option<MemberChange> {
        let row = self.rows.get(name)?;
        if row.update.state >= state {
            return None;
        }
        let update = MemberUpdate { state, ..row.update.clone() };
        self.set(now_ms, update)
    }

    fn set(&mut self, now_ms: u64, update: MemberUpdate) -> Option<MemberChange> {
        let instance = update.router.member.instance.clone();
        let sends = self.sends();
        let old = self.rows.get(&instance);
        if old.is_some_and(|row| row.update == update) {
            return None;
        }
        let same = old.filter(|row| row.update.router.member == update.router.member);
        let from = same.map(|row| row.update.state);
        let change = MemberChange { member: update.router.member.clone(), from, to: update.state };
        let row = Row {
            heard_ms: same.and_then(|row| row.heard_ms),
            monitored_since_ms: same.and_then(|row| row.monitored_since_ms),
            changed_ms: now_ms,
            refusals: same.map_or(0, |row| row.refusals),
            sends_left: sends,
            listed_leaving: self.listed.get(&instance).is_some_and(|listed| listed.leaving),
            update,
        };
        self.rows.insert(instance, row);
        (change.from != Some(change.to)).then_some(change)
    }

    fn sends(&self) -> u32 {
        (self.rows.len() + 2).ilog2() + EXTRA_SENDS
    }
}

/// A member cannot be suspect or dead by its own account.
fn is_absurd(update: &MemberUpdate) -> bool {
    update.state >= MemberState::Suspect
}

fn statement_hash(update: &MemberUpdate) -> u64 {
    let member = &update.router.member;
    let mut bytes = member.instance.as_str().as_bytes().to_vec();
    bytes.extend(member.incarnation.0.to_le_bytes());
    bytes.push(update.state as u8);
    hash(Purpose::View, &bytes)
}
