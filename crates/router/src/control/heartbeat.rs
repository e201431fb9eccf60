//! Heartbeats between routers, and failure detection.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use span_types::{InstanceName, MemberState};
use span_wire::{Heartbeat, read_heartbeat, write_heartbeat};

use super::{
    Counter,
    peers::{self, PeerError},
    platform_sync,
    state::{ControlState, SharedState},
};

/// Interval between regular heartbeats. Two fit into the time after which a
/// silent member becomes suspect.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum of consecutive heartbeats to a peer that are skipped while other
/// messages show that both sides are alive. The next one is sent anyway, since
/// heartbeats also carry the revision and compare the membership views.
const MAX_SKIPPED_HEARTBEATS: u32 = 2;
/// Shortest time between the last heartbeat and an urgent one, which is sent
/// early because of a change.
const URGENT_HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Maximum of membership updates in a heartbeat that does not carry the whole
/// view.
const MAX_UPDATES_PER_HEARTBEAT: usize = 16;
/// Consecutive heartbeats with differing views after which all membership
/// entries are requested, because single updates must have been lost.
const FULL_SYNC_AFTER_MISMATCHES: u32 = 5;
/// Maximum of listed instances outside the membership view that are contacted
/// per heartbeat interval.
const MAX_UNKNOWN_PEERS_PER_INTERVAL: usize = 4;
/// Shortest time between two heartbeats to the same unknown instance.
const UNKNOWN_PEER_RETRY_MS: u64 = 3_000;

impl ControlState {
    /// Makes a heartbeat to `peer`. With `whole_view` it carries the whole
    /// membership view instead of recent updates; `wants_all_updates` requests
    /// the whole view of the peer.
    pub fn make_heartbeat(
        &mut self,
        peer: &InstanceName,
        whole_view: bool,
        wants_all_updates: bool,
    ) -> Heartbeat {
        let updates = if whole_view {
            self.view.all_updates()
        } else {
            self.view.next_updates(peer, MAX_UPDATES_PER_HEARTBEAT)
        };
        Heartbeat {
            sender: self.view.own_update().clone(),
            revision: self.config.revision(),
            view_hash: self.view.view_hash(),
            updates,
            wants_all_updates,
        }
    }

    /// Handles a heartbeat. Returns whether the sender has a newer
    /// configuration.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat) -> bool {
        let now_ms = self.now_ms();
        let sender = heartbeat.sender.router.member.instance.clone();
        let mut changes: Vec<_> =
            self.view.apply_direct_update(now_ms, heartbeat.sender).into_iter().collect();
        for update in heartbeat.updates {
            changes.extend(self.view.apply_relayed_update(now_ms, update));
        }
        self.apply_membership_changes(changes);
        self.record_view_hash(&sender, heartbeat.view_hash);
        if self.view.state(&sender).is_some_and(|state| state < MemberState::Dead) {
            self.peer_revisions.insert(sender, heartbeat.revision);
        }
        heartbeat.revision > self.config.revision()
    }

    fn record_view_hash(&mut self, sender: &InstanceName, view_hash: u64) {
        if view_hash == self.view.view_hash() {
            self.view_mismatches.remove(sender);
        } else {
            *self.view_mismatches.entry(sender.clone()).or_default() += 1;
        }
    }

    /// Whether to request the whole membership view of a peer. If the count of
    /// its mismatches is the reason, resets it, so that the view is requested
    /// once.
    fn should_request_all_updates(&mut self, peer: &InstanceName) -> bool {
        let unknown_peer = self.view.state(peer).is_none_or(|state| state == MemberState::Dead);
        let mismatched = self
            .view_mismatches
            .get(peer)
            .is_some_and(|count| *count >= FULL_SYNC_AFTER_MISMATCHES);
        if mismatched {
            self.view_mismatches.remove(peer);
        }
        unknown_peer || mismatched
    }

    fn heartbeat_targets(&self) -> Vec<(InstanceName, SocketAddr)> {
        let live = self.view.live_routers();
        let targets = span_member::heartbeat_targets(self.instance(), &live);
        let routers = targets.iter().filter_map(|target| self.view.router(target));
        routers.map(|router| (router.member.instance.clone(), router.peer_address)).collect()
    }

    /// Whether a regular heartbeat to `peer` may be skipped: an exchange within
    /// the last interval showed each side that the other one is alive, and
    /// there are no updates to send.
    fn may_skip_heartbeat(&mut self, now_ms: u64, peer: &InstanceName) -> bool {
        let since_ms = now_ms.saturating_sub(HEARTBEAT_INTERVAL.as_millis() as u64);
        let heard_recently = self.view.has_heard_since(peer, since_ms);
        let in_sync = !self.view_mismatches.contains_key(peer)
            && self.view.state(peer) == Some(MemberState::Alive);
        let skipped = self.skipped_heartbeats.entry(peer.clone()).or_default();
        if heard_recently
            && in_sync
            && !self.view.has_pending_updates()
            && *skipped < MAX_SKIPPED_HEARTBEATS
        {
            *skipped += 1;
            return true;
        }
        *skipped = 0;
        false
    }

    fn unknown_peers(&self) -> Vec<(InstanceName, SocketAddr)> {
        let unknown_peers = self.view.unjoined_instances().into_iter();
        unknown_peers.map(|router| (router.member.instance.clone(), router.peer_address)).collect()
    }
}

