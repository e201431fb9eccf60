//! A router's view of the membership, from the instance list, heartbeats and
//! updates that peers relay.

use std::collections::BTreeMap;

use span_types::{InstanceName, Member, MemberState};

use crate::{
    MemberUpdate, Router,
    hash::{HashPurpose, hash},
    ring::{heartbeat_peers, heartbeat_targets},
};

/// Time-outs of the membership view.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTiming {
    /// Silence after which a monitored member becomes suspect, in milliseconds.
    pub suspect_after_ms: u64,
    /// Silence after which a monitored member is declared dead, in
    /// milliseconds.
    pub remove_after_ms: u64,
    /// Time for which a dead member is kept, in milliseconds. It must exceed
    /// the time for which an old update can circulate. Otherwise the update
    /// would add the member again.
    pub forget_after_ms: u64,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self { suspect_after_ms: 1_500, remove_after_ms: 3_000, forget_after_ms: 60_000 }
    }
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance. The list does not contain incarnations, so its incarnation
    /// is 0.
    pub router: Router,
    /// The platform is about to remove the instance.
    pub leaving: bool,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Member whose state changed.
    pub member: Member,
    /// Previous state; `None` if the member is new.
    pub from: Option<MemberState>,
    /// New state.
    pub to: MemberState,
}

/// Which members a router exchanges heartbeats with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatPlan {
    /// Members to send heartbeats to.
    pub targets: Vec<InstanceName>,
    /// Members from which heartbeats are expected.
    pub expected: Vec<InstanceName>,
}

/// What a router knows about another member, for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Latest update about the member.
    pub update: MemberUpdate,
    /// Time of the latest message from the member itself, in milliseconds;
    /// `None` if there was none.
    pub last_heard_ms: Option<u64>,
    /// The platform lists the instance as leaving.
    pub listed_as_leaving: bool,
}

#[derive(Debug)]
struct MemberRecord {
    update: MemberUpdate,
    last_heard_ms: Option<u64>,
    monitored_since_ms: Option<u64>,
    last_change_ms: u64,
    refused_connections: u32,
    remaining_sends: u32,
    listed_as_leaving: bool,
}

/// Consecutive refused connections after which a member is declared dead.
const REFUSED_CONNECTIONS_UNTIL_DEAD: u32 = 2;
/// Heartbeats that carry an update, beyond log2 of the number of members. An
/// update reaches all members with high probability after fewer heartbeats.
const EXTRA_UPDATE_SENDS: u32 = 6;

/// A router's view of the membership: the state of each known member.
#[derive(Debug)]
pub struct MembershipView {
    own_update: MemberUpdate,
    timing: MembershipTiming,
    members: BTreeMap<InstanceName, MemberRecord>,
    listed: BTreeMap<InstanceName, ListedInstance>,
}

impl MembershipView {
    /// Creates a view that contains only this router.
    pub fn new(me: Router, timing: MembershipTiming) -> Self {
        let own_update = MemberUpdate { router: me, epoch: 0, state: MemberState::Alive };
        Self { own_update, timing, members: BTreeMap::new(), listed: BTreeMap::new() }
    }