/// Sends heartbeats until the thread ends.
pub(super) async fn run(shared: SharedState) {
    let mut last_tries: HashMap<InstanceName, u64> = HashMap::new();
    let mut last_sent_ms = 0;
    let mut due_ms = 0;
    loop {
        let now_ms = shared.borrow().now_ms();
        let urgent = shared.borrow().has_urgent_update
            && now_ms >= last_sent_ms + URGENT_HEARTBEAT_INTERVAL_MS;
        if now_ms >= due_ms || urgent {
            last_sent_ms = now_ms;
            shared.borrow_mut().has_urgent_update = false;
            send_to_targets(&shared, now_ms, urgent);
        }
        if now_ms >= due_ms {
            due_ms = now_ms + HEARTBEAT_INTERVAL.as_millis() as u64;
            contact_unknown_peers(&shared, &mut last_tries, now_ms);
            check_members(&shared);
        }
        tokio::time::sleep(Duration::from_millis(URGENT_HEARTBEAT_INTERVAL_MS / 2)).await;
    }
}

fn send_to_targets(shared: &SharedState, now_ms: u64, urgent: bool) {
    let targets = shared.borrow().heartbeat_targets();
    for (instance, address) in targets {
        if !urgent && shared.borrow_mut().may_skip_heartbeat(now_ms, &instance) {
            continue;
        }
        tokio::task::spawn_local(send(shared.clone(), instance, address));
    }
}

fn contact_unknown_peers(
    shared: &SharedState,
    last_tries: &mut HashMap<InstanceName, u64>,
    now_ms: u64,
) {
    let unknown_peers = shared.borrow().unknown_peers();
    last_tries.retain(|name, _| unknown_peers.iter().any(|(unknown_peer, _)| unknown_peer == name));
    let is_due = |name: &InstanceName| {
        last_tries.get(name).is_none_or(|last_try_ms| now_ms >= last_try_ms + UNKNOWN_PEER_RETRY_MS)
    };
    let mut due: Vec<_> = unknown_peers.into_iter().filter(|(name, _)| is_due(name)).collect();
    due.sort_by_key(|(name, _)| last_tries.get(name).copied());
    for (instance, address) in due.into_iter().take(MAX_UNKNOWN_PEERS_PER_INTERVAL) {
        last_tries.insert(instance.clone(), now_ms);
        tokio::task::spawn_local(send(shared.clone(), instance, address));
    }
}

/// Marks members as suspect or dead that have been silent for too long.
fn check_members(shared: &SharedState) {
    let mut control = shared.borrow_mut();
    let now_ms = control.now_ms();
    let monitored_peers = std::mem::take(&mut control.monitored_peers);
    let changes = control.view.check_timeouts(now_ms, &monitored_peers);
    control.monitored_peers = monitored_peers;
    control.apply_membership_changes(changes);
}

/// Sends one heartbeat and handles the answer.
pub(super) async fn send(shared: SharedState, instance: InstanceName, address: SocketAddr) {
    let heartbeat = {
        let mut control = shared.borrow_mut();
        let wants_all_updates = control.should_request_all_updates(&instance);
        control.counters.increment(Counter::Heartbeats);
        control.make_heartbeat(&instance, wants_all_updates, wants_all_updates)
    };
    let answer = peers::call(&shared, &instance, address, |client| async move {
        let mut request = client.heartbeat_request();
        write_heartbeat(request.get().init_beat(), &heartbeat);
        let answer = request.send().promise.await?;
        Ok(read_heartbeat(answer.get()?.get_beat()?)?)
    });
    match answer.await {
        Ok(answer) => {
            let sender_is_newer = shared.borrow_mut().handle_heartbeat(answer);
            if sender_is_newer {
                platform_sync::fetch_config_from(&shared, instance);
            }
        }
        Err(error) => record_call_failure(&shared, &instance, &error),
    }
}

/// Records a failed call. A refused connection counts against the member, since
/// it shows that its process has ended.
pub(super) fn record_call_failure(
    shared: &SharedState,
    instance: &InstanceName,
    error: &PeerError,
) {
    tracing::debug!(%instance, %error, "call to a peer failed");
    if matches!(error, PeerError::Refused) {
        let mut control = shared.borrow_mut();
        let now_ms = control.now_ms();
        let change = control.view.record_refused_connection(now_ms, instance);
        control.apply_membership_changes(change);
    }
}