    /// The update that this router sends about itself.
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own_update
    }

    /// Sets the state of this router to leaving.
    pub fn leave(&mut self) {
        self.own_update.state = MemberState::Leaving;
    }

    /// Replaces the instance list. The list is updated with a delay, so an
    /// instance that it does not contain stays a member while it sends
    /// heartbeats.
    pub fn set_listed_instances(&mut self, listed: Vec<ListedInstance>) {
        self.listed = listed
            .into_iter()
            .filter(|listed| {
                listed.router.member.instance != self.own_update.router.member.instance
            })
            .map(|listed| (listed.router.member.instance.clone(), listed))
            .collect();
        for (instance, record) in &mut self.members {
            record.listed_as_leaving =
                self.listed.get(instance).is_some_and(|listed| listed.leaving);
        }
    }

    /// Applies an update that the member itself has sent.
    pub fn apply_direct_update(
        &mut self,
        now_ms: u64,
        update: MemberUpdate,
    ) -> Option<MemberChange> {
        let instance = update.router.member.instance.clone();
        if instance == self.own_update.router.member.instance || claims_own_failure(&update) {
            return None;
        }
        let is_older = self.members.get(&instance).is_some_and(|record| {
            record.update.router.member.incarnation > update.router.member.incarnation
        });
        // The message is from an earlier process on the instance.
        if is_older {
            return None;
        }
        let change = self.replace_update(now_ms, update);
        if let Some(record) = self.members.get_mut(&instance) {
            record.last_heard_ms = Some(now_ms);
            record.refused_connections = 0;
        }
        change
    }

    /// Records a message other than a heartbeat. Like a heartbeat, it shows that
    /// the process runs.
    pub fn record_message(&mut self, now_ms: u64, member: &Member) {
        if let Some(record) = self.members.get_mut(&member.instance)
            && record.update.router.member == *member
        {
            record.last_heard_ms = Some(now_ms);
            record.refused_connections = 0;
        }
    }

    /// Applies an update that a peer has relayed.
    pub fn apply_relayed_update(
        &mut self,
        now_ms: u64,
        update: MemberUpdate,
    ) -> Option<MemberChange> {
        if update.router.member.instance == self.own_update.router.member.instance {
            self.refute(&update);
            return None;
        }
        let known = self.members.get(&update.router.member.instance);
        let is_newer = known.is_none_or(|record| update.supersedes(&record.update));
        // A dead member that is not known here needs no record. Adding it would
        // keep its update in circulation for ever.
        let is_unknown_dead = known.is_none() && update.state == MemberState::Dead;
        if !is_newer || is_unknown_dead { None } else { self.replace_update(now_ms, update) }
    }

    /// Records a refused connection, which means that no process listens on the
    /// instance.
    pub fn record_refused_connection(
        &mut self,
        now_ms: u64,
        instance: &InstanceName,
    ) -> Option<MemberChange> {
        let record = self.members.get_mut(instance)?;
        record.refused_connections += 1;
        let is_dead = record.refused_connections >= REFUSED_CONNECTIONS_UNTIL_DEAD;
        if is_dead { self.downgrade(now_ms, instance, MemberState::Dead) } else { None }
    }

    /// Marks members as suspect or dead once their time-outs have passed. Only
    /// `monitored` members, from which this router expects heartbeats, become
    /// suspect by their silence.
    pub fn check_timeouts(&mut self, now_ms: u64, monitored: &[InstanceName]) -> Vec<MemberChange> {
        let overdue = self.overdue_members(now_ms, monitored);
        let changes =
            overdue.into_iter().filter_map(|(name, state)| self.downgrade(now_ms, &name, state));
        let changes = changes.collect();
        self.remove_unrefuted_suspects(now_ms, changes)
    }

    /// Monitored members that have been silent for half of the suspect
    /// time-out. They are asked for an answer to a heartbeat, because a member
    /// whose view differs may send its heartbeats to other routers.
    pub fn nearly_suspect(&self, now_ms: u64) -> Vec<InstanceName> {
        let silent_ms = |record: &MemberRecord| {
            let since_ms = record.monitored_since_ms?;
            Some(now_ms.saturating_sub(record.last_heard_ms.unwrap_or(0).max(since_ms)))
        };
        let records = self.members.iter().filter(|(_, record)| {
            record.update.state != MemberState::Dead
                && silent_ms(record)
                    .is_some_and(|silent_ms| silent_ms >= self.timing.suspect_after_ms / 2)
        });
        records.map(|(instance, _)| instance.clone()).collect()
    }

    fn overdue_members(
        &mut self,
        now_ms: u64,
        monitored: &[InstanceName],
    ) -> Vec<(InstanceName, MemberState)> {
        let timing = self.timing;
        let mut overdue = Vec::new();
        for (instance, record) in &mut self.members {
            if !monitored.contains(instance) {
                record.monitored_since_ms = None;
                continue;
            }
            let since_ms = *record.monitored_since_ms.get_or_insert(now_ms);
            let silent_ms = now_ms.saturating_sub(record.last_heard_ms.unwrap_or(0).max(since_ms));
            if silent_ms >= timing.remove_after_ms {
                overdue.push((instance.clone(), MemberState::Dead));
            } else if silent_ms >= timing.suspect_after_ms {
                overdue.push((instance.clone(), MemberState::Suspect));
            }
        }
        overdue
    }

    /// Declares suspect members dead that neither refuted the suspicion nor
    /// sent a message, and removes those that have been dead for
    /// `forget_after_ms`.
    fn remove_unrefuted_suspects(
        &mut self,
        now_ms: u64,
        mut changes: Vec<MemberChange>,
    ) -> Vec<MemberChange> {
        // A refutation may have to be relayed by several heartbeats.
        let refutation_timeout_ms = 2 * self.timing.remove_after_ms;
        let is_silent = |record: &MemberRecord| {
            let is_heard_since_change = record
                .last_heard_ms
                .is_some_and(|last_heard_ms| last_heard_ms >= record.last_change_ms);
            record.update.state == MemberState::Suspect
                && !is_heard_since_change
                && now_ms.saturating_sub(record.last_change_ms) >= refutation_timeout_ms
        };
        let silent = self.members.iter().filter(|(_, record)| is_silent(record));
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        for instance in silent {
            changes.extend(self.downgrade(now_ms, &instance, MemberState::Dead));
        }
        let forget_after_ms = self.timing.forget_after_ms;
        self.members.retain(|_, record| {
            record.update.state != MemberState::Dead
                || now_ms.saturating_sub(record.last_change_ms) < forget_after_ms
        });
        changes
    }

    /// Live routers in the order of their names, including this one. Suspect
    /// members count as live: moving their shards after the first lost
    /// heartbeat would be premature.
    pub fn live_routers(&self) -> Vec<&Router> {
        let others =
            self.members.values().filter(|record| record.update.state != MemberState::Dead);
        let mut live: Vec<&Router> = others.map(|record| &record.update.router).collect();
        live.push(&self.own_update.router);
        live.sort_by(|a, b| a.member.instance.cmp(&b.member.instance));
        live
    }

    /// Members that this router sends heartbeats to, and those that it expects heartbeats
    /// from. While some are suspect, also those that take their places if they are dead:
    /// when many neighbours on the rings die together, the next ones are monitored without
    /// a wait for the end of each time-out.
    pub fn heartbeat_plan(&self) -> HeartbeatPlan {
        let own_name = &self.own_update.router.member.instance;
        let live = self.live_routers();
        let mut targets = heartbeat_targets(own_name, &live);
        let mut expected = heartbeat_peers(own_name, &live);
        let is_suspect =
            |router: &&Router| self.state(&router.member.instance) == Some(MemberState::Suspect);
        if live.iter().any(is_suspect) {
            let trusted: Vec<&Router> =
                live.into_iter().filter(|router| !is_suspect(router)).collect();
            let further = heartbeat_targets(own_name, &trusted).into_iter();
            targets.extend(further.filter(|name| !targets.contains(name)).collect::<Vec<_>>());
            expected.extend(heartbeat_peers(own_name, &trusted));
        }
        HeartbeatPlan { targets, expected: expected.into_iter().collect() }
    }

    /// Live routers that may own shards. Leaving routers are excluded, so that
    /// their shards move before they stop, unless all live routers are leaving.
    pub fn eligible_owners(&self) -> Vec<&Router> {
        let may_own =
            |router: &&Router| !self.is_leaving(&router.member.instance).unwrap_or_default();
        let owners: Vec<_> = self.live_routers().into_iter().filter(may_own).collect();
        if owners.is_empty() { self.live_routers() } else { owners }
    }

    /// Routers to which callers may be directed: those alive and not leaving.
    pub fn routers_for_callers(&self) -> Vec<&Router> {
        let usable = |router: &&Router| {
            let instance = &router.member.instance;
            self.state(instance) == Some(MemberState::Alive)
                && !self.is_leaving(instance).unwrap_or_default()
        };
        self.live_routers().into_iter().filter(usable).collect()
    }

    fn is_leaving(&self, instance: &InstanceName) -> Option<bool> {
        if *instance == self.own_update.router.member.instance {
            return Some(self.own_update.state == MemberState::Leaving);
        }
        let record = self.members.get(instance)?;
        Some(record.listed_as_leaving || record.update.state == MemberState::Leaving)
    }

    /// State of an instance; `None` if it is unknown.
    pub fn state(&self, instance: &InstanceName) -> Option<MemberState> {
        if *instance == self.own_update.router.member.instance {
            return Some(self.own_update.state);
        }
        self.members.get(instance).map(|record| record.update.state)
    }

    /// Time of the latest change to the record of another member, in
    /// milliseconds; `None` if it is unknown.
    pub fn last_changed_ms(&self, instance: &InstanceName) -> Option<u64> {
        self.members.get(instance).map(|record| record.last_change_ms)
    }

    /// The live process on an instance; `None` if it is dead or unknown.
    pub fn router(&self, instance: &InstanceName) -> Option<&Router> {
        if *instance == self.own_update.router.member.instance {
            return Some(&self.own_update.router);
        }
        let record = self.members.get(instance)?;
        (record.update.state != MemberState::Dead).then_some(&record.update.router)
    }

    /// Listed instances that are not live members. This router tries to contact
    /// them, because they may have just started or a partition may have ended.
    pub fn unjoined_instances(&self) -> Vec<&Router> {
        let unknown = |instance: &InstanceName| {
            self.members.get(instance).is_none_or(|record| record.update.state == MemberState::Dead)
        };
        let listed = self.listed.iter().filter(|(instance, _)| unknown(instance));
        listed.map(|(_, listed)| &listed.router).collect()
    }

    /// Whether a member sent any message at `since_ms` or later.
    pub fn has_heard_since(&self, instance: &InstanceName, since_ms: u64) -> bool {
        let record = self.members.get(instance);
        record
            .and_then(|record| record.last_heard_ms)
            .is_some_and(|last_heard_ms| last_heard_ms >= since_ms)
    }

    /// Whether there are updates that have not been sent as often as required.
    pub fn has_pending_updates(&self) -> bool {
        self.members.values().any(|record| record.remaining_sends > 0)
    }

    /// Updates to send with the next heartbeat to `peer`, newest first. An
    /// update by which the peer is suspect or dead is repeated until the peer
    /// raises its epoch.
    pub fn next_updates(&mut self, peer: &InstanceName, limit: usize) -> Vec<MemberUpdate> {
        let mut pending: Vec<_> = self
            .members
            .iter_mut()
            .filter(|(name, record)| record.remaining_sends > 0 && *name != peer)
            .collect();
        pending.sort_by_key(|(_, record)| std::cmp::Reverse(record.remaining_sends));
        pending.truncate(limit);
        let mut updates = Vec::with_capacity(pending.len() + 1);
        for (_, record) in pending {
            record.remaining_sends -= 1;
            updates.push(record.update.clone());
        }
        let peer_update =
            self.members.get(peer).filter(|record| record.update.state >= MemberState::Suspect);
        updates.extend(peer_update.map(|record| record.update.clone()));
        updates
    }

    /// All updates, for a peer that has just started or whose view differs.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        self.members.values().map(|record| record.update.clone()).collect()
    }

    /// Hash of the alive and leaving members and their states, including this
    /// router. It is the same at two routers with the same view.
    pub fn view_hash(&self) -> u64 {
        let others = self.members.values().map(|record| &record.update);
        let all = others.chain([&self.own_update]);
        let hashed = all.filter(|update| update.state < MemberState::Suspect);
        hashed.fold(0, |sum: u64, update| sum.wrapping_add(update_hash(update)))
    }

    /// Status of all known members except this router.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let status = |record: &MemberRecord| MemberStatus {
            update: record.update.clone(),
            last_heard_ms: record.last_heard_ms,
            listed_as_leaving: record.listed_as_leaving,
        };
        self.members.values().map(status).collect()
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let is_about_own_process = update.router.member == self.own_update.router.member;
        if is_about_own_process
            && update.state >= MemberState::Suspect
            && update.epoch >= self.own_update.epoch
        {
            self.own_update.epoch = update.epoch.saturating_add(1);
        }
    }

    fn downgrade(
        &mut self,
        now_ms: u64,
        name: &InstanceName,
        state: MemberState,
    ) -> Option<MemberChange> {
        let record = self.members.get(name)?;
        if record.update.state >= state {
            return None;
        }
        let update = MemberUpdate { state, ..record.update.clone() };
        self.replace_update(now_ms, update)
    }

    fn replace_update(&mut self, now_ms: u64, update: MemberUpdate) -> Option<MemberChange> {
        let instance = update.router.member.instance.clone();
        let remaining_sends = self.sends_per_update();
        let old = self.members.get(&instance);
        if old.is_some_and(|record| record.update == update) {
            return None;
        }
        let same_process = old.filter(|record| record.update.router.member == update.router.member);
        let from = same_process.map(|record| record.update.state);
        let change = MemberChange { member: update.router.member.clone(), from, to: update.state };
        let record = MemberRecord {
            last_heard_ms: same_process.and_then(|record| record.last_heard_ms),
            monitored_since_ms: same_process.and_then(|record| record.monitored_since_ms),
            last_change_ms: now_ms,
            refused_connections: same_process.map_or(0, |record| record.refused_connections),
            remaining_sends,
            listed_as_leaving: self.listed.get(&instance).is_some_and(|listed| listed.leaving),
            update,
        };
        self.members.insert(instance, record);
        (change.from != Some(change.to)).then_some(change)
    }

    fn sends_per_update(&self) -> u32 {
        (self.members.len() + 2).ilog2() + EXTRA_UPDATE_SENDS
    }
}

/// No running member reports itself as suspect or dead.
fn claims_own_failure(update: &MemberUpdate) -> bool {
    update.state >= MemberState::Suspect
}

fn update_hash(update: &MemberUpdate) -> u64 {
    let member = &update.router.member;
    let mut bytes = member.instance.as_str().as_bytes().to_vec();
    bytes.extend(member.incarnation.0.to_le_bytes());
    bytes.push(update.state as u8);
    hash(HashPurpose::View, &bytes)
}
